//! The checks that a request passes before it is sent to a target.

use {
    super::{
        Node,
        call::{Call, Head},
    },
    crate::{
        call::{Reason, Refusal},
        id,
        mesh::{
            gate::Rank,
            lineage::{self, Lineage},
            scarcity::{Class, Path},
            standing,
            table::Kind,
        },
        pressure::Share,
        time::Instant,
    },
    std::{
        collections::{HashMap, VecDeque},
        hash::{Hash as _, Hasher as _},
        time::Duration,
    },
};

/// The retry delay given to callers while the node has no table or its lease on the keys has
/// expired.
const NO_TABLES_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The number of hash buckets that order the calls in a queue. Calls of equal rank, including the
/// bucket, run in the order of their latency objectives.
const HASH_BUCKETS: u8 = 16;

/// How long a caller timeout counts after it was last seen. Callers' timeouts are at most 15 s, so
/// the first attempt of a caller that retries counts until its last one.
const TIMEOUT_RETENTION: Duration = Duration::from_secs(30);
/// The resolution of that time. It bounds the number of timeouts that are kept for a route.
const TIMEOUT_STEP: Duration = Duration::from_secs(1);

/// The longest caller timeout seen lately on each route. A caller that retries after a refusal has
/// less time left.
#[derive(Debug, Default)]
pub struct LongestTimeouts {
    /// Timeouts by route, with the steps in which they were last seen. Later ones are shorter, and
    /// each step has at most one.
    longest: HashMap<id::Route, VecDeque<(u64, Duration)>>,
}

impl LongestTimeouts {
    /// Returns the time that the caller has spent on earlier attempts.
    fn spent(&mut self, now: Instant, route: &id::Route, caller_timeout: Duration) -> Duration {
        let step = timeout_step(now);
        if !self.longest.contains_key(route) {
            self.longest.insert(route.clone(), VecDeque::new());
        }
        let Some(timeouts) = self.longest.get_mut(route) else { return Duration::ZERO };
        while timeouts.back().is_some_and(|(_, timeout)| *timeout <= caller_timeout) {
            timeouts.pop_back();
        }
        if timeouts.back().is_none_or(|(last, _)| *last < step) {
            timeouts.push_back((step, caller_timeout));
        }
        drop_outdated(timeouts, step);
        timeouts
            .front()
            .map_or(Duration::ZERO, |(_, longest)| longest.saturating_sub(caller_timeout))
    }

    /// Drops outdated timeouts, also of routes that are not in use any more.
    pub fn tick(&mut self, now: Instant) {
        let step = timeout_step(now);
        self.longest.retain(|_, timeouts| {
            drop_outdated(timeouts, step);
            !timeouts.is_empty()
        });
    }
}

fn timeout_step(now: Instant) -> u64 {
    now.as_nanos() / TIMEOUT_STEP.as_nanos() as u64
}

fn drop_outdated(timeouts: &mut VecDeque<(u64, Duration)>, step: u64) {
    let retained_steps = TIMEOUT_RETENTION.as_secs() / TIMEOUT_STEP.as_secs();
    while timeouts.front().is_some_and(|(last, _)| last + retained_steps < step) {
        timeouts.pop_front();
    }
}

impl Node {
    /// Routes a request and checks its key, its rate and whether it is known to crash targets.
    ///
    /// # Errors
    ///
    /// Returns a refusal, marked as not run, if the request is not admitted.
    pub fn admit(&mut self, now: Instant, head: &Head) -> Result<Call, Refusal> {
        if self.is_call_of_cancelled_run(now, &head.request) {
            return Err(Refusal::not_run(Reason::Cancelled));
        }
        let no_tables = Refusal::not_run(Reason::NoTables).after(NO_TABLES_RETRY_AFTER);
        let table = self.table.clone().ok_or(no_tables)?;
        let route = table.route(&head.host, &head.path);
        let route = route.ok_or(Refusal::not_run(Reason::NoRoute))?;
        if route.kind == Kind::Unsupported {
            return Err(no_tables);
        }
        let mut account = head.key.as_ref().and_then(|key| table.account_of(key));
        if !route.is_open && head.key.as_ref().is_some_and(|key| table.is_shared(key)) {
            return Err(no_tables);
        }
        let requires_key = self.requires_key(&table);
        if requires_key && !self.lease.is_valid(now) {
            if !route.is_open {
                return Err(no_tables);
            }
            account = None;
        }
        if requires_key && !route.is_open && account.is_none() {
            return Err(Refusal::not_run(Reason::Key));
        }
        let fingerprint = fingerprint(account.map(|account| &account.name), head.content_hash);
        self.crash_tracker.check(fingerprint)?;
        let caller_timeout = head.caller_timeout.unwrap_or(route.timeout);
        let spent = self.longest_timeouts.spent(now, &route.name, caller_timeout);
        let pool = self.pool_selectors.entry(route.name.clone()).or_default().next(&route.pools);
        let pool = pool.ok_or(Refusal::not_run(Reason::NoRoute))?;
        let kind = standing::Kind::of(spent, route.objective);
        let lineage = self.runs.parent_run(now, &head.request);
        let hash_fraction = lineage::hash_fraction(&head.request);
        let account_name = account.map(|account| &account.name);
        let (standing, admitted) = match &lineage {
            Some(lineage) => (None, self.record_call(now, lineage, &route.name)),
            None => {
                self.refusing_pool = None;
                let class = Class { account: account.map_or(0, |a| a.rank), route: route.rank };
                let path = Path { route: &route.name, pool: &pool };
                let tested = self.scarcest(now, path, class).map(|scarcest| {
                    let standing = self.standing(kind, hash_fraction, account_name);
                    (standing, scarcest.admit(standing.value()))
                });
                match tested {
                    None => (None, Share::ALL),
                    Some((standing, Ok(admitted))) => (Some(standing), admitted),
                    Some((_, Err(scarce))) => {
                        let refusal = self.refuse_scarce(
                            now,
                            scarce.since,
                            kind,
                            hash_fraction,
                            account_name,
                        );
                        self.refusing_pool = Some(scarce.pool);
                        return Err(refusal);
                    }
                }
            }
        };
        if let Some(account) = account {
            let charged = self.rate_limiter.try_acquire(now, &account.name, hash_fraction);
            charged.map_err(|wait| Refusal::not_run(Reason::Rate).after(wait))?;
        }
        let rank = match &lineage {
            // If a call fails, the work of its run is lost, so calls go before most requests of the
            // same rank.
            Some(Lineage { rank, .. }) => {
                Rank { hash_bucket: bucket_of(hash_fraction) / 2, ..*rank }
            }
            None => Rank {
                account: account.map_or(0, |account| account.rank),
                route: route.rank,
                is_first_attempt: kind.queues_as_first_attempt(),
                hash_bucket: bucket_of(hash_fraction),
            },
        };
        let is_direct = lineage.is_none();
        let is_repeat = lineage.is_some_and(|lineage| lineage.is_repeat);
        self.resend_budget(now, &pool).record_first_send(now, is_repeat);
        Ok(Call {
            request: head.request.clone(),
            account: account.map(|account| account.name.clone()),
            route: route.clone(),
            pool,
            rank,
            standing,
            is_direct,
            deadline: now + caller_timeout.min(route.timeout),
            arrived: now,
            attempted: Vec::new(),
            possible_runs: 0,
            declined: Vec::new(),
            refusal: None,
            is_repeat,
            fingerprint,
            hash_fraction,
            admitted,
            is_resend: false,
        })
    }
}

fn fingerprint(account: Option<&id::Account>, content: u64) -> u64 {
    let mut hash = siphasher::sip::SipHasher13::new();
    account.hash(&mut hash);
    content.hash(&mut hash);
    hash.finish()
}

/// Maps a hash fraction to one of [`HASH_BUCKETS`] buckets.
fn bucket_of(hash_fraction: f64) -> u8 {
    (hash_fraction * f64::from(HASH_BUCKETS)).min(f64::from(HASH_BUCKETS - 1)) as u8
}
