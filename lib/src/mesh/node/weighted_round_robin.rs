//! The traffic split of a route over its pools, by smooth weighted round robin.

use crate::{id, mesh::table::WeightedPool};

/// Selects pools in proportion to their weights, with the turns of each pool spread evenly.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    pools: Vec<WeightedPool>,
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the pool for the next request. The state is reset when the pools have changed.
    pub fn next(&mut self, pools: &[WeightedPool]) -> Option<id::Pool> {
        if self.pools != pools {
            self.pools = pools.to_vec();
            self.credits = vec![0; pools.len()];
        }
        let total: i64 = pools.iter().map(|pool| i64::from(pool.weight)).sum();
        for (credit, pool) in self.credits.iter_mut().zip(pools) {
            *credit += i64::from(pool.weight);
        }
        let (selected, _) = self.credits.iter().enumerate().max_by_key(|(_, credit)| **credit)?;
        self.credits[selected] -= total;
        Some(pools[selected].pool.clone())
    }
}
