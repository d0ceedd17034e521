//! How the loss of state or connectivity affects used and unused keys.

use {
    crate::simulator::{RELIABLE_NETWORK, Response, Simulation},
    monsoon_lib::call::{Outcome, Reason},
    std::{collections::BTreeSet, time::Duration},
};

const MEMBERS: [usize; 3] = [0, 1, 2];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn started_simulation() -> Simulation {
    let mut simulation = Simulation::new(7, 4, &MEMBERS, RELIABLE_NETWORK);
    simulation.run_for(ms(300));
    simulation
}

/// Sends one request per key to a node, every 5 ms, and returns the responses after 160 ms more.
fn submit_all(simulation: &mut Simulation, node: usize, keys: &[u32]) -> Vec<Option<Response>> {
    let first = simulation.transmissions.len();
    for key in keys {
        simulation.submit(node, *key, 1);
        simulation.run_for(ms(5));
    }
    simulation.run_for(ms(160));
    simulation.transmissions[first..].iter().map(|t| t.response).collect()
}

fn is_unknown(response: &Option<Response>) -> bool {
    matches!(response, Some(Response::Refused(refusal)) if refusal.outcome == Outcome::Unknown)
}

fn is_answer(response: &Option<Response>) -> bool {
    matches!(response, Some(Response::Answer))
}

fn all_ran_once(simulation: &Simulation) -> bool {
    simulation.runs.values().all(|runs| runs.len() == 1)
}

#[test]
fn resent_key() {
    let mut simulation = started_simulation();
    let keys = simulation.keys_owned_by(0, &MEMBERS);
    assert!(submit_all(&mut simulation, 1, &keys[..4]).iter().all(is_answer));
    assert_eq!(submit_all(&mut simulation, 2, &keys[..4]), vec![Some(Response::Replay); 4]);
    simulation.submit(1, keys[0], 2);
    simulation.run_for(ms(20));
    let response = simulation.transmissions.last().and_then(|t| t.response);
    let is_reuse = matches!(response, Some(Response::Refused(r)) if r.reason == Reason::KeyReuse);
    assert!(is_reuse, "{response:?}");
    assert!(all_ran_once(&simulation));
}

#[test]
fn expired_key() {
    let mut simulation = started_simulation();
    let keys = simulation.keys_owned_by(0, &MEMBERS);
    assert!(submit_all(&mut simulation, 1, &keys[..4]).iter().all(is_answer));
    simulation.run_for(ms(3_300));
    assert!(submit_all(&mut simulation, 1, &keys[..4]).iter().all(is_answer));
}

#[test]
fn restarted_owner() {
    let mut simulation = started_simulation();
    let keys = simulation.keys_owned_by(0, &MEMBERS);
    let (used, unused) = keys.split_at(10);
    assert!(submit_all(&mut simulation, 1, used).iter().all(is_answer));
    simulation.restart(0);
    simulation.run_for(ms(200));
    assert!(submit_all(&mut simulation, 2, used).iter().all(is_unknown));
    assert!(submit_all(&mut simulation, 2, &unused[..10]).iter().all(is_answer));
    assert!(all_ran_once(&simulation));
}

#[test]
fn runner_out_of_reach() {
    let mut simulation = started_simulation();
    let keys = simulation.keys_owned_by(0, &MEMBERS);
    let (used, unused) = keys.split_at(10);
    assert!(submit_all(&mut simulation, 1, used).iter().all(is_answer));
    simulation.run_for(ms(300));
    simulation.partition(BTreeSet::from([2]));
    simulation.restart(0);
    simulation.run_for(ms(500));
    assert!(submit_all(&mut simulation, 1, used).iter().all(is_unknown));
    assert!(submit_all(&mut simulation, 1, &unused[..10]).iter().all(is_unknown));
    simulation.partition(BTreeSet::new());
    simulation.run_for(ms(200));
    assert!(submit_all(&mut simulation, 1, &unused[..10]).iter().all(is_answer));
    assert!(submit_all(&mut simulation, 1, used).iter().all(is_unknown));
    assert!(all_ran_once(&simulation));
}

#[test]
fn owner_and_runner_restarted() {
    let mut simulation = started_simulation();
    let keys = simulation.keys_owned_by(0, &MEMBERS);
    let (used, unused) = keys.split_at(10);
    assert!(submit_all(&mut simulation, 1, used).iter().all(is_answer));
    simulation.restart(0);
    simulation.restart(2);
    simulation.run_for(ms(500));
    assert!(submit_all(&mut simulation, 1, used).iter().all(is_unknown));
    assert!(submit_all(&mut simulation, 1, &unused[..10]).iter().all(is_unknown));
    simulation.run_for(ms(3_300));
    assert!(submit_all(&mut simulation, 1, &unused[..10]).iter().all(is_answer));
    assert!(all_ran_once(&simulation));
}

#[test]
fn restarts_in_turn() {
    let mut simulation = started_simulation();
    let keys = simulation.keys_owned_by(0, &MEMBERS);
    let (used, unused) = keys.split_at(10);
    assert!(submit_all(&mut simulation, 1, used).iter().all(is_answer));
    for node in [0, 1, 2, 0, 2, 1] {
        simulation.restart(node);
        simulation.run_for(ms(200));
    }
    assert!(submit_all(&mut simulation, 2, used).iter().all(is_unknown));
    assert!(submit_all(&mut simulation, 2, &unused[..10]).iter().all(is_answer));
    assert!(all_ran_once(&simulation));
}

#[test]
fn moved_keys() {
    let mut simulation = started_simulation();
    let before = simulation.keys_owned_by(0, &MEMBERS);
    let moved: Vec<u32> = simulation
        .keys_owned_by(3, &[0, 1, 2, 3])
        .into_iter()
        .filter(|key| before.contains(key))
        .collect();
    let (used, unused) = moved.split_at(5);
    assert!(submit_all(&mut simulation, 1, used).iter().all(is_answer));
    simulation.publish(&BTreeSet::from([0, 1, 2, 3]), ms(20));
    simulation.run_for(ms(600));
    assert!(submit_all(&mut simulation, 1, used).iter().all(is_unknown));
    assert!(submit_all(&mut simulation, 1, &unused[..5]).iter().all(is_answer));
    assert!(all_ran_once(&simulation));
}

#[test]
fn stale_majority() {
    let mut simulation = started_simulation();
    let keys = simulation.keys_owned_by(0, &MEMBERS);
    simulation.partition(BTreeSet::from([2, 3, 5]));
    simulation.publish_to(&BTreeSet::from([2, 3]), ms(1), [2, 3, 5]);
    simulation.run_for(ms(500));
    assert!(submit_all(&mut simulation, 1, &keys[..10]).iter().any(is_answer));
    assert!(!submit_all(&mut simulation, 2, &keys[..10]).iter().any(is_answer));
    assert!(!submit_all(&mut simulation, 3, &keys[..10]).iter().any(is_answer));
    assert!(all_ran_once(&simulation));
}

#[test]
fn minority_part() {
    let mut simulation = started_simulation();
    let keys = simulation.keys_owned_by(0, &MEMBERS);
    simulation.partition(BTreeSet::from([0]));
    simulation.run_for(ms(300));
    assert!(!submit_all(&mut simulation, 0, &keys[..10]).iter().any(is_answer));
    assert!(simulation.runs.is_empty());
}

#[test]
fn late_request() {
    let mut simulation = started_simulation();
    let keys = &simulation.keys_owned_by(0, &MEMBERS)[..20];
    simulation.run_delay = ms(3_400);
    assert!(submit_all(&mut simulation, 1, keys).iter().all(is_unknown));
    simulation.run_delay = ms(0);
    simulation.run_for(ms(2_800));
    assert!(submit_all(&mut simulation, 1, keys).iter().all(is_answer));
    simulation.run_for(ms(4_000));
    assert!(all_ran_once(&simulation), "{:?}", simulation.runs);
}

#[test]
fn whole_fleet_restarted() {
    let mut simulation = started_simulation();
    for node in 0..6 {
        simulation.crash(node);
    }
    simulation.run_for(ms(10));
    for node in 0..6 {
        simulation.restart(node);
    }
    simulation.run_for(ms(300));
    let keys = simulation.keys_owned_by(0, &MEMBERS);
    assert!(submit_all(&mut simulation, 1, &keys[..10]).iter().all(is_answer));
}
