//! Queue of calls for the target: strict priority between classes, fair queueing between accounts.
//!
//! Each class has a queue of its own, in which each account is a flow with a start tag, as in
//! start-time fair queueing (SFQ). The flow with the lowest tag is served first. The tag of an idle
//! flow may lag behind the virtual time of its class by a bounded credit, so that an account below
//! its fair share is served before one above it. See docs/design/admission.md.

use {
    crate::{id, table::Class, time::Instant},
    slab::Slab,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// The number of flows in one class above which idle flows are dropped.
const MAX_FLOWS: usize = 1024;

/// One value per class, in the order of [`Class::ALL`].
pub type ByClass<T> = [T; Class::ALL.len()];

/// A queued call.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The call's id.
    pub call: id::Call,
    /// The billed account, or none on a route open to all.
    pub account: Option<id::Account>,
    /// The account's contracted rate, used as the weight of its flow.
    pub weight: u32,
    /// The class of the call.
    pub class: Class,
    /// The number of calls above this one in the call chain.
    pub depth: u8,
    /// When the call was offered.
    pub arrived: Instant,
    /// The latest time at which the call can start and still meet its deadline.
    pub latest_start: Instant,
    /// The class and account under which the call is reported, also if scheduling ignores them.
    pub origin: (Class, Option<id::Account>),
}

/// The order of calls in a flow: deeper calls of a chain first, then by arrival.
type Position = (u8, u64);

#[derive(Debug, Default)]
struct Flow {
    tag: f64,
    weight: f64,
    waiting: BTreeMap<Position, usize>,
}

impl Flow {
    /// Returns the position of the call to serve next.
    fn next_position(&self, is_newest_first: bool) -> Option<Position> {
        let (first, _) = self.waiting.first_key_value()?;
        if !is_newest_first {
            return Some(*first);
        }
        let same_depth = self.waiting.range(..=(first.0, u64::MAX));
        same_depth.last().map(|(position, _)| *position)
    }

    /// Returns the position of the call to evict first.
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
struct ClassQueue {
    flows: BTreeMap<Option<id::Account>, Flow>,
    active: BTreeSet<Option<id::Account>>,
    by_arrival: BTreeSet<(Instant, usize)>,
    virtual_time: f64,
    len: usize,
    starved_since: Option<Instant>,
}

impl ClassQueue {
    fn flow(&mut self, account: &Option<id::Account>, weight: u32, credit: f64) -> &mut Flow {
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(account) {
            self.flows.retain(|_, flow| !flow.waiting.is_empty());
        }
        let min_tag = self.virtual_time - credit;
        let flow = self.flows.entry(account.clone()).or_default();
        flow.weight = f64::from(weight.max(1));
        if flow.waiting.is_empty() {
            flow.tag = flow.tag.max(min_tag);
        }
        flow
    }

    fn charge(&mut self, account: &Option<id::Account>) {
        let Some(flow) = self.flows.get_mut(account) else { return };
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag += 1.0 / flow.weight;
    }

    /// Returns the account whose flow is served next: the one with the lowest start tag.
    fn next_account(&self) -> Option<Option<id::Account>> {
        let tag = |account: &&Option<id::Account>| self.flows[*account].tag;
        self.active.iter().min_by(|a, b| tag(a).total_cmp(&tag(b))).cloned()
    }

    /// Returns the account with the most waiting calls relative to its weight.
    fn most_loaded_account(&self) -> Option<Option<id::Account>> {
        let load = |account: &&Option<id::Account>| self.flows[*account].load();
        self.active.iter().max_by(|a, b| load(a).total_cmp(&load(b))).cloned()
    }
}

/// Returns whether a new call is served before the call at `position` of its own flow.
fn precedes(newcomer: &Entry, position: Position, is_newest_first: bool) -> bool {
    let depth_rank = u8::MAX - newcomer.depth;
    depth_rank < position.0 || (is_newest_first && depth_rank == position.0)
}

/// The queued calls of one target.
#[derive(Debug)]
pub struct Queue {
    credit_s: f64,
    max_class_gap: Duration,
    entries: Slab<(Entry, u64)>,
    by_call: HashMap<id::Call, usize>,
    by_latest_start: BTreeSet<(Instant, usize)>,
    class_queues: [ClassQueue; Class::ALL.len()],
    next_sequence: u64,
}

impl Queue {
    /// Creates an empty queue. An account may catch up on unused service worth `credit` at its
    /// contracted rate; a class with waiting calls is served at least once per `max_class_gap`.
    pub fn new(credit: Duration, max_class_gap: Duration) -> Self {
        Self {
            credit_s: credit.as_secs_f64(),
            max_class_gap,
            entries: Slab::new(),
            by_call: HashMap::new(),
            by_latest_start: BTreeSet::new(),
            class_queues: Default::default(),
            next_sequence: 0,
        }
    }

    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of queued calls of one class.
    pub fn class_len(&self, class: Class) -> usize {
        self.class_queues[class.index()].len
    }

    /// Returns the arrival time of the oldest queued call of a class.
    pub fn oldest(&self, class: Class) -> Option<Instant> {
        self.class_queues[class.index()].by_arrival.first().map(|(arrived, _)| *arrived)
    }

    /// Returns whether the class has not been served for `max_class_gap` despite demand and has at
    /// most one queued call.
    pub fn is_starved(&self, class: Class, now: Instant) -> bool {
        let class_queue = &self.class_queues[class.index()];
        class_queue.len <= 1
            && class_queue.starved_since.is_some_and(|since| now - since >= self.max_class_gap)
    }

    /// Records that a call of the class was offered. Starvation is then measured even if the call
    /// is refused.
    pub fn record_demand(&mut self, class: Class, now: Instant) {
        self.class_queues[class.index()].starved_since.get_or_insert(now);
    }

    /// Charges a call that runs without being queued to its account.
    pub fn charge_unqueued(&mut self, account: &Option<id::Account>, weight: u32, class: Class) {
        let credit_s = self.credit_s;
        let class_queue = &mut self.class_queues[class.index()];
        class_queue.starved_since = None;
        class_queue.flow(account, weight, credit_s);
        class_queue.charge(account);
    }

    /// Estimates how many queued calls would be served before a new one of this account and class.
    pub fn calls_ahead(&self, account: &Option<id::Account>, weight: u32, class: Class) -> usize {
        let higher_classes: usize =
            self.class_queues[..class.index()].iter().map(|class_queue| class_queue.len).sum();
        let class_queue = &self.class_queues[class.index()];
        let own_waiting = class_queue.flows.get(account).map_or(0, |flow| flow.waiting.len());
        let weights: f64 =
            class_queue.active.iter().map(|other| class_queue.flows[other].weight).sum();
        let fair_position = (own_waiting + 1) as f64 * weights / f64::from(weight.max(1));
        higher_classes + class_queue.len.min(fair_position as usize)
    }

    /// Adds a call.
    pub fn push(&mut self, entry: Entry) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let position = (u8::MAX - entry.depth, sequence);
        let class_queue = &mut self.class_queues[entry.class.index()];
        class_queue.starved_since.get_or_insert(entry.arrived);
        class_queue.len += 1;
        class_queue.active.insert(entry.account.clone());
        let slot = self.entries.vacant_key();
        class_queue.by_arrival.insert((entry.arrived, slot));
        let flow = class_queue.flow(&entry.account, entry.weight, self.credit_s);
        flow.waiting.insert(position, slot);
        self.by_call.insert(entry.call, slot);
        self.by_latest_start.insert((entry.latest_start, slot));
        self.entries.insert((entry, sequence));
    }

    /// Removes the call to run next. `is_newest_first` tells which classes serve their newest calls
    /// first.
    pub fn pop(&mut self, now: Instant, is_newest_first: &ByClass<bool>) -> Option<Entry> {
        let class = self.next_class(now)?;
        let is_newest_first = is_newest_first[class.index()];
        let class_queue = &mut self.class_queues[class.index()];
        let account = class_queue.next_account()?;
        let flow = &class_queue.flows[&account];
        let slot = flow.waiting[&flow.next_position(is_newest_first)?];
        class_queue.charge(&account);
        class_queue.starved_since = None;
        let entry = self.remove_slot(slot);
        let class_queue = &mut self.class_queues[class.index()];
        if class_queue.len > 0 {
            class_queue.starved_since = Some(now);
        }
        Some(entry)
    }

    /// Removes a call to make room for `newcomer`, if one should yield to it: a call of a lower
    /// class, a call of an account in the same class that has at least as many waiting calls
    /// relative to its weight, or a call of the same account that would be served later.
    pub fn evict(
        &mut self,
        now: Instant,
        newcomer: &Entry,
        is_newest_first: &ByClass<bool>,
    ) -> Option<Entry> {
        let class = self.eviction_class(now)?;
        let is_newest_first = is_newest_first[class.index()];
        if class < newcomer.class {
            return None;
        }
        let class_queue = &self.class_queues[class.index()];
        let account = class_queue.most_loaded_account()?;
        let flow = &class_queue.flows[&account];
        let position = flow.victim(is_newest_first)?;
        let is_same_class = class == newcomer.class;
        let should_evict = match is_same_class && account == newcomer.account {
            true => precedes(newcomer, position, is_newest_first),
            false => !is_same_class || self.load_with(newcomer) <= flow.load(),
        };
        let slot = flow.waiting[&position];
        should_evict.then(|| self.remove_slot(slot))
    }

    /// Removes one call that can no longer meet its deadline or exceeds the maximum wait of its
    /// class.
    pub fn expire(&mut self, now: Instant, max_wait: &ByClass<Duration>) -> Option<Entry> {
        let unservable =
            self.by_latest_start.first().filter(|(latest_start, _)| *latest_start <= now);
        let overstayed = || {
            let class_queues = self.class_queues.iter().zip(max_wait);
            let mut oldest = class_queues
                .filter_map(|(class_queue, wait)| Some((class_queue.by_arrival.first()?, wait)));
            oldest.find(|((arrived, _), wait)| now - *arrived > **wait).map(|(first, _)| first)
        };
        let slot = unservable.or_else(overstayed)?.1;
        Some(self.remove_slot(slot))
    }

    /// Removes a cancelled call.
    pub fn remove(&mut self, call: id::Call) -> Option<Entry> {
        let slot = *self.by_call.get(&call)?;
        Some(self.remove_slot(slot))
    }

    /// Returns the load of the newcomer's flow including the newcomer.
    fn load_with(&self, newcomer: &Entry) -> f64 {
        let class_queue = &self.class_queues[newcomer.class.index()];
        let waiting = class_queue.flows.get(&newcomer.account).map_or(0, |flow| flow.waiting.len());
        (waiting + 1) as f64 / f64::from(newcomer.weight.max(1))
    }

    fn next_class(&self, now: Instant) -> Option<Class> {
        let has_calls = |class: &Class| self.class_queues[class.index()].len > 0;
        let is_overdue = |class: &Class| {
            let since = self.class_queues[class.index()].starved_since;
            since.is_some_and(|since| now - since >= self.max_class_gap)
        };
        let overdue = Class::ALL.into_iter().filter(has_calls).find(is_overdue);
        overdue.or_else(|| Class::ALL.into_iter().find(has_calls))
    }

    fn eviction_class(&self, now: Instant) -> Option<Class> {
        let has_calls = |class: &Class| self.class_queues[class.index()].len > 0;
        let is_protected = |class: &Class| self.is_starved(*class, now);
        Class::ALL.into_iter().rev().find(|class| has_calls(class) && !is_protected(class))
    }

    fn remove_slot(&mut self, slot: usize) -> Entry {
        let (entry, sequence) = self.entries.remove(slot);
        self.by_call.remove(&entry.call);
        self.by_latest_start.remove(&(entry.latest_start, slot));
        let class_queue = &mut self.class_queues[entry.class.index()];
        class_queue.by_arrival.remove(&(entry.arrived, slot));
        class_queue.len -= 1;
        if let Some(flow) = class_queue.flows.get_mut(&entry.account) {
            flow.waiting.remove(&(u8::MAX - entry.depth, sequence));
            if flow.waiting.is_empty() {
                class_queue.active.remove(&entry.account);
            }
        }
        entry
    }
}
