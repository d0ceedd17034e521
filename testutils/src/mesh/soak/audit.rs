//! Checks the guarantees of the nodes against what callers and servers observed.

pub mod cold;
pub mod disturbance;
pub mod evacuation;
pub mod resends;

use {
    super::{LIMITED_RATE, PERMANENT_KEY},
    crate::mesh::{Deployment, Reply, server::Run},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// The most time from the withdrawal of a key until every node refuses it (`revoke_ms`).
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);
/// The time in which a node that received SIGTERM completes its requests: `grace_s` without its
/// last sixth.
const GRACE_PERIOD: Duration = Duration::from_secs(5);
/// The window over which a rate limit is checked.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// The most runs in one window: the rate and the burst, plus a quarter and 20 requests of
/// tolerance.
const MAX_RUNS_IN_WINDOW: u64 = (LIMITED_RATE * 5 + LIMITED_RATE) * 5 / 4 + 20;
/// The most time from an answer that says that its server is leaving until the machine that passed it
/// on sends that server no more requests (`drain_ms`).
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// How long after a server first named its limit the limit binds (`stability_ms`).
const LIMIT_SETTLE: Duration = Duration::from_secs(3);
/// The window over which the limits of servers are checked.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// The most requests within the window: this multiple of what the limit allows, plus a constant.
const LIMIT_TOLERANCE: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// The most time until an answer: timeout, grace and a pause, with tolerance for a busy machine.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(8_000);

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The request id.
    pub id: String,
    /// The index of the machine that it was sent to.
    pub machine: usize,
    /// The account that the key belongs to.
    pub account: &'static str,
    /// The key that it carries.
    pub key: String,
    /// Whether it may be executed more than once.
    pub is_idempotent: bool,
    /// When it was sent.
    pub at: Instant,
    /// When the caller received the answer or gave up.
    pub ended: Instant,
    /// The answer, or none if the connection failed.
    pub reply: Option<Reply>,
}

/// One process of a node, from its start to its end.
#[derive(Clone, Copy, Debug)]
struct Incarnation {
    started: Instant,
    leaving: Option<Instant>,
    ended: Option<Instant>,
}

/// A time during which a server was leaving or named a limit.
#[derive(Clone, Copy, Debug)]
struct Period {
    machine: usize,
    /// The limit in requests per second, or none while the server is leaving.
    limit: Option<u32>,
    from: Instant,
    until: Option<Instant>,
}

impl Period {
    fn contains(&self, at: Instant) -> bool {
        at >= self.from && self.until.is_none_or(|until| at < until)
    }
}

/// What was observed during a soak.
#[derive(Debug)]
pub struct Audit {
    /// The requests that callers sent.
    pub sent: Vec<SentRequest>,
    /// Violations found while faults were injected.
    pub violations: Vec<String>,
    /// The times in which servers were cold.
    pub cold: cold::Audit,
    /// The evacuations of zones.
    pub evacuations: evacuation::Audit,
    /// What kept nodes from learning what the store says.
    pub disturbances: disturbance::Log,
    incarnations: Vec<Vec<Incarnation>>,
    withdrawn: HashMap<String, Instant>,
    periods: Vec<Period>,
}

impl Audit {
    /// Creates an audit for the given number of machines, whose nodes start now.
    pub fn new(machines: usize) -> Self {
        let incarnation = Incarnation { started: Instant::now(), leaving: None, ended: None };
        Self {
            sent: Vec::new(),
            violations: Vec::new(),
            cold: cold::Audit::default(),
            evacuations: evacuation::Audit::default(),
            disturbances: disturbance::Log::default(),
            incarnations: vec![vec![incarnation]; machines],
            withdrawn: HashMap::new(),
            periods: Vec::new(),
        }
    }

    /// Records that a node was killed.
    pub fn record_kill(&mut self, machine: usize) {
        if let Some(incarnation) = self.incarnations[machine].last_mut() {
            incarnation.ended = Some(Instant::now());
        }
    }

    /// Records that a node was asked to exit gracefully.
    pub fn record_leave(&mut self, machine: usize) {
        if let Some(incarnation) = self.incarnations[machine].last_mut() {
            incarnation.leaving = Some(Instant::now());
        }
    }

    /// Records that a node was started again.
    pub fn record_start(&mut self, machine: usize) {
        let started = Instant::now();
        self.incarnations[machine].push(Incarnation { started, leaving: None, ended: None });
    }

    /// Records that a server says in all answers that it is leaving.
    pub fn record_departure(&mut self, machine: usize) {
        self.begin_period(machine, None);
    }

    /// Records that a server that was leaving has been started again.
    pub fn record_return(&mut self, machine: usize) {
        self.end_period(machine, |period| period.limit.is_none());
    }

    /// Records that a server names this limit in all answers.
    pub fn record_limit(&mut self, machine: usize, limit: u32) {
        self.begin_period(machine, Some(limit));
    }

    /// Records that a server names no limit any more.
    pub fn record_limit_lifted(&mut self, machine: usize) {
        self.end_period(machine, |period| period.limit.is_some());
    }

    fn begin_period(&mut self, machine: usize, limit: Option<u32>) {
        self.periods.push(Period { machine, limit, from: Instant::now(), until: None });
    }

    fn end_period(&mut self, machine: usize, is_kind: impl Fn(&Period) -> bool) {
        let mut open = self.periods.iter_mut().filter(|period| period.until.is_none());
        if let Some(period) = open.find(|period| period.machine == machine && is_kind(period)) {
            period.until = Some(Instant::now());
        }
    }

    /// Records that a key was withdrawn.
    pub fn record_withdrawal(&mut self, key: String) {
        self.withdrawn.insert(key, Instant::now());
    }

    /// Returns the number of requests that were answered with status 200.
    pub fn served(&self) -> usize {
        self.sent.iter().filter(|sent| sent.status() == Some(200)).count()
    }

    /// Returns all violations, including those found while faults were injected.
    pub fn check(&self, deployment: &Deployment) -> Vec<String> {
        let mut arrivals: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in deployment.machines.iter().flat_map(|machine| machine.server.runs()) {
            let id = run.field("x-request-id").unwrap_or_default().to_owned();
            arrivals.entry(id).or_default().push(run);
        }
        let mut violations = self.violations.clone();
        let none = Vec::new();
        for sent in &self.sent {
            let runs = arrivals.get(&sent.id).unwrap_or(&none);
            let found = self.check_one(sent, runs);
            violations.extend(
                found.map(|violation| format!("{violation}: {sent:?}, {} arrivals", runs.len())),
            );
        }
        violations.extend(self.check_rate(&arrivals));
        violations.extend(self.check_repeats(&arrivals));
        violations.extend(self.check_resends(&arrivals));
        violations.extend(self.check_key_order(&arrivals));
        violations.extend(self.check_departures(&arrivals));
        violations.extend(self.check_limits(deployment));
        let arrival_times: Vec<(String, Vec<Instant>)> = deployment
            .machines
            .iter()
            .map(|machine| {
                let times = machine.server.runs().iter().map(|run| run.at).collect();
                (machine.zone.clone(), times)
            })
            .collect();
        let times_at = |machine: usize| arrival_times[machine].1.clone();
        violations.extend(self.cold.check(&self.disturbances, times_at));
        violations.extend(self.evacuations.check(&self.disturbances, &arrival_times));
        violations
    }

    fn check_one(&self, sent: &SentRequest, arrivals: &[Run]) -> Option<&'static str> {
        let runs: Vec<&Run> = arrivals.iter().filter(|run| run.is_executed).collect();
        let was_executed = !runs.is_empty();
        if !sent.is_idempotent && runs.len() > 1 {
            return Some("non-idempotent request executed more than once");
        }
        if was_executed && matches!(sent.status(), Some(408 | 421 | 429 | 503)) {
            return Some("executed although the status says it was not");
        }
        if runs.iter().any(|run| run.field("authorization").is_some()) {
            return Some("key leaked to a server");
        }
        if runs.iter().any(|run| run.field("x-tenant") != Some(sent.account)) {
            return Some("executed for another account");
        }
        if sent.key == PERMANENT_KEY
            && matches!(sent.status(), Some(400..=407 | 409..=420 | 422..=428))
        {
            return Some("valid request refused");
        }
        let is_late = |at: &Instant| sent.at > *at + WITHDRAWAL_LIMIT;
        if was_executed && self.withdrawn.get(&sent.key).is_some_and(is_late) {
            return Some("executed with a withdrawn key");
        }
        if sent.ended - sent.at >= MAX_ANSWER_TIME {
            return Some("not answered in time");
        }
        if sent.status() == Some(200) && !sent.is_own_answer(&runs) {
            return Some("answered with the answer to another request");
        }
        if sent.reply.is_none() && was_executed && self.is_cut_by_graceful_exit(sent) {
            return Some("connection cut by a node that exited gracefully");
        }
        None
    }

    /// Returns whether the request overlaps with the first half of the grace period of its node,
    /// and the node was not killed.
    fn is_cut_by_graceful_exit(&self, sent: &SentRequest) -> bool {
        self.incarnations[sent.machine].iter().any(|incarnation| {
            let is_in_grace_period =
                |leaving: Instant| sent.ended > leaving && sent.at < leaving + GRACE_PERIOD / 2;
            incarnation.started < sent.at
                && incarnation.ended.is_none()
                && incarnation.leaving.is_some_and(is_in_grace_period)
        })
    }

    fn check_rate(&self, arrivals: &BTreeMap<String, Vec<Run>>) -> Option<String> {
        let limited = |run: &&Run| run.is_executed && run.field("x-tenant") == Some("gamma");
        let mut times: Vec<Instant> =
            arrivals.values().flatten().filter(limited).map(|run| run.at).collect();
        times.sort();
        let in_window = |first: usize| {
            times[first..].iter().take_while(|at| **at - times[first] < RATE_WINDOW).count() as u64
        };
        let worst = (0..times.len()).map(in_window).max().unwrap_or(0);
        (worst > MAX_RUNS_IN_WINDOW).then(|| {
            format!("{worst} runs within {RATE_WINDOW:?}, at most {MAX_RUNS_IN_WINDOW} allowed")
        })
    }

    fn check_repeats(&self, arrivals: &BTreeMap<String, Vec<Run>>) -> Option<String> {
        let repeats: usize = arrivals.values().map(|runs| runs.len() - 1).sum();
        let bound = self.sent.len() as f64 * resends::MAX_SHARE + resends::SLACK;
        (repeats as f64 > bound)
            .then(|| format!("{repeats} repeated arrivals, at most {bound} allowed"))
    }

    /// Checks the resends at each pool in each window.
    fn check_resends(&self, arrivals: &BTreeMap<String, Vec<Run>>) -> Vec<String> {
        let mut violations = Vec::new();
        for (pool, is_idempotent) in [("desk", true), ("office", false)] {
            let sent = self.sent.iter().filter(|sent| sent.is_idempotent == is_idempotent);
            let mut pool_audit = resends::Audit::default();
            for request in sent {
                let runs = arrivals.get(&request.id).into_iter().flatten();
                pool_audit.record(request.at, runs.map(|run| run.at).collect());
            }
            violations.extend(pool_audit.check(pool));
        }
        violations
    }

    /// Checks that a node process that has accepted a new key accepts no older key, which was
    /// withdrawn at the same time.
    fn check_key_order(&self, arrivals: &BTreeMap<String, Vec<Run>>) -> Vec<String> {
        let mut violations = Vec::new();
        let mut newest: HashMap<(usize, usize), (Instant, Instant)> = HashMap::new();
        let mut by_end: Vec<&SentRequest> =
            self.sent.iter().filter(|sent| sent.account == "alpha").collect();
        by_end.sort_by_key(|sent| sent.ended);
        let published_at = |key: &str| self.published_at(key);
        for sent in by_end.iter().filter(|sent| sent.status() == Some(200)) {
            let Some(incarnation) = self.incarnation_at(sent.machine, sent.at) else { continue };
            let seen = newest
                .entry((sent.machine, incarnation))
                .or_insert((sent.ended, published_at(&sent.key)));
            if published_at(&sent.key) > seen.1 {
                *seen = (sent.ended, published_at(&sent.key));
            }
        }
        for sent in by_end {
            let was_executed =
                arrivals.get(&sent.id).is_some_and(|runs| runs.iter().any(|r| r.is_executed));
            let Some(incarnation) =
                self.incarnation_at(sent.machine, sent.at).filter(|_| was_executed)
            else {
                continue;
            };
            let Some((since, key_at)) = newest.get(&(sent.machine, incarnation)) else { continue };
            if sent.at > *since && published_at(&sent.key) < *key_at {
                violations.push(format!("node reverted to an older configuration: {sent:?}"));
            }
        }
        violations
    }

    /// Checks that a machine that passed on an answer of a leaving server soon sends it no requests.
    fn check_departures(&self, arrivals: &BTreeMap<String, Vec<Run>>) -> Vec<String> {
        let mut violations = Vec::new();
        for period in self.periods.iter().filter(|period| period.limit.is_none()) {
            let server = format!("i-m{}", period.machine);
            for machine in 0..self.incarnations.len() {
                let sent = || self.sent.iter().filter(move |sent| sent.machine == machine);
                let is_notice = |sent: &&SentRequest| {
                    sent.says_leaving(&server)
                        && sent.at >= period.from
                        && period.contains(sent.ended)
                };
                let Some(told) = sent().filter(is_notice).map(|sent| sent.ended).min() else {
                    continue;
                };
                let is_late = |sent: &&SentRequest| {
                    let has_restarted =
                        self.incarnation_at(machine, sent.at) != self.incarnation_at(machine, told);
                    sent.at > told + DRAIN_LIMIT && !has_restarted
                };
                let is_reached = |sent: &&SentRequest| {
                    arrivals.get(&sent.id).is_some_and(|runs| {
                        runs.iter().any(|run| {
                            run.field("x-expect-instance") == Some(&server)
                                && period.contains(run.at)
                        })
                    })
                };
                violations.extend(sent().filter(is_late).filter(is_reached).map(|sent| {
                    format!("request sent to {server} after it had said that it leaves: {sent:?}")
                }));
            }
        }
        violations
    }

    /// Checks that servers get no more requests than the limits that they name.
    fn check_limits(&self, deployment: &Deployment) -> Vec<String> {
        let mut violations = Vec::new();
        for period in &self.periods {
            let Some(limit) = period.limit else { continue };
            let allowed =
                f64::from(limit) * LIMIT_WINDOW.as_secs_f64() * LIMIT_TOLERANCE + LIMIT_SLACK;
            let runs = deployment.machines[period.machine].server.runs();
            let binds = |at: &Instant| *at >= period.from + LIMIT_SETTLE && period.contains(*at);
            let times: Vec<Instant> = runs.iter().map(|run| run.at).filter(binds).collect();
            let in_window = |first: usize| {
                times[first..].iter().take_while(|at| **at - times[first] < LIMIT_WINDOW).count()
            };
            let worst = (0..times.len()).map(in_window).max().unwrap_or(0);
            if worst as f64 > allowed {
                violations.push(format!(
                    "{worst} requests in {LIMIT_WINDOW:?} at m{} with a limit of {limit}/s, \
                     {allowed} allowed",
                    period.machine
                ));
            }
        }
        violations
    }

    /// Returns when a rotated key was published, which is when the previous one was withdrawn.
    fn published_at(&self, key: &str) -> Instant {
        let number = key.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
        let before = number.and_then(|number| number.checked_sub(1)).map(super::rotated_key);
        let at = before.and_then(|before| self.withdrawn.get(&before)).copied();
        at.unwrap_or(self.incarnations[0][0].started)
    }

    fn incarnation_at(&self, machine: usize, at: Instant) -> Option<usize> {
        self.incarnations[machine].iter().rposition(|incarnation| incarnation.started < at)
    }
}

impl SentRequest {
    fn status(&self) -> Option<u16> {
        self.reply.as_ref().map(|reply| reply.status)
    }

    fn says_leaving(&self, server: &str) -> bool {
        self.reply.as_ref().is_some_and(|reply| {
            reply.field("server-leaving") == Some("1")
                && reply.field("x-response-signature") == Some(&format!("s.{server}"))
        })
    }

    fn is_own_answer(&self, runs: &[&Run]) -> bool {
        let Some(reply) = &self.reply else { return false };
        let is_answered_by = |run: &&Run| {
            let target = run.field("x-expect-instance").unwrap_or_default();
            reply.body == format!("made by {target}")
                && reply.field("x-response-signature") == Some(&format!("s.{target}"))
        };
        reply.field("x-request-id") == Some(&self.id) && runs.iter().any(is_answered_by)
    }
}
