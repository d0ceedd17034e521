//! Calls that wait for the target: strict order of classes, fair between accounts.
//!
//! Each class is a lane, each account in it a flow with a start tag of start-time fair queueing;
//! the lane serves the flow with the lowest tag. A flow that was quiet may lag behind the lane by a
//! bounded credit, so that an account within its due is served before one over it. See
//! docs/design/admission.md.

use {
    crate::{id, table::Class, time::Instant},
    slab::Slab,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Flows of one lane above which idle ones are dropped.
const MAX_FLOWS: usize = 1024;

/// One value for each class, in the order of [`Class::ALL`].
pub type ByClass<T> = [T; Class::ALL.len()];

/// A call that waits.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The call.
    pub call: id::Call,
    /// The account that pays, or none on a route open to all.
    pub account: Option<id::Account>,
    /// The account's sold rate.
    pub weight: u32,
    /// The class of the call.
    pub class: Class,
    /// The number of calls above this one.
    pub depth: u8,
    /// When the call was offered.
    pub arrived: Instant,
    /// When too little time is left to run the call.
    pub give_up: Instant,
    /// The class and account that the call counts for in reports.
    pub origin: (Class, Option<id::Account>),
}

/// Orders the calls of a flow: those deeper in a chain first, then by arrival.
type Position = (u8, u64);

#[derive(Debug, Default)]
struct Flow {
    tag: f64,
    weight: f64,
    waiting: BTreeMap<Position, usize>,
}

impl Flow {
    /// Returns the position of the call to serve next.
    fn next(&self, is_newest_first: bool) -> Option<Position> {
        let (first, _) = self.waiting.first_key_value()?;
        if !is_newest_first {
            return Some(*first);
        }
        let same_depth = self.waiting.range(..=(first.0, u64::MAX));
        same_depth.last().map(|(position, _)| *position)
    }

    /// Returns the position of the call to give up first.
    fn victim(&self, is_newest_first: bool) -> Option<Position> {
        let (last, _) = self.waiting.last_key_value()?;
        if !is_newest_first {
            return Some(*last);
        }
        let same_depth = self.waiting.range((last.0, 0)..);
        same_depth.map(|(position, _)| *position).next()
    }

    fn load(&self) -> f64 {
        self.waiting.len() as f64 / self.weight
    }
}

#[derive(Debug, Default)]
struct Lane {
    flows: BTreeMap<Option<id::Account>, Flow>,
    active: BTreeSet<Option<id::Account>>,
    by_arrival: BTreeSet<(Instant, usize)>,
    virtual_time: f64,
    len: usize,
    starved_since: Option<Instant>,
}

impl Lane {
    fn flow(&mut self, account: &Option<id::Account>, weight: u32, credit: f64) -> &mut Flow {
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(account) {
            self.flows.retain(|_, flow| !flow.waiting.is_empty());
        }
        let floor = self.virtual_time - credit;
        let flow = self.flows.entry(account.clone()).or_default();
        flow.weight = f64::from(weight.max(1));
        if flow.waiting.is_empty() {
            flow.tag = flow.tag.max(floor);
        }
        flow
    }

    fn charge(&mut self, account: &Option<id::Account>) {
        let Some(flow) = self.flows.get_mut(account) else { return };
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag += 1.0 / flow.weight;
    }

    /// Returns the account whose flow is served next.
    fn next(&self) -> Option<Option<id::Account>> {
        let tag = |account: &&Option<id::Account>| self.flows[*account].tag;
        self.active.iter().min_by(|a, b| tag(a).total_cmp(&tag(b))).cloned()
    }

    /// Returns the account with the most waiting calls for its weight.
    fn longest(&self) -> Option<Option<id::Account>> {
        let load = |account: &&Option<id::Account>| self.flows[*account].load();
        self.active.iter().max_by(|a, b| load(a).total_cmp(&load(b))).cloned()
    }
}

/// Tells whether a newcomer is served before the call at `position` of its own flow.
fn is_before(newcomer: &Entry, position: Position, is_newest_first: bool) -> bool {
    let rank = u8::MAX - newcomer.depth;
    rank < position.0 || (is_newest_first && rank == position.0)
}

/// The waiting calls of one target.
#[derive(Debug)]
pub struct Queue {
    credit_s: f64,
    floor: Duration,
    entries: Slab<(Entry, u64)>,
    by_call: HashMap<id::Call, usize>,
    by_give_up: BTreeSet<(Instant, usize)>,
    lanes: [Lane; Class::ALL.len()],
    next_number: u64,
}

impl Queue {
    /// Makes an empty queue. An account may catch up on `credit` of its sold rate; a class with
    /// waiting calls is served at least once in `floor`.
    pub fn new(credit: Duration, floor: Duration) -> Self {
        Self {
            credit_s: credit.as_secs_f64(),
            floor,
            entries: Slab::new(),
            by_call: HashMap::new(),
            by_give_up: BTreeSet::new(),
            lanes: Default::default(),
            next_number: 0,
        }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of waiting calls of one class.
    pub fn len_of(&self, class: Class) -> usize {
        self.lanes[class.index()].len
    }

    /// Returns when the longest waiting call of a class was offered.
    pub fn oldest(&self, class: Class) -> Option<Instant> {
        self.lanes[class.index()].by_arrival.first().map(|(arrived, _)| *arrived)
    }

    /// Tells whether the class waited for its floor and has at most one call in the queue.
    pub fn is_starved(&self, class: Class, now: Instant) -> bool {
        let lane = &self.lanes[class.index()];
        lane.len <= 1 && lane.starved_since.is_some_and(|since| now - since >= self.floor)
    }

    /// Notes that a class was offered a call, so that its floor counts even if the call is refused.
    pub fn want(&mut self, class: Class, now: Instant) {
        self.lanes[class.index()].starved_since.get_or_insert(now);
    }

    /// Notes a call that runs without waiting, so that it counts against its account.
    pub fn pass(&mut self, account: &Option<id::Account>, weight: u32, class: Class) {
        let credit_s = self.credit_s;
        let lane = &mut self.lanes[class.index()];
        lane.starved_since = None;
        lane.flow(account, weight, credit_s);
        lane.charge(account);
    }

    /// Returns how many waiting calls would be served before a new one of this account and class.
    pub fn ahead(&self, account: &Option<id::Account>, weight: u32, class: Class) -> usize {
        let before: usize = self.lanes[..class.index()].iter().map(|lane| lane.len).sum();
        let lane = &self.lanes[class.index()];
        let own = lane.flows.get(account).map_or(0, |flow| flow.waiting.len());
        let weights: f64 = lane.active.iter().map(|other| lane.flows[other].weight).sum();
        let fair = (own + 1) as f64 * weights / f64::from(weight.max(1));
        before + lane.len.min(fair as usize)
    }

    /// Adds a call.
    pub fn push(&mut self, entry: Entry) {
        let number = self.next_number;
        self.next_number += 1;
        let position = (u8::MAX - entry.depth, number);
        let lane = &mut self.lanes[entry.class.index()];
        lane.starved_since.get_or_insert(entry.arrived);
        lane.len += 1;
        lane.active.insert(entry.account.clone());
        let slot = self.entries.vacant_key();
        lane.by_arrival.insert((entry.arrived, slot));
        let flow = lane.flow(&entry.account, entry.weight, self.credit_s);
        flow.waiting.insert(position, slot);
        self.by_call.insert(entry.call, slot);
        self.by_give_up.insert((entry.give_up, slot));
        self.entries.insert((entry, number));
    }

    /// Takes the call that runs next. Some classes serve their newest calls first.
    pub fn pop(&mut self, now: Instant, is_newest_first: &ByClass<bool>) -> Option<Entry> {
        let class = self.next_class(now)?;
        let is_newest_first = is_newest_first[class.index()];
        let lane = &mut self.lanes[class.index()];
        let account = lane.next()?;
        let flow = &lane.flows[&account];
        let slot = flow.waiting[&flow.next(is_newest_first)?];
        lane.charge(&account);
        lane.starved_since = None;
        let entry = self.take(slot);
        let lane = &mut self.lanes[class.index()];
        if lane.len > 0 {
            lane.starved_since = Some(now);
        }
        Some(entry)
    }

    /// Takes the call that is given up first to make room for one of `class` and `account`, if one
    /// should be: a call of a later class, or of an account of the same class with more waiting.
    pub fn evict(
        &mut self,
        now: Instant,
        newcomer: &Entry,
        is_newest_first: &ByClass<bool>,
    ) -> Option<Entry> {
        let class = self.last_class(now)?;
        let is_newest_first = is_newest_first[class.index()];
        if class < newcomer.class {
            return None;
        }
        let lane = &self.lanes[class.index()];
        let account = lane.longest()?;
        let flow = &lane.flows[&account];
        let position = flow.victim(is_newest_first)?;
        let is_same_class = class == newcomer.class;
        let yields = match is_same_class && account == newcomer.account {
            true => is_before(newcomer, position, is_newest_first),
            false => !is_same_class || self.load_with(newcomer) <= flow.load(),
        };
        let slot = flow.waiting[&position];
        yields.then(|| self.take(slot))
    }

    /// Takes one call whose time is over, by its deadline or by the longest wait of its class.
    pub fn expire(&mut self, now: Instant, max_wait: &ByClass<Duration>) -> Option<Entry> {
        let late = self.by_give_up.first().filter(|(give_up, _)| *give_up <= now);
        let old = || {
            let lanes = self.lanes.iter().zip(max_wait);
            let mut oldest =
                lanes.filter_map(|(lane, wait)| Some((lane.by_arrival.first()?, wait)));
            oldest.find(|((arrived, _), wait)| now - *arrived > **wait).map(|(first, _)| first)
        };
        let slot = late.or_else(old)?.1;
        Some(self.take(slot))
    }

    /// Takes a call that is no longer wanted.
    pub fn remove(&mut self, call: id::Call) -> Option<Entry> {
        let slot = *self.by_call.get(&call)?;
        Some(self.take(slot))
    }

    /// Returns the load of the newcomer's flow with the newcomer in it.
    fn load_with(&self, newcomer: &Entry) -> f64 {
        let lane = &self.lanes[newcomer.class.index()];
        let waiting = lane.flows.get(&newcomer.account).map_or(0, |flow| flow.waiting.len());
        (waiting + 1) as f64 / f64::from(newcomer.weight.max(1))
    }

    fn next_class(&self, now: Instant) -> Option<Class> {
        let has_calls = |class: &Class| self.lanes[class.index()].len > 0;
        let is_due = |class: &Class| {
            let since = self.lanes[class.index()].starved_since;
            since.is_some_and(|since| now - since >= self.floor)
        };
        let due = Class::ALL.into_iter().filter(has_calls).find(is_due);
        due.or_else(|| Class::ALL.into_iter().find(has_calls))
    }

    fn last_class(&self, now: Instant) -> Option<Class> {
        let has_calls = |class: &Class| self.lanes[class.index()].len > 0;
        let is_spared = |class: &Class| self.is_starved(*class, now);
        Class::ALL.into_iter().rev().find(|class| has_calls(class) && !is_spared(class))
    }

    fn take(&mut self, slot: usize) -> Entry {
        let (entry, number) = self.entries.remove(slot);
        self.by_call.remove(&entry.call);
        self.by_give_up.remove(&(entry.give_up, slot));
        let lane = &mut self.lanes[entry.class.index()];
        lane.by_arrival.remove(&(entry.arrived, slot));
        lane.len -= 1;
        if let Some(flow) = lane.flows.get_mut(&entry.account) {
            flow.waiting.remove(&(u8::MAX - entry.depth, number));
            if flow.waiting.is_empty() {
                lane.active.remove(&entry.account);
            }
        }
        entry
    }
}
