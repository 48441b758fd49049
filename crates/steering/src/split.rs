//! Shares of a route's requests for the services that it is divided over.
//!
//! Load: any arrival pattern. Each VM deals its own requests by smooth weighted round robin, so
//! every run of its requests keeps the weights to within one request a part, and the sum over VMs
//! keeps them, too. A part that is short of room refuses; its requests are not moved to others.

/// Dealer of one route's requests.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Split {
    credits: Vec<i64>,
}

impl Split {
    /// Starts at a random place, so that the VMs don't all begin with the same part.
    pub fn new(weights: &[u32], rng: &mut impl rand::RngExt) -> Self {
        let credits = weights
            .iter()
            .map(|&weight| rng.random_range(0..=i64::from(weight)))
            .collect();
        Self { credits }
    }

    /// Returns the index of the part that gets the next request; none if all weights are zero.
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
