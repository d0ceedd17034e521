//! Schedules this node's reads of the platform.
//!
//! Only a few nodes of each data centre watch the platform. The others read it only after a long
//! time without a confirmation, with random delays that keep the whole fleet far below the
//! platform's limit. See docs/design/configuration.md.

use {
    super::{Action, Store, validator::Validator, value::ReadError},
    crate::{id, member::Peer, time::Instant, unit::Revision},
    rand::RngExt,
    siphasher::sip::SipHasher13,
    std::{
        hash::{Hash, Hasher},
        time::Duration,
    },
};

/// The minimum time between two reads of a watcher.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// The first backoff after a failed read. It doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// The first backoff after a failed read of the VM list. It is longer because every node reads the
/// list.
const MIN_LIST_BACKOFF: Duration = Duration::from_millis(2_500);
/// The longest backoff after a failed read.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The longest backoff after a failed read of the VM list.
const MAX_LIST_BACKOFF: Duration = Duration::from_secs(5);
/// The longest watch while nothing confirms the values, for example because the platform is stale.
const UNCONFIRMED_WATCH: Duration = Duration::from_secs(1);
/// How long after the requested wait an answer may still arrive.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
pub(super) struct Read {
    pub after: Revision,
    pub wait: Duration,
    pub started: Instant,
}

/// The state of this node's reads of the platform.
#[derive(Debug, Default)]
pub(super) struct Watch {
    pub is_watcher: bool,
    pub read: Option<Read>,
    next_at: Instant,
    /// The random delay of this node's fallback reads, drawn again for each.
    pub fallback_delay: Duration,
    failures: u32,
    list_at: Option<Instant>,
    list_failures: u32,
    listed: u64,
    pub reads: u64,
    pub stale_reads: u64,
    pub last_error: Option<ReadError>,
}

impl<V: Validator> Store<V> {
    /// Reports the result of reading the platform's list of VMs.
    pub fn vms_read(&mut self, now: Instant, result: Result<(), ReadError>) {
        let wait = match result {
            Ok(()) => {
                self.watch.list_failures = 0;
                self.has_list = true;
                self.list_interval()
            }
            Err(_) => {
                self.watch.list_failures = self.watch.list_failures.saturating_add(1);
                backoff(self.watch.list_failures, MIN_LIST_BACKOFF, MAX_LIST_BACKOFF)
            }
        };
        let wait = self.jitter(wait);
        self.watch.list_at = Some(now + wait);
    }

    /// Sets the number of listed VMs. A shorter list is read more often, at the same cost in reads
    /// per second over the fleet and in bytes per second on the node.
    pub fn set_list_size(&mut self, vms: usize) {
        self.watch.listed = vms as u64;
    }

    fn list_interval(&self) -> Duration {
        /// Lists of at least this many VMs are read at the configured interval.
        const FULL_INTERVAL_VMS: u64 = 780;
        const MIN_INTERVAL_MS: u64 = 2_000;
        let max = self.settings.list_interval_ms;
        let wait = max * self.watch.listed / FULL_INTERVAL_VMS;
        Duration::from_millis(wait.clamp(MIN_INTERVAL_MS.min(max), max))
    }

    pub(super) fn schedule_reads(&mut self, now: Instant) {
        self.read_list(now);
        let is_timed_out = |read: &Read| now.since(read.started) >= read.wait + ANSWER_GRACE;
        if self.watch.read.is_some_and(|read| is_timed_out(&read)) {
            self.record_read_failure(now, ReadError::Failed);
        }
        if self.watch.read.is_some() || now < self.watch.next_at {
            return;
        }
        self.watch.is_watcher = self.is_watcher();
        if self.watch.is_watcher {
            // While nothing confirms the values, short watches detect sooner that the platform has
            // recovered.
            let max = if self.is_unconfirmed(now) { UNCONFIRMED_WATCH } else { Duration::MAX };
            let wait = Duration::from_millis(self.settings.watch_wait_ms);
            self.read(now, wait.min(max));
        } else if self.is_unconfirmed(now) {
            self.watch.fallback_delay = self.draw_fallback_delay();
            self.read(now, Duration::ZERO);
        }
    }

    fn read_list(&mut self, now: Instant) {
        let at = match self.watch.list_at {
            Some(at) => at,
            None => {
                let fallback_delay = self.settings.start_spread_ms;
                let wait = Duration::from_millis(self.rng.random_range(0..=fallback_delay));
                *self.watch.list_at.insert(now + wait)
            }
        };
        if now >= at {
            // If no answer arrives, the list is read again after the longest backoff.
            self.watch.list_at = Some(now + MAX_LIST_BACKOFF);
            self.watch.reads += 1;
            self.out.push(Action::ReadVms);
        }
    }

    fn read(&mut self, now: Instant, wait: Duration) {
        let after = self.latest.revision();
        self.watch.read = Some(Read { after, wait, started: now });
        self.watch.reads += 1;
        self.out.push(Action::Read { after, wait });
    }

    /// Ranks this node among the nodes of its data centre by rendezvous hashing. Nodes with
    /// different views of the members may elect too many watchers, which costs only a few reads.
    fn is_watcher(&self) -> bool {
        // Without the list, every node would consider itself the only one and watch.
        if !self.has_list {
            return false;
        }
        let own = rendezvous_weight(&self.me);
        let ranks_before = |peer: &&Peer| {
            peer.data_centre == self.data_centre
                && !peer.leaving
                && rendezvous_weight(&peer.vm) > own
        };
        self.live.iter().filter(ranks_before).count() < self.settings.watchers
    }

    /// Returns whether the values of this node have gone unconfirmed for too long.
    fn is_unconfirmed(&self, now: Instant) -> bool {
        let (unconfirmed_for, limit) = match self.confirmation {
            Some(confirmation) => (confirmation.age(now), self.settings.fallback_ms),
            None => (now.since(self.started.unwrap_or(now)), self.settings.start_fallback_ms),
        };
        unconfirmed_for >= Duration::from_millis(limit) + self.watch.fallback_delay
    }

    /// Draws a delay such that the fallback reads of all nodes together stay near the configured
    /// rate.
    pub(super) fn draw_fallback_delay(&mut self) -> Duration {
        const MS: u64 = 1_000;
        const MIN_MS: u64 = 1_000;
        const UNLISTED_MS: u64 = 5_000;
        let min = if self.has_list { MIN_MS } else { UNLISTED_MS };
        let nodes = self.live.len() as u64 + 1;
        let range = (nodes * MS / self.settings.fallback_reads_per_second.max(1)).max(min);
        Duration::from_millis(self.rng.random_range(0..range))
    }

    pub(super) fn record_read(&mut self, now: Instant) {
        self.watch.read = None;
        self.watch.failures = 0;
        self.watch.last_error = None;
        let wait = if self.watch.is_watcher {
            MIN_INTERVAL
        } else {
            Duration::from_millis(self.settings.fallback_ms)
        };
        self.watch.next_at = now + self.jitter(wait);
    }

    pub(super) fn record_read_failure(&mut self, now: Instant, error: ReadError) {
        self.watch.read = None;
        self.watch.failures = self.watch.failures.saturating_add(1);
        self.watch.last_error = Some(error);
        let wait = if self.watch.is_watcher {
            backoff(self.watch.failures, MIN_BACKOFF, MAX_BACKOFF)
        } else {
            Duration::from_millis(self.settings.fallback_ms) + self.draw_fallback_delay()
        };
        self.watch.next_at = now + self.jitter(wait);
    }

    fn jitter(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(self.rng.random_range(0.75..1.5))
    }
}

fn backoff(failures: u32, first: Duration, max: Duration) -> Duration {
    const MAX_DOUBLINGS: u32 = 5;
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    (first * (1 << doublings)).min(max)
}

fn rendezvous_weight(vm: &id::Vm) -> u64 {
    const HASH_KEYS: (u64, u64) = (0x7761_7463_6865_7273, 0x706c_6174_666f_726d);
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    vm.as_str().hash(&mut hasher);
    hasher.finish()
}
