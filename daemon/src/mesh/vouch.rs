//! Confirms that targets without a directory entry are still alive.
//!
//! A target that is partitioned from the platform loses its entry after some missed heartbeats,
//! though callers and peers can still reach it. The node on the same VM is partitioned as well. It
//! vouches for its target while it can't read the platform itself and the target passes a health
//! check, which a leaving target does not.

use {
    super::{
        Mesh,
        adapter::{self, Directory, HeaderAdapter},
        frame::{PeerRequest, PeerResponse},
    },
    crate::clock,
    bytes::Bytes,
    futures::future::{self, Either},
    monsoon_lib::{id, mesh::fleet::OUTAGE_GRACE, time::Instant},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        net::IpAddr,
        pin::pin,
        rc::Rc,
        time::Duration,
    },
};

/// How long a peer may take to vouch for its target. It probes the platform and checks the target's
/// health first.
const VOUCH_TIMEOUT: Duration = Duration::from_millis(700);
/// How often a peer is asked while its target has no entry.
const VOUCH_INTERVAL: Duration = Duration::from_millis(1_000);
/// How soon a peer that did not answer is asked again. The target is kept meanwhile, but not for longer
/// than without an answer at all.
const VOUCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long the first probe of the platform may take until a second one is made beside it.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(150);
/// Checks that are further apart say nothing about the time between them. While a target has no entry,
/// its node is asked about it each [`VOUCH_INTERVAL`].
const MAX_CHECK_DISTANCE: Duration = Duration::from_millis(2_500);
/// How long the result of a check of the node's own target is reused.
const CHECK_CACHE_TIME: Duration = Duration::from_millis(700);

/// The state of the checks of targets that have no entry.
#[derive(Default)]
pub struct VouchState {
    /// The targets whose nodes are being polled.
    polled: RefCell<BTreeSet<id::Vm>>,
    /// The last check that found the platform unreachable, if none has succeeded since.
    last_failed_check: Cell<Option<Instant>>,
    /// The last check that found the platform unreachable directly after another one had.
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
            let Some(is_vouched) = self.ask_whether_vouched(&target, host).await else {
                tokio::time::sleep(VOUCH_RETRY_DELAY).await;
                continue;
            };
            log::info!(
                target = target.as_str(), host:% = host, is_vouched;
                "target has no entry in the directory"
            );
            self.node.borrow_mut().record_vouch(clock::now(), &target, is_vouched);
            tokio::time::sleep(VOUCH_INTERVAL).await;
        }
        self.vouching.polled.borrow_mut().remove(&target);
    }

    /// Returns whether the node of a target vouches for it, or `None` if it does not answer.
    async fn ask_whether_vouched(&self, target: &id::Vm, host: IpAddr) -> Option<bool> {
        if host == self.node.borrow().settings().host {
            return Some(self.vouches_for(target).await);
        }
        let request = PeerRequest::Vouch { target: target.clone() };
        let response = self.links.request(host, request, Bytes::new());
        match tokio::time::timeout(VOUCH_TIMEOUT, response).await {
            Ok(Ok((PeerResponse::Vouched(is_vouched), _))) => Some(is_vouched),
            Ok(Ok(_)) => {
                log::warn!(host:% = host; "unexpected type of response from a peer");
                Some(false)
            }
            Ok(Err(error)) => {
                log::info!(
                    host:% = host, error:% = error;
                    "failed to ask a peer whether its target is alive"
                );
                None
            }
            Err(_) => {
                log::info!(host:% = host; "timed out asking a peer whether its target is alive");
                None
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

    /// Probes the platform, and a second time if there is no quick response: one call may fail while
    /// the platform can be reached.
    async fn probe_twice(&self) -> Result<(), adapter::Error> {
        let mut first = pin!(self.directory.probe());
        match tokio::time::timeout(SECOND_PROBE_DELAY, first.as_mut()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => {
                log::info!(error:% = error; "a probe of the platform failed");
                self.directory.probe().await
            }
            Err(_) => {
                let second = pin!(self.directory.probe());
                let both = [Either::Left(first), Either::Right(second)];
                future::select_ok(both).await.map(|(response, _)| response)
            }
        }
    }

    /// Returns whether this node is partitioned from the platform, or was until a moment ago, so that
    /// its target's entry may come back. A single check that fails does not count beyond itself.
    async fn is_partitioned(&self) -> bool {
        let now = clock::now();
        if let Err(error) = self.probe_twice().await {
            log::info!(
                error:% = error;
                "the platform can't be reached; the node's own target may be partitioned"
            );
            let previous = self.vouching.last_failed_check.replace(Some(now));
            if previous.is_some_and(|at| now - at < MAX_CHECK_DISTANCE) {
                self.vouching.last_unreachable.set(Some(now));
            }
            return true;
        }
        self.vouching.last_failed_check.set(None);
        self.vouching.last_unreachable.get().is_some_and(|at| now - at < OUTAGE_GRACE)
    }

    /// Returns the instance ID of the node's own target if it is alive and the platform was
    /// unreachable recently, so that its entry may have expired.
    async fn live_target_while_partitioned(&self) -> Option<id::Vm> {
        if !self.is_partitioned().await {
            return None;
        }
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
