//! How many new keys are turned away after each kind of failure, at the default times.
//!
//! The rows are printed with `--nocapture`. Ten new keys a second go to nodes in turn.

use {
    crate::world::{CALM, Told, World},
    monsoon_lib::{call::Outcome, once::Settings},
    std::{collections::BTreeSet, time::Duration},
};

const NODES: usize = 3;
const GAP: Duration = Duration::from_millis(100);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[derive(Debug, Default)]
struct Row {
    sent: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    /// When the last key was turned away, after the start.
    last: Duration,
}

struct Trial {
    world: World,
    row: Row,
    start: monsoon_lib::time::Instant,
    next_key: u32,
    callers: Vec<usize>,
}

impl Trial {
    fn new(members: &[usize]) -> Self {
        let settings = Settings::default();
        let mut world = World::with_settings(11, NODES + 1, members, CALM, settings);
        world.run_for(secs(2));
        let start = world.now;
        Self { world, row: Row::default(), start, next_key: 0, callers: vec![0, 1, 2] }
    }

    /// Sends new keys to the callers' nodes for a while.
    fn send_for(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            let node = self.callers[self.next_key as usize % self.callers.len()];
            self.next_key += 1;
            let sent_at = self.world.now - self.start;
            let sent = self.world.submit_new(node);
            self.world.run_for(GAP);
            self.row.sent += 1;
            match self.world.transmissions[sent].told {
                Some(Told::Answer) => self.row.answered += 1,
                Some(Told::Refused(refusal)) if refusal.outcome == Outcome::NotRun => {
                    self.row.not_run += 1;
                    self.row.last = sent_at;
                }
                _ => {
                    self.row.unknown += 1;
                    self.row.last = sent_at;
                }
            }
        }
    }

    fn print(&self, what: &str) {
        let Row { sent, answered, not_run, unknown, last } = &self.row;
        println!(
            "{what:32} sent {sent:5}  answered {answered:5}  not-run {not_run:4}  unknown \
             {unknown:4}  last turned away after {:.1} s",
            last.as_secs_f64()
        );
    }
}

#[test]
fn calm() {
    let mut trial = Trial::new(&[0, 1, 2]);
    trial.send_for(secs(60));
    trial.print("nothing fails");
    assert_eq!(trial.row.answered, trial.row.sent);
}

#[test]
fn one_restart() {
    let mut trial = Trial::new(&[0, 1, 2]);
    trial.callers = vec![1, 2];
    trial.send_for(secs(5));
    trial.world.crash(0);
    trial.send_for(secs(5));
    trial.world.restart(0);
    trial.send_for(secs(50));
    trial.print("one node away for 5 s");
    assert!(trial.row.last < secs(12), "new keys are served again once the node is back");
}

#[test]
fn rolling_restart() {
    let mut trial = Trial::new(&[0, 1, 2]);
    for node in 0..NODES {
        trial.callers = (0..NODES).filter(|other| *other != node).collect();
        trial.world.crash(node);
        trial.send_for(secs(2));
        trial.world.restart(node);
        trial.send_for(secs(18));
    }
    trial.print("all restarted in turn, 2 s each");
    assert!(trial.row.last < secs(45), "new keys are served again once the last node is back");
}

#[test]
fn two_restarts() {
    let mut trial = Trial::new(&[0, 1, 2]);
    trial.world.restart(0);
    trial.world.restart(1);
    trial.send_for(secs(600));
    trial.print("two of three restarted at once");
    assert!(trial.row.last < secs(530), "new keys are served after the retention time");
}

#[test]
fn added_node() {
    let mut trial = Trial::new(&[0, 1, 2]);
    trial.world.publish(&BTreeSet::from([0, 1, 2, 3]), secs(2));
    trial.send_for(secs(120));
    trial.print("one node added to the pool");
    assert!(trial.row.last < secs(60), "moved keys are served once the old epoch is sealed");
}

#[test]
fn replaced_node() {
    let mut trial = Trial::new(&[0, 1, 2]);
    trial.callers = vec![1, 2];
    trial.world.crash(0);
    trial.send_for(secs(10));
    trial.world.publish(&BTreeSet::from([1, 2, 3]), secs(2));
    trial.send_for(secs(600));
    trial.print("dead node replaced after 10 s");
    assert!(trial.row.last < secs(620), "moved keys are served after the retention time");
}

#[test]
fn cut_off_node() {
    let mut trial = Trial::new(&[0, 1, 2]);
    trial.world.partition(BTreeSet::from([0]));
    trial.send_for(secs(60));
    trial.world.partition(BTreeSet::new());
    trial.send_for(secs(60));
    trial.print("one of three cut off for 60 s");
    assert!(trial.row.last < secs(70), "new keys are served again after the partition");
}
