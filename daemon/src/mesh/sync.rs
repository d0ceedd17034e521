//! Synchronizes the node's facts with the platform, directly or through a peer that reads it.

use {
    super::{
        Mesh,
        adapter::{self, Directory, HeaderAdapter, Listing},
        frame::{PeerRequest, PeerResponse},
    },
    crate::clock,
    bytes::Bytes,
    monsoon_lib::{
        mesh::{
            node::{Changes, Source},
            quota,
        },
        time::Instant,
        unit::Revision,
    },
    std::{net::IpAddr, rc::Rc, time::Duration},
};

/// How often a node that reads the platform confirms that its document is current. It has to be
/// well below the time within which withdrawn keys must stop working.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);
/// The timeout of one watch request for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// The delay between two watch requests. It batches changes that arrive close together, since the
/// platform charges for each read.
const WATCH_DELAY: Duration = Duration::from_millis(150);
/// How long a peer holds a request for facts open when it has no new ones.
const PEER_LONG_POLL: Duration = Duration::from_millis(700);
/// How long a response of a peer may take beyond the time for which the peer may hold the request.
const PEER_RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// A node whose last read of the platform is older than this no longer counts as a reader. It is
/// slightly longer than the interval between two confirmations.
const READER_WINDOW: Duration = Duration::from_millis(1_700);
/// The delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// The age of the last confirmation above which a node also asks peers other than its usual source.
const STALE_AFTER: Duration = Duration::from_millis(2_200);
/// The interval of the node's periodic work.
const TICK_INTERVAL: Duration = quota::PERIOD;

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Starts all tasks that keep the node's facts up to date.
    pub fn start_sync_tasks(self: &Rc<Self>) {
        tokio::task::spawn_local(self.clone().watch_platform());
        tokio::task::spawn_local(self.clone().confirm_document());
        tokio::task::spawn_local(self.clone().sync_from_peers());
        tokio::task::spawn_local(self.clone().tick());
    }

    fn source(&self) -> Source {
        self.node.borrow().peers().source(clock::now())
    }

    fn is_reader(&self) -> bool {
        let has_tables = self.node.borrow().table().is_some();
        !has_tables || self.source() == Source::Platform || self.is_stale()
    }

    /// Returns whether this node read the platform within `READER_WINDOW`.
    pub fn has_read_recently(&self, now: Instant) -> bool {
        self.last_platform_read.get().is_some_and(|at| now - at < READER_WINDOW)
    }

    fn is_stale(&self) -> bool {
        self.node.borrow().lease().age(clock::now()).is_none_or(|age| age > STALE_AFTER)
    }

    fn on_changes(self: &Rc<Self>, changes: Changes, from: &str) {
        if let Some(revision) = changes.table {
            log::info!(revision:% = revision, from; "tables in force");
        }
        if changes.has_target_changes {
            let node = self.node.borrow();
            let targets = node.fleet().iter().count();
            log::info!(position:% = node.facts().position(), targets, from; "targets changed");
            drop(node);
            self.check_missing_targets();
        }
        self.state_changed.notify_waiters();
    }

    fn on_read_error(&self, error: &adapter::Error, read: &str) {
        log::warn!(error:% = error, read; "failed to read the platform");
        self.node.borrow_mut().record_outage(clock::now());
    }

    /// Watches the platform for changes while this node is a reader.
    async fn watch_platform(self: Rc<Self>) {
        let mut is_listed = false;
        loop {
            if !self.is_reader() {
                is_listed = false;
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            let position = self.node.borrow().facts().position();
            let read = match is_listed {
                true => self.directory.changes(position, WATCH_TIMEOUT).await,
                false => self.directory.list().await,
            };
            match read {
                Ok(Listing { facts, position }) => {
                    let now = clock::now();
                    let changes = match is_listed {
                        true => self.node.borrow_mut().apply(now, &facts, position),
                        false => self.node.borrow_mut().apply_listing(now, &facts, position),
                    };
                    is_listed = true;
                    self.on_changes(changes, "platform");
                    tokio::time::sleep(WATCH_DELAY).await;
                }
                Err(error) => {
                    is_listed &= !matches!(error, adapter::Error::Compacted(_));
                    self.on_read_error(&error, "changes");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Periodically confirms the document with the platform while this node is a reader.
    async fn confirm_document(self: Rc<Self>) {
        loop {
            if !self.is_reader() {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            let requested_at = clock::now();
            match self.directory.document().await {
                Ok(fact) => {
                    self.last_platform_read.set(Some(requested_at));
                    let facts: Vec<_> = fact.into_iter().collect();
                    let position = self.node.borrow().facts().position();
                    let changes = self.node.borrow_mut().apply(clock::now(), &facts, position);
                    if !facts.is_empty() {
                        self.node.borrow_mut().confirm(requested_at);
                    }
                    if changes != Changes::default() {
                        self.on_changes(changes, "platform");
                    }
                    tokio::time::sleep(CONFIRM_INTERVAL).await;
                }
                Err(error) => {
                    self.on_read_error(&error, "document");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Requests facts from the peer that reads the platform for this node. If the last confirmation
    /// is stale, asks all peers in turn instead.
    async fn sync_from_peers(self: Rc<Self>) {
        let mut next = 0;
        loop {
            let host = match self.source() {
                Source::Peer(host) if !self.is_stale() => Some(host),
                source if self.is_stale() => {
                    if let Source::Peer(host) = source {
                        self.node.borrow_mut().peers_mut().mark_stale(clock::now(), host);
                    }
                    let hosts: Vec<IpAddr> = self.node.borrow().peers().hosts().collect();
                    next += 1;
                    hosts.get(next % hosts.len().max(1)).copied()
                }
                _ => None,
            };
            let Some(host) = host else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            if !self.fetch_facts(host).await {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn fetch_facts(self: &Rc<Self>, host: IpAddr) -> bool {
        let after = self.node.borrow().facts().position();
        let wait = match self.is_stale() {
            true => Duration::ZERO,
            false => PEER_LONG_POLL,
        };
        let requested_at = clock::now();
        let request = PeerRequest::Facts { after, wait_ms: wait.as_millis() as u64 };
        let response = self.links.request(host, request, Bytes::new());
        match tokio::time::timeout(wait + PEER_RESPONSE_GRACE, response).await {
            Ok(Ok((PeerResponse::Facts { facts, position, confirmed_age_ms, is_reader }, _))) => {
                let changes = {
                    let mut node = self.node.borrow_mut();
                    let now = clock::now();
                    node.peers_mut().record_contact(now, host, None);
                    let changes = node.apply(now, &facts, position);
                    if let Some(age_ms) = confirmed_age_ms {
                        node.confirm(subtract_age(requested_at, age_ms));
                    }
                    if !is_reader {
                        node.peers_mut().mark_stale(now, host);
                    }
                    changes
                };
                if changes != Changes::default() || position > after {
                    self.on_changes(changes, "peer");
                }
                true
            }
            Ok(Ok(_)) => {
                log::warn!(host:% = host; "unexpected type of response from a peer");
                false
            }
            Ok(Err(error)) => {
                self.mark_peer_unreachable(host, &error.to_string());
                false
            }
            Err(_) => {
                self.mark_peer_unreachable(host, "timed out waiting for facts");
                false
            }
        }
    }

    /// Marks a peer to which a request failed or timed out as unreachable, so that it is not used.
    pub fn mark_peer_unreachable(&self, host: IpAddr, cause: &str) {
        if self.node.borrow_mut().peers_mut().mark_unreachable(host) {
            log::warn!(host:% = host, cause; "peer is unreachable");
        }
    }

    /// Runs the periodic work of the node: expires state, pings unreachable peers, sends crash
    /// reports and exchanges rate shares with the coordinator.
    async fn tick(self: Rc<Self>) {
        let mut last = clock::now();
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let now = clock::now();
            self.node.borrow_mut().tick(now);
            self.target.evict_expired();
            let unreachable = self.node.borrow().peers().unreachable_hosts();
            for host in unreachable {
                tokio::task::spawn_local(self.clone().ping_unreachable_peer(host));
            }
            let elapsed = now - last;
            last = now;
            self.send_crash_reports().await;
            self.exchange_rate_shares(elapsed).await;
        }
    }

    async fn ping_unreachable_peer(self: Rc<Self>, host: IpAddr) {
        if self.links.request(host, PeerRequest::Ping, Bytes::new()).await.is_ok() {
            log::info!(host:% = host; "peer is reachable again");
            self.node.borrow_mut().peers_mut().record_contact(clock::now(), host, None);
        }
    }

    async fn exchange_rate_shares(&self, elapsed: Duration) {
        let (demand, host, own_host) = {
            let mut node = self.node.borrow_mut();
            let demand = node.rate_limiter().demand(elapsed);
            (demand, node.peers().coordinator(clock::now()), node.settings().host)
        };
        if host == own_host {
            let now = clock::now();
            let mut node = self.node.borrow_mut();
            if let Some(shares) = node.coordinator().update(now, own_host, demand) {
                node.rate_limiter().set_shares(now, shares);
            }
            return;
        }
        let response = self.links.request(host, PeerRequest::Demand(demand), Bytes::new());
        match tokio::time::timeout(PEER_RESPONSE_GRACE, response).await {
            Ok(Ok((PeerResponse::Shares(shares), _))) => {
                let now = clock::now();
                let mut node = self.node.borrow_mut();
                node.peers_mut().record_contact(now, host, None);
                if let Some(shares) = shares {
                    node.rate_limiter().set_shares(now, shares);
                }
            }
            Ok(Ok(_)) => log::warn!(host:% = host; "unexpected type of response from a peer"),
            Ok(Err(error)) => self.mark_peer_unreachable(host, &error.to_string()),
            Err(_) => self.mark_peer_unreachable(host, "timed out waiting for rate shares"),
        }
    }

    /// Notifies all peers that this node is starting or leaving.
    pub async fn broadcast(self: &Rc<Self>, request: PeerRequest) {
        let hosts: Vec<IpAddr> = self.node.borrow().peers().hosts().collect();
        self.send_to_all(hosts, &request).await;
    }

    /// Sends a message without a response to the given peers.
    pub async fn send_to_all(&self, hosts: Vec<IpAddr>, request: &PeerRequest) {
        let notifications = hosts.into_iter().map(|host| self.links.notify(host, request.clone()));
        for result in futures::future::join_all(notifications).await {
            if let Err(error) = result {
                log::debug!(error:% = error; "failed to notify a peer");
            }
        }
    }

    /// Waits until the node has tables or `timeout` has passed, and returns the revision of the
    /// tables, if any.
    pub async fn wait_for_tables(&self, timeout: Duration) -> Option<Revision> {
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            let changed = self.state_changed.notified();
            let revision = self.node.borrow().table().map(|table| table.revision());
            if revision.is_some() || tokio::time::timeout_at(deadline, changed).await.is_err() {
                return revision;
            }
        }
    }
}

/// Returns the time that is `age_ms` before `at`, or after it if the age is negative.
fn subtract_age(at: Instant, age_ms: i64) -> Instant {
    let distance = Duration::from_millis(age_ms.unsigned_abs());
    if age_ms < 0 { at + distance } else { at - distance }
}
