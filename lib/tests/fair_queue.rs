//! Classes are served in order and accounts by their sold rates.

use {
    monsoon_lib::{
        admission::{CallResult, Completion, Controller, Decision, Release, Request, Settings},
        call::Outcome,
        id,
        table::Class,
        time::Instant,
    },
    std::{collections::BTreeMap, time::Duration},
};

const FAR: Instant = Instant::from_millis(1_000_000);

/// A gate, the calls by number, and what became of them.
struct Bench {
    gate: Controller,
    now: Instant,
    next: u64,
    running: Vec<id::Call>,
    names: BTreeMap<id::Call, &'static str>,
    served: Vec<&'static str>,
    refused: Vec<&'static str>,
}

impl Bench {
    fn new(slots: u32) -> Self {
        Self {
            gate: Controller::new(Settings::default(), slots, false, Instant::ZERO),
            now: Instant::ZERO,
            next: 0,
            running: Vec::new(),
            names: BTreeMap::new(),
            served: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn offer(&mut self, name: &'static str, weight: u32, class: Class, depth: u8) {
        let account = Some(name.split(' ').next().unwrap().parse().expect("a good name"));
        let call = id::Call(self.next);
        self.next += 1;
        self.names.insert(call, name);
        let ask = Request { account, weight, class, deadline: FAR, depth };
        let offered = self.gate.offer(self.now, call, &ask);
        match offered.decision {
            Decision::Run => self.run(call),
            Decision::Queued => {}
            Decision::Refused(_) => self.refused.push(name),
        }
        self.take(offered.releases);
    }

    fn run(&mut self, call: id::Call) {
        self.running.push(call);
        self.served.push(self.names[&call]);
    }

    fn take(&mut self, releases: Vec<Release>) {
        for release in releases {
            match release {
                Release::Run(call) => self.run(call),
                Release::Refuse(call, refusal) => {
                    assert_eq!(refusal.outcome, Outcome::NotRun);
                    self.refused.push(self.names[&call]);
                }
            }
        }
    }

    /// Ends the call that has run longest, after `millis`.
    fn finish(&mut self, millis: u64) {
        let latency = Duration::from_millis(millis);
        self.now += latency;
        let call = self.running.remove(0);
        let releases =
            self.gate.complete(self.now, call, Completion { latency, kind: CallResult::Ok });
        self.take(releases);
    }

    fn count(&self, name: &str) -> usize {
        self.served.iter().filter(|served| **served == name).count()
    }
}

#[test]
fn class_order() {
    let mut bench = Bench::new(2);
    for (name, class) in [
        ("first", Class::Browse),
        ("second", Class::Browse),
        ("notice", Class::Notice),
        ("browse", Class::Browse),
        ("booking", Class::Booking),
        ("payment", Class::Payment),
        ("claim", Class::Claim),
    ] {
        bench.offer(name, 1, class, 0);
    }
    for _ in 0..5 {
        bench.finish(1);
    }
    let order = ["first", "second", "payment", "claim", "booking", "browse", "notice"];
    assert_eq!(bench.served, order);
}

#[test]
fn push_out() {
    let mut bench = Bench::new(2);
    for _ in 0..200 {
        bench.offer("browse", 1, Class::Browse, 0);
        bench.offer("booking", 1, Class::Booking, 0);
    }
    let lost = |name: &str| bench.refused.iter().filter(|refused| **refused == name).count();
    assert_eq!(lost("booking"), 0);
    assert_eq!(lost("browse"), 0, "the queue has room for all");
    for _ in 0..2000 {
        bench.offer("booking", 1, Class::Booking, 0);
    }
    let lost = |name: &str| bench.refused.iter().filter(|refused| **refused == name).count();
    assert_eq!(lost("browse"), 199, "all that waited are pushed out");
}

#[test]
fn sold_shares() {
    let mut bench = Bench::new(4);
    for _ in 0..500 {
        for _ in 0..10 {
            bench.offer("large", 300, Class::Browse, 0);
            bench.offer("small", 100, Class::Browse, 0);
        }
        bench.finish(1);
    }
    let (large, small) = (bench.count("large") as f64, bench.count("small") as f64);
    assert!((large / small - 3.0).abs() < 0.3, "{large} and {small}");
}

#[test]
fn greedy_account() {
    let mut bench = Bench::new(4);
    let mut offered = 0;
    for round in 0..2000 {
        for _ in 0..10 {
            bench.offer("greedy", 100, Class::Browse, 0);
        }
        if round % 3 == 0 {
            bench.offer("modest", 100, Class::Browse, 0);
            offered += 1;
        }
        bench.finish(1);
    }
    let share = bench.count("modest") as f64 / f64::from(offered);
    assert!(share >= 0.95, "{share} of an account within its due");
}

#[test]
fn floor_served() {
    let mut bench = Bench::new(2);
    for _ in 0..5000 {
        for _ in 0..3 {
            bench.offer("payment", 1, Class::Payment, 0);
        }
        bench.offer("notice", 1, Class::Notice, 0);
        bench.finish(1);
    }
    let notices = bench.count("notice");
    assert!((4..=6).contains(&notices), "{notices} notices in 5 s of payments");
}

#[test]
fn deeper_first() {
    let mut bench = Bench::new(2);
    for (name, depth) in [("a", 0), ("a", 0), ("a root", 0), ("a nested", 1), ("a deep", 2)] {
        bench.offer(name, 1, Class::Booking, depth);
    }
    for _ in 0..3 {
        bench.finish(1);
    }
    assert_eq!(bench.served[2..], ["a deep", "a nested", "a root"]);
}
