//! Synchronizes the node's facts with the platform, directly or through a peer that reads it.

use {
    super::{
        Mesh,
        adapter::{self, Directory, DocumentRead, HeaderAdapter, Listing},
        frame::{Attachments, Extension, PeerRequest, PeerResponse},
        link,
        replication::{self, Query},
    },
    crate::clock,
    bytes::Bytes,
    monsoon_lib::{
        mesh::{
            fact::Value,
            node::{Changes, Source},
            position::Position,
            read_schedule::{ReadSchedule, Role},
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
/// How long a peer holds a request for facts open when it has neither new ones nor a confirmation of
/// the document, which a reader gets each `CONFIRM_INTERVAL`.
const PEER_LONG_POLL: Duration = Duration::from_millis(1_100);
/// How long a response of a peer may take beyond the time for which the peer may hold the request.
pub const PEER_RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// A node whose last read of the platform is older than this no longer counts as a reader. It is
/// slightly longer than the interval between two confirmations.
const READER_WINDOW: Duration = Duration::from_millis(1_700);
/// The delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// The age of the last confirmation above which a node also asks peers other than its usual source.
/// It exceeds the interval between two confirmations, and leaves time to find another source within
/// the two seconds in which a new document has to be in force.
pub const STALE_AFTER: Duration = Duration::from_millis(1_400);
/// How often a node looks whether it has to read the platform.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a starting node waits for entries of targets, by which it finds its peers. The targets
/// of a new deployment publish theirs within this time.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay between two reads of these entries.
const PEER_DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// The number of peers that a starting node asks for their facts before it reads the platform.
const FIRST_PEERS: usize = 3;
/// How long it waits for their answers.
const FIRST_PEERS_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a starting node that is not the reader of its data centre waits for tables from peers
/// before it reads the platform itself.
const START_PATIENCE: Duration = Duration::from_millis(1_500);

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Starts all tasks that keep the node's facts up to date.
    pub fn start_sync_tasks(self: &Rc<Self>) {
        tokio::task::spawn_local(self.clone().tick());
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            // Without tables the node serves nobody, so it gets them after it has caught up.
            tokio::join!(mesh.discover_peers(), mesh.catch_up_and_follow());
            mesh.ask_first_peers().await;
            tokio::task::spawn_local(mesh.clone().watch_platform());
            mesh.confirm_document().await;
        });
    }

    /// Finds the peers of a starting node by the entries of their targets. Once its own target has
    /// an entry, those of most others are there as well, even in a new deployment.
    async fn discover_peers(&self) {
        let own_target = self.node.borrow().settings().target;
        let deadline = clock::now() + PEER_DISCOVERY_TIMEOUT;
        while clock::now() < deadline {
            match self.directory.list_targets_stale().await {
                Ok(targets) => {
                    let now = clock::now();
                    self.node.borrow_mut().record_response(now);
                    self.node.borrow_mut().add_peers(now, &targets);
                    if !targets.is_empty() {
                        self.has_discovered_peers.set(true);
                    }
                    if targets.iter().any(|target| target.address == own_target) {
                        return;
                    }
                }
                Err(error) => self.on_read_error(&error, "targets"),
            }
            tokio::time::sleep(PEER_DISCOVERY_INTERVAL).await;
        }
        self.has_discovered_peers.set(true);
    }

    async fn catch_up_and_follow(self: &Rc<Self>) {
        self.catch_up().await;
        tokio::task::spawn_local(self.clone().follow_source());
        tokio::task::spawn_local(self.clone().search_when_stale());
    }

    /// Gets the facts of some peers before the first read of the platform. After the store was
    /// restored from a copy, peers may have a later document than the copy.
    async fn ask_first_peers(self: &Rc<Self>) {
        let mut hosts = self.node.borrow().peers().search_order(clock::now());
        hosts.truncate(FIRST_PEERS);
        let requests = hosts.into_iter().map(|host| self.fetch_facts(host, Duration::ZERO));
        let all = futures::future::join_all(requests);
        if tokio::time::timeout(FIRST_PEERS_TIMEOUT, all).await.is_err() {
            log::info!("not all peers answered before the first read of the platform");
        }
    }

    fn source(&self) -> Source {
        self.node.borrow().peers().source(clock::now())
    }

    /// Returns whether and why this node has to read the platform.
    fn role(&self, started: Instant) -> Role {
        let now = clock::now();
        let (is_elected, rank, has_tables) = {
            let node = self.node.borrow();
            let is_elected = node.peers().source(now) == Source::Platform;
            (is_elected, node.peers().place(now).rank, node.table().is_some())
        };
        let is_waiting_for_peers = !has_tables && now - started < START_PATIENCE;
        match is_elected {
            true if rank == 0 || self.has_read_recently(now) => Role::Reader,
            true => Role::Prober,
            false if is_waiting_for_peers || !self.is_stale() => Role::Follower,
            false => Role::Prober,
        }
    }

    /// Returns whether this node read the platform within `READER_WINDOW`.
    pub fn has_read_recently(&self, now: Instant) -> bool {
        self.last_platform_read.get().is_some_and(|at| now - at < READER_WINDOW)
    }

    /// Returns whether it is so long since the last confirmation that this node asks other peers than
    /// its usual source.
    pub fn is_stale(&self) -> bool {
        self.node.borrow().lease().age(clock::now()).is_none_or(|age| age >= STALE_AFTER)
    }

    /// Logs when the last confirmation has become too old. Before the first one nothing is stale.
    fn log_if_stale(&self) {
        let now = clock::now();
        let age = self.node.borrow().lease().age(now).filter(|age| *age >= STALE_AFTER);
        if let Some(age) = age
            && self.stale_since.get().is_none()
        {
            self.stale_since.set(Some(now));
            self.metrics.stale();
            log::info!(
                age_ms = age.as_millis() as u64, source:% = self.source(),
                tables:% = self.table_revision();
                "facts are stale"
            );
        }
    }

    /// Logs when a confirmation has ended the time without one.
    fn log_if_confirmed(&self, from: Source) {
        if !self.is_stale()
            && let Some(since) = self.stale_since.take()
        {
            let stale_ms = (clock::now() - since).as_millis() as u64;
            log::info!(stale_ms, from:% = from; "facts are confirmed again");
        }
    }

    fn table_revision(&self) -> Revision {
        self.node.borrow().table().map_or(Revision(0), |table| table.revision())
    }

    /// Returns whether this node has facts that a peer with this query lacks.
    pub fn has_news_for(&self, query: &Query) -> bool {
        let has_facts = self.node.borrow().facts().position() > query.after;
        has_facts || self.table_revision() > query.document
    }

    fn on_changes(self: &Rc<Self>, changes: Changes, from: Source) {
        if let Some(revision) = changes.table {
            log::info!(revision:% = revision, from:% = from; "tables in force");
        }
        self.watch_cold_target();
        if changes.has_evacuation_changes {
            self.refuse_evacuated_queue();
        }
        if changes.has_target_changes {
            let node = self.node.borrow();
            let targets = node.fleet().iter().count();
            let leaving = node.fleet().iter().filter(|target| target.is_leaving).count();
            let missing = node.missing().count();
            log::info!(
                position:% = node.facts().position(), targets, leaving, missing, from:% = from;
                "targets changed"
            );
            drop(node);
            self.check_missing_targets();
        }
        self.state_changed.notify_waiters();
    }

    fn on_read_error(&self, error: &adapter::Error, read: &str) {
        log::warn!(error:% = error, read; "failed to read the platform");
        let now = clock::now();
        match error.is_response() {
            true => self.node.borrow_mut().record_response(now),
            false => self.node.borrow_mut().record_failed_read(now),
        }
    }

    /// Returns whether this node has to follow the changes on the platform by itself.
    fn needs_changes(&self) -> bool {
        let has_targets = self.node.borrow().facts().position() != Position::default();
        let has_other_source = has_targets && self.source() != Source::Platform;
        self.has_read_recently(clock::now()) && !has_other_source
    }

    /// Watches the platform for changes while this node reads it.
    async fn watch_platform(self: Rc<Self>) {
        let mut is_listed = false;
        loop {
            if !self.needs_changes() {
                is_listed = false;
                tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            // A peer of an earlier version may have passed on later facts without the evacuations.
            is_listed &= self.node.borrow().facts().has_evacuations();
            let position = self.node.borrow().facts().position();
            let read = match is_listed {
                true => tokio::select! {
                    changes = self.directory.changes(position, WATCH_TIMEOUT) => changes,
                    () = self.store_restored.notified() => {
                        is_listed = false;
                        continue;
                    }
                    () = self.watch_overdue() => {
                        log::warn!(
                            position:% = position, store:% = self.node.borrow().lag().latest();
                            "watch gave up, it does not report the changes of the store"
                        );
                        is_listed = false;
                        continue;
                    }
                },
                false => self.directory.list().await,
            };
            match read {
                Ok(Listing { facts, position }) => {
                    let now = clock::now();
                    self.node.borrow_mut().record_response(now);
                    let changes = match is_listed {
                        true => self.node.borrow_mut().apply(now, &facts, position),
                        false => self.node.borrow_mut().apply_listing(now, &facts, position),
                    };
                    is_listed = true;
                    self.on_changes(changes, Source::Platform);
                    tokio::time::sleep(WATCH_DELAY).await;
                }
                Err(adapter::Error::Restored(era)) => {
                    is_listed = false;
                    self.node.borrow_mut().record_era(clock::now(), era);
                    tokio::time::sleep(WATCH_DELAY).await;
                }
                Err(error) => {
                    // A watch that is refused again and again must not hide changes that reads find.
                    let give_up_at = self.node.borrow().lag().give_up_watch_at();
                    let is_overdue = give_up_at.is_some_and(|at| at <= clock::now());
                    is_listed &= !matches!(error, adapter::Error::Compacted(_)) && !is_overdue;
                    self.on_read_error(&error, "changes");
                    // Tells at once whether this node can still read for its peers.
                    self.is_read_due.set(true);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Completes when the watch has not reported changes that a read of the document found the store
    /// to have.
    async fn watch_overdue(&self) {
        loop {
            let give_up_at = self.node.borrow().lag().give_up_watch_at();
            let now = clock::now();
            match give_up_at {
                Some(at) if at <= now => return,
                Some(at) => tokio::time::sleep(at - now).await,
                None => self.document_read.notified().await,
            }
        }
    }

    /// Periodically confirms the document with the platform while this node reads it.
    async fn confirm_document(self: Rc<Self>) {
        let started = clock::now();
        let mut schedule = ReadSchedule::default();
        let mut last_role = None;
        loop {
            self.log_if_stale();
            let now = clock::now();
            let place = self.node.borrow().peers().place(now);
            let role = self.role(started);
            if last_role.replace(role) != Some(role) {
                log::info!(role:% = role, rank = place.rank, nodes = place.nodes; "role changed");
            }
            if !schedule.is_due(now, role, place) && !self.is_read_due.take() {
                tokio::time::sleep(self.until_role_check(now, schedule.next_read())).await;
                continue;
            }
            match self.directory.document().await {
                Ok(read) => {
                    self.on_document(now, read);
                    schedule.record_success(now, CONFIRM_INTERVAL);
                }
                Err(error) => {
                    self.on_read_error(&error, "document");
                    if schedule.record_failure(clock::now(), role, place) {
                        // Peers that wait for facts have to look for another source.
                        self.last_platform_read.set(None);
                    }
                    self.state_changed.notify_waiters();
                }
            }
        }
    }

    /// Returns how long to wait until this node looks again whether it has to read the platform.
    fn until_role_check(&self, now: Instant, next_read: Option<Instant>) -> Duration {
        let stale_at = self.node.borrow().lease().confirmed().map(|at| at + STALE_AFTER);
        let next = [next_read, stale_at].into_iter().flatten().filter(|at| *at > now).min();
        next.map_or(ROLE_CHECK_INTERVAL, |at| (at - now).min(ROLE_CHECK_INTERVAL))
    }

    fn on_document(self: &Rc<Self>, requested_at: Instant, read: DocumentRead) {
        self.last_platform_read.set(Some(requested_at));
        let now = clock::now();
        self.node.borrow_mut().record_response(requested_at);
        if self.node.borrow_mut().record_era(now, read.position.era) {
            self.store_restored.notify_waiters();
        }
        self.node.borrow_mut().record_store_position(now, read.position);
        self.document_read.notify_waiters();
        let Some(fact) = read.fact else { return };
        let position = self.node.borrow().facts().position();
        let Value::Document(document) = &fact.value else { return };
        let found = document.revision;
        let changes = self.node.borrow_mut().apply(now, &[fact], position);
        if !self.node.borrow_mut().confirm_read(requested_at, read.position.era, found) {
            let in_force = self.table_revision();
            log::info!(
                found = found.0, in_force = in_force.0, era = read.position.era.0;
                "a read of the document does not confirm the tables in force"
            );
        }
        if changes != Changes::default() {
            self.on_changes(changes, Source::Platform);
        }
        self.log_if_confirmed(Source::Platform);
        // Peers that wait for facts get the confirmation.
        self.state_changed.notify_waiters();
    }

    /// Requests facts from the peer that reads the platform for this node.
    async fn follow_source(self: Rc<Self>) {
        loop {
            let is_fetched = match self.source() {
                Source::Peer(host) => self.fetch_facts(host, PEER_LONG_POLL).await,
                Source::Platform => false,
            };
            if !is_fetched {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Asks a peer for facts. Returns whether it answered; it may wait for the first one.
    pub async fn fetch_facts(self: &Rc<Self>, host: IpAddr, wait: Duration) -> bool {
        let query =
            Query { after: self.node.borrow().facts().position(), document: self.table_revision() };
        let requested_at = clock::now();
        let request =
            PeerRequest::Facts { after: query.after.revision, wait_ms: wait.as_millis() as u64 };
        let extension = query.extension();
        let attachments = Attachments { extension: Some(&extension), supplement: None };
        let response = self.links.request_with(host, request, attachments, Bytes::new());
        match tokio::time::timeout(wait + PEER_RESPONSE_GRACE, response).await {
            Ok(Ok(response)) => self.on_facts(host, requested_at, &query, response),
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

    fn on_facts(
        self: &Rc<Self>,
        host: IpAddr,
        requested_at: Instant,
        query: &Query,
        response: link::Response,
    ) -> bool {
        let PeerResponse::Facts { facts, position, confirmed_age_ms, is_reader } = response.message
        else {
            log::warn!(host:% = host; "unexpected type of response from a peer");
            return false;
        };
        let now = clock::now();
        // While this node starts, its source may be starting as well.
        let has_tables = self.node.borrow().table().is_some();
        let is_source = has_tables && self.source() == Source::Peer(host);
        let is_recheck = self.node.borrow().peers().stale_sources(now).contains(&host);
        let (extension, supplement) = (response.extension.as_ref(), response.supplement.as_ref());
        let update = replication::decode(facts, position, extension, supplement);
        if replication::lacks_cold_limits(&update) {
            // The peer, or one that it follows, is of an earlier version, which does not know them.
            self.is_read_due.set(true);
        }
        let changes = {
            let mut node = self.node.borrow_mut();
            node.peers_mut().record_contact(now, host, None);
            if let Some(Extension::Update { outage_age_ms: Some(age_ms), .. }) = response.extension
            {
                // The peer states the age when it responds, which may be long after the request.
                node.record_outage(now - Duration::from_millis(age_ms));
            }
            let changes = node.apply_update(now, &update);
            if let Some(age_ms) = confirmed_age_ms {
                node.confirm(subtract_age(requested_at, age_ms));
            }
            let is_outdated = update.position.era < query.after.era;
            if is_reader && !is_outdated {
                node.peers_mut().mark_fresh(host);
            } else if is_source || is_recheck {
                node.peers_mut().mark_stale(now, host);
            }
            changes
        };
        if changes != Changes::default() || update.position > query.after {
            self.on_changes(changes, Source::Peer(host));
        }
        self.log_if_confirmed(Source::Peer(host));
        true
    }

    /// Marks a peer to which a request failed or timed out as unreachable, so that it is not used.
    pub fn mark_peer_unreachable(&self, host: IpAddr, cause: &str) {
        if self.node.borrow_mut().peers_mut().mark_unreachable(host) {
            log::warn!(host:% = host, cause; "peer is unreachable");
        }
    }
}

/// Returns the time that is `age_ms` before `at`, or after it if the age is negative.
fn subtract_age(at: Instant, age_ms: i64) -> Instant {
    let distance = Duration::from_millis(age_ms.unsigned_abs());
    if age_ms < 0 { at + distance } else { at - distance }
}
