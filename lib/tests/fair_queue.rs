//! Classes are served by priority and accounts in proportion to their contracted rates.

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

const FAR_DEADLINE: Instant = Instant::from_millis(1_000_000);

/// Drives an admission controller and records which calls ran and which were refused.
struct Harness {
    controller: Controller,
    now: Instant,
    next: u64,
    running: Vec<id::Call>,
    names: BTreeMap<id::Call, &'static str>,
    served: Vec<&'static str>,
    refused: Vec<&'static str>,
}

impl Harness {
    fn new(slots: u32) -> Self {
        Self {
            controller: Controller::new(Settings::default(), slots, false, Instant::ZERO),
            now: Instant::ZERO,
            next: 0,
            running: Vec::new(),
            names: BTreeMap::new(),
            served: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn offer(&mut self, name: &'static str, weight: u32, class: Class, depth: u8) {
        let account = Some(name.split(' ').next().unwrap().parse().expect("a valid account name"));
        let call = id::Call(self.next);
        self.next += 1;
        self.names.insert(call, name);
        let request = Request { account, weight, class, deadline: FAR_DEADLINE, depth };
        let offered = self.controller.offer(self.now, call, &request);
        match offered.decision {
            Decision::Run => self.run(call),
            Decision::Queued => {}
            Decision::Refused(_) => self.refused.push(name),
        }
        self.apply_releases(offered.releases);
    }

    fn run(&mut self, call: id::Call) {
        self.running.push(call);
        self.served.push(self.names[&call]);
    }

    fn apply_releases(&mut self, releases: Vec<Release>) {
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

    /// Completes the oldest running call after `millis`.
    fn complete_oldest(&mut self, millis: u64) {
        let latency = Duration::from_millis(millis);
        self.now += latency;
        let call = self.running.remove(0);
        let releases =
            self.controller.complete(self.now, call, Completion { latency, kind: CallResult::Ok });
        self.apply_releases(releases);
    }

    fn served_count(&self, name: &str) -> usize {
        self.served.iter().filter(|served| **served == name).count()
    }
}

#[test]
fn class_order() {
    let mut harness = Harness::new(2);
    for (name, class) in [
        ("first", Class::Browse),
        ("second", Class::Browse),
        ("notice", Class::Notice),
        ("browse", Class::Browse),
        ("booking", Class::Booking),
        ("payment", Class::Payment),
        ("claim", Class::Claim),
    ] {
        harness.offer(name, 1, class, 0);
    }
    for _ in 0..5 {
        harness.complete_oldest(1);
    }
    let order = ["first", "second", "payment", "claim", "booking", "browse", "notice"];
    assert_eq!(harness.served, order);
}

#[test]
fn eviction_by_class() {
    let mut harness = Harness::new(2);
    for _ in 0..200 {
        harness.offer("browse", 1, Class::Browse, 0);
        harness.offer("booking", 1, Class::Booking, 0);
    }
    let refused_count =
        |name: &str| harness.refused.iter().filter(|refused| **refused == name).count();
    assert_eq!(refused_count("booking"), 0);
    assert_eq!(refused_count("browse"), 0, "the queue is not full yet");
    for _ in 0..2000 {
        harness.offer("booking", 1, Class::Booking, 0);
    }
    let refused_count =
        |name: &str| harness.refused.iter().filter(|refused| **refused == name).count();
    assert_eq!(refused_count("browse"), 199, "all queued browse calls are evicted");
}

#[test]
fn sold_shares() {
    let mut harness = Harness::new(4);
    for _ in 0..500 {
        for _ in 0..10 {
            harness.offer("large", 300, Class::Browse, 0);
            harness.offer("small", 100, Class::Browse, 0);
        }
        harness.complete_oldest(1);
    }
    let (large, small) =
        (harness.served_count("large") as f64, harness.served_count("small") as f64);
    assert!(
        (large / small - 3.0).abs() < 0.3,
        "{large} large and {small} small calls served, expected 3:1"
    );
}

#[test]
fn greedy_account() {
    let mut harness = Harness::new(4);
    let mut offered = 0;
    for round in 0..2000 {
        for _ in 0..10 {
            harness.offer("greedy", 100, Class::Browse, 0);
        }
        if round % 3 == 0 {
            harness.offer("modest", 100, Class::Browse, 0);
            offered += 1;
        }
        harness.complete_oldest(1);
    }
    let share = harness.served_count("modest") as f64 / f64::from(offered);
    assert!(share >= 0.95, "an account below its fair share had only {share} of its calls served");
}

#[test]
fn floor_served() {
    let mut harness = Harness::new(2);
    for _ in 0..5000 {
        for _ in 0..3 {
            harness.offer("payment", 1, Class::Payment, 0);
        }
        harness.offer("notice", 1, Class::Notice, 0);
        harness.complete_oldest(1);
    }
    let notices = harness.served_count("notice");
    assert!((4..=6).contains(&notices), "{notices} notices in 5 s of payments");
}

#[test]
fn deeper_first() {
    let mut harness = Harness::new(2);
    for (name, depth) in [("a", 0), ("a", 0), ("a root", 0), ("a nested", 1), ("a deep", 2)] {
        harness.offer(name, 1, Class::Booking, depth);
    }
    for _ in 0..3 {
        harness.complete_oldest(1);
    }
    assert_eq!(harness.served[2..], ["a deep", "a nested", "a root"]);
}
