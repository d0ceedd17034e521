//! Clients: open-loop arrivals, patience, and hard retries.

use {
    super::{Event, Sim},
    crate::overload::{
        case::Control,
        fake::{exponential, next_arrival},
        report::Request,
    },
    monsoon_lib::{table::Class, time::Instant},
};

/// One attempt of a client: one root request.
#[derive(Debug)]
pub struct Attempt {
    /// The client's request.
    pub request: usize,
    /// When the client gives up.
    pub deadline: Instant,
    /// The call of the first hop, while there is one.
    pub root: Option<u64>,
    /// The pools in which work on it was started, as bits.
    pub ran: u64,
    /// The own work of all its runs, in seconds.
    pub worked_s: f64,
}

impl Sim<'_> {
    pub(super) fn plan_arrival(&mut self, account: usize, class: Class) {
        let per_s = self.rate_per_s(account, class);
        let at = next_arrival(self.now, per_s, &mut self.rng);
        self.plan(at, Event::Arrive { account, class });
    }

    pub(super) fn arrive(&mut self, account: usize, class: Class) {
        self.plan_arrival(account, class);
        let request = self.requests.len();
        self.requests.push(Request::new(self.now, account, class));
        self.attempt(request);
    }

    pub(super) fn attempt(&mut self, request: usize) {
        self.requests[request].attempts += 1;
        let number = self.number();
        let deadline = self.now + self.case.patience;
        let attempt = Attempt { request, deadline, root: None, ran: 0, worked_s: 0.0 };
        self.attempts.insert(number, attempt);
        self.plan(deadline, Event::GiveUp { attempt: number });
        let ingress = (number % self.nodes.len() as u64) as usize;
        self.send(number, 0, ingress, None, Vec::new());
    }

    /// Ends an attempt with a whole answer.
    pub(super) fn answered(&mut self, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        self.counts.useful_s += attempt.worked_s;
        self.count_root(attempt.ran);
        self.requests[attempt.request].answered = Some(self.now);
    }

    /// Ends an attempt with a refusal or a failure.
    pub(super) fn failed(&mut self, number: u64, is_refusal: bool) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        if is_refusal {
            self.counts.refusals += 1;
            self.counts.wrongful += u64::from(self.has_room());
        }
        self.count_root(attempt.ran);
        self.again(attempt.request);
    }

    pub(super) fn give_up(&mut self, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        let is_cancelling = self.variant.control == Control::Full && self.variant.is_cancelling;
        if is_cancelling && let Some(root) = attempt.root {
            self.cancel(root);
        }
        self.count_root(attempt.ran);
        self.again(attempt.request);
    }

    fn again(&mut self, request: usize) {
        if self.requests[request].attempts >= self.case.attempts {
            return;
        }
        let wait = self.case.backoff.mul_f64(exponential(&mut self.rng));
        self.plan(self.now + wait, Event::Try { request });
    }

    fn count_root(&mut self, ran: u64) {
        for (i, roots) in self.counts.roots.iter_mut().enumerate() {
            *roots += ran >> i & 1;
        }
    }
}
