//! Configuration in force: routes, workspaces and services, and the routing table.

use base::id::{
    DataCentre, Label, Region, Route as RouteName, Server, Service, Version, Workspace,
};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// BLAKE3 digest of a key; keys themselves are not stored.
pub type KeyDigest = [u8; 32];

/// Returns the digest of a key.
pub fn key_digest(key: &str) -> KeyDigest {
    *blake3::hash(key.as_bytes()).as_bytes()
}

base::message! {
    /// Share of a route's requests for one service.
    pub struct ServiceWeight {
        /// Service that gets the requests.
        pub service: Service,
        /// Weight in relation to the route's other services.
        pub weight: u32,
    }

    /// Requests to one host with one path prefix, and how they are served.
    pub struct Route {
        /// Name, for logs and metrics.
        pub name: RouteName,
        /// Host in lower case, without a port.
        pub host: Box<str>,
        /// Path prefix; begins and ends with a slash.
        pub prefix: Box<str>,
        /// Services over which the requests are split; never empty.
        pub parts: Vec<ServiceWeight>,
        /// Whether a request may run more than once.
        pub idempotent: bool,
        /// Time within which an answer has its full worth.
        pub objective: Duration,
        /// Maximum time until the final answer.
        pub timeout: Duration,
        /// Maximum number of servers to which one request is sent.
        pub attempts: u32,
        /// Priority under overload; 0 is the highest.
        pub priority: u32,
        /// Whether callers need no key.
        pub open: bool,
        /// Whether servers are faster at objects that they have cached.
        pub sticky: bool,
        /// Regions in which requests may run; empty for all.
        pub regions: Vec<Region>,
    }

    /// Workspace: holder of keys, rate and burst.
    pub struct Account {
        /// Name, as sent to servers.
        pub name: Workspace,
        /// Digests of its keys.
        pub keys: Vec<KeyDigest>,
        /// Priority that overrides that of routes.
        pub priority: Option<u32>,
        /// Requests a second over all VMs; `None` for no limit.
        pub rate: Option<f64>,
        /// Maximum number of requests beyond the rate.
        pub burst: f64,
        /// Regions in which its requests may run; empty for all.
        pub regions: Vec<Region>,
    }

    /// Settings of one service.
    pub struct ServiceSettings {
        /// Path of the health endpoint.
        pub health_path: Box<str>,
        /// Connections that one server accepts in total.
        pub connections: u32,
        /// Requests a second that a cold server tolerates.
        pub warmup_rate: f64,
        /// Time for which a server is cold after its start.
        pub warmup: Duration,
    }

    /// Limits for requests of callers.
    #[derive(Copy)]
    pub struct Bounds {
        /// Maximum size of the request head in bytes.
        pub head_bytes: usize,
        /// Maximum size of the request body in bytes.
        pub body_bytes: usize,
        /// Time for which a caller's connection may rest between two requests.
        pub idle_timeout: Duration,
    }

    /// Configuration of one version.
    pub struct Configuration {
        /// Version; a VM never returns to a lower one.
        pub version: Version,
        /// Routes of all hosts.
        pub routes: Vec<Route>,
        /// Workspaces; if there are none, no route requires a key.
        pub accounts: Vec<Account>,
        /// Services by name.
        pub services: IndexMap<Service, ServiceSettings>,
        /// Limits for requests of callers.
        pub bounds: Bounds,
    }

    /// Report of a backend server about itself.
    pub struct Registration {
        /// Id of the server.
        pub server: Server,
        /// Service that it runs.
        pub service: Service,
        /// Address for requests.
        pub address: SocketAddr,
        /// Data centre in which it runs.
        pub data_centre: DataCentre,
        /// Version of its software.
        pub label: Label,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Whether it is leaving and takes no new work.
        pub leaving: bool,
        /// Time for which it stays cold, counted from its report.
        pub warmup_left: Duration,
        /// Sequence number of its report since its start.
        pub sequence: u64,
        /// Start of this run of the server, in milliseconds since the Unix epoch.
        pub born: u64,
    }

    /// Operator's order to change a service to a new version.
    pub struct TakeoverOrder {
        /// Service to be changed.
        pub service: Service,
        /// New version.
        pub label: Label,
        /// Time from the order to its deadline.
        pub term: Duration,
        /// Row version of the order in the store.
        pub order: u64,
    }

    /// Desired state set by the operator, as stored.
    #[derive(Default)]
    pub struct DesiredState {
        /// Newest configuration, if there is any.
        pub configuration: Option<Configuration>,
        /// Ordered takeovers.
        pub takeovers: Vec<TakeoverOrder>,
        /// Data centres whose servers get no requests.
        pub evacuated: Vec<DataCentre>,
    }
}

impl DesiredState {
    /// Returns the state with the configuration of `known`, if that is newer. A store that came back
    /// from an older copy has an older one until the operator has written it again.
    #[must_use]
    pub fn with_newer_configuration(self, known: &Self) -> Self {
        let version = |state: &Self| state.configuration.as_ref().map(|c| c.version);
        match version(known) > version(&self) {
            true => Self {
                configuration: known.configuration.clone(),
                ..self
            },
            false => self,
        }
    }

    /// Returns the state with the takeovers and evacuations of `known`, for the time in which a store
    /// that came back from an older copy may lack them, or have those that are over.
    #[must_use]
    pub fn with_orders_of(self, known: &Self) -> Self {
        Self {
            takeovers: known.takeovers.clone(),
            evacuated: known.evacuated.clone(),
            ..self
        }
    }
}

impl Configuration {
    /// Returns the routes of which some requests go to a service.
    pub fn routes_to(&self, service: &str) -> impl Iterator<Item = &Route> {
        let leads_to = move |part: &ServiceWeight| *part.service == *service && part.weight > 0;
        self.routes
            .iter()
            .filter(move |route| route.parts.iter().any(leads_to))
    }
}

/// Why a request has no route or may not use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessError {
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or unknown.
    Unauthorised,
}

/// Configuration with indices by host and key.
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
        let indices = self.hosts.get(&*normalise_host(host));
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

    /// Returns the workspace of a request's key, or `None` on routes that require no key.
    ///
    /// # Errors
    ///
    /// Fails if the route requires a key and the request's key is missing or unknown.
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
fn normalise_host(host: &str) -> Box<str> {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        match port.bytes().all(|b| b.is_ascii_digit()) {
            true => name,
            false => host,
        }
    });
    name.to_ascii_lowercase().into()
}
