//! Vouches for targets whose entries went away while they live.
//!
//! A target that is cut off from the platform loses its entry after some silent heartbeats, though
//! callers and peers still reach it. The node beside it notices the same cut. It vouches for its
//! target while it can't read the platform itself and the target passes a health check, which a
//! leaving target does not.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        frame::{Answer, Ask},
    },
    crate::clock,
    bytes::Bytes,
    monsoon_lib::{id, mesh::fleet::RETURN_HOLD, time::Instant},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        net::IpAddr,
        rc::Rc,
        time::Duration,
    },
};

/// How long a peer may take to vouch: a probe of the platform and a health check.
const VOUCH_TIMEOUT: Duration = Duration::from_millis(700);
/// How often a peer is asked again while its target has no entry.
const VOUCH_PERIOD: Duration = Duration::from_millis(1_000);
/// How long a verdict on the own target is told again without another check.
const VERDICT_KEPT: Duration = Duration::from_millis(700);

/// What this node knows of targets without entries.
#[derive(Default)]
pub struct Vouch {
    /// The targets whose nodes are being asked.
    asked: RefCell<BTreeSet<id::Vm>>,
    /// When the platform could last not be reached.
    unreached: Cell<Option<Instant>>,
    verdict: tokio::sync::Mutex<Option<(Instant, Option<id::Vm>)>>,
}

impl<N: HeaderAdapter, D: Directory> Mesh<N, D> {
    /// Asks the nodes of all targets that lost their entries, as long as they have none.
    pub fn ask_for_missing(self: &Rc<Self>) {
        let missing: Vec<(id::Vm, IpAddr)> = {
            let node = self.node.borrow();
            node.missing().map(|target| (target.name.clone(), target.address.ip())).collect()
        };
        for (target, host) in missing {
            if self.vouch.asked.borrow_mut().insert(target.clone()) {
                tokio::task::spawn_local(self.clone().ask_until_back(target, host));
            }
        }
    }

    async fn ask_until_back(self: Rc<Self>, target: id::Vm, host: IpAddr) {
        while self.node.borrow().missing().any(|missing| missing.name == target) {
            let is_vouched = self.is_vouched(&target, host).await;
            log::info!(
                target = target.as_str(), host:% = host, is_vouched;
                "the entry of a target is missing"
            );
            self.node.borrow_mut().vouched(clock::now(), &target, is_vouched);
            tokio::time::sleep(VOUCH_PERIOD).await;
        }
        self.vouch.asked.borrow_mut().remove(&target);
    }

    async fn is_vouched(&self, target: &id::Vm, host: IpAddr) -> bool {
        if host == self.node.borrow().settings().host {
            return self.vouches_for(target).await;
        }
        let ask = Ask::Vouch { target: target.clone() };
        let answer = self.links.ask(host, ask, Bytes::new());
        match tokio::time::timeout(VOUCH_TIMEOUT, answer).await {
            Ok(Ok((Answer::Vouched(is_vouched), _))) => is_vouched,
            Ok(Ok(_)) => {
                log::warn!(host:% = host; "a peer gave an answer of the wrong kind");
                false
            }
            Ok(Err(error)) => {
                log::info!(host:% = host, error:% = error; "a peer could not be asked to vouch");
                false
            }
            Err(_) => {
                log::info!(host:% = host; "a peer did not vouch in time");
                false
            }
        }
    }

    /// Tells whether the own target is the one that is named, lives and is cut off.
    pub async fn vouches_for(&self, target: &id::Vm) -> bool {
        let mut verdict = self.vouch.verdict.lock().await;
        let now = clock::now();
        let known = verdict.take().filter(|(at, _)| now - *at < VERDICT_KEPT);
        let (at, living) = match known {
            Some(known) => known,
            None => (clock::now(), self.living_target().await),
        };
        let is_vouched = living.as_ref() == Some(target);
        *verdict = Some((at, living));
        is_vouched
    }

    /// Returns the own target's life if its entry may be missing though it lives.
    async fn living_target(&self) -> Option<id::Vm> {
        let asked = clock::now();
        if let Err(error) = self.directory.probe().await {
            log::info!(error:% = error; "the platform can't be reached, the own target may be cut off");
            self.vouch.unreached.set(Some(asked));
        }
        self.vouch.unreached.get().filter(|at| asked - *at < RETURN_HOLD)?;
        let path = {
            let node = self.node.borrow();
            let path = node.table().and_then(|table| table.health(&node.settings().pool));
            path?.to_owned()
        };
        self.target.health(&self.header_adapter, &path).await
    }
}
