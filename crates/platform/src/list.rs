//! The platform's list of VMs, which lags.

use base::id::{DataCentre, Label, Region, Server, Service, Vm};
use std::net::SocketAddr;

base::label! {
    /// Whether a listed machine stays.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// In service.
        Live,
        /// About to be stopped; must get no new work.
        Leaving,
    }
}

base::message! {
    /// A VM of the system.
    #[serde(deny_unknown_fields)]
    pub struct Node {
        /// Name.
        pub name: Vm,
        /// Region of the data centre.
        pub region: Region,
        /// Data centre.
        pub data_centre: DataCentre,
        /// State.
        pub state: State,
        /// Address of the entry towards callers.
        pub entry: SocketAddr,
        /// Address of the entry towards other VMs.
        pub share: SocketAddr,
        /// Address of the look-up towards callers.
        pub lookup: SocketAddr,
        /// Address of the control process towards other VMs.
        pub gossip: SocketAddr,
        /// Address of the administration API.
        pub admin: SocketAddr,
    }

    /// A backend server.
    #[serde(deny_unknown_fields)]
    pub struct Backend {
        /// Name.
        pub name: Server,
        /// Service that it runs.
        pub service: Service,
        /// Software version that it runs.
        pub label: Label,
        /// Region of the data centre.
        pub region: Region,
        /// Data centre.
        pub data_centre: DataCentre,
        /// State.
        pub state: State,
        /// Address towards the system.
        pub address: SocketAddr,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Connections that it accepts.
        pub connections: u32,
    }

    /// The whole list.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct List {
        /// VMs of the system.
        pub nodes: Vec<Node>,
        /// Backend servers.
        pub backends: Vec<Backend>,
    }
}
