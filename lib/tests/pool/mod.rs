//! A pool of targets with their gates, and the senders of calls to it, in virtual time.

use {
    monsoon_lib::{
        admission::CallResult,
        balance::{Picker, Settings, TargetInfo},
        id,
        mesh::{
            announcement::{Limit, Load},
            gate::{AdmissionRequest, Decision, Gate, Rank, Release},
        },
        time::Instant,
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        time::Duration,
    },
};

const LATENCY_S: f64 = 0.055;
const NETWORK: Duration = Duration::from_millis(2);
const SECONDS: u64 = 20;

/// The load of a pool and the behaviour of its targets.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    pub targets: usize,
    pub slots: u32,
    /// The offered calls as a fraction of what the targets can do unless they slow down.
    pub load: f64,
    /// The header that a target sends at a pace in percent.
    pub header: fn(usize, u32) -> String,
    /// Whether senders use the reported latencies.
    pub reported_latency: bool,
    /// How long work takes at a target at a time, as a multiple of the usual time.
    pub pace: fn(usize, Instant) -> f64,
    /// How much longer a call takes by the used fraction of the slots at its start.
    pub slowdown: fn(f64) -> f64,
}

/// What callers got.
#[derive(Debug)]
pub struct Outcome {
    pub mean_ms: f64,
    pub p99_ms: f64,
    /// The answered calls as a fraction of what the targets can do unless they slow down.
    pub throughput: f64,
    pub refused: usize,
    /// The fraction of calls that ended while the limit of their gate was below the slots.
    pub reduced: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Finish(u64),
    Response(u64),
}

struct Call {
    sender: usize,
    target: usize,
    arrived: Instant,
    started: Instant,
}

impl Pool {
    /// Plays 20 s of Poisson arrivals from as many senders as there are targets.
    pub fn play(&self) -> Outcome {
        let mut random = ChaCha8Rng::seed_from_u64(3);
        let za: id::DataCentre = "za".parse().expect("a name");
        let vm = |target: usize| -> id::Vm { format!("t{target}").parse().expect("a name") };
        let info = |target: usize| TargetInfo {
            vm: vm(target),
            data_centre: za.clone(),
            slots: self.slots,
            is_leaving: false,
        };
        let targets: Vec<TargetInfo> = (0..self.targets).map(info).collect();
        let settings = Settings { reported_latency: self.reported_latency, ..Settings::default() };
        let sender = |seed: usize| Picker::new(settings.clone(), za.clone(), seed as u64);
        let mut senders: Vec<Picker> = (0..self.targets).map(sender).collect();
        senders.iter_mut().for_each(|sender| sender.set_targets(Instant::ZERO, &targets));
        let mut gates: Vec<Gate> = targets.iter().map(|_| Gate::new(self.slots)).collect();
        gates.iter_mut().for_each(|gate| _ = gate.record_limit(Instant::ZERO, Limit::None));
        let capacity = self.capacity();
        let end = Instant::from_millis(SECONDS * 1_000);
        let mut calls: HashMap<u64, Call> = HashMap::new();
        let mut events = BinaryHeap::from([Reverse((Instant::ZERO, Event::Arrival))]);
        let (mut times_ms, mut number, mut refused, mut reduced) = (Vec::new(), 0, 0, 0_u32);
        while let Some(Reverse((now, event))) = events.pop() {
            let mut releases = Vec::new();
            match event {
                Event::Arrival if now >= end => {}
                Event::Arrival => {
                    let wait = -(1.0 - random.random::<f64>()).ln() / (capacity * self.load);
                    events.push(Reverse((now + Duration::from_secs_f64(wait), event)));
                    let sender = random.random_range(0..senders.len());
                    let vm = senders[sender].pick(now, &[]).expect("there is a target");
                    senders[sender].call_started(&vm);
                    let target = vm.as_str()[1..].parse().expect("a number");
                    number += 1;
                    calls.insert(number, Call { sender, target, arrived: now, started: now });
                    let request = AdmissionRequest {
                        rank: Rank { account: 0, route: 0, is_first_attempt: true, hash_bucket: 0 },
                        objective: Duration::from_millis(1_500),
                        deadline: now + Duration::from_secs(5),
                    };
                    match gates[target].offer(now, id::Call(number), &request) {
                        Decision::Run => releases.push(Release::Run(id::Call(number))),
                        Decision::Queued(_) => {}
                        Decision::Refused(wait) => {
                            releases.push(Release::Refuse(id::Call(number), wait));
                        }
                    }
                }
                Event::Finish(number) => {
                    let Call { target, started, .. } = calls[&number];
                    let gate = &mut gates[target];
                    let percent = ((self.pace)(target, now) * 100.0) as u32;
                    let header = (self.header)(target, percent);
                    if let Some(pace) = header.parse().ok().and_then(|load: Load| load.pace) {
                        gate.record_pace(now, pace);
                    }
                    releases = gate.finish(now, id::Call(number), Some(now - started));
                    reduced += u32::from(gate.concurrency_limit() < self.slots as usize);
                    events.push(Reverse((now + NETWORK, Event::Response(number))));
                }
                Event::Response(number) => {
                    let Call { sender, target, arrived, .. } = calls[&number];
                    let (picker, vm) = (&mut senders[sender], vm(target));
                    picker.record_report(now, &vm, &gates[target].report(now));
                    picker.call_finished(now, &vm, CallResult::Ok, Some(now - arrived));
                    times_ms.push((now - arrived).as_secs_f64() * 1e3);
                }
            }
            for release in releases {
                let (Release::Run(id::Call(number)) | Release::Refuse(id::Call(number), _)) =
                    release;
                let call = calls.get_mut(&number).expect("a call");
                if matches!(release, Release::Refuse(..)) {
                    refused += 1;
                    let (picker, vm) = (&mut senders[call.sender], vm(call.target));
                    picker.call_finished(now, &vm, CallResult::Shed, None);
                    continue;
                }
                call.started = now;
                let used = gates[call.target].in_flight() as f64 / f64::from(self.slots);
                let varied = 0.75 + random.random::<f64>() / 2.0;
                let factor = (self.slowdown)(used) * (self.pace)(call.target, now);
                let duration = Duration::from_secs_f64(LATENCY_S * factor * varied);
                events.push(Reverse((now + duration, Event::Finish(number))));
            }
        }
        times_ms.sort_by(f64::total_cmp);
        let answered = times_ms.len() as f64;
        Outcome {
            mean_ms: times_ms.iter().sum::<f64>() / answered,
            p99_ms: times_ms[times_ms.len() * 99 / 100],
            throughput: answered / SECONDS as f64 / capacity,
            refused,
            reduced: f64::from(reduced) / answered,
        }
    }

    /// Returns the calls per second that all targets can do on average, unless they slow down.
    fn capacity(&self) -> f64 {
        let times = (0..SECONDS * 10).map(|i| Instant::from_millis(i * 100));
        let speeds = |at| (0..self.targets).map(move |target| 1.0 / (self.pace)(target, at));
        let speed: f64 = times.flat_map(speeds).sum();
        speed / (SECONDS * 10) as f64 * f64::from(self.slots) / LATENCY_S
    }
}
