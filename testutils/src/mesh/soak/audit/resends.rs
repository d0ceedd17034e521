//! Checks that a pool gets few resends in each window. See "Platform's limit on resends" in
//! docs/design/declining-pools.md.

use std::time::{Duration, Instant};

/// The most resends: a share of the requests (`retry_budget_ratio`) plus a constant (`budget_slack`, of
/// which this is the smallest value).
pub const MAX_SHARE: f64 = 0.2;
/// See [`MAX_SHARE`].
pub const SLACK: f64 = 48.0;
/// The window over which they are counted (`budget_window_s`).
const WINDOW: Duration = Duration::from_secs(10);

/// The requests for a pool and their arrivals at its servers.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    requests: Vec<Instant>,
    resends: Vec<Instant>,
}

impl Audit {
    /// Records a request and the times at which it arrived at servers, including those that declined it.
    pub fn record(&mut self, sent_at: Instant, mut arrivals: Vec<Instant>) {
        arrivals.sort();
        self.requests.push(sent_at);
        self.resends.extend(arrivals.into_iter().skip(1));
    }

    /// Checks the windows that begin with a resend, since nobody knows where the windows of the platform
    /// begin. Returns the worst one that breaks the bound.
    pub fn check(&self, pool: &str) -> Option<String> {
        let broken = self.resends.iter().filter_map(|from| {
            let resends = count(&self.resends, *from);
            let starts = [Some(*from), from.checked_sub(WINDOW), from.checked_sub(WINDOW / 2)];
            let requests =
                starts.into_iter().flatten().map(|start| count(&self.requests, start)).max()?;
            let allowed = requests as f64 * MAX_SHARE + SLACK;
            (resends as f64 > allowed).then_some((resends, requests, allowed))
        });
        let excess = |window: &(usize, usize, f64)| window.0 as f64 - window.2;
        let (resends, requests, allowed) = broken.max_by(|a, b| excess(a).total_cmp(&excess(b)))?;
        Some(format!(
            "{resends} resends within {WINDOW:?} at {pool}, {allowed:.1} allowed for {requests} requests"
        ))
    }
}

/// Returns the number of times in the window from a time on.
fn count(times: &[Instant], from: Instant) -> usize {
    times.iter().filter(|at| (from..from + WINDOW).contains(*at)).count()
}
