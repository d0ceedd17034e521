//! The plan of a load generator: which requests it sends, and when.

use {
    crate::client,
    monsoon_lib::table::Class,
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// A kind of request that an account sends.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its frequency relative to the account's other requests.
    pub weight: u32,
    /// The HTTP method.
    pub method: String,
    /// The path prefix. Each request appends a unique segment.
    pub path: String,
    /// The class of its route, by which results are grouped.
    pub class: Class,
    /// The minimum length of the body, or 0 for no body.
    pub body_bytes: usize,
    /// Whether each request carries a unique idempotency key.
    pub has_idempotency_key: bool,
}

impl Request {
    /// Builds the request with the given sequence number.
    pub(super) fn build(&self, account: &Account, number: usize, seed: u64) -> client::Request {
        let unique = format!("{}-{seed}-{number}", account.name);
        let mut body = Vec::new();
        if self.body_bytes > 0 {
            body = unique.clone().into_bytes();
            body.resize(self.body_bytes.max(body.len()), b'.');
        }
        client::Request {
            method: self.method.parse().expect("the plan has valid methods"),
            path: format!("{}/{unique}", self.path),
            body,
            key: account.key.clone(),
            idempotency_key: self.has_idempotency_key.then_some(unique),
            deadline_ms: None,
        }
    }
}

/// The callers of one client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// The name of the account.
    pub name: String,
    /// The key that callers send, or none for callers of open routes.
    pub key: Option<String>,
    /// The average rate at which callers send, in requests per second.
    pub rate: f64,
    /// The rate limit of the account, in requests per second.
    pub rate_limit: u64,
    /// The burst limit of the account, in requests.
    pub burst_limit: u32,
    /// The kinds of requests that callers send.
    pub requests: Vec<Request>,
    /// How often callers retry a failed request, without delay.
    pub retries: u8,
}

/// A period in which accounts send more or less than usual.
#[derive(Clone, Debug)]
pub struct Surge {
    /// The name of the account, or none for all accounts.
    pub account: Option<String>,
    /// When it begins, from the start of the plan.
    pub from: Duration,
    /// When it ends, from the start of the plan.
    pub to: Duration,
    /// The factor on the arrival rate.
    pub factor: f64,
}

/// Everything that a generator sends.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The accounts whose callers send requests.
    pub accounts: Vec<Account>,
    /// The period in which requests arrive.
    pub duration: Duration,
    /// Changes of the arrival rate. Overlapping ones multiply.
    pub surges: Vec<Surge>,
    /// How long a caller waits for an answer.
    pub timeout: Duration,
    /// The seed of the arrivals and of the requests' unique segments.
    pub seed: u64,
}

/// An intended request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// When it is due, from the start of the plan.
    pub at: Duration,
    /// The index of its account in the plan.
    pub account: usize,
    /// The index of its kind in the account.
    pub request: usize,
    /// Whether it is within the account's rate and burst.
    pub is_within_rate: bool,
}

impl Plan {
    /// Returns all arrivals in chronological order.
    pub(super) fn arrivals(&self) -> impl Iterator<Item = Arrival> + use<> {
        let mut arrivals = Vec::new();
        for (index, account) in self.accounts.iter().enumerate() {
            let mut random = ChaCha8Rng::seed_from_u64(self.seed);
            random.set_stream(index as u64);
            self.account_arrivals(index, account, &mut random, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals.into_iter()
    }

    fn account_arrivals(
        &self,
        index: usize,
        account: &Account,
        random: &mut ChaCha8Rng,
        arrivals: &mut Vec<Arrival>,
    ) {
        let peak = self.peak(account);
        if peak <= 0.0 || account.requests.is_empty() {
            return;
        }
        let mut bucket = TokenBucket::new(account);
        let mut at = Duration::ZERO;
        loop {
            let gap: f64 = random.random();
            at += Duration::from_secs_f64(-(1.0 - gap).ln() / peak);
            if at >= self.duration {
                return;
            }
            // Thinning: arrivals at the peak rate are dropped at random to match the current rate.
            let uniform: f64 = random.random();
            if uniform * peak >= self.rate(account, at) {
                continue;
            }
            let request = pick_request(&account.requests, random);
            let is_within_rate = bucket.take(at);
            arrivals.push(Arrival { at, account: index, request, is_within_rate });
        }
    }

    fn rate(&self, account: &Account, at: Duration) -> f64 {
        let is_active =
            |surge: &&Surge| surge.covers(account) && (surge.from..surge.to).contains(&at);
        let surges = self.surges.iter().filter(is_active);
        account.rate * surges.map(|surge| surge.factor).product::<f64>()
    }

    fn peak(&self, account: &Account) -> f64 {
        let surges = self.surges.iter().filter(|surge| surge.covers(account));
        account.rate * surges.map(|surge| surge.factor.max(1.0)).product::<f64>()
    }
}

impl Surge {
    fn covers(&self, account: &Account) -> bool {
        self.account.as_ref().is_none_or(|name| *name == account.name)
    }
}

fn pick_request(requests: &[Request], random: &mut ChaCha8Rng) -> usize {
    let total: u32 = requests.iter().map(|request| request.weight).sum();
    let mut point = random.random_range(0..total.max(1));
    for (index, request) in requests.iter().enumerate() {
        if point < request.weight {
            return index;
        }
        point -= request.weight;
    }
    0
}

/// A token bucket that decides whether a request is within its account's rate and burst.
struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    last: Duration,
}

impl TokenBucket {
    fn new(account: &Account) -> Self {
        let burst = f64::from(account.burst_limit);
        Self { rate: account.rate_limit as f64, burst, tokens: burst, last: Duration::ZERO }
    }

    fn take(&mut self, at: Duration) -> bool {
        let refill = self.rate * (at - self.last).as_secs_f64();
        self.last = at;
        self.tokens = (self.tokens + refill).min(self.burst);
        let is_within = self.tokens >= 1.0;
        if is_within {
            self.tokens -= 1.0;
        }
        is_within
    }
}
