//! Property tests: under any faults, no key runs twice within its window, and a request refused as
//! `not-run` did not run.

use {
    crate::simulator::{self, Network, Response, Simulation, settings},
    monsoon_lib::{call::Outcome, time::Instant},
    proptest::prelude::*,
    std::{collections::BTreeSet, time::Duration},
};

const VMS: usize = 5;

#[derive(Clone, Debug)]
enum Step {
    Submit { node: usize, key: u32, fingerprint: u64 },
    Crash { node: usize },
    Restart { node: usize },
    Pause { node: usize, ms: u64 },
    Partition { isolated: BTreeSet<usize> },
    EndPartition,
    Publish { members: BTreeSet<usize>, delay_max_ms: u64 },
    Wait { ms: u64 },
}

fn any_step(fault_weight: u32) -> impl Strategy<Value = Step> {
    let node = 0..VMS + 2;
    let submit =
        (node.clone(), 0_u32..6).prop_map(|(node, key)| Step::Submit { node, key, fingerprint: 1 });
    let members = prop::collection::btree_set(0..VMS, 1..=VMS);
    let delay_max_ms = prop_oneof![Just(20_u64), Just(3_000)];
    prop_oneof![
        12 => submit,
        6 => prop_oneof![1_u64..30, 100_u64..900].prop_map(|ms| Step::Wait { ms }),
        2 * fault_weight => node.clone().prop_map(|node| Step::Restart { node }),
        fault_weight => node.clone().prop_map(|node| Step::Crash { node }),
        fault_weight => (node, 1_u64..3_000).prop_map(|(node, ms)| Step::Pause { node, ms }),
        fault_weight => prop::collection::btree_set(0..VMS, 1..3)
            .prop_map(|isolated| Step::Partition { isolated }),
        2 * fault_weight => Just(Step::EndPartition),
        fault_weight => (members, delay_max_ms)
            .prop_map(|(members, delay_max_ms)| Step::Publish { members, delay_max_ms }),
    ]
}

fn any_network() -> impl Strategy<Value = Network> {
    (0_u32..15, 0_u32..15, 1_u64..60).prop_map(|(loss_percent, duplicate_percent, delay_max_ms)| {
        Network { loss_percent, duplicate_percent, delay_max_ms }
    })
}

/// Applies steps, except those that violate the assumptions of docs/design/at-most-once.md: after a
/// recent change of a pool, at least one of its members still knows the earlier memberships, and at
/// least one node of the fleet always knows the whole window.
struct Scenario {
    simulation: Simulation,
    members: BTreeSet<usize>,
    /// Since when each node has been a member without a restart.
    member_since: [Instant; VMS + 2],
    published_at: Vec<Instant>,
}

impl Scenario {
    fn new(seed: u64, members: &BTreeSet<usize>, network: Network) -> Self {
        let nodes: Vec<usize> = members.iter().copied().collect();
        let mut simulation = Simulation::new(seed, VMS, &nodes, network);
        simulation.run_for(Duration::from_millis(300));
        let member_since = [Instant::ZERO; VMS + 2];
        Self { simulation, members: members.clone(), member_since, published_at: Vec::new() }
    }

    /// Returns whether one of the members knows the time before the first recent change.
    fn is_history_known(&self, members: &BTreeSet<usize>, restarting: Option<usize>) -> bool {
        let recent = Duration::from_millis(2 * settings().window_ms + 2_000);
        let now = self.simulation.now;
        let first = self.published_at.iter().find(|published| now - **published < recent);
        let first = *first.unwrap_or(&now);
        let knows_history =
            |node: &usize| Some(*node) != restarting && self.member_since[*node] < first;
        self.published_at.is_empty() && members == &self.members
            || members.iter().any(knows_history)
    }

    fn publish(&mut self, members: &BTreeSet<usize>, delay_max: Duration) {
        let remaining: BTreeSet<usize> = members.intersection(&self.members).copied().collect();
        if !self.is_history_known(&remaining, None) {
            return;
        }
        for node in members.difference(&self.members) {
            self.member_since[*node] = self.simulation.now;
        }
        self.published_at.push(self.simulation.now);
        self.members = members.clone();
        self.simulation.publish(members, delay_max);
    }

    fn try_lose_memory(&mut self, node: usize) -> bool {
        let members = self.members.clone();
        let mut fleet = members.iter().copied().chain([VMS, VMS + 1]);
        let recent = Duration::from_millis(2 * settings().window_ms);
        let is_old =
            |other| other != node && self.simulation.now - self.member_since[other] > recent;
        let is_allowed = self.is_history_known(&members, Some(node)) && fleet.any(is_old);
        if is_allowed {
            self.member_since[node] = self.simulation.now;
        }
        is_allowed
    }

    fn apply(&mut self, step: &Step) {
        let simulation = &mut self.simulation;
        match step {
            Step::Submit { node, key, fingerprint } => {
                simulation.submit(*node, *key, *fingerprint);
            }
            Step::Crash { node } => {
                if self.try_lose_memory(*node) {
                    self.simulation.crash(*node);
                }
            }
            Step::Restart { node } => {
                if self.try_lose_memory(*node) {
                    self.simulation.restart(*node);
                }
            }
            Step::Pause { node, ms } => simulation.pause(*node, Duration::from_millis(*ms)),
            Step::Partition { isolated } => simulation.partition(isolated.clone()),
            Step::EndPartition => simulation.partition(BTreeSet::new()),
            Step::Publish { members, delay_max_ms } => {
                self.publish(members, Duration::from_millis(*delay_max_ms));
            }
            Step::Wait { ms } => simulation.run_for(Duration::from_millis(*ms)),
        }
    }
}

fn check_invariants(simulation: &Simulation) -> Result<(), TestCaseError> {
    // The clocks of the nodes differ by up to 1 % from the simulation's.
    let window = Duration::from_millis(settings().window_ms).mul_f64(0.98);
    for (key, runs) in &simulation.runs {
        for pair in runs.windows(2) {
            prop_assert!(
                pair[1] - pair[0] >= window,
                "key {key} ran at {} and {}",
                pair[0],
                pair[1]
            );
        }
    }
    for transmission in &simulation.transmissions {
        if let Some(Response::Refused(refusal)) = transmission.response
            && refusal.outcome == Outcome::NotRun
        {
            prop_assert_eq!(transmission.runs, 0, "{:?}", transmission);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn many_faults(
        seed in any::<u64>(),
        network in any_network(),
        members in prop::collection::btree_set(0..VMS, 1..=VMS),
        steps in prop::collection::vec(any_step(2), 10..120),
    ) {
        let mut scenario = Scenario::new(seed, &members, network);
        for step in &steps {
            scenario.apply(step);
        }
        scenario.simulation.run_for(Duration::from_millis(1_000));
        check_invariants(&scenario.simulation)?;
    }

    #[test]
    fn few_faults(
        seed in any::<u64>(),
        network in Just(simulator::RELIABLE_NETWORK),
        steps in prop::collection::vec(any_step(1), 10..120),
    ) {
        let mut scenario = Scenario::new(seed, &BTreeSet::from([0, 1, 2]), network);
        for step in &steps {
            scenario.apply(step);
            scenario.simulation.run_for(Duration::from_millis(10));
        }
        scenario.simulation.run_for(Duration::from_millis(1_000));
        check_invariants(&scenario.simulation)?;
    }
}

#[test]
fn no_faults() {
    let mut simulation = Simulation::new(1, 3, &[0, 1, 2], simulator::RELIABLE_NETWORK);
    simulation.run_for(Duration::from_millis(50));
    for key in 0..30 {
        simulation.submit(key as usize % 3, key, 1);
    }
    simulation.run_for(Duration::from_millis(50));
    let responses: Vec<_> = simulation.transmissions.iter().map(|t| t.response).collect();
    assert_eq!(responses, vec![Some(Response::Answer); 30]);
}
