//! Published values come into force on all nodes, completely and in time.

mod fleet;

use {
    fleet::{Fleet, tables},
    monsoon_lib::unit::Revision,
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn change_spreads() {
    let mut fleet = Fleet::new(13, 3, 1);
    fleet.platform.publish(&tables::initial_values());
    let first = fleet.run_until(20 * SECOND, |fleet| fleet.is_in_force(Revision(1)));
    assert!(first.is_some(), "the first values are not in force on all nodes within 20 s");
    fleet.run(10 * SECOND);
    fleet.platform.publish(&[tables::account("acme", 200)]);
    let time = fleet.run_until(5 * SECOND, |fleet| fleet.is_in_force(Revision(2)));
    assert!(time.is_some(), "the change is not in force on all nodes within 5 s");
    println!("in force: first {first:?}, change {time:?}");
}
