//! One account at one node: both sides of its loans, and the demand.

use {
    super::{
        borrower::Held,
        lender::{Context, Lender},
        message::{Message, Sequence},
        meter::Meter,
        settings::Settings,
        split::{self, Share, Split},
        standing::Standing,
    },
    crate::{
        id, table,
        time::Instant,
        unit::{Revision, Tokens},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// The state of one account.
#[derive(Debug)]
pub struct Account {
    /// What the tables say, or nothing where they do not name the account.
    pub sold: Option<Arc<table::Account>>,
    /// Which splits others may keep to.
    pub standing: Standing,
    /// What this node mints and lends.
    pub lender: Lender,
    /// What this node holds from others.
    pub held: BTreeMap<id::Vm, Held>,
    /// The other minters, the nearest first.
    pub order: Vec<id::Vm>,
    /// How many of the other minters are borrowed from.
    pub width: usize,
    /// The requests that arrive here.
    pub demand: Meter,
    /// The asks that arrive here.
    pub asked: Meter,
    denied_until: Instant,
    denials: u32,
    /// How many asks may be under way.
    window: usize,
    next_widening: Instant,
    ample_since: Option<Instant>,
}

/// How many asks may be under way until the first denial.
const FIRST_WINDOW: usize = 16;

/// What a node knows of other nodes. It may be wrong, so only the placement of tokens depends on it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Where this node is.
    pub data_centre: Option<id::DataCentre>,
    /// The nodes thought dead or leaving.
    pub absent: BTreeSet<id::Vm>,
}

/// Returns the level in millionths of the cap, and at least one where there is any.
fn fullness(level: Tokens, share: Share) -> u128 {
    const MILLION: u128 = 1_000_000;
    let part = u128::from(level.0) * MILLION / u128::from(share.cap.0.max(1));
    part.max(u128::from(level.0.min(1)))
}

impl Account {
    /// Makes the state of an account of which nothing is known.
    pub fn new(
        now: Instant,
        me: &id::Vm,
        split: Arc<Split>,
        revision: Revision,
        nonce: Sequence,
    ) -> Self {
        Self {
            sold: None,
            standing: Standing::new(now, me.clone(), split, revision, nonce),
            lender: Lender::new(now),
            held: BTreeMap::new(),
            order: Vec::new(),
            width: 0,
            demand: Meter::slow(now),
            asked: Meter::quick(now),
            denied_until: Instant::ZERO,
            denials: 0,
            window: FIRST_WINDOW,
            next_widening: Instant::ZERO,
            ample_since: None,
        }
    }

    /// Orders the other minters by nearness, those thought absent last.
    pub fn sort(&mut self, account: &id::Account, me: &id::Vm, view: &View) {
        let split = self.standing.current();
        let mut order: Vec<_> = split.minters.iter().filter(|(vm, _)| *vm != me).collect();
        order.sort_by_cached_key(|(vm, minter)| {
            let is_far = view.data_centre.as_ref() != Some(&minter.data_centre);
            let weight = split::weight(account, vm.as_str(), me.as_str());
            (view.absent.contains(*vm), is_far, std::cmp::Reverse(weight))
        });
        self.order = order.into_iter().map(|(vm, _)| vm.clone()).collect();
        let split = self.standing.current().clone();
        self.held.retain(|vm, _| split.minters.contains_key(vm));
    }

    /// Takes one token from what is at hand, or nothing.
    pub fn take(&mut self, context: Context<'_>) -> bool {
        let now = context.now;
        self.lender.fill(now);
        let mut sum = self.lender.level();
        for held in self.held.values_mut() {
            held.fill(now, context.guards);
            sum = sum.saturating_add(held.level());
        }
        if sum < Tokens::ONE {
            return false;
        }
        let mut open = Tokens::ONE;
        while open > Tokens::ZERO {
            open = open.saturating_sub(self.take_fullest(now, open));
        }
        true
    }

    /// Takes from the bucket that is nearest to its cap, since a full one mints in vain.
    fn take_fullest(&mut self, now: Instant, open: Tokens) -> Tokens {
        let own = fullness(self.lender.level(), self.lender.own());
        let held = self.held.values_mut();
        let fullest = held.max_by_key(|held| fullness(held.level(), held.share(now)));
        match fullest.filter(|held| fullness(held.level(), held.share(now)) > own) {
            Some(held) => held.take(open),
            None => self.lender.take(now, open),
        }
    }

    /// Returns the tokens at hand.
    pub fn level(&self) -> Tokens {
        let held = self.held.values().map(Held::level);
        held.fold(self.lender.level(), Tokens::saturating_add)
    }

    /// Returns how long a caller should wait before it tries again.
    pub fn retry_after(&self) -> Duration {
        const LONGEST: Duration = Duration::from_secs(1);
        let rate = self.sold.as_ref().map_or(0, |sold| sold.rate.0);
        LONGEST.checked_div(u32::try_from(rate).unwrap_or(u32::MAX)).unwrap_or(LONGEST)
    }

    /// Returns the minter to ask for a token now, unless all were dry lately.
    pub fn to_ask(&self, now: Instant, not: Option<&id::Vm>) -> Option<id::Vm> {
        let is_open = |vm: &&id::Vm| {
            let is_dry = self.held.get(*vm).is_some_and(|held| now < held.dry_until);
            !is_dry && Some(*vm) != not
        };
        self.order.iter().find(is_open).cloned()
    }

    /// Tells whether one more ask beside those under way is worth while.
    pub fn is_worth_asking(&self, now: Instant, under_way: usize) -> bool {
        now >= self.denied_until && under_way < self.window
    }

    /// Notes that nobody had a token: fewer asks at once, and a pause once it is one at a time.
    pub fn deny(&mut self, now: Instant) {
        const SHORTEST_MS: u64 = 10;
        const MOST_DOUBLINGS: u32 = 4;
        self.window = (self.window / 2).max(1);
        if self.window == 1 && now >= self.denied_until {
            self.denied_until = now + Duration::from_millis(SHORTEST_MS << self.denials);
            self.denials = (self.denials + 1).min(MOST_DOUBLINGS);
        }
    }

    /// Notes that an ask was answered with a token.
    pub fn allow(&mut self, settings: &Settings) {
        const PLENTY: usize = 4;
        self.window = (self.window + 1).min(settings.asks);
        if self.window >= PLENTY {
            self.denials = 0;
        }
    }

    /// Returns the minter to ask where all were dry lately. Different tickets go to different ones.
    pub fn to_wait_for(&self, ticket: u64) -> Option<id::Vm> {
        let count = self.order.len().max(1) as u64;
        let index = usize::try_from(ticket % count).unwrap_or(0);
        self.order.get(index).cloned()
    }

    /// Hands back what is not needed here of one lender's loan.
    pub fn recall(
        &mut self,
        context: Context<'_>,
        lender: &id::Vm,
        nonce: &mut Sequence,
    ) -> Option<Message> {
        let Context { account, now, guards, .. } = context;
        if self.demand.is_silent(now) {
            self.demand.reset(now);
            self.width = 0;
        }
        let is_idle = self.demand.demand() == Tokens::ZERO;
        let held = self.held.get_mut(lender)?;
        held.fill(now, guards);
        let want = if is_idle {
            *nonce += 1;
            held.give_up(now, account, *nonce)
        } else {
            held.recall(now, account)
        };
        want.map(Message::Want)
    }

    /// Borrows more or less, so that what is at hand fits the demand.
    pub fn plan(&mut self, context: Context<'_>, nonce: &mut Sequence) -> Vec<(id::Vm, Message)> {
        let demand = self.demand.demand();
        let own = self.lender.own();
        let deficit = demand.saturating_sub(own.rate);
        if self.is_ask_cheaper(demand) || deficit == Tokens::ZERO {
            self.width = 0;
        } else {
            self.adapt(context.now, demand, own);
        }
        self.request(context, deficit, nonce)
    }

    /// Tells whether the part of the burst that goes with the demand is too small to ride out the
    /// unevenness of arrivals, so that single tokens serve better than a loan.
    fn is_ask_cheaper(&self, demand: Tokens) -> bool {
        const LEAST_LENT: u64 = 6;
        let Some(sold) = &self.sold else { return true };
        let part = u128::from(demand.0) * u128::from(sold.burst);
        part < u128::from(Tokens::whole(LEAST_LENT).0) * u128::from(sold.rate.0)
    }

    fn adapt(&mut self, now: Instant, demand: Tokens, own: Share) {
        const WIDENING: Duration = Duration::from_millis(250);
        const AMPLE: Duration = Duration::from_secs(3);
        let shares = self.order.iter().take(self.width).filter_map(|vm| self.held.get(vm));
        let rates: Vec<u64> = shares.map(|held| held.share(now).rate.0).collect();
        let supply = own.rate.0 + rates.iter().sum::<u64>();
        let without_last = supply - rates.last().copied().unwrap_or(0);
        let is_short = supply < demand.0 + demand.0 / 50;
        if (is_short || self.width == 0) && now >= self.next_widening {
            self.width = (self.width * 2).max(1).min(self.order.len());
            self.next_widening = now + WIDENING;
        }
        let is_ample = self.width > 1 && without_last > demand.0 + demand.0 / 2;
        if !is_ample {
            self.ample_since = None;
        } else if now.since(*self.ample_since.get_or_insert(now)) >= AMPLE {
            self.width -= 1;
            self.ample_since = None;
        }
    }

    fn request(
        &mut self,
        context: Context<'_>,
        deficit: Tokens,
        nonce: &mut Sequence,
    ) -> Vec<(id::Vm, Message)> {
        let Context { account, now, settings, .. } = context;
        let split = self.standing.current().clone();
        let rate_of = |vm: &id::Vm| u128::from(split.share(vm).rate.0);
        let active: Vec<id::Vm> = self.order.iter().take(self.width).cloned().collect();
        let whole = active.iter().map(rate_of).sum::<u128>().max(1);
        let mut wants = Vec::new();
        for vm in &active {
            let held = self.held.entry(vm.clone()).or_insert_with(|| Held::new(now));
            let told = u128::from(deficit.0) * rate_of(vm) / whole;
            let told = Tokens(u64::try_from(told).unwrap_or(u64::MAX));
            if held.is_due(now, settings, told) {
                *nonce += 1;
                let want = held.want(now, account, *nonce, told);
                wants.push((vm.clone(), Message::Want(want)));
            } else if let Some(want) = held.acknowledge(now, account) {
                wants.push((vm.clone(), Message::Want(want)));
            }
        }
        for (vm, held) in &mut self.held {
            if !active.contains(vm) {
                *nonce += 1;
                let want = held.give_up(now, account, *nonce);
                wants.extend(want.map(|want| (vm.clone(), Message::Want(want))));
            }
        }
        wants
    }
}
