//! The end of runs whose callers have left, and of their calls. It does nothing unless the settings
//! enable it.

use {
    super::{Call, ForwardedRequest, Node},
    crate::{
        call::{Reason, Refusal},
        mesh::{
            lineage,
            linger::{self, Run},
        },
        time::Instant,
    },
    std::time::Duration,
};

impl Node {
    /// Records that the caller of a run on the local target has left. Returns whether the calls that
    /// the run has in progress are to be ended.
    pub fn cancel_run(&mut self, now: Instant, request: &str) -> bool {
        self.settings.is_linger_enabled && self.runs.cancel(now, request)
    }

    /// Returns how much longer the exchange of a cancelled run with the local target may go on, or
    /// `None` if the connection is to be closed now.
    pub fn linger(
        &self,
        now: Instant,
        (started, cancelled): (Instant, Instant),
        forwarded: &ForwardedRequest,
        body_bytes: usize,
    ) -> Option<Duration> {
        let route = forwarded.route.as_ref();
        let is_target_leaving = self.fleet.leaving_since(&forwarded.target).is_some();
        let run = Run {
            started,
            cancelled,
            is_idempotent: forwarded.is_idempotent,
            body_bytes,
            makes_calls: route.is_some_and(|route| self.tracker.has_callees(now, route)),
            mean_time: self.gate.mean_time(now),
            waiting: self.gate.waiting(),
            is_leaving: self.is_leaving || is_target_leaving || self.gate.is_evacuated(),
        };
        linger::decide(now, &run)
    }

    /// Returns the run that makes the call with this id, if the call is to be ended with it.
    pub fn run_to_watch<'a>(&self, call: &'a str) -> Option<&'a str> {
        let run = lineage::run_of(call).filter(|_| self.settings.is_linger_enabled)?;
        self.runs.is_active(run).then_some(run)
    }

    /// Returns whether the call with this id is one of a run that was cancelled lately.
    pub fn is_call_of_cancelled_run(&self, now: Instant, call: &str) -> bool {
        lineage::run_of(call).is_some_and(|run| self.runs.is_cancelled(now, run))
    }

    /// Returns the refusal of a call that is ended because its run was cancelled, and refunds its
    /// token if it did not run. `is_sent` is whether the last attempt may have reached a target.
    pub fn end_call(&mut self, call: &Call, is_sent: bool) -> Refusal {
        if is_sent || call.possible_runs > 0 {
            return Refusal::unknown(Reason::Cancelled);
        }
        if let Some(account) = &call.account {
            self.rate_limiter.refund(account);
        }
        Refusal::not_run(Reason::Cancelled)
    }
}
