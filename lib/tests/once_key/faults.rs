//! No key runs twice within its window, and `not-run` is true, whatever fails.

use {
    crate::world::{self, Network, Told, World, settings},
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
    Partition { cut: BTreeSet<usize> },
    Heal,
    Publish { members: BTreeSet<usize>, delay_max_ms: u64 },
    Pass { ms: u64 },
}

fn any_step(weight: u32) -> impl Strategy<Value = Step> {
    let node = 0..VMS + 2;
    let submit =
        (node.clone(), 0_u32..6).prop_map(|(node, key)| Step::Submit { node, key, fingerprint: 1 });
    let members = prop::collection::btree_set(0..VMS, 1..=VMS);
    let delay_max_ms = prop_oneof![Just(20_u64), Just(3_000)];
    prop_oneof![
        12 => submit,
        6 => prop_oneof![1_u64..30, 100_u64..900].prop_map(|ms| Step::Pass { ms }),
        2 * weight => node.clone().prop_map(|node| Step::Restart { node }),
        weight => node.clone().prop_map(|node| Step::Crash { node }),
        weight => (node, 1_u64..3_000).prop_map(|(node, ms)| Step::Pause { node, ms }),
        weight => prop::collection::btree_set(0..VMS, 1..3).prop_map(|cut| Step::Partition { cut }),
        2 * weight => Just(Step::Heal),
        weight => (members, delay_max_ms)
            .prop_map(|(members, delay_max_ms)| Step::Publish { members, delay_max_ms }),
    ]
}

fn any_network() -> impl Strategy<Value = Network> {
    (0_u32..15, 0_u32..15, 1_u64..60).prop_map(|(loss_percent, copy_percent, delay_max_ms)| {
        Network { loss_percent, copy_percent, delay_max_ms }
    })
}

/// Plays steps, but for those that break what docs/design/at-most-once.md assumes: while an edit of
/// a pool is recent, one node of its roster remembers the rosters before it, and some node of the
/// fleet always remembers the window.
struct Player {
    world: World,
    members: BTreeSet<usize>,
    /// Since when each node has been in the roster without a restart.
    since: [Instant; VMS + 2],
    edits: Vec<Instant>,
}

impl Player {
    fn new(seed: u64, members: &BTreeSet<usize>, network: Network) -> Self {
        let nodes: Vec<usize> = members.iter().copied().collect();
        let mut world = World::new(seed, VMS, &nodes, network);
        world.run_for(Duration::from_millis(300));
        let since = [Instant::ZERO; VMS + 2];
        Self { world, members: members.clone(), since, edits: Vec::new() }
    }

    /// Tells whether a node of the roster remembers the time before the first recent edit.
    fn is_remembered(&self, members: &BTreeSet<usize>, forgets: Option<usize>) -> bool {
        let recent = Duration::from_millis(2 * settings().window_ms + 2_000);
        let now = self.world.now;
        let first = self.edits.iter().find(|edit| now - **edit < recent);
        let first = *first.unwrap_or(&now);
        let remembers = |node: &usize| Some(*node) != forgets && self.since[*node] < first;
        self.edits.is_empty() && members == &self.members || members.iter().any(remembers)
    }

    fn publish(&mut self, members: &BTreeSet<usize>, delay_max: Duration) {
        let kept: BTreeSet<usize> = members.intersection(&self.members).copied().collect();
        if !self.is_remembered(&kept, None) {
            return;
        }
        for node in members.difference(&self.members) {
            self.since[*node] = self.world.now;
        }
        self.edits.push(self.world.now);
        self.members = members.clone();
        self.world.publish(members, delay_max);
    }

    fn forget(&mut self, node: usize) -> bool {
        let members = self.members.clone();
        let mut fleet = members.iter().copied().chain([VMS, VMS + 1]);
        let recent = Duration::from_millis(2 * settings().window_ms);
        let is_old = |other| other != node && self.world.now - self.since[other] > recent;
        let is_allowed = self.is_remembered(&members, Some(node)) && fleet.any(is_old);
        if is_allowed {
            self.since[node] = self.world.now;
        }
        is_allowed
    }

    fn play(&mut self, step: &Step) {
        let world = &mut self.world;
        match step {
            Step::Submit { node, key, fingerprint } => {
                world.submit(*node, *key, *fingerprint);
            }
            Step::Crash { node } => {
                if self.forget(*node) {
                    self.world.crash(*node);
                }
            }
            Step::Restart { node } => {
                if self.forget(*node) {
                    self.world.restart(*node);
                }
            }
            Step::Pause { node, ms } => world.pause(*node, Duration::from_millis(*ms)),
            Step::Partition { cut } => world.partition(cut.clone()),
            Step::Heal => world.partition(BTreeSet::new()),
            Step::Publish { members, delay_max_ms } => {
                self.publish(members, Duration::from_millis(*delay_max_ms));
            }
            Step::Pass { ms } => world.run_for(Duration::from_millis(*ms)),
        }
    }
}

fn check(world: &World) -> Result<(), TestCaseError> {
    // The clocks of the nodes differ by up to 1 % from the world's.
    let window = Duration::from_millis(settings().window_ms).mul_f64(0.98);
    for (key, runs) in &world.runs {
        for pair in runs.windows(2) {
            prop_assert!(
                pair[1] - pair[0] >= window,
                "key {key} ran at {} and {}",
                pair[0],
                pair[1]
            );
        }
    }
    for transmission in &world.transmissions {
        if let Some(Told::Refused(refusal)) = transmission.told
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
        let mut player = Player::new(seed, &members, network);
        for step in &steps {
            player.play(step);
        }
        player.world.run_for(Duration::from_millis(1_000));
        check(&player.world)?;
    }

    #[test]
    fn few_faults(
        seed in any::<u64>(),
        network in Just(world::CALM),
        steps in prop::collection::vec(any_step(1), 10..120),
    ) {
        let mut player = Player::new(seed, &BTreeSet::from([0, 1, 2]), network);
        for step in &steps {
            player.play(step);
            player.world.run_for(Duration::from_millis(10));
        }
        player.world.run_for(Duration::from_millis(1_000));
        check(&player.world)?;
    }
}

#[test]
fn calm_pool() {
    let mut world = World::new(1, 3, &[0, 1, 2], world::CALM);
    world.run_for(Duration::from_millis(50));
    for key in 0..30 {
        world.submit(key as usize % 3, key, 1);
    }
    world.run_for(Duration::from_millis(50));
    let told: Vec<_> = world.transmissions.iter().map(|t| t.told).collect();
    assert_eq!(told, vec![Some(Told::Answer); 30]);
}
