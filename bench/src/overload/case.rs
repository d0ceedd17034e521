//! What is offered to which pools, and under which control.

use {
    monsoon_lib::{admission, balance, pressure, table::Class},
    std::time::Duration,
};

/// The sold rates of the accounts: a few large ones and several small ones.
pub const SOLD: [u32; 8] = [400, 300, 200, 100, 50, 50, 50, 50];
/// The part of each class in the demand, in the order of [`Class::ALL`].
const MIX: [f64; Class::ALL.len()] = [0.03, 0.04, 0.08, 0.70, 0.15];
/// When the surge starts.
pub const SURGE_START: Duration = Duration::from_secs(3);
/// When the surge ends.
pub const SURGE_END: Duration = Duration::from_secs(8);
/// When a case ends.
pub const END: Duration = Duration::from_secs(13);
/// The demand outside the surge, over the capacity.
pub const CALM_DEMAND: f64 = 0.7;

/// A pool of equal fake targets.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The number of targets.
    pub targets: usize,
    /// The slots that each target really has.
    pub slots: u32,
    /// The slots in the published tables.
    pub published: u32,
    /// The mean time of a call's own work.
    pub service: Duration,
    /// The busy slots above which all work becomes slower.
    pub knee: u32,
    /// Whether a target sheds what it has no slot for. Otherwise it queues without bound.
    pub is_shedding: bool,
}

/// What is offered during the surge.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The demand over the capacity.
    pub factor: f64,
    /// An account whose demand is multiplied, and by how much.
    pub greedy: Option<(usize, f64)>,
}

/// A pool whose targets become slow during the surge.
#[derive(Clone, Copy, Debug)]
pub struct Slow {
    /// The position of the pool in the chain.
    pub pool: usize,
    /// The factor on its service times.
    pub factor: f64,
}

/// One experiment.
#[derive(Clone, Debug)]
pub struct Case {
    /// The name in tables.
    pub name: &'static str,
    /// The chain of pools.
    pub pools: Vec<Pool>,
    /// How many pools of the chain the calls of each class go through.
    pub hops: [usize; Class::ALL.len()],
    /// What is offered during the surge.
    pub demand: Demand,
    /// A pool that becomes slow during the surge.
    pub slow: Option<Slow>,
    /// The part of the last pool's targets that restart cold at the start of the surge.
    pub cold_share: f64,
    /// The load that each target reports, or none for the true one.
    pub reported_load: Option<f64>,
    /// How long a client waits for one attempt.
    pub patience: Duration,
    /// How many attempts a client makes.
    pub attempts: u32,
    /// A client's mean wait between attempts. It does not heed Retry-After.
    pub backoff: Duration,
}

impl Case {
    /// Returns the time for which one call of a class holds a slot of a pool.
    pub fn held_s(&self, class: Class, pool: usize, slow: Option<Slow>) -> f64 {
        let own_s = |i: usize| {
            let factor = slow.filter(|slow| slow.pool == i).map_or(1.0, |slow| slow.factor);
            self.pools[i].service.as_secs_f64() * factor
        };
        (pool..self.hops[class.index()]).map(own_s).sum()
    }

    /// Returns the useful slots of a pool.
    pub fn slots(&self, pool: usize) -> f64 {
        let pool = &self.pools[pool];
        pool.targets as f64 * f64::from(pool.slots.min(pool.knee))
    }

    /// Returns the requests a second that the chain can serve when no pool is slow.
    pub fn capacity_per_s(&self) -> f64 {
        let held_s = |pool: usize| {
            let held = |class: &Class| MIX[class.index()] * self.held_s(*class, pool, None);
            Class::ALL.iter().map(held).sum::<f64>()
        };
        let rates = (0..self.pools.len()).map(|pool| self.slots(pool) / held_s(pool));
        rates.fold(f64::INFINITY, f64::min)
    }

    /// Returns the requests a second of one account and class at a demand over the capacity.
    pub fn rate_per_s(&self, account: usize, class: Class, factor: f64) -> f64 {
        let sold: u32 = SOLD.iter().sum();
        let share = f64::from(SOLD[account]) / f64::from(sold);
        self.capacity_per_s() * factor * share * MIX[class.index()]
    }

    /// Returns the requests a second of one account and class during the surge.
    pub fn surge_per_s(&self, account: usize, class: Class) -> f64 {
        let greedy = self.demand.greedy.filter(|(greedy, _)| *greedy == account);
        let factor = greedy.map_or(1.0, |(_, factor)| factor);
        self.rate_per_s(account, class, self.demand.factor) * factor
    }
}

/// How nodes decide.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Control {
    /// Every call is passed to a random target; each hop retries what failed.
    None,
    /// A target runs at most its published slots and refuses the rest; each hop retries.
    Static,
    /// The decisions of `monsoon_lib`.
    Full,
}

/// One way to decide, with the settings of its mechanisms.
#[derive(Clone, Debug)]
pub struct Variant {
    /// The name in tables.
    pub name: &'static str,
    /// How nodes decide.
    pub control: Control,
    /// Settings of admission.
    pub gate: admission::Settings,
    /// Settings of early refusal.
    pub board: pressure::Settings,
    /// Settings of balancing.
    pub picker: balance::Settings,
    /// Whether work for a request that was given up is cancelled.
    pub is_cancelling: bool,
    /// Whether a nested call counts as deeper than a root request.
    pub is_deeper_first: bool,
}

impl Variant {
    /// All mechanisms on, or one of the simple controls.
    pub fn new(name: &'static str, control: Control) -> Self {
        Self {
            name,
            control,
            gate: admission::Settings::default(),
            board: pressure::Settings::default(),
            picker: balance::Settings::default(),
            is_cancelling: control == Control::Full,
            is_deeper_first: true,
        }
    }

    fn without(name: &'static str, change: impl FnOnce(&mut Self)) -> Self {
        let mut variant = Self::new(name, Control::Full);
        change(&mut variant);
        variant
    }
}

/// Returns the simple controls, the full one, and the full one with each mechanism off.
pub fn variants() -> Vec<Variant> {
    vec![
        Variant::new("no control", Control::None),
        Variant::new("static limit", Control::Static),
        Variant::new("full", Control::Full),
        Variant::without("- adaptive limit", |v| v.gate.limit.is_adaptive = false),
        Variant::without("- probe", |v| v.gate.limit.probe_ratio = f64::MAX),
        Variant::without("- cold ramp", |v| v.gate.limit.cold_share = 1.0),
        Variant::without("- classes, accounts", |v| v.gate.is_fair = false),
        Variant::without("- account credit", |v| v.gate.credit_ms = 0),
        Variant::without("- standing queue", |v| v.gate.standing_wait_ms = v.gate.wait_ms),
        Variant::without("- newest first", |v| v.gate.is_newest_first = false),
        Variant::without("- early refusal", |v| v.board.is_early = false),
        Variant::without("- cancellation", |v| v.is_cancelling = false),
        Variant::without("- deeper first", |v| v.is_deeper_first = false),
        Variant::without("- two choices", |v| v.picker.choices = 1),
    ]
}

fn pool(targets: usize, slots: u32, service_ms: u64) -> Pool {
    let service = Duration::from_millis(service_ms);
    Pool { targets, slots, published: slots, knee: slots, service, is_shedding: false }
}

fn case(name: &'static str, factor: f64) -> Case {
    Case {
        name,
        pools: vec![pool(3, 60, 10), pool(3, 30, 20)],
        hops: [2; Class::ALL.len()],
        demand: Demand { factor, greedy: None },
        slow: None,
        cold_share: 0.0,
        reported_load: None,
        patience: Duration::from_millis(500),
        attempts: 3,
        backoff: Duration::from_millis(50),
    }
}

/// Returns all cases.
pub fn cases() -> Vec<Case> {
    let front = || pool(3, 60, 10);
    let back = || pool(3, 30, 20);
    let chain = vec![pool(3, 90, 5), pool(3, 90, 5), back()];
    let branches = vec![pool(3, 20, 10), pool(3, 5, 20)];
    let overstated = vec![front(), Pool { published: 60, ..back() }];
    let understated = vec![front(), Pool { published: 15, ..back() }];
    let shedding = vec![front(), Pool { published: 60, is_shedding: true, ..back() }];
    let thrashing = vec![front(), Pool { slots: 90, published: 90, knee: 30, ..back() }];
    let greedy = Demand { factor: CALM_DEMAND, greedy: Some((2, 10.0)) };
    let slow = Some(Slow { pool: 1, factor: 5.0 });
    let hops = [2, 2, 2, 1, 1];
    vec![
        case("2x demand", 2.0),
        case("5x demand", 5.0),
        Case { pools: chain, hops: [3; 5], ..case("5x, three pools", 5.0) },
        Case { pools: branches.clone(), hops, ..case("5x, branches", 5.0) },
        Case { pools: branches, hops, slow, attempts: 6, ..case("slow branch", CALM_DEMAND) },
        Case { slow, attempts: 6, ..case("slow deep pool", CALM_DEMAND) },
        Case { demand: greedy, ..case("greedy account", CALM_DEMAND) },
        Case { pools: overstated, ..case("slots overstated", 5.0) },
        Case { pools: understated, ..case("slots understated", CALM_DEMAND) },
        Case { pools: shedding, ..case("shedding target", 5.0) },
        Case { pools: thrashing, ..case("thrashing target", 5.0) },
        Case { reported_load: Some(0.0), ..case("load reported as 0", 5.0) },
        Case { reported_load: Some(1.0), ..case("load reported as 1", CALM_DEMAND) },
        Case { cold_share: 1.0 / 3.0, ..case("cold third, 0.9x", 0.9) },
        Case { cold_share: 1.0 / 3.0, ..case("cold third, 5x", 5.0) },
    ]
}
