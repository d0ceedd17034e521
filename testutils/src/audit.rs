//! Compares the answers to callers with the runs of the targets.

use {
    crate::{
        client::{Client, Request, Verdict},
        fleet::Fleet,
        target::Run,
    },
    actix_web::http::Method,
    std::{cell::RefCell, collections::HashMap, net::SocketAddr},
};

/// A violation of a guarantee of the nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A request that may be run only once was run more often.
    Repeated {
        /// The path.
        path: String,
        /// How often it was run.
        runs: usize,
    },
    /// The caller was told that the request was not run, but a target ran it.
    RanAfterRefusal {
        /// The path.
        path: String,
    },
    /// The caller received an answer, but no target ran the request.
    AnsweredWithoutRun {
        /// The path.
        path: String,
    },
    /// The caller received an answer that appears complete but is wrong.
    WrongAnswer {
        /// The path.
        path: String,
    },
    /// A key reached a target.
    KeyLeaked {
        /// The VM of the target.
        vm: String,
        /// The path.
        path: String,
    },
}

struct SentRequest {
    request: Request,
    verdict: Verdict,
}

/// Sends requests and records their verdicts.
///
/// Runs are identified by method and path, so each request needs a unique path and must be sent
/// only once with [`Audit::send`]. [`Audit::check`] must be called while the targets still retain
/// all runs.
#[derive(Default)]
pub struct Audit {
    client: Client,
    sent: RefCell<Vec<SentRequest>>,
}

impl Audit {
    /// Sends a request without retries and records its verdict.
    pub async fn send(&self, request: Request, address: SocketAddr) -> Verdict {
        let verdict = self.client.send(&request, address).await.verdict;
        self.sent.borrow_mut().push(SentRequest { request, verdict });
        verdict
    }

    /// Returns the number of requests whose verdict matches.
    pub fn count(&self, is_match: impl Fn(&Verdict) -> bool) -> usize {
        self.sent.borrow().iter().filter(|sent| is_match(&sent.verdict)).count()
    }

    /// Returns all verdicts in the order of the answers.
    pub fn verdicts(&self) -> Vec<Verdict> {
        self.sent.borrow().iter().map(|sent| sent.verdict).collect()
    }

    /// Returns all violations among the requests sent so far.
    pub fn check(&self, fleet: &Fleet) -> Vec<Violation> {
        let vm_runs = fleet.runs();
        let mut violations = Vec::new();
        let mut runs: HashMap<(&str, &str), usize> = HashMap::new();
        for vm_run in &vm_runs {
            let Run { method, path, .. } = &vm_run.run;
            *runs.entry((method, path)).or_default() += 1;
            if vm_run.run.saw_key || vm_run.run.saw_authorization {
                let path = path.clone();
                violations.push(Violation::KeyLeaked { vm: vm_run.vm.clone(), path });
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

impl SentRequest {
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
