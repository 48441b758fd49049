//! The platform's list of VMs and backend servers, which may be outdated.

use base::id::{DataCentre, Label, Region, Server, Service, Vm};
use std::net::SocketAddr;

base::label! {
    /// State of a listed machine.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// In service.
        Live,
        /// About to be stopped; must get no new requests.
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
        /// Address of the entry for callers.
        pub entry: SocketAddr,
        /// Address of the entry for other VMs.
        pub share: SocketAddr,
        /// Address of the look-up for callers.
        pub lookup: SocketAddr,
        /// Address of the control process for other VMs.
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
        /// Address for requests.
        pub address: SocketAddr,
        /// Requests that the server runs at once.
        pub slots: u32,
        /// Connections that the server accepts.
        pub connections: u32,
    }

    /// List of all machines.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct List {
        /// VMs of the system.
        pub nodes: Vec<Node>,
        /// Backend servers.
        pub backends: Vec<Backend>,
    }
}
