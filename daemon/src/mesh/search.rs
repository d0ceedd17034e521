//! The search for another source of facts while the last confirmation is too old.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        sync::STALE_AFTER,
    },
    crate::clock,
    futures::{StreamExt as _, stream::FuturesUnordered},
    std::{collections::HashMap, net::IpAddr, pin::pin, rc::Rc, time::Duration},
};

/// The delay between two peers that are asked for news of the platform.
const INTERVAL: Duration = Duration::from_millis(150);
/// The same delay for the first [`QUICK_REQUESTS`], among which are the readers of all data centres.
const QUICK_INTERVAL: Duration = Duration::from_millis(40);
const QUICK_REQUESTS: usize = 8;
/// How long a peer without news may hold a request after the first ones, so that it passes on news
/// as soon as it has them.
const MAX_HOLD: Duration = Duration::from_millis(300);

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Asks peers for facts whenever the last confirmation is stale.
    pub async fn search_when_stale(self: Rc<Self>) {
        loop {
            let age = self.node.borrow().lease().age(clock::now());
            match age.map(|age| STALE_AFTER.saturating_sub(age)) {
                Some(left) if !left.is_zero() => tokio::time::sleep(left).await,
                _ => self.search().await,
            }
        }
    }

    /// Asks peers for facts until the last confirmation is no longer stale. Requests overlap, since
    /// each peer may be as silent as the source that was lost.
    async fn search(self: &Rc<Self>) {
        let mut requests = FuturesUnordered::new();
        let mut counts: HashMap<IpAddr, usize> = HashMap::new();
        let mut sent = 0;
        while self.is_stale() {
            let order = self.node.borrow().peers().search_order(clock::now());
            let count = |host: &IpAddr| counts.get(host).copied().unwrap_or(0);
            if let Some(host) = order.into_iter().min_by_key(count) {
                *counts.entry(host).or_default() += 1;
                let hold = if sent < QUICK_REQUESTS { Duration::ZERO } else { MAX_HOLD };
                requests.push(self.fetch_facts(host, hold));
            }
            sent += 1;
            let interval = if sent <= QUICK_REQUESTS { QUICK_INTERVAL } else { INTERVAL };
            let mut pause = pin!(tokio::time::sleep(interval));
            loop {
                tokio::select! {
                    Some(_) = requests.next() => if !self.is_stale() { return },
                    () = pause.as_mut() => break,
                }
            }
        }
    }
}
