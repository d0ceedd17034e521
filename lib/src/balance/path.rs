//! The additional time of calls to targets in other data centres.
//!
//! A target's node does not see the network, so that a reported latency lacks it. Without it, nearly
//! full pools send more calls to other data centres than callers gain from.

/// The weight of a call in the moving averages. The times of calls vary by much more than the path
/// takes.
const SAMPLE_WEIGHT: f64 = 0.02;

/// How much longer calls take than targets report, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Path {
    local_s: f64,
    remote_s: f64,
}

impl Path {
    /// Records by how much a call took longer than the target reports.
    pub fn record(&mut self, is_local: bool, excess_s: f64) {
        let mean_s = if is_local { &mut self.local_s } else { &mut self.remote_s };
        *mean_s += SAMPLE_WEIGHT * (excess_s - *mean_s);
    }

    /// Returns the additional time of a call to another data centre. What else the reports lack is
    /// the same for targets in the local one.
    pub fn remote_s(&self) -> f64 {
        (self.remote_s - self.local_s).max(0.0)
    }
}
