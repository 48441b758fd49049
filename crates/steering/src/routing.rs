//! Configuration in force: routes, workspaces and services, and the look-up of a request's route.

use base::id::{
    DataCentre, Label, Region, Route as RouteName, Server, Service, Version, Workspace,
};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// BLAKE3 digest of a key; keys themselves are not kept.
pub type KeyDigest = [u8; 32];

/// Returns the digest of a key.
pub fn key_digest(key: &str) -> KeyDigest {
    *blake3::hash(key.as_bytes()).as_bytes()
}

base::message! {
    /// A service's part of a route's requests.
    pub struct ServiceWeight {
        /// Service that gets the part.
        pub service: Service,
        /// Weight beside the other parts.
        pub weight: u32,
    }

    /// Requests of one host below one path, and how they are served.
    pub struct Route {
        /// Name, for logs and metrics.
        pub name: RouteName,
        /// Host in lower case, without a port.
        pub host: Box<str>,
        /// Start of the paths; begins and ends with a slash.
        pub prefix: Box<str>,
        /// Services that share the requests; never empty.
        pub parts: Vec<ServiceWeight>,
        /// Whether a request may run more than once.
        pub idempotent: bool,
        /// Time within which an answer has its full worth.
        pub objective: Duration,
        /// Longest time until the final answer.
        pub timeout: Duration,
        /// Most servers that one request is sent to.
        pub attempts: u32,
        /// Rank under overload; 0 is the highest.
        pub priority: u32,
        /// Whether callers need no key.
        pub open: bool,
        /// Whether servers are faster at objects that they handled lately.
        pub sticky: bool,
        /// Regions in which requests may run; empty for all.
        pub regions: Vec<Region>,
    }

    /// Holder of keys, rate and burst.
    pub struct Account {
        /// Name, told to servers.
        pub name: Workspace,
        /// Digests of its keys.
        pub keys: Vec<KeyDigest>,
        /// Rank that goes before that of routes.
        pub priority: Option<u32>,
        /// Requests a second over all VMs; none without a limit.
        pub rate: Option<f64>,
        /// Requests that may be saved up.
        pub burst: f64,
        /// Regions in which its requests may run; empty for all.
        pub regions: Vec<Region>,
    }

    /// Settings of one service.
    pub struct ServiceSettings {
        /// Path of the health endpoint.
        pub health_path: Box<str>,
        /// Connections that one server accepts from all callers together.
        pub connections: u32,
        /// Requests a second that a cold server tolerates.
        pub warmup_rate: f64,
        /// Time for which a server is cold after its start.
        pub warmup: Duration,
    }

    /// What a caller may send.
    #[derive(Copy)]
    pub struct Bounds {
        /// Largest request head in bytes.
        pub head_bytes: usize,
        /// Largest request body in bytes.
        pub body_bytes: usize,
    }

    /// Configuration of one version.
    pub struct Configuration {
        /// Version; a VM never goes back to a lower one.
        pub version: Version,
        /// Routes of all hosts.
        pub routes: Vec<Route>,
        /// Holders of keys; without any, no route asks for a key.
        pub accounts: Vec<Account>,
        /// Services by name.
        pub services: IndexMap<Service, ServiceSettings>,
        /// What callers may send.
        pub bounds: Bounds,
    }

    /// What a backend server says about itself.
    pub struct Registration {
        /// Id of the server.
        pub server: Server,
        /// Service that it runs.
        pub service: Service,
        /// Address for requests.
        pub address: SocketAddr,
        /// Data centre in which it stands.
        pub data_centre: DataCentre,
        /// Version of its software.
        pub label: Label,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it is leaving and takes no new work.
        pub leaving: bool,
        /// Time for which it stays cold, counted from its report.
        pub warmup_left: Duration,
        /// Number of its report since its start.
        pub sequence: u64,
        /// Start of this run of the server, in milliseconds since the Unix epoch.
        pub born: u64,
    }

    /// Order of the operator to move a service to a new version.
    pub struct TakeoverOrder {
        /// Service to be moved.
        pub service: Service,
        /// Version that takes over.
        pub label: Label,
        /// Time from the order to its deadline.
        pub term: Duration,
        /// Rank of the order among all changes in the store.
        pub order: u64,
    }

    /// What the operator wants, as the store holds it.
    #[derive(Default)]
    pub struct DesiredState {
        /// Newest configuration; none before the first.
        pub configuration: Option<Configuration>,
        /// Takeovers that are ordered.
        pub takeovers: Vec<TakeoverOrder>,
        /// Data centres whose servers get nothing.
        pub evacuated: Vec<DataCentre>,
    }
}

/// Why a request has no route or no right to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessError {
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or unknown.
    Unauthorised,
}

/// Configuration with its indices.
#[derive(Debug, Clone)]
pub struct Table {
    configuration: Configuration,
    /// Routes of a host, longest prefix first.
    hosts: IndexMap<Box<str>, Vec<usize>>,
    keys: IndexMap<KeyDigest, usize>,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: IndexMap<Box<str>, Vec<usize>> = IndexMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|&i| std::cmp::Reverse(configuration.routes[i].prefix.len()));
        }
        let keys = configuration
            .accounts
            .iter()
            .enumerate()
            .flat_map(|(index, account)| account.keys.iter().map(move |key| (*key, index)))
            .collect();
        Self {
            configuration,
            hosts,
            keys,
        }
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the routes of a host, as in the `Host` header of a request.
    pub fn routes_of(&self, host: &str) -> impl Iterator<Item = &Route> {
        let indices = self.hosts.get(&*plain_host(host));
        indices
            .into_iter()
            .flatten()
            .map(|&index| &self.configuration.routes[index])
    }

    /// Returns the route of a request.
    ///
    /// # Errors
    ///
    /// Fails if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, AccessError> {
        self.routes_of(host)
            .find(|route| path.starts_with(&*route.prefix))
            .ok_or(AccessError::NoRoute)
    }

    /// Returns the holder of a request's key; none on routes that ask for no key.
    ///
    /// # Errors
    ///
    /// Fails if the route asks for a key and nobody holds the one that came.
    pub fn authorise(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Account>, AccessError> {
        if route.open || self.configuration.accounts.is_empty() {
            return Ok(None);
        }
        key.and_then(|key| self.keys.get(&key_digest(key)))
            .map(|&index| Some(&self.configuration.accounts[index]))
            .ok_or(AccessError::Unauthorised)
    }
}

/// Returns whether a request may run in a region.
pub fn is_allowed_in(route: &Route, account: Option<&Account>, region: &str) -> bool {
    let within = |regions: &[Region]| regions.is_empty() || regions.iter().any(|r| **r == *region);
    within(&route.regions) && account.is_none_or(|account| within(&account.regions))
}

/// Returns the host in lower case, without its port.
fn plain_host(host: &str) -> Box<str> {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        match port.bytes().all(|b| b.is_ascii_digit()) {
            true => name,
            false => host,
        }
    });
    name.to_ascii_lowercase().into()
}
