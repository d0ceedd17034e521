//! Tests of admission at the entry under load, in virtual time: what callers get while a pool below
//! their route is scarce.

use {
    monsoon_lib::{
        id,
        mesh::{
            demand::{Arrival, Limits, Meter, Origin},
            resend::{Need, ResendBudget},
            scarcity::{Class, Path, PoolLoad, Tracker},
        },
        pressure::Share,
        time::Instant,
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

const STEP_MS: u64 = 5;
/// The pool `signbook`: its targets, the slots of each and the time of a call.
const TARGETS: usize = 3;
const SLOTS: usize = 245;
const CALL_MS: u64 = 55;
const CAPACITY: f64 = (TARGETS * SLOTS) as f64;
/// The calls of a chain run one after another.
const CHAIN: usize = 4;
const ENTRIES: usize = 30;
const RELAYS: usize = 10;
const FILING: Class = Class { account: 0, route: 0 };
const VIEW: Class = Class { account: 0, route: 2 };
/// The resends allowed per thousand first sends, and the window.
const PERMILLE: u32 = 140;
const WINDOW: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn route(name: &str) -> id::Route {
    name.parse().expect("a name")
}

fn pool(name: &str) -> id::Pool {
    name.parse().expect("a name")
}

/// A request whose chains call the pool.
struct Request {
    class: Class,
    admitted: Share,
    hash: f64,
    entry: usize,
    relay: usize,
    open_chains: usize,
    has_failed: bool,
}

struct Call {
    request: usize,
    /// The number of calls of the chain that follow.
    left: usize,
    is_resend: bool,
    arrived: u64,
}

struct Target {
    meter: Meter,
    running: VecDeque<(u64, Call)>,
    /// Waiting calls by class.
    waiting: BTreeMap<Class, VecDeque<Call>>,
    is_dead: bool,
}

/// The conditions of one play.
struct Play {
    /// Requests per second by class at a time in milliseconds.
    rates: fn(u64) -> [(Class, f64); 2],
    duration_ms: u64,
    /// The delay of reports to entries.
    delay_ms: u64,
    /// The fraction of calls that targets decline.
    declined: f64,
    /// When they begin to decline calls.
    decline_ms: u64,
    /// When the last target dies.
    death_ms: u64,
    is_enabled: bool,
}

const CALM: Play = Play {
    rates: |_| [(FILING, 346.0), (VIEW, 874.0)],
    duration_ms: 8_000,
    delay_ms: 20,
    declined: 0.55,
    decline_ms: u64::MAX,
    death_ms: u64::MAX,
    is_enabled: true,
};

/// The counts of half a second.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    offered: [u32; 2],
    admitted: [u32; 2],
    wasted: [u32; 2],
    /// The mean number of slots in use, as a fraction of all.
    used: f64,
}

fn chains(class: Class) -> usize {
    if class == FILING { 1 } else { 2 }
}

/// Returns the slot-seconds per second that the admitted requests of some slices ask for, as a
/// fraction of the capacity.
fn admitted_demand(slices: &[Slice]) -> f64 {
    let calls = |slice: &Slice| (slice.admitted[0] + 2 * slice.admitted[1]) as usize * CHAIN;
    let calls: usize = slices.iter().map(calls).sum();
    calls as f64 * CALL_MS as f64 / 1_000.0 / (slices.len() as f64 * 0.5) / CAPACITY
}

fn fraction(slices: &[Slice], part: impl Fn(&Slice) -> u32, of: impl Fn(&Slice) -> u32) -> f64 {
    f64::from(slices.iter().map(part).sum::<u32>()) / f64::from(slices.iter().map(of).sum::<u32>())
}

/// Plays a load and returns what happened in each half second.
fn play(play: &Play) -> Vec<Slice> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (run_route, call_route) = (route("views"), route("signatures"));
    let (middle, signbook) = (pool("tally-house"), pool("signbook"));
    let run_path = Path { route: &run_route, pool: &middle };
    let call_path = Path { route: &call_route, pool: &signbook };
    let mut entries: Vec<Tracker> = (0..ENTRIES).map(|_| Tracker::default()).collect();
    let mut relays: Vec<Tracker> = (0..RELAYS).map(|_| Tracker::default()).collect();
    let mut targets: Vec<Target> = (0..TARGETS)
        .map(|_| Target {
            meter: Meter::default(),
            running: VecDeque::new(),
            waiting: BTreeMap::new(),
            is_dead: false,
        })
        .collect();
    let mut budget = ResendBudget::new(at(0), PERMILLE, WINDOW);
    let limits = Limits { concurrency: SLOTS, rate: None, waiting: 0 };
    let mut requests: Vec<Request> = Vec::new();
    let mut reports: VecDeque<(u64, usize, Vec<PoolLoad>)> = VecDeque::new();
    let mut slices: Vec<Slice> = vec![Slice::default(); (play.duration_ms / 500) as usize];
    let mut due = [0.0; 2];
    for ms in (0..play.duration_ms).step_by(STEP_MS as usize) {
        let now = at(ms);
        let slice = (ms / 500) as usize;
        while reports.front().is_some_and(|(arrival, ..)| *arrival <= ms) {
            let (_, entry, loads) = reports.pop_front().expect("there is one");
            entries[entry].record_response(now, run_path, &loads, true);
        }
        // New calls of this step, then the calls that follow from ended ones.
        let mut calls: Vec<Call> = Vec::new();
        for (index, (class, rate)) in (play.rates)(ms).into_iter().enumerate() {
            due[index] += rate * STEP_MS as f64 / 1_000.0;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                slices[slice].offered[index] += 1;
                let (entry, hash) = (random.random_range(0..ENTRIES), random.random::<f64>());
                let admitted = match play.is_enabled {
                    true => entries[entry].admit(now, run_path, class, hash),
                    false => Ok(Share::ALL),
                };
                let Ok(admitted) = admitted else { continue };
                slices[slice].admitted[index] += 1;
                let relay = random.random_range(0..RELAYS);
                let open_chains = chains(class);
                let request = requests.len();
                let (left, is_resend, arrived) = (CHAIN - 1, false, ms);
                let first = |_| Call { request, left, is_resend, arrived };
                calls.extend((0..open_chains).map(first));
                let has_failed = false;
                requests.push(Request {
                    class,
                    admitted,
                    hash,
                    entry,
                    relay,
                    open_chains,
                    has_failed,
                });
            }
        }
        let mut ended: Vec<(usize, Call, bool)> = Vec::new();
        for (index, target) in targets.iter_mut().enumerate() {
            target.is_dead = index + 1 == TARGETS && ms >= play.death_ms;
            while target.running.front().is_some_and(|(end, _)| *end <= ms) {
                let (_, call) = target.running.pop_front().expect("there is one");
                let origin = requests[call.request].origin(false);
                let hold = Duration::from_millis(CALL_MS);
                target.meter.record_end(now, &origin, hold);
                ended.push((index, call, true));
            }
            target.start_waiting(ms);
        }
        for (index, call, has_run) in std::mem::take(&mut ended) {
            let request = &mut requests[call.request];
            let waiting = targets[index].waiting.values().map(VecDeque::len).sum();
            let limits = Limits { waiting, ..limits };
            let load = targets[index].meter.load(now, limits).clone();
            let loads: Vec<PoolLoad> = match load.is_under_pressure() {
                true => vec![PoolLoad { pool: signbook.clone(), load }],
                false => Vec::new(),
            };
            let relay = &mut relays[request.relay];
            relay.record_call(now, &run_route, &call_route);
            relay.record_response(now, call_path, &loads, has_run);
            if call.left > 0 && !request.has_failed {
                let (left, arrived) = (call.left - 1, ms);
                calls.push(Call { left, is_resend: false, arrived, ..call });
            } else {
                request.open_chains -= 1;
                if request.open_chains == 0 {
                    let loads = relay.loads_below(now, &run_route);
                    reports.push_back((ms + play.delay_ms, request.entry, loads));
                }
            }
        }
        while let Some(call) = calls.pop() {
            let request = &mut requests[call.request];
            let index = random.random_range(0..TARGETS - usize::from(ms >= play.death_ms));
            let target = &mut targets[index];
            let origin = request.origin(call.is_resend);
            let is_free =
                target.running.len() < SLOTS && target.waiting.values().all(VecDeque::is_empty);
            let arrival = if is_free { Arrival::Started } else { Arrival::Queued };
            target.meter.record_arrival(now, &origin, arrival);
            if !call.is_resend {
                budget.record_first_send(now, false);
            }
            let is_declined = ms >= play.decline_ms && random.random_bool(play.declined);
            if is_free && is_declined {
                target.meter.record_decline(now);
                let Request { class, hash: hash_fraction, .. } = *request;
                let need = Need { class, is_direct: false, hash_fraction, share: 1.0 };
                match budget.try_acquire(now, need).is_ok() {
                    true => calls.push(Call { is_resend: true, ..call }),
                    false => {
                        request.fail(&mut slices[slice]);
                        request.open_chains -= 1;
                    }
                }
            } else if is_free {
                target.running.push_back((ms + CALL_MS, call));
            } else {
                target.waiting.entry(request.class).or_default().push_back(call);
            }
        }
        for target in &mut targets {
            target.start_waiting(ms);
            // A call that has waited for too long is refused.
            for queue in target.waiting.values_mut() {
                while queue.front().is_some_and(|call| ms - call.arrived > 600) {
                    let call = queue.pop_front().expect("there is one");
                    let request = &mut requests[call.request];
                    request.fail(&mut slices[slice]);
                    request.open_chains -= 1;
                }
            }
            slices[slice].used += target.running.len() as f64 / CAPACITY / (500 / STEP_MS) as f64;
        }
    }
    slices
}

impl Target {
    fn start_waiting(&mut self, ms: u64) {
        while self.running.len() < SLOTS
            && let Some(call) = self.waiting.values_mut().find_map(VecDeque::pop_front)
        {
            self.running.push_back((ms + CALL_MS, call));
        }
    }
}

impl Request {
    fn origin(&self, is_resend: bool) -> Origin {
        Origin { class: self.class, admitted: self.admitted, is_resend }
    }

    fn fail(&mut self, slice: &mut Slice) {
        if !std::mem::replace(&mut self.has_failed, true) {
            slice.wasted[usize::from(self.class == VIEW)] += 1;
        }
    }
}

const ALL: fn(&Slice) -> u32 = |slice| slice.offered[0] + slice.offered[1];
const WASTED: fn(&Slice) -> u32 = |slice| slice.wasted[0] + slice.wasted[1];

/// Under lasting overload, the urgent class was refused and most of the other runs were wasted.
#[test]
fn lasting_overload() {
    let rates = |_| [(FILING, 346.0 * 3.1), (VIEW, 874.0 * 3.1)];
    let slices = play(&Play { rates, ..CALM });
    assert_eq!(fraction(&slices, |s| s.admitted[0], |s| s.offered[0]), 1.0, "filings admitted");
    assert_eq!(fraction(&slices, WASTED, ALL), 0.0, "fraction of runs wasted");
    let demand = admitted_demand(&slices[12..]);
    assert!((0.88..0.98).contains(&demand), "{demand} of the capacity is admitted");
    let without = play(&Play { rates, is_enabled: false, ..CALM });
    assert!(fraction(&without[4..], WASTED, ALL) > 0.2, "the load wastes no runs without it");
}

/// A burst met shares that followed too late, and refusals outlasted it.
#[test]
fn sudden_burst() {
    let rates = |ms| {
        let factor = if (3_000..6_000).contains(&ms) { 3.6 } else { 1.0 };
        [(FILING, 346.0 * factor), (VIEW, 874.0 * factor)]
    };
    let slices = play(&Play { rates, duration_ms: 10_000, ..CALM });
    assert_eq!(fraction(&slices[..6], ALL, |s| s.admitted[0] + s.admitted[1]), 1.0, "before");
    assert_eq!(fraction(&slices, |s| s.admitted[0], |s| s.offered[0]), 1.0, "filings admitted");
    let demand = admitted_demand(&slices[8..9]);
    assert!(demand < 1.05, "{demand} of the capacity is admitted a second after the start");
    let used = slices[8..12].iter().map(|slice| slice.used).sum::<f64>() / 4.0;
    assert!(used > 0.95, "{used} of the slots are used during the burst");
    let admitted = fraction(&slices[16..], |s| s.admitted[1], |s| s.offered[1]);
    assert!(admitted > 0.97, "{admitted} of the views are admitted two seconds after the end");
    assert!(fraction(&slices, WASTED, ALL) < 0.01, "runs are wasted");
}

/// Reports that arrive 600 ms late made shares swing between extremes.
#[test]
fn late_reports() {
    let rates = |_| [(FILING, 346.0 * 3.1), (VIEW, 874.0 * 3.1)];
    let slices = play(&Play { rates, delay_ms: 600, duration_ms: 12_000, ..CALM });
    assert_eq!(fraction(&slices, |s| s.admitted[0], |s| s.offered[0]), 1.0, "filings admitted");
    assert_eq!(fraction(&slices[6..], WASTED, ALL), 0.0, "fraction of runs wasted");
    for slice in &slices[14..] {
        let demand = admitted_demand(std::slice::from_ref(slice));
        assert!((0.85..1.05).contains(&demand), "{demand} of the capacity is admitted");
    }
}

/// A third of the capacity is lost at once, and with it the reports of that target.
#[test]
fn dead_target() {
    let rates = |_| [(FILING, 346.0 * 1.4), (VIEW, 874.0 * 1.4)];
    let slices = play(&Play { rates, death_ms: 4_000, duration_ms: 10_000, ..CALM });
    assert_eq!(fraction(&slices[..8], ALL, |s| s.admitted[0] + s.admitted[1]), 1.0, "before");
    assert_eq!(fraction(&slices, |s| s.admitted[0], |s| s.offered[0]), 1.0, "filings admitted");
    assert_eq!(fraction(&slices, WASTED, ALL), 0.0, "fraction of runs wasted");
    let demand = admitted_demand(&slices[16..]);
    assert!((0.5..0.67).contains(&demand), "{demand} of the capacity is admitted, 0.67 is left");
}

/// Waves of 17 s: requests were refused in the troughs.
#[test]
fn waves() {
    let rates = |ms| {
        let phase = ms as f64 / 17_000.0 * std::f64::consts::TAU;
        let factor = 1.6 * (1.0 + 0.55 * phase.sin());
        [(FILING, 346.0 * factor), (VIEW, 874.0 * factor)]
    };
    let slices = play(&Play { rates, duration_ms: 17_000, ..CALM });
    let trough = fraction(&slices[20..34], |s| s.admitted[1], |s| s.offered[1]);
    assert!(trough > 0.99, "{trough} of the views are admitted in the trough");
    assert_eq!(fraction(&slices, |s| s.admitted[0], |s| s.offered[0]), 1.0, "filings admitted");
    assert_eq!(fraction(&slices, WASTED, ALL), 0.0, "fraction of runs wasted");
}

/// Requests were refused while targets that decline 55 % of the calls had free slots. The resend
/// budget follows the first sends, so that refusing a part of the requests left the others without
/// resends. The budget covers 0.69 of the resends that filings need.
#[test]
fn declining_pool() {
    let slices = play(&Play { decline_ms: 10_000, duration_ms: 14_000, ..CALM });
    let admitted =
        |class: usize| fraction(&slices[22..], |s| s.admitted[class], |s| s.offered[class]);
    assert_eq!((admitted(0), admitted(1)), (1.0, 1.0), "filings and views admitted");
    let wasted = |class: usize| fraction(&slices[22..], |s| s.wasted[class], |s| s.offered[class]);
    assert!(wasted(0) < 0.5, "{} of the filings fail", wasted(0));
}
