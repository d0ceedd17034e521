//! What a generator sends and when.

use {
    crate::client,
    monsoon_lib::table::Class,
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// One kind of request of an account.
#[derive(Clone, Debug)]
pub struct Request {
    /// How often it is sent, relative to the account's other requests.
    pub weight: u32,
    /// The method.
    pub method: String,
    /// The path, to which a unique segment is added.
    pub path: String,
    /// The class of its route, by which results are counted.
    pub class: Class,
    /// The length of the body.
    pub body_bytes: usize,
    /// Whether each request has an idempotency key of its own.
    pub has_idempotency_key: bool,
}

impl Request {
    /// Makes the request that is sent as the given number.
    pub(super) fn make(&self, account: &Account, number: usize, seed: u64) -> client::Request {
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
    /// The name.
    pub name: String,
    /// The key, or none for callers of open routes.
    pub key: Option<String>,
    /// Requests a second that its callers send on average.
    pub rate: f64,
    /// Requests a second that it has bought.
    pub rate_limit: u64,
    /// The burst that it has bought.
    pub burst_limit: u32,
    /// What it sends.
    pub requests: Vec<Request>,
    /// How often callers send a failed request again, at once.
    pub retries: u8,
}

/// A time in which accounts send more or less than usual.
#[derive(Clone, Debug)]
pub struct Surge {
    /// The account, or none for all.
    pub account: Option<String>,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub to: Duration,
    /// The factor on the rate of arrivals.
    pub factor: f64,
}

/// All that a generator sends.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The accounts.
    pub accounts: Vec<Account>,
    /// The time in which requests arrive.
    pub duration: Duration,
    /// The surges.
    pub surges: Vec<Surge>,
    /// The longest that a caller waits for an answer.
    pub timeout: Duration,
    /// The seed of the arrivals.
    pub seed: u64,
}

/// One intended request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// When it is sent, from the start.
    pub at: Duration,
    /// The place of its account in the plan.
    pub account: usize,
    /// The place of its kind in the account.
    pub request: usize,
    /// Whether the account is within its rate and burst with it.
    pub is_within_rate: bool,
}

impl Plan {
    /// Returns all arrivals in the order of time.
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
        let mut bucket = Bucket::new(account);
        let mut at = Duration::ZERO;
        loop {
            let gap: f64 = random.random();
            at += Duration::from_secs_f64(-(1.0 - gap).ln() / peak);
            if at >= self.duration {
                return;
            }
            // Arrivals at the peak rate are thinned to the rate of the moment.
            let kept: f64 = random.random();
            if kept * peak >= self.rate(account, at) {
                continue;
            }
            let request = pick(&account.requests, random);
            let is_within_rate = bucket.take(at);
            arrivals.push(Arrival { at, account: index, request, is_within_rate });
        }
    }

    fn rate(&self, account: &Account, at: Duration) -> f64 {
        let is_now = |surge: &&Surge| surge.covers(account) && (surge.from..surge.to).contains(&at);
        let surges = self.surges.iter().filter(is_now);
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

fn pick(requests: &[Request], random: &mut ChaCha8Rng) -> usize {
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

/// The reference by which a request is within its account's rate and burst.
struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    last: Duration,
}

impl Bucket {
    fn new(account: &Account) -> Self {
        let burst = f64::from(account.burst_limit);
        Self { rate: account.rate_limit as f64, burst, tokens: burst, last: Duration::ZERO }
    }

    fn take(&mut self, at: Duration) -> bool {
        let minted = self.rate * (at - self.last).as_secs_f64();
        self.last = at;
        self.tokens = (self.tokens + minted).min(self.burst);
        let is_within = self.tokens >= 1.0;
        if is_within {
            self.tokens -= 1.0;
        }
        is_within
    }
}
