//! The lifecycle of a request: admission, selection of targets, and handling of each result.

use {
    super::{
        Node,
        attempt::{Attempt, AttemptResult, ForwardedRequest, NextStep},
    },
    crate::{
        admission::CallResult,
        call::{Outcome, Reason, Refusal},
        id,
        key::Digest,
        mesh::{
            evacuation::NO_TARGET_RETRY_AFTER,
            gate::Rank,
            resend::Need,
            scarcity::{Class, Path},
            standing::Standing,
            table::Route,
        },
        pressure::Share,
        time::Instant,
    },
    std::{collections::BTreeSet, net::IpAddr, sync::Arc, time::Duration},
};

/// The shortest time that a target needs. A request with less time left is not sent.
const MIN_RUN_TIME: Duration = Duration::from_millis(5);
/// The retry delay is limited to the caller's remaining time divided by this number.
const RETRY_AFTER_DIVISOR: u32 = 3;
/// The largest number of attempts for one request, including those refused by the admission control
/// of the target's node, but not those that targets declined.
const MAX_ATTEMPTS: usize = 5;
/// The largest number of attempts including those that targets declined. At a pool that declines 55 %
/// of its calls, 5 attempts would let only 0.81 of the chains of four calls through; 10 let through
/// 0.99.
const MAX_SENDS: usize = 10;
/// The number of levels of nested calls that share the resend budget if calls can't be traced to
/// runs. The calls of a repeated run count as repeats, so each level may use only a fraction.
const UNTRACED_CALL_LEVELS: f64 = 4.0;
/// The fraction of the resend budget that is available to requests that a target ran and failed.
/// Most fail because one of their own calls failed, and each repeat makes all of its calls again.
const FAILED_RUN_FRACTION: f64 = 0.2;
/// The fraction of the resend budget that is available to requests whose answer was lost. The calls
/// of a repeated run count as repeats too, so repeats at several levels of a chain add up.
const LOST_RUN_FRACTION: f64 = 0.8;

/// The properties of a request that decide on its routing and admission.
#[derive(Clone, Debug)]
pub struct Head {
    /// The request id chosen by the caller.
    pub request: String,
    /// The host, without a port, in lower case.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The digest of the key, if the request has one.
    pub key: Option<Digest>,
    /// The time that the caller waits for an answer, if it says so.
    pub caller_timeout: Option<Duration>,
    /// A hash of method, path, query and body. Requests with the same hash are considered equal.
    pub content_hash: u64,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request id chosen by the caller.
    pub request: String,
    /// The route that matches the request.
    pub route: Arc<Route>,
    /// The pool that the request is sent to.
    pub pool: id::Pool,
    /// The account that the request is charged to.
    pub account: Option<id::Account>,
    /// The queueing order of the request.
    pub rank: Rank,
    /// The order of admission if the request came from a client while a pool below its route was
    /// scarce. Nothing else depends on it.
    pub standing: Option<Standing>,
    /// Whether a client sent the request, and not a run that this node knows.
    pub is_direct: bool,
    /// The time after which the caller does not wait for an answer any more.
    pub deadline: Instant,
    /// The arrival time of the request.
    pub arrived: Instant,
    /// The targets that the request was sent to.
    pub(super) attempted: Vec<id::Vm>,
    /// The number of attempts in which a target may have run the request.
    pub(super) possible_runs: u32,
    /// The targets that reported that they did not run the request. They may be attempted again.
    pub(super) declined: Vec<id::Vm>,
    pub(super) refusal: Option<Refusal>,
    /// Whether the request is a call of a run that repeats an earlier one.
    pub(super) is_repeat: bool,
    /// A hash of account and content, which identifies requests that crash targets.
    pub(super) fingerprint: u64,
    /// The hash of the client's request that the call follows from, as a number between 0 and 1.
    pub(super) hash_fraction: f64,
    /// The share at which the client's request was admitted.
    pub(super) admitted: Share,
    /// Whether the last attempt reached the gate of a target, which counted it, and did not run.
    pub(super) is_resend: bool,
}

impl Node {
    /// Selects the target of the next attempt, never one of an evacuated data centre.
    ///
    /// Peers in `unresponsive` have not answered in time; they are used only if there is no other, and
    /// only for idempotent requests: of a request that is sent to a peer behind a partition nobody
    /// knows whether it ran.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no target can take the request.
    pub fn next_attempt(
        &mut self,
        now: Instant,
        call: &mut Call,
        unresponsive: &BTreeSet<IpAddr>,
    ) -> Result<Attempt, Refusal> {
        let remaining = call.deadline - now;
        if remaining < MIN_RUN_TIME {
            return Err(self.give_up(now, call, Refusal::not_run(Reason::Deadline)));
        }
        let no_target = Refusal::not_run(Reason::NoTarget).after(NO_TARGET_RETRY_AFTER);
        let attempts = call.attempted.len() - call.declined.len();
        if attempts >= MAX_ATTEMPTS || call.attempted.len() >= MAX_SENDS {
            return Err(self.give_up(now, call, no_target));
        }
        let mut exclude = call.attempted.clone();
        let mut avoid = Vec::new();
        let silent = self.peers.silent_data_centres(now, unresponsive);
        for target in self.fleet.iter().filter(|target| target.pool == call.pool) {
            let host = target.address.ip();
            let is_unresponsive =
                unresponsive.contains(&host) || silent.contains(&target.data_centre);
            let is_unsafe = is_unresponsive && !call.route.is_idempotent();
            if is_unsafe || !self.peers.is_usable(now, host) {
                exclude.push(target.name.clone());
            } else if is_unresponsive {
                avoid.push(target.name.clone());
            }
        }
        avoid.extend(exclude.iter().cloned());
        self.record_own_load(now, &call.pool);
        let picker = self.pickers.get_mut(&call.pool);
        let target = picker.and_then(|picker| {
            let first_choice = picker.pick(now, &avoid).or_else(|| picker.pick(now, &exclude));
            // A target that sheds some of its calls may accept the next one.
            exclude.retain(|target| !call.declined.contains(target));
            first_choice.or_else(|| picker.pick(now, &exclude))
        });
        let Some(target) = target else {
            return Err(self.give_up(now, call, no_target));
        };
        let Some(host) = self.fleet.get(&target).map(|target| target.address.ip()) else {
            return Err(self.give_up(now, call, no_target));
        };
        if let Some(picker) = self.pickers.get_mut(&call.pool) {
            picker.call_started(&target);
        }
        call.attempted.push(target.clone());
        Ok(Attempt { is_own: host == self.settings.host, target, host, remaining })
    }

    /// Returns the form of a request that is sent to the node of the target.
    pub fn forwarded_request(
        &self,
        now: Instant,
        call: &Call,
        attempt: &Attempt,
    ) -> ForwardedRequest {
        ForwardedRequest {
            request: call.request.clone(),
            target: attempt.target.clone(),
            caller: self.settings.pool.clone(),
            account: call.account.clone(),
            rank: call.rank,
            is_repeat: call.is_repeat || call.possible_runs > 0,
            is_idempotent: call.route.is_idempotent(),
            fingerprint: call.fingerprint,
            objective: call.route.objective.saturating_sub(now - call.arrived),
            remaining: attempt.remaining,
            admitted: call.admitted,
            is_resend: call.is_resend && self.settings.is_entry_admission_enabled,
            route: Some(call.route.name.clone()),
        }
    }

    /// Records that the caller does not wait for an attempt any more.
    pub fn cancel_attempt(
        &mut self,
        now: Instant,
        call: &Call,
        attempt: &Attempt,
        latency: Duration,
    ) {
        let latency = self.service_latency(now, &attempt.target, latency);
        if let Some(picker) = self.pickers.get_mut(&call.pool) {
            picker.call_finished(now, &attempt.target, CallResult::Cancelled, latency);
        }
    }

    /// Records the result of an attempt and decides on the next step.
    pub fn finish_attempt(
        &mut self,
        now: Instant,
        call: &mut Call,
        attempt: &Attempt,
        result: AttemptResult,
        latency: Duration,
    ) -> NextStep {
        let latency = self.service_latency(now, &attempt.target, latency);
        if let Some(picker) = self.pickers.get_mut(&call.pool) {
            picker.call_finished(now, &attempt.target, call_result_of(result), latency);
        }
        call.is_resend = match result {
            // No gate has counted this attempt.
            AttemptResult::Refused(refusal) if refusal.reason != Reason::Overload => call.is_resend,
            AttemptResult::Refused(_) | AttemptResult::Declined(_) => true,
            // A repeated run is further demand.
            AttemptResult::Answered { .. } | AttemptResult::Lost(_) => false,
        };
        match result {
            AttemptResult::Answered { has_failed } => {
                call.possible_runs += 1;
                match has_failed
                    && !self.is_contended_below(now, call)
                    && self.may_run_again(now, call, FAILED_RUN_FRACTION)
                {
                    true => NextStep::Resend,
                    false => NextStep::Answer,
                }
            }
            AttemptResult::Refused(refusal) => {
                call.refusal = Some(with_shorter_delay(call.refusal, refusal));
                NextStep::Resend
            }
            AttemptResult::Declined(refusal) => {
                call.refusal = Some(with_shorter_delay(call.refusal, refusal));
                call.declined.push(attempt.target.clone());
                match self.may_resend(now, call, 1.0) {
                    true => NextStep::Resend,
                    false => NextStep::Refuse(self.give_up(now, call, refusal)),
                }
            }
            AttemptResult::Lost(reason) => {
                call.possible_runs += 1;
                match self.may_run_again(now, call, LOST_RUN_FRACTION) {
                    true => NextStep::Resend,
                    false => NextStep::Refuse(Refusal::unknown(reason)),
                }
            }
        }
    }

    /// Returns the latency of an attempt if it tells how fast the target is. With a limit on its
    /// requests per second, a fast target has slow answers, since its calls wait to start.
    fn service_latency(
        &self,
        now: Instant,
        target: &id::Vm,
        latency: Duration,
    ) -> Option<Duration> {
        let is_limited = self.limited_targets.contains(target) || self.is_cold(now, target);
        (!is_limited).then_some(latency)
    }

    /// Returns whether calls are refused or declined at a pool below the request's. A run
    /// that failed has most likely failed for that, and its repeat would make all of its calls again
    /// and use up the resends of others.
    fn is_contended_below(&self, now: Instant, call: &Call) -> bool {
        let path = Path { route: &call.route.name, pool: &call.pool };
        self.tracker.is_contended_below(now, path)
    }

    fn may_run_again(&mut self, now: Instant, call: &Call, share: f64) -> bool {
        call.route.is_idempotent()
            && call.possible_runs < call.route.attempts
            && call.deadline - now > MIN_RUN_TIME
            && self.may_resend(now, call, share)
    }

    /// Takes a resend from the budget, of which `share`, between 0 and 1, may be used.
    fn may_resend(&mut self, now: Instant, call: &Call, share: f64) -> bool {
        let share = match self.runs.is_traceable(now) {
            true => share,
            false => share.min(1.0 / UNTRACED_CALL_LEVELS),
        };
        let need = Need {
            class: Class::from(call.rank),
            is_direct: call.is_direct,
            hash_fraction: call.hash_fraction,
            share,
        };
        self.resend_budget(now, &call.pool).try_acquire(now, need).is_ok()
    }

    /// Returns the final refusal of a request that is not sent again, and refunds its token if it
    /// did not run.
    fn give_up(&mut self, now: Instant, call: &Call, last: Refusal) -> Refusal {
        if call.possible_runs > 0 {
            return Refusal::unknown(Reason::Broken);
        }
        if let Some(account) = &call.account {
            self.rate_limiter.refund(account);
        }
        let refusal = call.refusal.map_or(last, |refusal| with_delay_of(refusal, last));
        let max_delay = (call.deadline - now) / RETRY_AFTER_DIVISOR;
        Refusal { retry_after: refusal.retry_after.map(|wait| wait.min(max_delay)), ..refusal }
    }
}

/// Returns the refusal of a request whose node could not be reached with the retry delay of the last
/// one, since another target may be in reach by then. Other refusals keep their delay, or none.
fn with_delay_of(refusal: Refusal, last: Refusal) -> Refusal {
    match refusal {
        Refusal { reason: Reason::NoTarget, retry_after: None, .. } => {
            Refusal { retry_after: last.retry_after, ..refusal }
        }
        _ => refusal,
    }
}

/// Returns the refusal with the shorter retry delay.
fn with_shorter_delay(previous: Option<Refusal>, refusal: Refusal) -> Refusal {
    let wait = |refusal: &Refusal| refusal.retry_after.unwrap_or(Duration::MAX);
    previous.filter(|previous| wait(previous) <= wait(&refusal)).unwrap_or(refusal)
}

fn call_result_of(result: AttemptResult) -> CallResult {
    match result {
        AttemptResult::Answered { has_failed: false } => CallResult::Ok,
        AttemptResult::Answered { has_failed: true } => CallResult::Failed,
        AttemptResult::Refused(refusal) | AttemptResult::Declined(refusal) => match refusal.outcome
        {
            Outcome::NotRun
                if matches!(
                    refusal.reason,
                    // A wait that used up the time of the request is no fault of the target.
                    Reason::Deadline | Reason::Evacuated | Reason::Leaving | Reason::Overload
                ) =>
            {
                CallResult::Shed
            }
            _ => CallResult::Broken,
        },
        AttemptResult::Lost(_) => CallResult::Broken,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a request that was not sent and whose caller is not told when to come back.
    #[test]
    fn retry_delay() {
        let last = Refusal::not_run(Reason::NoTarget).after(NO_TARGET_RETRY_AFTER);
        assert_eq!(with_delay_of(Refusal::not_run(Reason::NoTarget), last), last);
        let crasher = Refusal::not_run(Reason::Crasher);
        assert_eq!(with_delay_of(crasher, last), crasher);
        let overload = Refusal::not_run(Reason::Overload).after(NO_TARGET_RETRY_AFTER * 2);
        assert_eq!(with_delay_of(overload, last), overload);
    }
}
