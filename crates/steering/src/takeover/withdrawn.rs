//! Versions that were rolled back.
//!
//! A verdict outlives the order that it was made under: a version that was rolled back gets no
//! requests, and what becomes of those that it still has says nothing about other versions, until the
//! operator names it as a target again or its last server has gone.

use base::id::{Label, Service};
use indexmap::{IndexMap, IndexSet};

/// Versions that were rolled back, by service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Withdrawn(IndexMap<Service, IndexSet<Label>>);

impl Withdrawn {
    /// Records that a version was rolled back; returns whether that was not known.
    pub fn withdraw(&mut self, service: &Service, label: &Label) -> bool {
        let labels = self.0.entry(service.clone()).or_default();
        labels.insert(label.clone())
    }

    /// Records that the operator names a version as a target.
    pub fn order(&mut self, service: &str, label: &str) {
        if let Some(labels) = self.0.get_mut(service) {
            labels.shift_remove(label);
        }
    }

    /// Keeps the versions that have servers.
    pub fn retain(&mut self, has_servers: impl Fn(&Service, &Label) -> bool) {
        for (service, labels) in &mut self.0 {
            labels.retain(|label| has_servers(service, label));
        }
        self.0.retain(|_, labels| !labels.is_empty());
    }

    /// Returns the versions of a service that were rolled back.
    pub fn labels(&self, service: &str) -> Vec<Label> {
        let labels = self.0.get(service).into_iter().flatten();
        labels.cloned().collect()
    }
}
