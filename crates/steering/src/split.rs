//! Traffic split of a route over services by smooth weighted round robin.
//!
//! In any sequence of a VM's requests, each service is within one request of its weight, and so the
//! sum over all VMs keeps the weights as well. Requests that a service refuses for lack of capacity
//! are not moved to the others.

/// State of the split of one route.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Split {
    credits: Vec<i64>,
}

impl Split {
    /// Creates the split with a random start, so that the VMs don't all start with the same
    /// service.
    pub fn new(weights: &[u32], rng: &mut impl rand::RngExt) -> Self {
        let credits = weights
            .iter()
            .map(|&weight| rng.random_range(0..=i64::from(weight)))
            .collect();
        Self { credits }
    }

    /// Returns the index of the service for the next request; `None` if all weights are zero.
    pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
        self.credits.resize(weights.len(), 0);
        let total: i64 = weights.iter().map(|&w| i64::from(w)).sum();
        for (credit, &weight) in self.credits.iter_mut().zip(weights) {
            *credit += i64::from(weight);
        }
        let (index, _) = self
            .credits
            .iter()
            .zip(weights)
            .enumerate()
            .filter(|(_, (_, weight))| **weight > 0)
            .max_by_key(|(index, (credit, _))| (**credit, std::cmp::Reverse(*index)))?;
        self.credits[index] -= total;
        Some(index)
    }
}
