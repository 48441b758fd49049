//! State of the fleet, as a gateway reports it to operators.

use base::http::client::{Error, Target};
use base::id::{DataCentre, Label, Server, Service, Version, Vm};
use bytes::Bytes;
use hyper::Method;
use steering::notice::Origin;
use steering::takeover::Stage;

/// Path of the status request, at the address for other gateways.
pub const PATH: &str = "/status";
/// Path of the command that allows a refused request again; the digest follows.
pub const ALLOW_PATH: &str = "/allow/";

base::message! {
    /// A release that the operator has ordered.
    pub struct Release {
        /// Service of the release.
        pub service: Service,
        /// Version that takes over.
        pub label: Label,
        /// Stage that the gateway applies; none while it does not know one.
        pub stage: Option<Stage>,
        /// Whether the store holds this stage as the final one.
        pub is_final: bool,
    }

    /// A server's own word that it leaves.
    pub struct Departure {
        /// How the gateway learnt it.
        pub origin: Origin,
        /// Milliseconds since the server said so last.
        pub age_ms: u64,
    }

    /// Limit of requests that a server names.
    pub struct Intake {
        /// Requests a second from all VMs together.
        pub rate: f64,
        /// How the gateway learnt it.
        pub origin: Origin,
        /// Milliseconds since the server said so last.
        pub age_ms: u64,
    }

    /// What a server has said of itself in its answers.
    pub struct Notice {
        /// Id of the server.
        pub server: Server,
        /// That it leaves.
        pub leaves: Option<Departure>,
        /// Milliseconds for which it wants nothing from the gateway; 0 while requests return to it.
        pub rejects_ms: Option<u64>,
        /// That it limits the requests of all VMs together.
        #[serde(default)]
        pub limit: Option<Intake>,
    }

    /// A request that is refused because it crashes servers.
    pub struct RefusedRequest {
        /// Digest of the request, in hexadecimal.
        pub digest: Box<str>,
        /// Servers that it has crashed.
        pub crashes: u32,
        /// Milliseconds for which it is refused.
        pub left_ms: u64,
    }

    /// State of the usage reports.
    pub struct Usage {
        /// VM that reports; empty before the first.
        pub holder: Vm,
        /// Its fencing token.
        pub token: u64,
        /// Last window whose report is fixed; 0 for none.
        pub fixed: u64,
        /// Last window whose report was sent; 0 for none.
        pub sent: u64,
    }

    /// State of the fleet, as one gateway knows it.
    pub struct State {
        /// VM that answers.
        pub vm: Vm,
        /// Newest version of the configuration in force on any VM; 0 for none.
        pub version: Version,
        /// Number of VMs on which this version is in force.
        pub on: usize,
        /// Number of VMs of the fleet.
        pub of: usize,
        /// VMs that do not report or have an older version.
        pub missing: Vec<Vm>,
        /// Releases that the operator has ordered.
        pub releases: Vec<Release>,
        /// Data centres whose servers get no requests.
        pub evacuated: Vec<DataCentre>,
        /// Servers that have said that they leave or want nothing for a time.
        #[serde(default)]
        pub notices: Vec<Notice>,
        /// Requests that are refused because they crash servers.
        #[serde(default)]
        pub refused: Vec<RefusedRequest>,
        /// Usage reports; none if the deployment has none.
        #[serde(default)]
        pub usage: Option<Usage>,
        /// Milliseconds since the VM's data was read from the store; none before the first read.
        pub age_ms: Option<u64>,
    }
}

/// Requests the state of the fleet from a gateway.
///
/// # Errors
///
/// Fails if the gateway gives no complete answer in time.
pub async fn state(target: &Target) -> Result<State, Error> {
    target.call(Method::GET, PATH, Bytes::new()).await?.decode()
}

/// Allows a request again that is refused because it crashed servers, on all gateways; returns whether
/// the gateway knew it.
///
/// # Errors
///
/// Fails if the gateway gives no complete answer in time.
pub async fn allow(target: &Target, digest: &str) -> Result<bool, Error> {
    let path = format!("{ALLOW_PATH}{digest}");
    target
        .call(Method::POST, &path, Bytes::new())
        .await?
        .decode()
}
