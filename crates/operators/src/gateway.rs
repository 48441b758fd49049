//! State of the fleet as a gateway tells it to operators.

use base::http::client::{Error, Target};
use base::id::{DataCentre, Label, Service, Version, Vm};
use bytes::Bytes;
use hyper::Method;
use steering::takeover::Stage;

/// Path of the question, at the address where gateways answer each other.
pub const PATH: &str = "/status";

base::message! {
    /// Release that is ordered.
    pub struct Release {
        /// Service to be moved.
        pub service: Service,
        /// Version that takes over.
        pub label: Label,
        /// Stage that the gateway acts by; none while it does not know.
        pub stage: Option<Stage>,
        /// Whether the store holds this stage as the final one.
        pub is_final: bool,
    }

    /// State of the fleet, as one gateway knows it.
    pub struct State {
        /// VM that answers.
        pub vm: Vm,
        /// Newest version of the configuration that is in force anywhere; 0 for none.
        pub version: Version,
        /// VMs on which this version is in force.
        pub on: usize,
        /// VMs of the fleet.
        pub of: usize,
        /// VMs that are silent or have an older version.
        pub missing: Vec<Vm>,
        /// Releases that are ordered.
        pub releases: Vec<Release>,
        /// Data centres whose servers get nothing.
        pub evacuated: Vec<DataCentre>,
        /// Milliseconds since what the VM knows was read from the store; none before the first read.
        pub age_ms: Option<u64>,
    }
}

/// Asks a gateway for the state of the fleet.
///
/// # Errors
///
/// Fails if the gateway gives no whole answer in time.
pub async fn state(target: &Target) -> Result<State, Error> {
    target.call(Method::GET, PATH, Bytes::new()).await?.decode()
}
