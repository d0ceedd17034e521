//! An open-loop load generator for the callers of several client accounts.
//!
//! Arrivals follow a seeded Poisson process and do not wait for answers. Latency is measured from
//! the intended arrival, so that a stall of the system can't hide behind a stall of the generator
//! (coordinated omission).

mod plan;
mod report;

pub use {
    plan::{Account, Plan, Request, Surge},
    report::{INTERVAL, Interval, Report, Tally},
};

use {
    crate::client::{Client, Verdict},
    monsoon_lib::call::Reason,
    plan::Arrival,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Instant},
    tokio::task::JoinSet,
};

/// The maximum number of requests in flight. Further arrivals are counted as unsent.
const MAX_IN_FLIGHT: usize = 20_000;

/// Sends the requests of a plan to the listeners for callers of a fleet.
#[derive(Clone, Debug)]
pub struct Generator {
    plan: Plan,
    addresses: Vec<SocketAddr>,
}

impl Generator {
    /// Creates a generator that sends to the addresses in turn.
    ///
    /// # Panics
    ///
    /// Panics when there is no address.
    pub fn new(plan: Plan, addresses: Vec<SocketAddr>) -> Self {
        assert!(!addresses.is_empty(), "a generator needs an address to send to");
        Self { plan, addresses }
    }

    /// Sends all arrivals of the plan, waits for the last answer and returns the results.
    ///
    /// Runs on the calling thread, which must have an actix runtime.
    pub async fn run(&self) -> Report {
        let report = Rc::new(RefCell::new(Report::new(&self.plan)));
        let client = Client::new(self.plan.timeout);
        let start = Instant::now();
        let mut calls = JoinSet::new();
        for (number, arrival) in self.plan.arrivals().enumerate() {
            tokio::time::sleep_until((start + arrival.at).into()).await;
            while calls.try_join_next().is_some() {}
            if calls.len() >= MAX_IN_FLIGHT {
                report.borrow_mut().record_unsent(&arrival);
                continue;
            }
            let address = self.addresses[number % self.addresses.len()];
            let call = self.call(arrival, number, address, start, client.clone(), report.clone());
            calls.spawn_local(call);
        }
        while calls.join_next().await.is_some() {}
        Rc::into_inner(report).expect("all calls have ended").into_inner()
    }

    fn call(
        &self,
        arrival: Arrival,
        number: usize,
        address: SocketAddr,
        start: Instant,
        client: Client,
        report: Rc<RefCell<Report>>,
    ) -> impl Future<Output = ()> + 'static {
        let account = &self.plan.accounts[arrival.account];
        let request = &account.requests[arrival.request];
        let client_request = request.build(account, number, self.plan.seed);
        let retries = account.retries;
        let addresses = self.addresses.clone();
        async move {
            let mut address = address;
            let mut retries_left = retries;
            loop {
                report.borrow_mut().record_attempt(&arrival);
                let verdict = client.send(&client_request, address).await.verdict;
                if retries_left == 0 || !is_retried(&verdict) {
                    let latency = start.elapsed().saturating_sub(arrival.at);
                    report.borrow_mut().record(&arrival, &verdict, latency);
                    return;
                }
                retries_left -= 1;
                address =
                    addresses[(number + usize::from(retries - retries_left)) % addresses.len()];
            }
        }
    }
}

/// Returns whether callers retry after this verdict. They retry all failures except those caused by
/// the request itself.
fn is_retried(verdict: &Verdict) -> bool {
    match verdict {
        Verdict::Correct | Verdict::Wrong => false,
        Verdict::Refused(refused) => !matches!(
            refused.reason,
            Reason::Key | Reason::NoRoute | Reason::Malformed | Reason::TooLarge
        ),
        Verdict::Status(_) | Verdict::Incomplete => true,
    }
}
