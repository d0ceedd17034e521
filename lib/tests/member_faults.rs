//! Members are discovered, suspected, declared dead and readmitted, and no live member is declared
//! dead.

mod fleet;

use {
    fleet::{Fleet, Network, vm},
    monsoon_lib::member::{Body, Change, Message, State},
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

/// Counts the other active nodes that see a VM in a state.
fn seen(fleet: &Fleet, of: usize, state: State) -> usize {
    let sees = |node: &&fleet::Node| node.view.state_of(&vm(of)) == Some(state);
    fleet.active_nodes().filter(|node| node.vm != vm(of)).filter(sees).count()
}

fn all_live(fleet: &Fleet) -> bool {
    let up = fleet.active_nodes().count();
    fleet.active_nodes().all(|node| {
        node.view.live().filter(|peer| !peer.suspect && !peer.leaving).count() == up - 1
    })
}

/// Counts the changes to a state since the last call.
fn changes_to(fleet: &mut Fleet, state: State) -> usize {
    let is_it = |change: &Change| matches!(change, Change::State { to, .. } if *to == state);
    fleet.nodes.iter_mut().map(|node| node.view.changes().iter().filter(|c| is_it(c)).count()).sum()
}

/// Returns a message that a node sends.
fn message_of(fleet: &mut Fleet, node: usize) -> Message {
    let now = fleet.clock_of(&fleet.nodes[node]) + Duration::from_millis(600);
    let (_, message) = fleet.nodes[node].view.tick(now).pop().expect("a node sends pings");
    message
}

#[test]
fn dead_node() {
    let mut fleet = Fleet::new(13, 3, 1);
    fleet.run(10 * SECOND);
    assert!(all_live(&fleet));
    fleet.stop(4);
    let time = fleet.run_until(15 * SECOND, |fleet| seen(fleet, 4, State::Dead) == 12);
    assert!(time.is_some(), "a stopped node is not dead on all nodes within 15 s");
    fleet.start(4);
    let back = fleet.run_until(5 * SECOND, all_live);
    assert!(back.is_some(), "a restarted node is not live on all nodes within 5 s");
}

#[test]
fn leaving_node() {
    let mut fleet = Fleet::new(13, 3, 2);
    fleet.run(10 * SECOND);
    fleet.leave(7);
    let time = fleet.run_until(2 * SECOND, |fleet| seen(fleet, 7, State::Leaving) == 12);
    assert!(time.is_some(), "a leaving node is not known as leaving within 2 s");
    fleet.stop(7);
    fleet.run(10 * SECOND);
    fleet.start(7);
    let back = fleet.run_until(5 * SECOND, all_live);
    assert!(back.is_some(), "a node that left and restarted is not live on all nodes within 5 s");
}

#[test]
fn paused_node() {
    let mut fleet = Fleet::new(13, 3, 3);
    fleet.run(10 * SECOND);
    changes_to(&mut fleet, State::Dead);
    fleet.pause(5, 30 * SECOND);
    fleet.run(30 * SECOND);
    assert_eq!(seen(&fleet, 5, State::Dead), 12);
    changes_to(&mut fleet, State::Dead);
    let back = fleet.run_until(5 * SECOND, all_live);
    assert!(back.is_some(), "a resumed node is not live on all nodes within 5 s");
    fleet.run(20 * SECOND);
    assert_eq!(changes_to(&mut fleet, State::Dead), 0, "the resumed node declared others dead");
}

#[test]
fn repeatedly_paused_node() {
    let mut fleet = Fleet::new(13, 3, 8);
    fleet.run(10 * SECOND);
    fleet.nodes[5].view.changes();
    for _ in 0..20 {
        fleet.pause(5, 2 * SECOND);
        fleet.run(2 * SECOND + Duration::from_millis(110));
    }
    let is_not_live =
        |change: &Change| matches!(change, Change::State { to, .. } if *to != State::Live);
    let wrong_states = fleet.nodes[5].view.changes().into_iter().filter(is_not_live).count();
    assert_eq!(wrong_states, 0, "a repeatedly paused node does not see others as live");
}

#[test]
fn lone_node() {
    let mut fleet = Fleet::new(3, 3, 9);
    fleet.run(10 * SECOND);
    fleet.cut(|i, _| u8::from(i == 0));
    fleet.run(60 * SECOND);
    for other in 1..3 {
        let state = fleet.nodes[0].view.state_of(&vm(other));
        assert_ne!(state, Some(State::Dead), "an isolated node declares others dead");
        assert_eq!(fleet.nodes[other].view.state_of(&vm(0)), Some(State::Dead));
    }
    fleet.heal();
    let back = fleet.run_until(5 * SECOND, all_live);
    assert!(back.is_some(), "an isolated node is not live on all nodes within 5 s of the recovery");
}

#[test]
fn lossy_network() {
    let mut fleet = Fleet::new(50, 3, 4);
    fleet.run(10 * SECOND);
    changes_to(&mut fleet, State::Dead);
    fleet.network = Network { loss: 0.1, duplicates: 0.05, delay_ms: (1, 50) };
    fleet.run(300 * SECOND);
    assert_eq!(changes_to(&mut fleet, State::Dead), 0);
    assert_eq!(changes_to(&mut fleet, State::Unreachable), 0);
}

#[test]
fn cut_centre() {
    let mut fleet = Fleet::new(13, 3, 5);
    fleet.run(10 * SECOND);
    changes_to(&mut fleet, State::Dead);
    for node in fleet.nodes.iter_mut().filter(|node| node.data_centre.as_str() == "dc-2") {
        node.side = 1;
    }
    let is_apart = |fleet: &Fleet| {
        fleet.nodes.iter().all(|node| {
            let mut live = node.view.live();
            live.all(|peer| (peer.data_centre.as_str() == "dc-2") == (node.side == 1))
        })
    };
    let time = fleet.run_until(20 * SECOND, is_apart);
    assert!(time.is_some(), "the other side is not unreachable within 20 s");
    fleet.run(120 * SECOND);
    fleet.nodes.iter_mut().for_each(|node| node.side = 0);
    let back = fleet.run_until(5 * SECOND, all_live);
    println!("apart after {time:?}, together after {back:?}");
    assert!(back.is_some(), "the data centre is not usable within 5 s of the recovery");
    assert_eq!(
        changes_to(&mut fleet, State::Dead),
        0,
        "VMs of a cut-off data centre were declared dead"
    );
}

#[test]
fn outdated_incarnation() {
    let mut fleet = Fleet::new(6, 3, 6);
    fleet.run(10 * SECOND);
    let message = message_of(&mut fleet, 1);
    fleet.start(1);
    fleet.run(10 * SECOND);
    let current = fleet.nodes[1].view.incarnation();
    let now = fleet.clock_of(&fleet.nodes[0]);
    let answers = fleet.nodes[0].view.receive(now, &vm(1), message);
    let known = fleet.nodes[0].view.live().find(|peer| peer.vm == vm(1)).expect("it is live");
    assert_eq!(
        known.incarnation, current,
        "a message of an earlier incarnation changed the later one"
    );
    assert!(!answers.is_empty());
    for (to, answer) in answers {
        assert_eq!(
            (to, answer.body),
            (vm(1), Body::Gossip),
            "an earlier incarnation gets more than a rumour"
        );
        let is_informed =
            answer.rumours.iter().any(|r| r.vm == vm(1) && r.fact.incarnation == current);
        assert!(is_informed, "an earlier incarnation is not informed that it was replaced");
    }
}

#[test]
fn unknown_sender() {
    let mut fleet = Fleet::new(6, 3, 7);
    fleet.run(10 * SECOND);
    let message = message_of(&mut fleet, 2);
    let before = fleet.nodes[0].view.live().count();
    let now = fleet.clock_of(&fleet.nodes[0]);
    let answers = fleet.nodes[0].view.receive(now, &vm(99), message);
    assert!(answers.is_empty());
    assert_eq!(fleet.nodes[0].view.live().count(), before);
}
