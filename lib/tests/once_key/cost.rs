//! How many requests with new keys are refused after each kind of failure, at the default times.
//!
//! Sends ten requests with new keys per second, to the nodes in turn. The counts are printed with
//! `--nocapture`.

use {
    crate::simulator::{RELIABLE_NETWORK, Response, Simulation},
    monsoon_lib::{call::Outcome, once::Settings},
    std::{collections::BTreeSet, time::Duration},
};

const NODES: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[derive(Debug, Default)]
struct Counts {
    sent: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    /// When the last refused request was sent, relative to the start.
    last_refused_at: Duration,
}

struct Scenario {
    simulation: Simulation,
    counts: Counts,
    start: monsoon_lib::time::Instant,
    next_key: u32,
    receivers: Vec<usize>,
}

impl Scenario {
    fn new(members: &[usize]) -> Self {
        let settings = Settings::default();
        let mut simulation =
            Simulation::with_settings(11, NODES + 1, members, RELIABLE_NETWORK, settings);
        simulation.run_for(secs(2));
        let start = simulation.now;
        Self { simulation, counts: Counts::default(), start, next_key: 0, receivers: vec![0, 1, 2] }
    }

    /// Sends requests with new keys to the receiving nodes for the given time.
    fn send_for(&mut self, time: Duration) {
        let end = self.simulation.now + time;
        while self.simulation.now < end {
            let node = self.receivers[self.next_key as usize % self.receivers.len()];
            self.next_key += 1;
            let sent_at = self.simulation.now - self.start;
            let sent = self.simulation.submit_with_new_key(node);
            self.simulation.run_for(REQUEST_INTERVAL);
            self.counts.sent += 1;
            match self.simulation.transmissions[sent].response {
                Some(Response::Answer) => self.counts.answered += 1,
                Some(Response::Refused(refusal)) if refusal.outcome == Outcome::NotRun => {
                    self.counts.not_run += 1;
                    self.counts.last_refused_at = sent_at;
                }
                _ => {
                    self.counts.unknown += 1;
                    self.counts.last_refused_at = sent_at;
                }
            }
        }
    }

    fn print(&self, label: &str) {
        let Counts { sent, answered, not_run, unknown, last_refused_at } = &self.counts;
        println!(
            "{label:32} sent {sent:5}  answered {answered:5}  not-run {not_run:4}  unknown \
             {unknown:4}  last refused after {:.1} s",
            last_refused_at.as_secs_f64()
        );
    }
}

#[test]
fn no_failure() {
    let mut scenario = Scenario::new(&[0, 1, 2]);
    scenario.send_for(secs(60));
    scenario.print("nothing fails");
    assert_eq!(scenario.counts.answered, scenario.counts.sent);
}

#[test]
fn one_restart() {
    let mut scenario = Scenario::new(&[0, 1, 2]);
    scenario.receivers = vec![1, 2];
    scenario.send_for(secs(5));
    scenario.simulation.crash(0);
    scenario.send_for(secs(5));
    scenario.simulation.restart(0);
    scenario.send_for(secs(50));
    scenario.print("one node away for 5 s");
    assert!(
        scenario.counts.last_refused_at < secs(12),
        "new keys are served again once the node is back"
    );
}

#[test]
fn rolling_restart() {
    let mut scenario = Scenario::new(&[0, 1, 2]);
    for node in 0..NODES {
        scenario.receivers = (0..NODES).filter(|other| *other != node).collect();
        scenario.simulation.crash(node);
        scenario.send_for(secs(2));
        scenario.simulation.restart(node);
        scenario.send_for(secs(18));
    }
    scenario.print("all restarted in turn, 2 s each");
    assert!(
        scenario.counts.last_refused_at < secs(45),
        "new keys are served again once the last node is back"
    );
}

#[test]
fn two_restarts() {
    let mut scenario = Scenario::new(&[0, 1, 2]);
    scenario.simulation.restart(0);
    scenario.simulation.restart(1);
    scenario.send_for(secs(600));
    scenario.print("two of three restarted at once");
    assert!(
        scenario.counts.last_refused_at < secs(530),
        "new keys are served after the retention time"
    );
}

#[test]
fn added_node() {
    let mut scenario = Scenario::new(&[0, 1, 2]);
    scenario.simulation.publish(&BTreeSet::from([0, 1, 2, 3]), secs(2));
    scenario.send_for(secs(120));
    scenario.print("one node added to the pool");
    assert!(
        scenario.counts.last_refused_at < secs(60),
        "moved keys are served once the old epoch is sealed"
    );
}

#[test]
fn replaced_node() {
    let mut scenario = Scenario::new(&[0, 1, 2]);
    scenario.receivers = vec![1, 2];
    scenario.simulation.crash(0);
    scenario.send_for(secs(10));
    scenario.simulation.publish(&BTreeSet::from([1, 2, 3]), secs(2));
    scenario.send_for(secs(600));
    scenario.print("dead node replaced after 10 s");
    assert!(
        scenario.counts.last_refused_at < secs(620),
        "moved keys are served after the retention time"
    );
}

#[test]
fn cut_off_node() {
    let mut scenario = Scenario::new(&[0, 1, 2]);
    scenario.simulation.partition(BTreeSet::from([0]));
    scenario.send_for(secs(60));
    scenario.simulation.partition(BTreeSet::new());
    scenario.send_for(secs(60));
    scenario.print("one of three cut off for 60 s");
    assert!(
        scenario.counts.last_refused_at < secs(70),
        "new keys are served again after the partition"
    );
}
