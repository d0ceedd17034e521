//! Finds out whether the node's own target is cold.
//!
//! Health checks are priced, so the target is asked only where its pool has a bound on cold targets:
//! when the node starts, when the target is back after it did not accept connections, and while its
//! entry is not renewed. The decisions are in [`monsoon_lib::mesh::cold`].

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter, Health},
    },
    crate::clock,
    monsoon_lib::{id, mesh::cold::Change, time::Instant},
    std::{io, rc::Rc, time::Duration},
};

/// The delay between two attempts to connect to a target that did not accept connections. Calls are
/// bounded meanwhile, so it only has to be short compared with a cold time.
const CONNECT_INTERVAL: Duration = Duration::from_millis(200);

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Logs whether the own target has become cold or ceased to be, and asks it if that is due.
    pub fn watch_cold_target(self: &Rc<Self>) {
        let now = clock::now();
        self.log_cold_target(now);
        let is_due = {
            let node = self.node.borrow();
            let guard = node.cold_guard();
            guard.is_down() || guard.is_check_due(now)
        };
        if is_due && !self.is_asking_target.replace(true) {
            tokio::task::spawn_local(self.clone().ask_target());
        }
    }

    /// Records that a call found the own target not accepting connections.
    pub fn record_unreachable_target(self: &Rc<Self>, error: &io::Error) {
        match error.kind() {
            // The request can't be encoded, or its time was over.
            io::ErrorKind::Other => {}
            // An open connection broke. The target may have started again meanwhile.
            io::ErrorKind::BrokenPipe => self.ask_restarted_target(),
            _ => self.record_crashed_target(),
        }
    }

    /// Records that the own target does not accept connections, so that it is cold once it does.
    pub fn record_crashed_target(self: &Rc<Self>) {
        self.node.borrow_mut().gate().cold_mut().record_down(clock::now());
        self.watch_cold_target();
    }

    /// Asks the own target whether it is cold, since its connections broke though it accepts new
    /// ones. It may have started again meanwhile.
    pub fn ask_restarted_target(self: &Rc<Self>) {
        self.node.borrow_mut().gate().cold_mut().request_check();
        self.watch_cold_target();
    }

    /// Asks the own target how long it is cold. Waits until it accepts connections.
    async fn ask_target(self: Rc<Self>) {
        while !self.is_answered().await {}
        let now = clock::now();
        self.log_cold_target(now);
        self.is_asking_target.set(false);
        let releases = self.node.borrow_mut().gate().tick(now);
        self.deliver_releases(releases);
    }

    /// Returns whether the own target accepted a connection, or the pool has ceased to have a bound,
    /// so that it need not be tried again. Records what the target answers to a health check.
    async fn is_answered(&self) -> bool {
        let is_down = || self.node.borrow().cold_guard().is_down();
        while is_down() {
            match self.target.probe().await {
                Ok(()) => self.node.borrow_mut().gate().cold_mut().record_up(clock::now()),
                // The failure was logged when a call or the first check met it.
                Err(_) => tokio::time::sleep(CONNECT_INTERVAL).await,
            }
        }
        let path = {
            let node = self.node.borrow();
            let path = node.table().and_then(|table| table.health(&node.settings().pool));
            path.map(str::to_owned)
        };
        let is_reachable = self.check_own_target(path.as_deref()).await.1;
        is_reachable || !is_down()
    }

    /// Checks the own target's health, if it has a path for that, and records whether it is cold.
    /// Returns its health, and whether it accepts connections.
    pub async fn check_own_target(&self, path: Option<&str>) -> (Option<Health>, bool) {
        let asked_at = clock::now();
        self.node.borrow_mut().gate().cold_mut().record_check(asked_at);
        let health = match path {
            Some(path) => self.target.check_health(&self.header_adapter, path).await,
            None => None,
        };
        let is_reachable = health.is_some() || self.target.is_reachable().await;
        let now = clock::now();
        let mut node = self.node.borrow_mut();
        let guard = node.gate().cold_mut();
        match health.as_ref().and_then(|health| health.cold_remaining) {
            Some(remaining) => guard.record_health(asked_at, now, remaining),
            None if !is_reachable => guard.record_down(now),
            None => {}
        }
        (health, is_reachable)
    }

    fn log_cold_target(&self, now: Instant) {
        let mut node = self.node.borrow_mut();
        let guard = node.gate().cold_mut();
        let (change, excess) = (guard.take_change(now), guard.take_excess());
        let target = node.own_target();
        let target = target.as_ref().map(id::Vm::as_str);
        if let Some(remaining) = excess {
            let remaining_ms = remaining.as_millis() as u64;
            log::warn!(
                target, remaining_ms;
                "own target states a longer cold time than is configured; it counts in part"
            );
        }
        match change {
            Some(Change::Began { witness, remaining }) => {
                let remaining_ms = remaining.map(|remaining| remaining.as_millis() as u64);
                log::info!(
                    target, witness = witness.as_str(), remaining_ms;
                    "own target is cold"
                );
            }
            Some(Change::Ended) => log::info!(target; "own target is not cold any more"),
            None => {}
        }
    }
}
