//! Priorities that compete for a service, from the configuration.

use crate::routing::{Account, Configuration, Route};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Priority of a request; 0 is the most urgent.
pub type Priority = u32;

/// Returns the priority of a request: that of its workspace, where it is set, or else of its route.
pub fn of_request(route: &Route, account: Option<&Account>) -> Priority {
    let own = account.and_then(|account| account.priority);
    own.unwrap_or(route.priority)
}

base::value! {
    /// Kinds of requests that compete for a service.
    pub struct Competition {
        /// Shortest latency objective by priority, the most urgent first.
        kinds: IndexMap<Priority, Duration>,
    }
}

impl Competition {
    /// Returns the kinds of requests that lead to a service; none unless its routes have different
    /// priorities.
    pub fn new(configuration: &Configuration, service: &str) -> Option<Self> {
        let leads = |route: &&Route| {
            let mut parts = route.parts.iter();
            parts.any(|part| *part.service == *service && part.weight > 0)
        };
        let routes: Vec<&Route> = configuration.routes.iter().filter(leads).collect();
        let priorities: IndexSet<Priority> = routes.iter().map(|route| route.priority).collect();
        if priorities.len() < 2 {
            return None;
        }
        let kinds = routes.iter().flat_map(|route| {
            let accounts = configuration.accounts.iter().filter(|_| !route.open);
            let overriding = accounts.filter_map(|account| account.priority);
            let priorities = overriding.chain([route.priority]);
            priorities.map(|priority| (priority, route.objective))
        });
        Some(kinds.collect())
    }

    /// Returns the shortest latency objective by priority, the most urgent first.
    pub fn kinds(&self) -> &IndexMap<Priority, Duration> {
        &self.kinds
    }
}

impl FromIterator<(Priority, Duration)> for Competition {
    /// Collects kinds from priorities with a latency objective of each of their routes.
    fn from_iter<T: IntoIterator<Item = (Priority, Duration)>>(routes: T) -> Self {
        let mut kinds: IndexMap<Priority, Duration> = IndexMap::new();
        for (priority, objective) in routes {
            let shortest = kinds.entry(priority).or_insert(objective);
            *shortest = objective.min(*shortest);
        }
        kinds.sort_keys();
        Self { kinds }
    }
}
