//! The split of a route's requests over its parts.

use crate::{id, mesh::table::WeightedPool};

/// Deals requests out to parts in proportion to their weights, evenly spread.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    parts: Vec<WeightedPool>,
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the pool of the next request. It starts anew where the parts differ from before.
    pub fn next(&mut self, parts: &[WeightedPool]) -> Option<id::Pool> {
        if self.parts != parts {
            self.parts = parts.to_vec();
            self.credits = vec![0; parts.len()];
        }
        let sum: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
        }
        let (i, _) = self.credits.iter().enumerate().max_by_key(|(_, credit)| **credit)?;
        self.credits[i] -= sum;
        Some(parts[i].pool.clone())
    }
}
