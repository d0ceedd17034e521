//! The periodic work of a node, and messages to all of its peers.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        frame::{PeerRequest, PeerResponse},
        sync::PEER_RESPONSE_GRACE,
        transfer::TRANSFER_INTERVAL,
    },
    crate::clock,
    bytes::Bytes,
    monsoon_lib::{mesh::quota, time::Instant, unit::Revision},
    std::{net::IpAddr, rc::Rc, time::Duration},
};

/// How long the facts have to be behind the store before this is logged.
const LAG_LOGGED_AFTER: Duration = Duration::from_millis(1_000);
/// The interval of the node's periodic work.
const TICK_INTERVAL: Duration = quota::PERIOD;

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Runs the periodic work of the node: expires state, pings unreachable peers, sends crash
    /// reports and exchanges rate shares with the coordinator.
    pub async fn tick(self: Rc<Self>) {
        let mut last = clock::now();
        let mut transferred_at = last;
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let now = clock::now();
            self.node.borrow_mut().tick(now);
            self.target.evict_expired();
            self.log_readiness(now);
            self.log_lag(now);
            self.log_scarcity(now);
            self.watch_cold_target();
            self.close_unread_answers(now);
            for host in self.node.borrow().peers().stale_sources(now) {
                let mesh = self.clone();
                tokio::task::spawn_local(
                    async move { mesh.fetch_facts(host, Duration::ZERO).await },
                );
            }
            let unreachable = self.node.borrow().peers().unreachable_hosts();
            for host in unreachable {
                tokio::task::spawn_local(self.clone().ping_unreachable_peer(host));
            }
            let elapsed = now - last;
            last = now;
            if now - transferred_at >= TRANSFER_INTERVAL {
                transferred_at = now;
                tokio::task::spawn_local(self.clone().ask_random_peer());
            }
            self.send_crash_reports().await;
            self.exchange_rate_shares(elapsed).await;
        }
    }

    /// Closes connections whose callers have left answers unread beyond their deadlines, if others wait
    /// for the memory.
    fn close_unread_answers(&self, now: Instant) {
        if !self.target.buffers().is_contended() && !self.peer_responses.is_contended() {
            return;
        }
        let closed = self.unread_answers.close_overdue(now);
        if closed > 0 {
            log::warn!(closed; "closed connections of callers that did not read their answers");
        }
    }

    /// Logs why the node is not ready, once for each change.
    fn log_readiness(&self, now: Instant) {
        let readiness = self.node.borrow().readiness(now);
        if self.last_readiness.replace(readiness) == readiness {
            return;
        }
        match readiness {
            Ok(()) => log::info!("ready"),
            Err(cause) => log::warn!(cause:% = cause; "not ready"),
        }
    }

    /// Logs once when the facts have been behind the store for `LAG_LOGGED_AFTER`, and when they are
    /// complete again.
    fn log_lag(&self, now: Instant) {
        let node = self.node.borrow();
        let lag = node.lag().duration(now);
        let is_behind = lag.is_some_and(|lag| lag >= LAG_LOGGED_AFTER);
        if self.is_behind.replace(is_behind) == is_behind {
            return;
        }
        let (position, store) = (node.facts().position(), node.lag().latest());
        let behind_ms = lag.map(|lag| lag.as_millis() as u64);
        match is_behind {
            true => log::warn!(
                position:% = position, store:% = store, behind_ms;
                "facts are behind the store"
            ),
            false => log::info!(position:% = position; "facts are complete again"),
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
            if let Some(shares) = node.share_rates(now, own_host, demand) {
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
