//! The promises, checked against what callers and servers saw.

use {
    super::{LASTING_KEY, LIMITED_RATE},
    crate::mesh::{Deployment, Reply, server::Run},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// From the withdrawal of a key to its effect, wherever a node is.
const WITHDRAWN: Duration = Duration::from_secs(5);
/// The time in which a node that got the signal to leave finishes its requests, less the last sixth.
const GRACE: Duration = Duration::from_secs(5);
/// The window and the tolerance of sold rates.
const RATE_WINDOW: Duration = Duration::from_secs(5);
const RATE_BOUND: u64 = (LIMITED_RATE * 5 + LIMITED_RATE) * 5 / 4 + 20;
/// The bound on arrivals beyond the first of each request.
const REPEAT_SHARE: f64 = 0.2;
const REPEAT_SLACK: f64 = 48.0;
/// The longest time to an answer, and the tolerance of a busy machine: timeout, grace and a pause.
const LONGEST: Duration = Duration::from_millis(8_000);

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// The machine that it was sent to.
    pub machine: usize,
    /// The account whose key it has.
    pub account: &'static str,
    /// The key.
    pub key: String,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// When it was sent.
    pub at: Instant,
    /// When the caller had its answer or gave up.
    pub ended: Instant,
    /// The answer, or none where the connection failed.
    pub reply: Option<Reply>,
}

/// One life of a node.
#[derive(Clone, Copy, Debug)]
struct Life {
    started: Instant,
    leaving: Option<Instant>,
    ended: Option<Instant>,
}

/// All that was seen.
#[derive(Debug)]
pub struct Audit {
    /// The requests.
    pub sent: Vec<Sent>,
    /// Promises that were found broken on the way.
    pub broken: Vec<String>,
    lives: Vec<Vec<Life>>,
    withdrawn: HashMap<String, Instant>,
}

impl Audit {
    /// Makes the audit of so many machines.
    pub fn new(machines: usize) -> Self {
        let life = Life { started: Instant::now(), leaving: None, ended: None };
        Self {
            sent: Vec::new(),
            broken: Vec::new(),
            lives: vec![vec![life]; machines],
            withdrawn: HashMap::new(),
        }
    }

    /// Notes that a node was killed.
    pub fn killed(&mut self, machine: usize) {
        if let Some(life) = self.lives[machine].last_mut() {
            life.ended = Some(Instant::now());
        }
    }

    /// Notes that a node was asked to leave.
    pub fn leaving(&mut self, machine: usize) {
        if let Some(life) = self.lives[machine].last_mut() {
            life.leaving = Some(Instant::now());
        }
    }

    /// Notes that a node starts again.
    pub fn started(&mut self, machine: usize) {
        let started = Instant::now();
        self.lives[machine].push(Life { started, leaving: None, ended: None });
    }

    /// Notes that a key was withdrawn.
    pub fn withdrawn(&mut self, key: String) {
        self.withdrawn.insert(key, Instant::now());
    }

    /// Returns the number of requests that were served.
    pub fn served(&self) -> usize {
        self.sent.iter().filter(|sent| sent.status() == Some(200)).count()
    }

    /// Returns the promises that were broken.
    pub fn check(&self, deployment: &Deployment) -> Vec<String> {
        let mut arrivals: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in deployment.machines.iter().flat_map(|machine| machine.server.runs()) {
            let id = run.field("x-request-id").unwrap_or_default().to_owned();
            arrivals.entry(id).or_default().push(run);
        }
        let mut broken = self.broken.clone();
        let none = Vec::new();
        for sent in &self.sent {
            let runs = arrivals.get(&sent.id).unwrap_or(&none);
            let found = self.check_one(sent, runs);
            broken.extend(found.map(|what| format!("{what}: {sent:?}, {} arrivals", runs.len())));
        }
        broken.extend(self.check_rate(&arrivals));
        broken.extend(self.check_repeats(&arrivals));
        broken.extend(self.check_old_keys(&arrivals));
        broken
    }

    fn check_one(&self, sent: &Sent, arrivals: &[Run]) -> Option<&'static str> {
        let runs: Vec<&Run> = arrivals.iter().filter(|run| run.is_executed).collect();
        let has_run = !runs.is_empty();
        if !sent.is_idempotent && runs.len() > 1 {
            return Some("ran twice");
        }
        if has_run && matches!(sent.status(), Some(408 | 421 | 429 | 503)) {
            return Some("ran though it was said not to have");
        }
        if runs.iter().any(|run| run.field("authorization").is_some()) {
            return Some("a server saw a key");
        }
        if runs.iter().any(|run| run.field("x-tenant") != Some(sent.account)) {
            return Some("ran for another account");
        }
        if sent.key == LASTING_KEY
            && matches!(sent.status(), Some(400..=407 | 409..=420 | 422..=428))
        {
            return Some("refused though it is proper");
        }
        let is_late = |at: &Instant| sent.at > *at + WITHDRAWN;
        if has_run && self.withdrawn.get(&sent.key).is_some_and(is_late) {
            return Some("ran with a withdrawn key");
        }
        if sent.ended - sent.at >= LONGEST {
            return Some("had no answer in time");
        }
        if sent.status() == Some(200) && !sent.is_own_answer(&runs) {
            return Some("got an answer that is not its own");
        }
        if sent.reply.is_none() && has_run && self.is_cut_by_leaving(sent) {
            return Some("was cut off by a node that left");
        }
        None
    }

    /// Tells whether the caller's node was asked to leave and nothing else was wrong with it.
    fn is_cut_by_leaving(&self, sent: &Sent) -> bool {
        self.lives[sent.machine].iter().any(|life| {
            let is_during =
                |leaving: Instant| sent.ended > leaving && sent.at < leaving + GRACE / 2;
            life.started < sent.at && life.ended.is_none() && life.leaving.is_some_and(is_during)
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
        (worst > RATE_BOUND).then(|| format!("{worst} runs in a window, at most {RATE_BOUND}"))
    }

    fn check_repeats(&self, arrivals: &BTreeMap<String, Vec<Run>>) -> Option<String> {
        let repeats: usize = arrivals.values().map(|runs| runs.len() - 1).sum();
        let bound = self.sent.len() as f64 * REPEAT_SHARE + REPEAT_SLACK;
        (repeats as f64 > bound).then(|| format!("{repeats} repeats, at most {bound}"))
    }

    /// In one life, a node that took a new key takes no older one that was withdrawn with it.
    fn check_old_keys(&self, arrivals: &BTreeMap<String, Vec<Run>>) -> Vec<String> {
        let mut broken = Vec::new();
        let mut newest: HashMap<(usize, usize), (Instant, Instant)> = HashMap::new();
        let mut by_end: Vec<&Sent> =
            self.sent.iter().filter(|sent| sent.account == "alpha").collect();
        by_end.sort_by_key(|sent| sent.ended);
        let published = |key: &str| self.published(key);
        for sent in by_end.iter().filter(|sent| sent.status() == Some(200)) {
            let Some(life) = self.life_at(sent.machine, sent.at) else { continue };
            let seen =
                newest.entry((sent.machine, life)).or_insert((sent.ended, published(&sent.key)));
            if published(&sent.key) > seen.1 {
                *seen = (sent.ended, published(&sent.key));
            }
        }
        for sent in by_end {
            let has_run =
                arrivals.get(&sent.id).is_some_and(|runs| runs.iter().any(|r| r.is_executed));
            let Some(life) = self.life_at(sent.machine, sent.at).filter(|_| has_run) else {
                continue;
            };
            let Some((since, key_at)) = newest.get(&(sent.machine, life)) else { continue };
            if sent.at > *since && published(&sent.key) < *key_at {
                broken.push(format!("went back to an older configuration: {sent:?}"));
            }
        }
        broken
    }

    /// When a changing key was published: when the one before was withdrawn.
    fn published(&self, key: &str) -> Instant {
        let number = key.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
        let before = number.and_then(|number| number.checked_sub(1)).map(super::changing_key);
        let at = before.and_then(|before| self.withdrawn.get(&before)).copied();
        at.unwrap_or(self.lives[0][0].started)
    }

    fn life_at(&self, machine: usize, at: Instant) -> Option<usize> {
        self.lives[machine].iter().rposition(|life| life.started < at)
    }
}

impl Sent {
    fn status(&self) -> Option<u16> {
        self.reply.as_ref().map(|reply| reply.status)
    }

    fn is_own_answer(&self, runs: &[&Run]) -> bool {
        let Some(reply) = &self.reply else { return false };
        let is_signed = |run: &&Run| {
            let target = run.field("x-expect-instance").unwrap_or_default();
            reply.body == format!("made by {target}")
                && reply.field("x-response-signature") == Some(&format!("s.{target}"))
        };
        reply.field("x-request-id") == Some(&self.id) && runs.iter().any(is_signed)
    }
}
