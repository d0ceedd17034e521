//! Log lines and metrics of scarce pools, and the routes of requests from peers.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
    },
    crate::http::message::Request,
    monsoon_lib::{
        id,
        mesh::scarcity::{Change, Load, PoolState},
        time::Instant,
    },
    prometheus::{GaugeVec, Opts, Registry},
    std::{collections::BTreeMap, fmt},
};

const HOST: &[u8] = b"host";

/// The metrics of the own pool and of pools under pressure. The values are per target of the pool.
pub struct Gauges {
    demand: GaugeVec,
    capacity: GaugeVec,
    lowest_share: GaugeVec,
}

impl Gauges {
    /// Registers the metrics without any pool.
    ///
    /// # Errors
    ///
    /// Fails if another metric has the same name.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str| -> prometheus::Result<GaugeVec> {
            let gauge = GaugeVec::new(Opts::new(name, help), &["pool"])?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            demand: gauge("monsoon_pool_demand", "Slots of a target that requests ask for.")?,
            capacity: gauge("monsoon_pool_capacity", "Slots of a target that can be used.")?,
            lowest_share: gauge(
                "monsoon_pool_lowest_share",
                "Lowest fraction of the requests of a class that may start.",
            )?,
        })
    }

    /// Replaces the values. Pools that are not under pressure any more have none.
    pub fn set(&self, pools: &BTreeMap<id::Pool, PoolState>) {
        for gauge in [&self.demand, &self.capacity, &self.lowest_share] {
            gauge.reset();
        }
        for (pool, state) in pools {
            let labels = [pool.as_str()];
            self.demand.with_label_values(&labels).set(state.demand);
            self.capacity.with_label_values(&labels).set(state.capacity);
            self.lowest_share.with_label_values(&labels).set(state.lowest_share);
        }
    }
}

/// Displays the shares by class as `account.route=share`, separated by spaces.
struct Shares<'a>(&'a Load);

impl fmt::Display for Shares<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (class, share)) in self.0.shares().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{}.{}={share:.2}", class.account, class.route)?;
        }
        Ok(())
    }
}

impl<H: HeaderAdapter, D: Directory> Mesh<H, D> {
    /// Logs the pools that became scarce, or ceased to be, below a route.
    pub fn log_scarcity(&self, now: Instant) {
        let changes = self.node.borrow_mut().take_scarcity_changes(now);
        for Change { route, pool, is_scarce, load } in changes {
            let (demand, capacity) = (load.demand(), load.capacity);
            let (route, pool) = (route.as_str(), pool.as_str());
            match is_scarce {
                true => log::warn!(
                    pool, route, demand, capacity, shares:% = Shares(&load);
                    "pool is scarce"
                ),
                false => log::info!(
                    pool, route, demand, capacity, shares:% = Shares(&load);
                    "pool is not scarce any more"
                ),
            }
        }
    }

    /// Finds the route of a request that a peer forwarded.
    pub fn find_route(&self, request: &Request) -> Option<id::Route> {
        let node = self.node.borrow();
        if !node.settings().is_entry_admission_enabled {
            return None;
        }
        let field = request.fields.iter().find(|field| field.name.eq_ignore_ascii_case(HOST))?;
        let host = std::str::from_utf8(&field.value).ok()?.trim();
        let host = host.rsplit_once(':').map_or(host, |(host, _)| host).to_ascii_lowercase();
        let path = request.target.split('?').next().unwrap_or_default();
        node.find_route(&host, path)
    }
}
