//! Checks that cold servers get few requests. See part 3 of docs/design/uneven-load.md.

use {
    super::disturbance,
    std::time::{Duration, Instant},
};

/// How long a server is cold after it has started, in seconds.
pub const COLD_START_S: u64 = 6;
/// The requests per second that a cold server takes. Without a bound, each server gets several times
/// as many.
pub const COLD_PER_S: u64 = 4;
/// The tolerance of the platform: `cold_over` and `cold_slack` in the settings of the nodes.
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 8.0;
/// The span over which requests are counted.
const SPAN: Duration = Duration::from_secs(1);
/// The time until a node knows from the store that its server has become cold without a restart.
const ANNOUNCEMENT_LIMIT: Duration = Duration::from_secs(2);

/// How the node beside a server can know that the server is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Witness {
    /// The server has restarted and closed all its connections, so that its node knows at once.
    Restart,
    /// Only the entry of the server in the store and its answers to health checks tell.
    Entry,
}

#[derive(Clone, Copy, Debug)]
struct Period {
    machine: usize,
    witness: Witness,
    from: Instant,
    until: Instant,
}

/// The times in which servers were cold.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    periods: Vec<Period>,
}

impl Audit {
    /// Records that the server of a machine is cold.
    pub fn record(&mut self, machine: usize, witness: Witness, from: Instant, until: Instant) {
        self.periods.push(Period { machine, witness, from, until });
    }

    /// Checks the arrival times of the requests at the server of each machine, without those that it
    /// answered with status 421.
    pub fn check(
        &self,
        disturbances: &disturbance::Log,
        arrivals: impl Fn(usize) -> Vec<Instant>,
    ) -> Vec<String> {
        let check_one = |period: &Period| {
            let machine = period.machine;
            let from = match period.witness {
                Witness::Restart => period.from,
                Witness::Entry => {
                    disturbances.binds_from(machine, period.from, ANNOUNCEMENT_LIMIT)?
                }
            };
            let in_period = |at: &Instant| (from..period.until).contains(at);
            let times = arrivals(machine).into_iter().filter(in_period).collect();
            let (worst, allowed) = (most_in_span(times), max_in_span());
            (worst as f64 > allowed).then(|| {
                format!(
                    "{worst} requests within {SPAN:?} at the cold server of m{machine}, \
                     {allowed} allowed; {period:?}"
                )
            })
        };
        self.periods.iter().filter_map(check_one).collect()
    }
}

fn max_in_span() -> f64 {
    COLD_PER_S as f64 * COLD_OVER + COLD_SLACK
}

fn most_in_span(mut times: Vec<Instant>) -> usize {
    times.sort();
    let in_span =
        |first: usize| times[first..].iter().take_while(|at| **at - times[first] < SPAN).count();
    (0..times.len()).map(in_span).max().unwrap_or(0)
}
