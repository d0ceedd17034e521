//! Compares what callers were told with what targets ran.

use {
    crate::{
        client::{Client, Request, Verdict},
        fleet::Fleet,
        target::Run,
    },
    actix_web::http::Method,
    std::{cell::RefCell, collections::HashMap, net::SocketAddr},
};

/// A broken promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A request that may run only once ran more often.
    Repeated {
        /// The path.
        path: String,
        /// The number of runs.
        runs: usize,
    },
    /// The caller was told that the request did not run, but it ran.
    RanAfterRefusal {
        /// The path.
        path: String,
    },
    /// The caller got an answer, but no target ran the request.
    AnsweredWithoutRun {
        /// The path.
        path: String,
    },
    /// The caller got an answer that passes for whole and is wrong.
    WrongAnswer {
        /// The path.
        path: String,
    },
    /// A target saw a key.
    KeyLeaked {
        /// The VM.
        vm: String,
        /// The path.
        path: String,
    },
}

struct Sent {
    request: Request,
    verdict: Verdict,
}

/// Sends requests, each with a path of its own, and remembers what came of them.
///
/// Runs are told apart by method and path, so [`Audit::check`] must come before the targets forget
/// runs, and each request is sent once through [`Audit::send`].
#[derive(Default)]
pub struct Audit {
    client: Client,
    sent: RefCell<Vec<Sent>>,
}

impl Audit {
    /// Sends a request once.
    pub async fn send(&self, request: Request, address: SocketAddr) -> Verdict {
        let verdict = self.client.send(&request, address).await.verdict;
        self.sent.borrow_mut().push(Sent { request, verdict });
        verdict
    }

    /// Returns the number of requests with a verdict.
    pub fn count(&self, is_meant: impl Fn(&Verdict) -> bool) -> usize {
        self.sent.borrow().iter().filter(|sent| is_meant(&sent.verdict)).count()
    }

    /// Returns all verdicts in the order in which they came.
    pub fn verdicts(&self) -> Vec<Verdict> {
        self.sent.borrow().iter().map(|sent| sent.verdict).collect()
    }

    /// Returns all broken promises among the requests sent so far.
    pub fn check(&self, fleet: &Fleet) -> Vec<Violation> {
        let found = fleet.runs();
        let mut violations = Vec::new();
        let mut runs: HashMap<(&str, &str), usize> = HashMap::new();
        for found in &found {
            let Run { method, path, .. } = &found.run;
            *runs.entry((method, path)).or_default() += 1;
            if found.run.saw_key || found.run.saw_authorization {
                let path = path.clone();
                violations.push(Violation::KeyLeaked { vm: found.vm.clone(), path });
            }
        }
        for sent in self.sent.borrow().iter() {
            let method = sent.request.method.as_str();
            let runs = runs.get(&(method, sent.request.path.as_str())).copied().unwrap_or(0);
            violations.extend(sent.check(runs));
        }
        violations
    }
}

impl Sent {
    fn check(&self, runs: usize) -> Option<Violation> {
        let path = self.request.path.clone();
        if self.verdict == Verdict::Wrong {
            return Some(Violation::WrongAnswer { path });
        }
        if self.verdict.is_not_run() && runs > 0 {
            return Some(Violation::RanAfterRefusal { path });
        }
        if self.verdict == Verdict::Correct && runs == 0 {
            return Some(Violation::AnsweredWithoutRun { path });
        }
        if self.request.method == Method::POST && runs > 1 {
            return Some(Violation::Repeated { path, runs });
        }
        None
    }
}
