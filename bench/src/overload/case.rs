//! The simulated cases and the variants of overload control.

use {
    monsoon_lib::{admission, balance, pressure, table::Class},
    std::time::Duration,
};

/// The purchased rates of the client accounts: a few large ones and several small ones.
pub const SOLD_RATES: [u32; 8] = [400, 300, 200, 100, 50, 50, 50, 50];
/// The share of each class in the demand, in the order of [`Class::ALL`].
const CLASS_SHARES: [f64; Class::ALL.len()] = [0.03, 0.04, 0.08, 0.70, 0.15];
/// When the surge starts.
pub const SURGE_START: Duration = Duration::from_secs(3);
/// When the surge ends.
pub const SURGE_END: Duration = Duration::from_secs(8);
/// When the simulation of a case ends.
pub const END: Duration = Duration::from_secs(13);
/// The demand outside the surge, as a multiple of the capacity.
pub const BASE_DEMAND: f64 = 0.7;

/// A pool of identical fake targets.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The number of targets.
    pub targets: usize,
    /// The actual number of slots of each target.
    pub slots: u32,
    /// The number of slots of each target in the published tables.
    pub published_slots: u32,
    /// The mean service time of a call, without its nested calls.
    pub service: Duration,
    /// The number of busy slots above which service times rise.
    pub knee: u32,
    /// Whether a target sheds calls that find no free slot. Otherwise it queues them without bound.
    pub is_shedding: bool,
}

/// The demand during the surge.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The demand, as a multiple of the capacity.
    pub factor: f64,
    /// The position of a client account with a higher demand, and the factor on its demand.
    pub greedy: Option<(usize, f64)>,
}

/// A slowdown of a pool's targets during the surge.
#[derive(Clone, Copy, Debug)]
pub struct Slow {
    /// The position of the pool in the chain.
    pub pool: usize,
    /// The factor on the pool's service times.
    pub factor: f64,
}

/// One simulated scenario.
#[derive(Clone, Debug)]
pub struct Case {
    /// The name shown in tables.
    pub name: &'static str,
    /// The pools, in the order of the call chain.
    pub pools: Vec<Pool>,
    /// The number of pools in the call chain of each class.
    pub hops: [usize; Class::ALL.len()],
    /// The demand during the surge.
    pub demand: Demand,
    /// A slowdown of one pool during the surge.
    pub slow: Option<Slow>,
    /// The share of the last pool's targets that restart cold at the start of the surge.
    pub cold_share: f64,
    /// The load that each target reports, or `None` for a load of 1.
    pub reported_load: Option<f64>,
    /// How long a client waits for the answer to one attempt.
    pub client_timeout: Duration,
    /// The maximum number of attempts that a client makes for one request.
    pub max_attempts: u32,
    /// The mean delay between a client's attempts. Clients ignore Retry-After.
    pub backoff: Duration,
}

impl Case {
    /// Returns the mean time for which one call of a class holds a slot of a pool, in seconds. A
    /// call holds its slot while its nested calls run.
    pub fn slot_time_s(&self, class: Class, pool: usize, slow: Option<Slow>) -> f64 {
        let service_s = |i: usize| {
            let factor = slow.filter(|slow| slow.pool == i).map_or(1.0, |slow| slow.factor);
            self.pools[i].service.as_secs_f64() * factor
        };
        (pool..self.hops[class.index()]).map(service_s).sum()
    }

    /// Returns the total number of slots of a pool that can be busy without slowing it down.
    pub fn useful_slots(&self, pool: usize) -> f64 {
        let pool = &self.pools[pool];
        pool.targets as f64 * f64::from(pool.slots.min(pool.knee))
    }

    /// Returns the requests per second that the chain can serve when no pool is slowed down.
    pub fn capacity_per_s(&self) -> f64 {
        let slot_time_s = |pool: usize| {
            let class_time_s =
                |class: &Class| CLASS_SHARES[class.index()] * self.slot_time_s(*class, pool, None);
            Class::ALL.iter().map(class_time_s).sum::<f64>()
        };
        let rates = (0..self.pools.len()).map(|pool| self.useful_slots(pool) / slot_time_s(pool));
        rates.fold(f64::INFINITY, f64::min)
    }

    /// Returns the requests per second of one account and class, at a demand given as a multiple of
    /// the capacity.
    pub fn rate_per_s(&self, account: usize, class: Class, factor: f64) -> f64 {
        let total: u32 = SOLD_RATES.iter().sum();
        let share = f64::from(SOLD_RATES[account]) / f64::from(total);
        self.capacity_per_s() * factor * share * CLASS_SHARES[class.index()]
    }

    /// Returns the requests per second of one account and class during the surge.
    pub fn surge_per_s(&self, account: usize, class: Class) -> f64 {
        let greedy = self.demand.greedy.filter(|(greedy, _)| *greedy == account);
        let factor = greedy.map_or(1.0, |(_, factor)| factor);
        self.rate_per_s(account, class, self.demand.factor) * factor
    }
}

/// The kind of overload control.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Control {
    /// Every call is sent to a random target. Each hop retries failed calls.
    None,
    /// A random target is chosen, and its node admits at most as many calls as the target has
    /// published slots and refuses the others. Each hop retries.
    Static,
    /// The overload control of `monsoon_lib`.
    Full,
}

/// An overload control, with the settings of its mechanisms.
#[derive(Clone, Debug)]
pub struct Variant {
    /// The name shown in tables.
    pub name: &'static str,
    /// The kind of overload control.
    pub control: Control,
    /// Settings of admission control.
    pub admission: admission::Settings,
    /// Settings of early refusal by backpressure.
    pub pressure: pressure::Settings,
    /// Settings of load balancing.
    pub balance: balance::Settings,
    /// Whether the calls of a request are cancelled when its client times out.
    pub is_cancelling: bool,
    /// Whether nested calls are admitted before root requests.
    pub is_deeper_first: bool,
}

impl Variant {
    /// Returns a variant with default settings. With [`Control::Full`] all mechanisms are on.
    pub fn new(name: &'static str, control: Control) -> Self {
        Self {
            name,
            control,
            admission: admission::Settings::default(),
            pressure: pressure::Settings::default(),
            balance: balance::Settings::default(),
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

/// Returns the simple controls, the full control, and the full control with each mechanism disabled
/// in turn.
pub fn variants() -> Vec<Variant> {
    vec![
        Variant::new("no control", Control::None),
        Variant::new("static limit", Control::Static),
        Variant::new("full", Control::Full),
        Variant::without("- adaptive limit", |v| v.admission.limit.is_adaptive = false),
        Variant::without("- probe", |v| v.admission.limit.probe_ratio = f64::MAX),
        Variant::without("- cold ramp", |v| v.admission.limit.cold_share = 1.0),
        Variant::without("- classes, accounts", |v| v.admission.is_fair = false),
        Variant::without("- account credit", |v| v.admission.credit_ms = 0),
        Variant::without("- standing queue", |v| {
            v.admission.standing_wait_ms = v.admission.wait_ms;
        }),
        Variant::without("- newest first", |v| v.admission.is_newest_first = false),
        Variant::without("- early refusal", |v| v.pressure.is_early = false),
        Variant::without("- cancellation", |v| v.is_cancelling = false),
        Variant::without("- deeper first", |v| v.is_deeper_first = false),
        Variant::without("- two choices", |v| v.balance.choices = 1),
    ]
}

fn pool(targets: usize, slots: u32, service_ms: u64) -> Pool {
    let service = Duration::from_millis(service_ms);
    Pool { targets, slots, published_slots: slots, knee: slots, service, is_shedding: false }
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
        client_timeout: Duration::from_millis(500),
        max_attempts: 3,
        backoff: Duration::from_millis(50),
    }
}

/// Returns all cases.
pub fn cases() -> Vec<Case> {
    let front = || pool(3, 60, 10);
    let back = || pool(3, 30, 20);
    let chain = vec![pool(3, 90, 5), pool(3, 90, 5), back()];
    let branches = vec![pool(3, 20, 10), pool(3, 5, 20)];
    let overstated = vec![front(), Pool { published_slots: 60, ..back() }];
    let understated = vec![front(), Pool { published_slots: 15, ..back() }];
    let shedding = vec![front(), Pool { published_slots: 60, is_shedding: true, ..back() }];
    let thrashing = vec![front(), Pool { slots: 90, published_slots: 90, knee: 30, ..back() }];
    let greedy = Demand { factor: BASE_DEMAND, greedy: Some((2, 10.0)) };
    let slow = Some(Slow { pool: 1, factor: 5.0 });
    let hops = [2, 2, 2, 1, 1];
    vec![
        case("2x demand", 2.0),
        case("5x demand", 5.0),
        Case { pools: chain, hops: [3; 5], ..case("5x, three pools", 5.0) },
        Case { pools: branches.clone(), hops, ..case("5x, branches", 5.0) },
        Case { pools: branches, hops, slow, max_attempts: 6, ..case("slow branch", BASE_DEMAND) },
        Case { slow, max_attempts: 6, ..case("slow deep pool", BASE_DEMAND) },
        Case { demand: greedy, ..case("greedy account", BASE_DEMAND) },
        Case { pools: overstated, ..case("slots overstated", 5.0) },
        Case { pools: understated, ..case("slots understated", BASE_DEMAND) },
        Case { pools: shedding, ..case("shedding target", 5.0) },
        Case { pools: thrashing, ..case("thrashing target", 5.0) },
        Case { reported_load: Some(0.0), ..case("load reported as 0", 5.0) },
        Case { reported_load: Some(1.0), ..case("load reported as 1", BASE_DEMAND) },
        Case { cold_share: 1.0 / 3.0, ..case("cold third, 0.9x", 0.9) },
        Case { cold_share: 1.0 / 3.0, ..case("cold third, 5x", 5.0) },
    ]
}
