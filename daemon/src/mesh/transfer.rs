//! Asks peers for what the platform does not publish: crashes of targets, and announced departures.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        frame::{Attachments, PeerRequest, Supplement},
    },
    crate::clock,
    bytes::Bytes,
    monsoon_lib::mesh::transfer::{CatchUp, Snapshot},
    std::{net::IpAddr, rc::Rc, time::Duration},
};

/// How long a peer may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a starting node looks whether it has found peers.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How often a node asks a random peer for what it has missed, such as gossip that was lost.
pub const TRANSFER_INTERVAL: Duration = Duration::from_secs(2);

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Asks the peers of a starting node until one of them has caught up itself.
    pub async fn catch_up(&self) {
        let started = clock::now();
        self.node.borrow_mut().begin_catch_up();
        let mut progress = CatchUp::default();
        let (mut asked, mut caught_up) = (0, 0);
        while caught_up == 0 {
            let has_discovered_peers = self.has_discovered_peers.get();
            let hosts = self.node.borrow_mut().shuffled_peers(clock::now());
            let batch = progress.next_batch(&hosts);
            if batch.is_empty() {
                if has_discovered_peers || progress.is_exhausted() {
                    break;
                }
                tokio::time::sleep(PEER_CHECK_INTERVAL).await;
                continue;
            }
            asked += batch.len();
            let requests = batch.into_iter().map(|host| self.fetch_transfer(host));
            let responses = futures::future::join_all(requests).await;
            caught_up +=
                responses.into_iter().flatten().filter(|is_caught_up| *is_caught_up).count();
        }
        self.node.borrow_mut().finish_catch_up();
        let elapsed_ms = (clock::now() - started).as_millis() as u64;
        let crashes = self.node.borrow_mut().crash_tracker().dump(clock::now()).crashes;
        log::info!(asked, caught_up, crashes, elapsed_ms; "caught up with peers");
    }

    /// Asks a random peer for what this node has missed.
    pub async fn ask_random_peer(self: Rc<Self>) {
        let hosts = self.node.borrow_mut().shuffled_peers(clock::now());
        if let Some(host) = hosts.first() {
            self.fetch_transfer(*host).await;
        }
    }

    /// Asks a peer for what this node does not know. Returns whether the peer has caught up, or
    /// `None` if it does not respond.
    async fn fetch_transfer(&self, host: IpAddr) -> Option<bool> {
        let query = self.node.borrow().transfer_query(clock::now());
        let query = Supplement::TransferQuery(query);
        let attachments = Attachments { extension: None, supplement: Some(&query) };
        let response = self.links.request_with(host, PeerRequest::Ping, attachments, Bytes::new());
        let response = match tokio::time::timeout(RESPONSE_TIMEOUT, response).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                log::debug!(host:% = host, error:% = error; "failed to ask a peer what it knows");
                return None;
            }
            Err(_) => {
                log::debug!(host:% = host; "timed out asking a peer what it knows");
                return None;
            }
        };
        match response.supplement {
            Some(Supplement::Transfer(snapshot)) => Some(self.on_transfer(host, snapshot)),
            // A node of an earlier version keeps what it knows to itself.
            _ => Some(false),
        }
    }

    fn on_transfer(&self, host: IpAddr, snapshot: Snapshot) -> bool {
        let Snapshot { is_caught_up, crashes, departures } = &snapshot;
        let is_caught_up = *is_caught_up;
        if !crashes.is_empty() || !departures.is_empty() {
            let (crashes, departures) = (crashes.len(), departures.len());
            log::info!(
                host:% = host, crashes, departures;
                "learned of crashes and departures from a peer"
            );
        }
        self.node.borrow_mut().apply_transfer(clock::now(), snapshot);
        is_caught_up
    }
}
