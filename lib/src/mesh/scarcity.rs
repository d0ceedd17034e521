//! The load of pools below a route, as far as it restricts which client requests may start.
//!
//! The node beside each target reports a [`Load`] with its responses, and nodes pass on what they
//! know about the pools below. The node that a client's request enters at compares it with the
//! share of its class at the scarcest pool. See docs/design/uneven-load.md.

mod average;
mod tracker;

pub use tracker::{Change, Path, PoolState, Scarce, Scarcest, Tracker};

use {
    super::gate::Rank,
    crate::{id, pressure::Share},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The fraction of a pool's capacity that is given out. Closer to the capacity, random arrivals
/// make most calls wait.
pub const TARGET_UTILISATION: f64 = 0.95;
/// The lowest share of a class. Without any request, a node would not learn that there is room.
pub const MIN_SHARE: f64 = 0.02;
/// The largest number of offered requests that one admitted request stands for.
const MAX_WEIGHT: f64 = 1.0 / MIN_SHARE;
/// The demand, as a fraction of the capacity, from which on a load is reported to other nodes.
pub const MIN_PRESSURE: f64 = 0.7;
/// The largest number of classes that are told apart. Tables have a few ranks of accounts and routes.
pub const MAX_CLASSES: usize = 64;
/// The largest number of loads in one response.
const MAX_LOADS: usize = 4;

/// The priority of a client's request and of all calls that follow from it. Lower classes go first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Class {
    /// The rank of the account, or 0 if there is none.
    pub account: u32,
    /// The rank of the route.
    pub route: u32,
}

impl From<Rank> for Class {
    fn from(rank: Rank) -> Self {
        Self { account: rank.account, route: rank.route }
    }
}

/// The demand of one class at a target or pool.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassDemand {
    /// The class.
    pub class: Class,
    /// The offered demand, in slot-seconds per second. It includes requests that entry nodes refuse.
    pub demand: f32,
}

/// What the requests of all classes ask of a target or pool, and what it can do.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// The capacity, in slot-seconds per second.
    pub capacity: f32,
    /// The demands by class, in the order of the classes. They are shared, since every response under
    /// pressure carries loads.
    pub demands: Arc<Vec<ClassDemand>>,
    /// Whether a significant part of the calls was refused or declined lately, or most had to wait.
    pub is_contended: bool,
}

impl Load {
    /// Returns the demand of all classes, in slot-seconds per second.
    pub fn demand(&self) -> f64 {
        self.demands.iter().map(|of_class| f64::from(of_class.demand)).sum()
    }

    /// Returns the demand as a fraction of the capacity.
    pub fn pressure(&self) -> f64 {
        let demand = self.demand();
        match demand > 0.0 {
            true => demand / f64::from(self.capacity),
            false => 0.0,
        }
    }

    /// Returns whether the load is reported to other nodes: it is high, or calls are refused or
    /// declined.
    pub fn is_under_pressure(&self) -> bool {
        self.is_contended || self.pressure() >= MIN_PRESSURE
    }

    /// Returns whether more is asked than is given out.
    pub fn is_over_capacity(&self) -> bool {
        self.demand() > TARGET_UTILISATION * f64::from(self.capacity)
    }

    /// Returns the fraction of the requests of a class that may start: what the classes before it
    /// leave, divided by its own demand.
    pub fn share_of(&self, class: Class) -> f64 {
        let (mut left, mut own) = (TARGET_UTILISATION * f64::from(self.capacity), 0.0);
        for of_class in self.demands.iter() {
            if of_class.class < class {
                left -= f64::from(of_class.demand);
            } else if of_class.class == class {
                own += f64::from(of_class.demand);
            }
        }
        match left >= own {
            true => 1.0,
            false => (left / own).max(MIN_SHARE),
        }
    }

    /// Returns the classes with their shares, in order.
    pub fn shares(&self) -> impl Iterator<Item = (Class, f64)> {
        self.demands.iter().map(|of_class| (of_class.class, self.share_of(of_class.class)))
    }

    /// Returns whether all numbers can be calculated with. Other nodes may send anything.
    fn is_valid(&self) -> bool {
        let is_valid = |number: f32| number.is_finite() && number >= 0.0;
        is_valid(self.capacity) && self.demands.iter().all(|of_class| is_valid(of_class.demand))
    }
}

/// The load of a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolLoad {
    /// The pool.
    pub pool: id::Pool,
    /// Its load.
    pub load: Load,
}

/// Returns the number of offered requests that a request stands for that was admitted at a share.
pub fn weight(admitted: Share) -> f64 {
    // A share of 0 gives an infinite weight before it is limited.
    (1.0 / admitted.as_f64()).min(MAX_WEIGHT)
}

/// Keeps the loads with the highest pressure, at most as many as fit in one response.
pub fn limit_loads(loads: &mut Vec<PoolLoad>) {
    loads.sort_by(|a, b| b.load.pressure().total_cmp(&a.load.pressure()));
    loads.truncate(MAX_LOADS);
}
