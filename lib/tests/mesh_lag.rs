//! Detection of watches of the store that do not report its changes.

use {
    monsoon_lib::{
        mesh::{
            lag::Lag,
            position::{Era, Position},
        },
        time::Instant,
        unit::Revision,
    },
    std::time::Duration,
};

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(ms)
}

fn position(era: u64, revision: u64) -> Position {
    Position::new(Era(era), Revision(revision))
}

#[test]
fn healthy_watch() {
    let mut lag = Lag::default();
    lag.record_store(at(0), position(0, 5), position(0, 5));
    assert_eq!(lag.give_up_watch_at(), None);
    // A read may see a change before the watch reports it.
    lag.record_store(at(1_000), position(0, 6), position(0, 5));
    assert!(lag.give_up_watch_at().is_some_and(|give_up| give_up > at(1_200)));
    lag.record_facts(position(0, 6));
    assert_eq!(lag.give_up_watch_at(), None);
    assert_eq!(lag.duration(at(2_000)), None);
}

#[test]
fn lost_watch() {
    let mut lag = Lag::default();
    lag.record_store(at(1_000), position(0, 6), position(0, 5));
    let give_up_at = lag.give_up_watch_at();
    assert!(give_up_at.is_some_and(|give_up| give_up <= at(1_500)));
    // Further changes do not extend the time.
    lag.record_store(at(1_300), position(0, 7), position(0, 5));
    lag.record_facts(position(0, 6));
    assert_eq!(lag.give_up_watch_at(), give_up_at);
    assert_eq!(lag.duration(at(2_000)), Some(Duration::from_millis(1_000)));
}

#[test]
fn restored_store() {
    let mut lag = Lag::default();
    lag.record_store(at(0), position(0, 90), position(0, 90));
    lag.record_store(at(1_000), position(1, 40), position(0, 90));
    assert!(lag.give_up_watch_at().is_some());
    lag.record_facts(position(1, 40));
    assert_eq!(lag.give_up_watch_at(), None);
}

/// One read with a wrong position does not make all later watches give up.
#[test]
fn wrong_position() {
    let mut lag = Lag::default();
    lag.record_store(at(0), position(9, 9_000), position(0, 5));
    assert!(lag.give_up_watch_at().is_some());
    lag.record_store(at(1_000), position(0, 5), position(0, 5));
    assert_eq!(lag.give_up_watch_at(), None);
}
