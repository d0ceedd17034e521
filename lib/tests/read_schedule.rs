//! Reads of the platform by the nodes of a data centre during an outage, in virtual time.

use {
    monsoon_lib::{
        mesh::read_schedule::{Place, ReadSchedule, Role},
        time::Instant,
    },
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(100);

/// Returns the times of the failed reads of all nodes, of which the first is the reader.
fn failed_reads(nodes: usize, outage: Duration) -> Vec<(usize, Instant)> {
    let mut schedules: Vec<ReadSchedule> = (0..nodes).map(|_| ReadSchedule::default()).collect();
    let start = Instant::from_millis(1_000);
    let mut reads = Vec::new();
    let mut now = start;
    while now < start + outage {
        for (rank, schedule) in schedules.iter_mut().enumerate() {
            let role = if rank == 0 { Role::Reader } else { Role::Prober };
            let place = Place { rank, nodes };
            if schedule.is_due(now, role, place) {
                reads.push((rank, now));
                schedule.record_failure(now, role, place);
            }
        }
        now += STEP;
    }
    reads
}

/// All nodes of the data centre wait for the reader when the platform is back, however many they are.
#[test]
fn reader_keeps_trying() {
    for nodes in [1, 4, 39, 120] {
        let reads = failed_reads(nodes, Duration::from_secs(30));
        let reader: Vec<Instant> =
            reads.iter().filter(|(rank, _)| *rank == 0).map(|(_, at)| *at).collect();
        let longest = reader.windows(2).map(|pair| pair[1] - pair[0]).max().expect("reads");
        assert!(longest <= Duration::from_secs(1), "{nodes} nodes: {longest:?}");
    }
}

/// The load on a failing platform does not grow with the number of nodes.
#[test]
fn bounded_load() {
    const MAX_READS_PER_S: usize = 6;
    for nodes in [4, 39, 120, 780] {
        let seconds = 30;
        let reads = failed_reads(nodes, Duration::from_secs(seconds as u64)).len();
        assert!(reads <= MAX_READS_PER_S * seconds, "{nodes} nodes: {reads} reads");
    }
}

/// If the reader alone is cut off, another node of the data centre reads within a second.
#[test]
fn probers_take_turns() {
    let reads = failed_reads(39, Duration::from_secs(10));
    let others: Vec<Instant> =
        reads.iter().filter(|(rank, _)| *rank > 0).map(|(_, at)| *at).collect();
    assert!(others[0] - Instant::from_millis(1_000) <= Duration::from_secs(1));
    let longest = others.windows(2).map(|pair| pair[1] - pair[0]).max().expect("reads");
    assert!(longest <= Duration::from_secs(1), "{longest:?}");
}

#[test]
fn follower_does_not_read() {
    let mut schedule = ReadSchedule::default();
    let place = Place { rank: 3, nodes: 10 };
    for ms in (0..10_000).step_by(100) {
        assert!(!schedule.is_due(Instant::from_millis(ms), Role::Follower, place));
    }
}

/// Guards against nodes that read too late for a change to be in force in time, because the reader is lost
/// together with those that come next.
#[test]
fn lost_successors() {
    const EARLY: Duration = Duration::from_millis(300);
    for nodes in [4, 39, 260] {
        for rank in 1..8.min(nodes) {
            let mut schedule = ReadSchedule::default();
            let place = Place { rank, nodes };
            let first = (0..10_000).step_by(10).map(Instant::from_millis);
            let first = first.into_iter().find(|now| schedule.is_due(*now, Role::Prober, place));
            let first = first.expect("each node reads at some time");
            assert!(first - Instant::ZERO <= EARLY, "rank {rank} of {nodes} after {first}");
        }
    }
}
