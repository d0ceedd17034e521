//! Simulated clients with open-loop arrivals, timeouts and retries.

use {
    super::{Event, Sim},
    crate::overload::{
        case::Control,
        fake::{exponential, next_arrival},
        report::Request,
    },
    monsoon_lib::{table::Class, time::Instant},
};

/// A client's attempt at a request. Each attempt sends one root request.
#[derive(Debug)]
pub struct Attempt {
    /// The position of the request in the list of requests.
    pub request: usize,
    /// When the client times out.
    pub deadline: Instant,
    /// The current call of the first hop, if any.
    pub root: Option<u64>,
    /// The pools in which the attempt ran, as a bit set.
    pub pools_run: u64,
    /// The total service time of its runs, in seconds.
    pub work_s: f64,
}

impl Sim<'_> {
    pub(super) fn schedule_arrival(&mut self, account: usize, class: Class) {
        let per_s = self.rate_per_s(account, class);
        let at = next_arrival(self.now, per_s, &mut self.rng);
        self.schedule(at, Event::Arrive { account, class });
    }

    pub(super) fn arrive(&mut self, account: usize, class: Class) {
        self.schedule_arrival(account, class);
        let request = self.requests.len();
        self.requests.push(Request::new(self.now, account, class));
        self.start_attempt(request);
    }

    pub(super) fn start_attempt(&mut self, request: usize) {
        self.requests[request].attempts += 1;
        let attempt_id = self.next_id();
        let deadline = self.now + self.case.client_timeout;
        let attempt = Attempt { request, deadline, root: None, pools_run: 0, work_s: 0.0 };
        self.attempts.insert(attempt_id, attempt);
        self.schedule(deadline, Event::ClientTimeout { attempt: attempt_id });
        let ingress = (attempt_id % self.nodes.len() as u64) as usize;
        self.send(attempt_id, 0, ingress, None, Vec::new());
    }

    /// Ends an attempt with a complete answer.
    pub(super) fn complete_attempt(&mut self, attempt_id: u64) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else { return };
        self.counts.useful_work_s += attempt.work_s;
        self.count_root(attempt.pools_run);
        self.requests[attempt.request].answered = Some(self.now);
    }

    /// Ends an attempt with a refusal or a failure.
    pub(super) fn fail_attempt(&mut self, attempt_id: u64, is_refusal: bool) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else { return };
        if is_refusal {
            self.counts.refusals += 1;
            self.counts.wrongful += u64::from(self.has_idle_slots());
        }
        self.count_root(attempt.pools_run);
        self.schedule_retry(attempt.request);
    }

    pub(super) fn time_out(&mut self, attempt_id: u64) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else { return };
        let cancels = self.variant.control == Control::Full && self.variant.is_cancelling;
        if cancels && let Some(root) = attempt.root {
            self.cancel_call(root);
        }
        self.count_root(attempt.pools_run);
        self.schedule_retry(attempt.request);
    }

    fn schedule_retry(&mut self, request: usize) {
        if self.requests[request].attempts >= self.case.max_attempts {
            return;
        }
        let delay = self.case.backoff.mul_f64(exponential(&mut self.rng));
        self.schedule(self.now + delay, Event::Retry { request });
    }

    fn count_root(&mut self, pools_run: u64) {
        for (i, roots) in self.counts.roots.iter_mut().enumerate() {
            *roots += pools_run >> i & 1;
        }
    }
}
