//! Counters of the look-up.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of the look-up.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Look-ups answered.
    pub answered: Counter,
    /// Look-ups refused because no entry VM is known.
    pub not_ready: Counter,
    /// Look-ups refused because they are malformed.
    pub invalid: Counter,
}

impl Metrics {
    /// Registers all counters.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "lookup_answered",
            "Questions answered",
            self.answered.clone(),
        );
        registry.register(
            "lookup_not_ready",
            "No entry VM known",
            self.not_ready.clone(),
        );
        registry.register(
            "lookup_invalid",
            "Malformed questions",
            self.invalid.clone(),
        );
    }
}
