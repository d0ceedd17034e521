//! The way of one request: checks, choice of a target, and what follows from each result.

use {
    super::Node,
    crate::{
        admission::CallResult,
        call::{Outcome, Reason, Refusal},
        id,
        key::Digest,
        mesh::{
            gate::{Ask, Rank},
            lineage::{self, Lineage},
            table::Route,
        },
        time::Instant,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeSet, HashMap},
        hash::{Hash as _, Hasher as _},
        net::IpAddr,
        sync::Arc,
        time::Duration,
    },
};

/// When a caller may come back to a node that has no tables or may not trust them.
const RETRY_NO_TABLES: Duration = Duration::from_millis(500);
/// When a caller may come back after a request that no target could take.
const RETRY_NO_TARGET: Duration = Duration::from_millis(400);
/// The least time that a target needs; a request with less is refused.
const LEAST_RUN: Duration = Duration::from_millis(5);
/// The part of a caller's remaining time above which it does not wait to come back.
const RETRY_SHARE: u32 = 3;
/// The sends of one request, those to nodes that refused it at their gate included.
const MAX_SENDS: usize = 5;
/// The levels of lots in a queue. Calls of equal rank and level run in the order in which they are due.
const LOT_LEVELS: u8 = 16;
/// The levels of calls that share the bound on resends where calls can't be traced to runs. The calls
/// of a repeated run count as repeats, so each level may use only a part.
const UNTRACED_LEVELS: f64 = 4.0;
/// The part of the bound on resends that is left to requests which a target ran and failed. Most fail for
/// want of a call, and each repeat makes all of its calls once more.
const FAILED_SHARE: f64 = 0.25;
/// The time missing from a route's usual deadline that shows a caller's second try.
const SECOND_TRY_GAP: Duration = Duration::from_millis(60);

/// What a node has to know of a request to decide on it.
#[derive(Clone, Debug)]
pub struct Head {
    /// The caller's id of the request.
    pub request: String,
    /// The host, without a port, in lower case.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The digest of the key, where there is one.
    pub key: Option<Digest>,
    /// The time for which the caller waits, where it says so.
    pub patience: Option<Duration>,
    /// The digest of what makes requests equal: method, path, query and body.
    pub content: u64,
}

/// A request that passed all checks.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's id of the request.
    pub request: String,
    /// The route.
    pub route: Arc<Route>,
    /// The pool that runs it.
    pub pool: id::Pool,
    /// The account that pays.
    pub account: Option<id::Account>,
    /// Its place among others.
    pub rank: Rank,
    /// When the caller's time is over.
    pub deadline: Instant,
    /// When it came in.
    pub arrived: Instant,
    /// The targets that it was sent to.
    tried: Vec<id::Vm>,
    /// The targets that may have run it.
    runs: u32,
    /// The targets that declared that they did not run it. They may be tried again.
    declined: Vec<id::Vm>,
    refusal: Option<Refusal>,
    /// Whether it belongs to a run that repeats an earlier one.
    is_repeat: bool,
    /// The digest of account and content.
    fingerprint: u64,
    /// Its number among the requests from which calls follow, between 0 and 1.
    lot: f64,
}

/// The target of the next send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Send {
    /// The target's life.
    pub target: id::Vm,
    /// The VM of the target and of its node.
    pub host: IpAddr,
    /// Whether the target is this node's own.
    pub is_own: bool,
    /// The time that is left.
    pub remaining: Duration,
}

/// How a send ended, without the answer itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Returned {
    /// The target ran it and gave a whole answer.
    Answered {
        /// Whether the target says that it failed.
        has_failed: bool,
    },
    /// It was refused before it reached a target.
    Refused(Refusal),
    /// It reached the target, which says that it did not run it.
    Declined(Refusal),
    /// It may have run.
    Lost(Reason),
}

/// What follows from the end of a send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// The answer goes to the caller.
    Answer,
    /// It is sent once more.
    Again,
    /// The caller gets a refusal.
    Refuse(Refusal),
}

/// What goes to the node of the target with a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Served {
    /// The caller's id of the request.
    pub request: String,
    /// The target's life.
    pub target: id::Vm,
    /// The pool of the VM at which the request began.
    pub caller: id::Pool,
    /// The account that pays.
    pub account: Option<id::Account>,
    /// Its place among others.
    pub rank: Rank,
    /// Whether it repeats an earlier send, or belongs to a run that does.
    pub is_repeat: bool,
    /// Whether a second run does no harm.
    pub is_idempotent: bool,
    /// The digest of account and content, by which a request that crashes targets is known again.
    pub fingerprint: u64,
    /// What is left of the latency objective.
    pub objective: Duration,
    /// The time that is left.
    pub remaining: Duration,
}

impl Served {
    /// Returns what the gate has to know.
    pub fn ask(&self, now: Instant) -> Ask {
        Ask { rank: self.rank, objective: self.objective, deadline: now + self.remaining }
    }
}

/// The longest patience seen on each route. A caller that comes back after a refusal has less.
#[derive(Debug, Default)]
pub struct Horizon {
    longest: HashMap<id::Route, Duration>,
}

impl Horizon {
    /// Returns the time that the caller has spent on earlier tries.
    fn spent(&mut self, route: &id::Route, patience: Duration) -> Duration {
        let longest = self.longest.entry(route.clone()).or_default();
        *longest = patience.max(*longest);
        *longest - patience
    }
}

impl Node {
    /// Checks a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal as not run where the tables, the key or the sold rate do not allow it.
    pub fn admit(&mut self, now: Instant, head: &Head) -> Result<Call, Refusal> {
        let stale = Refusal::not_run(Reason::NoTables).after(RETRY_NO_TABLES);
        let table = self.table.clone().ok_or(stale)?;
        let route = table.route(&head.host, &head.path);
        let route = route.ok_or(Refusal::not_run(Reason::NoRoute))?;
        let mut account = head.key.as_ref().and_then(|key| table.account_of(key));
        if table.is_keyed() && !self.lease.is_valid(now) {
            if !route.is_open {
                return Err(stale);
            }
            account = None;
        }
        if table.is_keyed() && !route.is_open && account.is_none() {
            return Err(Refusal::not_run(Reason::Key));
        }
        let fingerprint = fingerprint(account.map(|account| &account.name), head.content);
        self.suspects.check(fingerprint)?;
        let patience = head.patience.unwrap_or(route.timeout);
        let spent = self.horizon.spent(&route.name, patience);
        let pool = self.wheels.entry(route.name.clone()).or_default().next(&route.parts);
        let pool = pool.ok_or(Refusal::not_run(Reason::NoRoute))?;
        let is_first = spent < SECOND_TRY_GAP;
        if let Some(account) = account {
            let paid = self.meters.take(now, &account.name);
            paid.map_err(|wait| Refusal::not_run(Reason::Rate).after(wait))?;
        }
        let lineage = self.runs.of_call(now, &head.request);
        let lot = lineage::lot(&head.request);
        let rank = match lineage {
            // The work of the run is lost with the call, so calls go before most requests.
            Some(Lineage { rank, .. }) => Rank { lot: level(lot) / 2, ..rank },
            None => Rank {
                account: account.map_or(0, |account| account.rank),
                route: route.rank,
                is_first,
                lot: level(lot),
            },
        };
        let is_repeat = lineage.is_some_and(|lineage| lineage.is_repeat);
        self.resends(now, &pool).first_send(now, is_repeat);
        Ok(Call {
            request: head.request.clone(),
            account: account.map(|account| account.name.clone()),
            route: route.clone(),
            pool,
            rank,
            deadline: now + patience.min(route.timeout),
            arrived: now,
            tried: Vec::new(),
            runs: 0,
            declined: Vec::new(),
            refusal: None,
            is_repeat,
            fingerprint,
            lot,
        })
    }

    /// Chooses the target of the next send. `quiet` are peers from which an answer is overdue; they
    /// are used only where there is no other.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller where no target can take the request.
    pub fn send(
        &mut self,
        now: Instant,
        call: &mut Call,
        quiet: &BTreeSet<IpAddr>,
    ) -> Result<Send, Refusal> {
        let remaining = call.deadline - now;
        if remaining < LEAST_RUN {
            return Err(self.give_up(now, call, Refusal::not_run(Reason::Deadline)));
        }
        let none = Refusal::not_run(Reason::NoTarget).after(RETRY_NO_TARGET);
        if call.tried.len() >= MAX_SENDS {
            return Err(self.give_up(now, call, none));
        }
        let mut exclude = call.tried.clone();
        let mut avoid = Vec::new();
        for target in self.fleet.iter().filter(|target| target.pool == call.pool) {
            let host = target.address.ip();
            if !self.peers.is_usable(now, host) {
                exclude.push(target.name.clone());
            } else if quiet.contains(&host) {
                avoid.push(target.name.clone());
            }
        }
        avoid.extend(exclude.iter().cloned());
        let picker = self.pickers.get_mut(&call.pool);
        let target = picker.and_then(|picker| {
            let untried = picker.pick(now, &avoid).or_else(|| picker.pick(now, &exclude));
            // A target that sheds a part of its calls may take the next one.
            exclude.retain(|target| !call.declined.contains(target));
            untried.or_else(|| picker.pick(now, &exclude))
        });
        let Some(target) = target else {
            return Err(self.give_up(now, call, none));
        };
        let Some(host) = self.fleet.get(&target).map(|target| target.address.ip()) else {
            return Err(self.give_up(now, call, none));
        };
        if let Some(picker) = self.pickers.get_mut(&call.pool) {
            picker.call_started(&target);
        }
        call.tried.push(target.clone());
        Ok(Send { is_own: host == self.settings.host, target, host, remaining })
    }

    /// Returns what the node of the target gets to know of a request.
    pub fn served(&self, now: Instant, call: &Call, send: &Send) -> Served {
        Served {
            request: call.request.clone(),
            target: send.target.clone(),
            caller: self.settings.pool.clone(),
            account: call.account.clone(),
            rank: call.rank,
            is_repeat: call.is_repeat || call.runs > 0,
            is_idempotent: call.route.idempotent,
            fingerprint: call.fingerprint,
            objective: call.route.objective.saturating_sub(now - call.arrived),
            remaining: send.remaining,
        }
    }

    /// Notes that nobody waits for a send any more.
    pub fn cancelled(&mut self, now: Instant, call: &Call, send: &Send, latency: Duration) {
        if let Some(picker) = self.pickers.get_mut(&call.pool) {
            picker.call_finished(now, &send.target, CallResult::Cancelled, latency);
        }
    }

    /// Decides what follows from the end of a send.
    pub fn returned(
        &mut self,
        now: Instant,
        call: &mut Call,
        send: &Send,
        returned: Returned,
        latency: Duration,
    ) -> Next {
        if let Some(picker) = self.pickers.get_mut(&call.pool) {
            picker.call_finished(now, &send.target, kind(returned), latency);
        }
        match returned {
            Returned::Answered { has_failed } => {
                call.runs += 1;
                match has_failed && self.may_run_again(now, call, FAILED_SHARE) {
                    true => Next::Again,
                    false => Next::Answer,
                }
            }
            Returned::Refused(refusal) => {
                call.refusal = Some(sooner(call.refusal, refusal));
                Next::Again
            }
            Returned::Declined(refusal) => {
                call.refusal = Some(sooner(call.refusal, refusal));
                call.declined.push(send.target.clone());
                match self.may_resend(now, call, 1.0) {
                    true => Next::Again,
                    false => Next::Refuse(self.give_up(now, call, refusal)),
                }
            }
            Returned::Lost(reason) => {
                call.runs += 1;
                match self.may_run_again(now, call, 1.0) {
                    true => Next::Again,
                    false => Next::Refuse(Refusal::unknown(reason)),
                }
            }
        }
    }

    fn may_run_again(&mut self, now: Instant, call: &Call, share: f64) -> bool {
        call.route.idempotent
            && call.runs < call.route.attempts
            && call.deadline - now > LEAST_RUN
            && self.may_resend(now, call, share)
    }

    /// Takes a resend out of a share of the bound, between 0 and 1.
    fn may_resend(&mut self, now: Instant, call: &Call, share: f64) -> bool {
        let share = match self.runs.is_traced(now) {
            true => share,
            false => share.min(1.0 / UNTRACED_LEVELS),
        };
        self.resends(now, &call.pool).take(now, call.lot, share)
    }

    /// Returns the refusal of a request that is sent no more.
    fn give_up(&mut self, now: Instant, call: &Call, last: Refusal) -> Refusal {
        if call.runs > 0 {
            return Refusal::unknown(Reason::Broken);
        }
        if let Some(account) = &call.account {
            self.meters.give_back(account);
        }
        let refusal = call.refusal.unwrap_or(last);
        let longest = (call.deadline - now) / RETRY_SHARE;
        Refusal { retry_after: refusal.retry_after.map(|wait| wait.min(longest)), ..refusal }
    }
}

fn fingerprint(account: Option<&id::Account>, content: u64) -> u64 {
    let mut hash = siphasher::sip::SipHasher13::new();
    account.hash(&mut hash);
    content.hash(&mut hash);
    hash.finish()
}

/// The place of a lot among [`LOT_LEVELS`].
fn level(lot: f64) -> u8 {
    (lot * f64::from(LOT_LEVELS)).min(f64::from(LOT_LEVELS - 1)) as u8
}

/// Of two refusals, returns the one that lets the caller come back sooner.
fn sooner(before: Option<Refusal>, refusal: Refusal) -> Refusal {
    let wait = |refusal: &Refusal| refusal.retry_after.unwrap_or(Duration::MAX);
    before.filter(|before| wait(before) <= wait(&refusal)).unwrap_or(refusal)
}

fn kind(returned: Returned) -> CallResult {
    match returned {
        Returned::Answered { has_failed: false } => CallResult::Ok,
        Returned::Answered { has_failed: true } => CallResult::Failed,
        Returned::Refused(refusal) | Returned::Declined(refusal) => match refusal.outcome {
            Outcome::NotRun if matches!(refusal.reason, Reason::Overload | Reason::Leaving) => {
                CallResult::Shed
            }
            _ => CallResult::Broken,
        },
        Returned::Lost(_) => CallResult::Broken,
    }
}
