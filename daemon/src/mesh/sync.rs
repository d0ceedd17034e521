//! Keeps the node's facts up to date, from the platform or from a peer that reads it.

use {
    super::{
        Mesh,
        adapter::{self, Directory, HeaderAdapter, Listing},
        frame::{Answer, Ask},
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

/// How often a node that reads the platform confirms that its document is the newest one. It has to
/// be well below the bound on withdrawn keys.
const CONFIRM_PERIOD: Duration = Duration::from_millis(1_000);
/// How long one wait for changes takes.
const CHANGES_WAIT: Duration = Duration::from_secs(20);
/// The pause between two waits for changes. Changes that come close together are read at once, since
/// each read has a price.
const CHANGES_PAUSE: Duration = Duration::from_millis(150);
/// How long a peer holds a question for facts.
const PEER_WAIT: Duration = Duration::from_millis(700);
/// How long a question for facts may take beyond that.
const PEER_GRACE: Duration = Duration::from_millis(500);
/// The time since its last read of the platform above which a node does not count as a reader. It is
/// little more than the time between two confirmations.
const READ_KEPT: Duration = Duration::from_millis(1_700);
/// The pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The age of the last confirmation above which a node also asks others than its usual source.
const STALE: Duration = Duration::from_millis(2_200);
/// How often the node does what is due by time alone.
const TICK: Duration = quota::PERIOD;

impl<N: HeaderAdapter, D: Directory> Mesh<N, D> {
    /// Starts all tasks that keep beliefs up to date.
    pub fn start_sync(self: &Rc<Self>) {
        tokio::task::spawn_local(self.clone().follow_platform());
        tokio::task::spawn_local(self.clone().confirm_document());
        tokio::task::spawn_local(self.clone().follow_peer());
        tokio::task::spawn_local(self.clone().tick());
    }

    fn source(&self) -> Source {
        self.node.borrow().peers().source(clock::now())
    }

    fn is_reader(&self) -> bool {
        let has_tables = self.node.borrow().table().is_some();
        !has_tables || self.source() == Source::Platform || self.is_stale()
    }

    /// Tells whether this node read the platform a short time ago.
    pub fn has_read(&self, now: Instant) -> bool {
        self.read.get().is_some_and(|at| now - at < READ_KEPT)
    }

    fn is_stale(&self) -> bool {
        self.node.borrow().lease().age(clock::now()).is_none_or(|age| age > STALE)
    }

    fn learned(self: &Rc<Self>, changes: Changes, from: &str) {
        if let Some(revision) = changes.table {
            log::info!(revision:% = revision, from; "tables in force");
        }
        if changes.has_targets {
            let node = self.node.borrow();
            let targets = node.fleet().iter().count();
            log::info!(position:% = node.facts().position(), targets, from; "targets changed");
            drop(node);
            self.ask_for_missing();
        }
        self.news.notify_waiters();
    }

    fn failed(&self, error: &adapter::Error, read: &str) {
        log::warn!(error:% = error, read; "the platform was not read");
        self.node.borrow_mut().outage(clock::now());
    }

    /// Waits for changes at the platform while this node is a reader.
    async fn follow_platform(self: Rc<Self>) {
        let mut is_listed = false;
        loop {
            if !self.is_reader() {
                is_listed = false;
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            let position = self.node.borrow().facts().position();
            let read = match is_listed {
                true => self.directory.changes(position, CHANGES_WAIT).await,
                false => self.directory.list().await,
            };
            match read {
                Ok(Listing { facts, position }) => {
                    let now = clock::now();
                    let changes = match is_listed {
                        true => self.node.borrow_mut().learn(now, &facts, position),
                        false => self.node.borrow_mut().learn_listing(now, &facts, position),
                    };
                    is_listed = true;
                    self.learned(changes, "platform");
                    tokio::time::sleep(CHANGES_PAUSE).await;
                }
                Err(error) => {
                    is_listed &= !matches!(error, adapter::Error::Compacted(_));
                    self.failed(&error, "changes");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Confirms the document at the platform while this node is a reader.
    async fn confirm_document(self: Rc<Self>) {
        loop {
            if !self.is_reader() {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            let asked = clock::now();
            match self.directory.document().await {
                Ok(fact) => {
                    self.read.set(Some(asked));
                    let facts: Vec<_> = fact.into_iter().collect();
                    let position = self.node.borrow().facts().position();
                    let changes = self.node.borrow_mut().learn(clock::now(), &facts, position);
                    if !facts.is_empty() {
                        self.node.borrow_mut().confirm(asked);
                    }
                    if changes != Changes::default() {
                        self.learned(changes, "platform");
                    }
                    tokio::time::sleep(CONFIRM_PERIOD).await;
                }
                Err(error) => {
                    self.failed(&error, "document");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Asks the peer that reads the platform for this node. Where nothing was confirmed for a
    /// while, it asks all peers in turn.
    async fn follow_peer(self: Rc<Self>) {
        let mut next = 0;
        loop {
            let host = match self.source() {
                Source::Peer(host) if !self.is_stale() => Some(host),
                source if self.is_stale() => {
                    if let Source::Peer(host) = source {
                        self.node.borrow_mut().peers_mut().stale(clock::now(), host);
                    }
                    let hosts: Vec<IpAddr> = self.node.borrow().peers().hosts().collect();
                    next += 1;
                    hosts.get(next % hosts.len().max(1)).copied()
                }
                _ => None,
            };
            let Some(host) = host else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            if !self.ask_facts(host).await {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn ask_facts(self: &Rc<Self>, host: IpAddr) -> bool {
        let after = self.node.borrow().facts().position();
        let wait = match self.is_stale() {
            true => Duration::ZERO,
            false => PEER_WAIT,
        };
        let asked = clock::now();
        let ask = Ask::Facts { after, wait_ms: wait.as_millis() as u64 };
        let answer = self.links.ask(host, ask, Bytes::new());
        match tokio::time::timeout(wait + PEER_GRACE, answer).await {
            Ok(Ok((Answer::Facts { facts, position, confirmed_age_ms, is_reader }, _))) => {
                let changes = {
                    let mut node = self.node.borrow_mut();
                    let now = clock::now();
                    node.peers_mut().heard(now, host, None);
                    let changes = node.learn(now, &facts, position);
                    if let Some(age_ms) = confirmed_age_ms {
                        node.confirm(shifted(asked, age_ms));
                    }
                    if !is_reader {
                        node.peers_mut().stale(now, host);
                    }
                    changes
                };
                if changes != Changes::default() || position > after {
                    self.learned(changes, "peer");
                }
                true
            }
            Ok(Ok(_)) => {
                log::warn!(host:% = host; "a peer gave an answer of the wrong kind");
                false
            }
            Ok(Err(error)) => {
                self.lost(host, &error.to_string());
                false
            }
            Err(_) => {
                self.lost(host, "no facts in time");
                false
            }
        }
    }

    /// Leaves out a peer that can't be reached or does not answer.
    pub fn lost(&self, host: IpAddr, cause: &str) {
        if self.node.borrow_mut().peers_mut().silent(host) {
            log::warn!(host:% = host, cause; "peer lost");
        }
    }

    /// Does what is due by time alone, tells the coordinator the demand and looks for peers that
    /// were silent.
    async fn tick(self: Rc<Self>) {
        let mut last = clock::now();
        loop {
            tokio::time::sleep(TICK).await;
            let now = clock::now();
            self.node.borrow_mut().tick(now);
            self.target.tick();
            let silent = self.node.borrow().peers().silent_hosts();
            for host in silent {
                tokio::task::spawn_local(self.clone().call_back(host));
            }
            let elapsed = now - last;
            last = now;
            self.spread_crashes().await;
            self.share_rates(elapsed).await;
        }
    }

    async fn call_back(self: Rc<Self>, host: IpAddr) {
        if self.links.ask(host, Ask::Ping, Bytes::new()).await.is_ok() {
            log::info!(host:% = host; "peer regained");
            self.node.borrow_mut().peers_mut().heard(clock::now(), host, None);
        }
    }

    async fn share_rates(&self, elapsed: Duration) {
        let (demand, host, me) = {
            let mut node = self.node.borrow_mut();
            let demand = node.meters().demand(elapsed);
            (demand, node.peers().coordinator(clock::now()), node.settings().host)
        };
        if host == me {
            let now = clock::now();
            let mut node = self.node.borrow_mut();
            if let Some(shares) = node.coordinator().hear(now, me, demand) {
                node.meters().set_shares(now, shares);
            }
            return;
        }
        let ask = self.links.ask(host, Ask::Demand(demand), Bytes::new());
        match tokio::time::timeout(PEER_GRACE, ask).await {
            Ok(Ok((Answer::Shares(shares), _))) => {
                let now = clock::now();
                let mut node = self.node.borrow_mut();
                node.peers_mut().heard(now, host, None);
                if let Some(shares) = shares {
                    node.meters().set_shares(now, shares);
                }
            }
            Ok(Ok(_)) => log::warn!(host:% = host; "a peer gave an answer of the wrong kind"),
            Ok(Err(error)) => self.lost(host, &error.to_string()),
            Err(_) => self.lost(host, "no shares in time"),
        }
    }

    /// Tells all peers that this node starts or leaves.
    pub async fn announce(self: &Rc<Self>, ask: Ask) {
        let hosts: Vec<IpAddr> = self.node.borrow().peers().hosts().collect();
        self.tell_all(hosts, &ask).await;
    }

    /// Tells some peers something that has no answer.
    pub async fn tell_all(&self, hosts: Vec<IpAddr>, ask: &Ask) {
        let tells = hosts.into_iter().map(|host| self.links.tell(host, ask.clone()));
        for told in futures::future::join_all(tells).await {
            if let Err(error) = told {
                log::debug!(error:% = error; "a peer was not told");
            }
        }
    }

    /// Waits until the node has tables, or for some time.
    pub async fn wait_for_tables(&self, longest: Duration) -> Option<Revision> {
        let end = tokio::time::Instant::now() + longest;
        loop {
            let news = self.news.notified();
            let revision = self.node.borrow().table().map(|table| table.revision());
            if revision.is_some() || tokio::time::timeout_at(end, news).await.is_err() {
                return revision;
            }
        }
    }
}

/// The moment that lies `age_ms` before another, or after it where the age is negative.
fn shifted(at: Instant, age_ms: i64) -> Instant {
    let distance = Duration::from_millis(age_ms.unsigned_abs());
    if age_ms < 0 { at + distance } else { at - distance }
}
