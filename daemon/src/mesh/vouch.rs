//! Confirms that targets without a directory entry are still alive.
//!
//! A target that is partitioned from the platform loses its entry after some missed heartbeats,
//! though callers and peers can still reach it. The node on the same VM is partitioned as well. It
//! vouches for its target while it can't read the platform itself and the target passes a health
//! check, which a leaving target does not.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        frame::{PeerRequest, PeerResponse},
    },
    crate::clock,
    bytes::Bytes,
    monsoon_lib::{id, mesh::fleet::OUTAGE_GRACE, time::Instant},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        net::IpAddr,
        rc::Rc,
        time::Duration,
    },
};

/// How long a peer may take to vouch for its target. It probes the platform and checks the target's
/// health first.
const VOUCH_TIMEOUT: Duration = Duration::from_millis(700);
/// How often a peer is asked while its target has no entry.
const VOUCH_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long the result of a check of the node's own target is reused.
const CHECK_CACHE_TIME: Duration = Duration::from_millis(700);

/// The state of the checks of targets that have no entry.
#[derive(Default)]
pub struct VouchState {
    /// The targets whose nodes are being polled.
    polled: RefCell<BTreeSet<id::Vm>>,
    /// When a probe of the platform last failed.
    last_unreachable: Cell<Option<Instant>>,
    /// The last check of the node's own target: its time and the instance that was found alive.
    last_check: tokio::sync::Mutex<Option<(Instant, Option<id::Vm>)>>,
}

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Starts to poll the nodes of all targets that have lost their entries.
    pub fn check_missing_targets(self: &Rc<Self>) {
        let missing: Vec<(id::Vm, IpAddr)> = {
            let node = self.node.borrow();
            node.missing().map(|target| (target.name.clone(), target.address.ip())).collect()
        };
        for (target, host) in missing {
            if self.vouching.polled.borrow_mut().insert(target.clone()) {
                tokio::task::spawn_local(self.clone().poll_missing_target(target, host));
            }
        }
    }

    async fn poll_missing_target(self: Rc<Self>, target: id::Vm, host: IpAddr) {
        while self.node.borrow().missing().any(|missing| missing.name == target) {
            let is_vouched = self.is_vouched(&target, host).await;
            log::info!(
                target = target.as_str(), host:% = host, is_vouched;
                "target has no entry in the directory"
            );
            self.node.borrow_mut().record_vouch(clock::now(), &target, is_vouched);
            tokio::time::sleep(VOUCH_INTERVAL).await;
        }
        self.vouching.polled.borrow_mut().remove(&target);
    }

    async fn is_vouched(&self, target: &id::Vm, host: IpAddr) -> bool {
        if host == self.node.borrow().settings().host {
            return self.vouches_for(target).await;
        }
        let request = PeerRequest::Vouch { target: target.clone() };
        let response = self.links.request(host, request, Bytes::new());
        match tokio::time::timeout(VOUCH_TIMEOUT, response).await {
            Ok(Ok((PeerResponse::Vouched(is_vouched), _))) => is_vouched,
            Ok(Ok(_)) => {
                log::warn!(host:% = host; "unexpected type of response from a peer");
                false
            }
            Ok(Err(error)) => {
                log::info!(
                    host:% = host, error:% = error;
                    "failed to ask a peer whether its target is alive"
                );
                false
            }
            Err(_) => {
                log::info!(host:% = host; "timed out asking a peer whether its target is alive");
                false
            }
        }
    }

    /// Returns whether the node's own target is the given instance, alive, and partitioned from the
    /// platform.
    pub async fn vouches_for(&self, target: &id::Vm) -> bool {
        let mut last_check = self.vouching.last_check.lock().await;
        let now = clock::now();
        let cached = last_check.take().filter(|(at, _)| now - *at < CHECK_CACHE_TIME);
        let (at, live_target) = match cached {
            Some(cached) => cached,
            None => (clock::now(), self.live_target_while_partitioned().await),
        };
        let is_vouched = live_target.as_ref() == Some(target);
        *last_check = Some((at, live_target));
        is_vouched
    }

    /// Returns the instance ID of the node's own target if it is alive and the platform was
    /// unreachable recently, so that its entry may have expired.
    async fn live_target_while_partitioned(&self) -> Option<id::Vm> {
        let requested_at = clock::now();
        if let Err(error) = self.directory.probe().await {
            log::info!(
                error:% = error;
                "the platform can't be reached; the node's own target may be partitioned"
            );
            self.vouching.last_unreachable.set(Some(requested_at));
        }
        self.vouching.last_unreachable.get().filter(|at| requested_at - *at < OUTAGE_GRACE)?;
        let path = {
            let node = self.node.borrow();
            let path = node.table().and_then(|table| table.health(&node.settings().pool));
            path?.to_owned()
        };
        // The target may have started again while its node and the platform are cut off.
        let (health, _) = self.check_own_target(Some(&path)).await;
        health.map(|health| health.instance)
    }
}
