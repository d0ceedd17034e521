//! What each loss of memory or contact means for keys that were used and for new ones.

use {
    crate::world::{CALM, Told, World},
    monsoon_lib::call::{Outcome, Reason},
    std::{collections::BTreeSet, time::Duration},
};

const ALL: [usize; 3] = [0, 1, 2];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn started() -> World {
    let mut world = World::new(7, 4, &ALL, CALM);
    world.run_for(ms(300));
    world
}

/// Sends keys to a node, one every 5 ms, and returns what was told after a short while.
fn ask(world: &mut World, node: usize, keys: &[u32]) -> Vec<Option<Told>> {
    let first = world.transmissions.len();
    for key in keys {
        world.submit(node, *key, 1);
        world.run_for(ms(5));
    }
    world.run_for(ms(160));
    world.transmissions[first..].iter().map(|t| t.told).collect()
}

fn is_unknown(told: &Option<Told>) -> bool {
    matches!(told, Some(Told::Refused(refusal)) if refusal.outcome == Outcome::Unknown)
}

fn is_answer(told: &Option<Told>) -> bool {
    matches!(told, Some(Told::Answer))
}

fn all_ran_once(world: &World) -> bool {
    world.runs.values().all(|runs| runs.len() == 1)
}

#[test]
fn resent_key() {
    let mut world = started();
    let keys = world.owned(0, &ALL);
    assert!(ask(&mut world, 1, &keys[..4]).iter().all(is_answer));
    assert_eq!(ask(&mut world, 2, &keys[..4]), vec![Some(Told::Replay); 4]);
    world.submit(1, keys[0], 2);
    world.run_for(ms(20));
    let told = world.transmissions.last().and_then(|t| t.told);
    let is_reuse = matches!(told, Some(Told::Refused(r)) if r.reason == Reason::KeyReuse);
    assert!(is_reuse, "{told:?}");
    assert!(all_ran_once(&world));
}

#[test]
fn expired_key() {
    let mut world = started();
    let keys = world.owned(0, &ALL);
    assert!(ask(&mut world, 1, &keys[..4]).iter().all(is_answer));
    world.run_for(ms(3_300));
    assert!(ask(&mut world, 1, &keys[..4]).iter().all(is_answer));
}

#[test]
fn restarted_owner() {
    let mut world = started();
    let keys = world.owned(0, &ALL);
    let (old, new) = keys.split_at(10);
    assert!(ask(&mut world, 1, old).iter().all(is_answer));
    world.restart(0);
    world.run_for(ms(200));
    assert!(ask(&mut world, 2, old).iter().all(is_unknown));
    assert!(ask(&mut world, 2, &new[..10]).iter().all(is_answer));
    assert!(all_ran_once(&world));
}

#[test]
fn runner_out_of_reach() {
    let mut world = started();
    let keys = world.owned(0, &ALL);
    let (old, new) = keys.split_at(10);
    assert!(ask(&mut world, 1, old).iter().all(is_answer));
    world.run_for(ms(300));
    world.partition(BTreeSet::from([2]));
    world.restart(0);
    world.run_for(ms(500));
    assert!(ask(&mut world, 1, old).iter().all(is_unknown));
    assert!(ask(&mut world, 1, &new[..10]).iter().all(is_unknown));
    world.partition(BTreeSet::new());
    world.run_for(ms(200));
    assert!(ask(&mut world, 1, &new[..10]).iter().all(is_answer));
    assert!(ask(&mut world, 1, old).iter().all(is_unknown));
    assert!(all_ran_once(&world));
}

#[test]
fn owner_and_runner_restarted() {
    let mut world = started();
    let keys = world.owned(0, &ALL);
    let (old, new) = keys.split_at(10);
    assert!(ask(&mut world, 1, old).iter().all(is_answer));
    world.restart(0);
    world.restart(2);
    world.run_for(ms(500));
    assert!(ask(&mut world, 1, old).iter().all(is_unknown));
    assert!(ask(&mut world, 1, &new[..10]).iter().all(is_unknown));
    world.run_for(ms(3_300));
    assert!(ask(&mut world, 1, &new[..10]).iter().all(is_answer));
    assert!(all_ran_once(&world));
}

#[test]
fn restarts_in_turn() {
    let mut world = started();
    let keys = world.owned(0, &ALL);
    let (old, new) = keys.split_at(10);
    assert!(ask(&mut world, 1, old).iter().all(is_answer));
    for node in [0, 1, 2, 0, 2, 1] {
        world.restart(node);
        world.run_for(ms(200));
    }
    assert!(ask(&mut world, 2, old).iter().all(is_unknown));
    assert!(ask(&mut world, 2, &new[..10]).iter().all(is_answer));
    assert!(all_ran_once(&world));
}

#[test]
fn moved_keys() {
    let mut world = started();
    let before = world.owned(0, &ALL);
    let moved: Vec<u32> =
        world.owned(3, &[0, 1, 2, 3]).into_iter().filter(|key| before.contains(key)).collect();
    let (old, new) = moved.split_at(5);
    assert!(ask(&mut world, 1, old).iter().all(is_answer));
    world.publish(&BTreeSet::from([0, 1, 2, 3]), ms(20));
    world.run_for(ms(600));
    assert!(ask(&mut world, 1, old).iter().all(is_unknown));
    assert!(ask(&mut world, 1, &new[..5]).iter().all(is_answer));
    assert!(all_ran_once(&world));
}

#[test]
fn stale_majority() {
    let mut world = started();
    let keys = world.owned(0, &ALL);
    world.partition(BTreeSet::from([2, 3, 5]));
    world.publish_to(&BTreeSet::from([2, 3]), ms(1), [2, 3, 5]);
    world.run_for(ms(500));
    assert!(ask(&mut world, 1, &keys[..10]).iter().any(is_answer));
    assert!(!ask(&mut world, 2, &keys[..10]).iter().any(is_answer));
    assert!(!ask(&mut world, 3, &keys[..10]).iter().any(is_answer));
    assert!(all_ran_once(&world));
}

#[test]
fn minority_part() {
    let mut world = started();
    let keys = world.owned(0, &ALL);
    world.partition(BTreeSet::from([0]));
    world.run_for(ms(300));
    assert!(!ask(&mut world, 0, &keys[..10]).iter().any(is_answer));
    assert!(world.runs.is_empty());
}

#[test]
fn late_request() {
    let mut world = started();
    let keys = &world.owned(0, &ALL)[..20];
    world.run_delay = ms(3_400);
    assert!(ask(&mut world, 1, keys).iter().all(is_unknown));
    world.run_delay = ms(0);
    world.run_for(ms(2_800));
    assert!(ask(&mut world, 1, keys).iter().all(is_answer));
    world.run_for(ms(4_000));
    assert!(all_ran_once(&world), "{:?}", world.runs);
}

#[test]
fn whole_fleet_restarted() {
    let mut world = started();
    for node in 0..6 {
        world.crash(node);
    }
    world.run_for(ms(10));
    for node in 0..6 {
        world.restart(node);
    }
    world.run_for(ms(300));
    let keys = world.owned(0, &ALL);
    assert!(ask(&mut world, 1, &keys[..10]).iter().all(is_answer));
}
