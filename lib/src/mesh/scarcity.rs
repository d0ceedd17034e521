//! The load of pools below a route, as far as it restricts which client requests may start.
//!
//! See docs/design/uneven-load.md.

use {
    super::gate::Rank,
    crate::id,
    serde::{Deserialize, Serialize},
};

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
    /// The demands by class, in the order of the classes.
    pub demands: Vec<ClassDemand>,
    /// Whether a significant part of the calls had to wait, was refused or was declined lately.
    pub is_contended: bool,
}

/// The load of a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolLoad {
    /// The pool.
    pub pool: id::Pool,
    /// Its load.
    pub load: Load,
}
