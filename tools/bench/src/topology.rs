//! Generates the files of a deployment on loopback: settings, VM list and command lines.

use platform::list::{Backend, List, Node, State};
use std::fmt::Write as _;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::str::FromStr;

/// Credential of the administration API in a deployment on loopback.
pub const ADMIN_TOKEN: &str = "loopback-admin-token";
/// Secret of the key digests in a deployment on loopback.
pub const KEY_SECRET: &str = "loopback-key-secret";

/// Service of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Service {
    /// Name.
    pub name: &'static str,
    /// Backend servers of the version in service.
    pub servers: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Service time of one request, in milliseconds.
    pub service_ms: u32,
}

/// A deployment with its sizes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deployment {
    /// Name, also of its directory under `examples`.
    pub name: &'static str,
    /// Regions, each of two data centres.
    pub regions: [&'static str; 3],
    /// VMs of the system.
    pub nodes: usize,
    /// Connections that each backend server accepts.
    pub connections: u32,
    /// Services.
    pub services: &'static [Service],
}

const fn service(name: &'static str, servers: usize, slots: u32, service_ms: u32) -> Service {
    Service {
        name,
        servers,
        slots,
        service_ms,
    }
}

/// Atlas: permit systems of national parks.
pub const ATLAS: Deployment = Deployment {
    name: "atlas",
    regions: ["north", "centre", "south"],
    nodes: 11,
    connections: 400,
    services: &[
        service("lookup", 12, 3, 5),
        service("booking", 12, 3, 8),
        service("reconciliation", 14, 3, 40),
    ],
};

/// El-Sherbiny: road surveys.
pub const ELSHERBINY: Deployment = Deployment {
    name: "elsherbiny",
    regions: ["delta", "canal", "valley"],
    nodes: 11,
    connections: 330,
    services: &[
        service("map", 12, 8, 8),
        service("order", 12, 4, 8),
        service("archive", 12, 7, 40),
    ],
};

/// One VM and one backend server with a service time of 0, for speed measurements.
pub const SPEED: Deployment = Deployment {
    name: "speed",
    regions: ["north", "centre", "south"],
    nodes: 1,
    connections: 2_000,
    services: &[service("echo", 1, 2_000, 0)],
};

/// Number of data centres in each region.
const DATA_CENTRES_PER_REGION: usize = 2;

impl FromStr for Deployment {
    type Err = Box<str>;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        [ATLAS, ELSHERBINY, SPEED]
            .into_iter()
            .find(|deployment| deployment.name == name)
            .ok_or_else(|| "expected `atlas`, `elsherbiny` or `speed`".into())
    }
}

/// Files and command lines of a deployment, as built so far.
#[derive(Debug, Default)]
struct DeploymentFiles {
    list: List,
    files: Vec<(String, String)>,
    /// One line per process: its name, a space, its command line.
    processes: String,
    /// Port assigned last.
    port: u16,
}

/// Writes all files of a deployment; processes get the ports after `port`.
///
/// The file `processes` holds one line per process: its name, a space, its command line.
///
/// # Errors
///
/// Fails if a file can't be written.
pub fn write(deployment: Deployment, directory: &Path, port: u16) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let mut output = DeploymentFiles {
        port,
        ..DeploymentFiles::default()
    };
    let platform = output.next_address();
    let list = directory.join("list.yaml");
    output.add_process(
        "platform",
        &format!(
            "standin-platform --listen {platform} --list {}",
            list.display()
        ),
    );
    for index in 0..deployment.nodes {
        output.add_node(deployment, index, platform, directory);
    }
    for service in deployment.services {
        let service = *service;
        for index in 0..service.servers {
            output.add_backend(deployment, service, index, "v1");
        }
        for index in 0..deployment.data_centres() {
            output.add_backend(deployment, service, index, "v2");
        }
    }
    for (name, text) in &output.files {
        std::fs::write(directory.join(name), text)?;
    }
    std::fs::write(directory.join("processes"), &output.processes)?;
    // JSON is a subset of YAML.
    std::fs::write(list, serde_json::to_vec_pretty(&output.list)?)
}

impl Deployment {
    fn data_centres(&self) -> usize {
        self.regions.len() * DATA_CENTRES_PER_REGION
    }

    /// Returns the region and data centre of the VM or backend server with this index.
    fn location(&self, index: usize) -> (Box<str>, Box<str>) {
        let centre = index % self.data_centres();
        let region = self.regions[centre / DATA_CENTRES_PER_REGION];
        (
            region.into(),
            format!("{region}-{}", centre % DATA_CENTRES_PER_REGION + 1).into(),
        )
    }
}

impl DeploymentFiles {
    fn next_address(&mut self) -> SocketAddr {
        self.port += 1;
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.port))
    }

    fn add_process(&mut self, name: &str, command: &str) {
        let _ = writeln!(self.processes, "{name} {command}");
    }

    fn add_node(
        &mut self,
        deployment: Deployment,
        index: usize,
        platform: SocketAddr,
        directory: &Path,
    ) {
        let (region, data_centre) = deployment.location(index);
        let local = self.next_address();
        let node = Node {
            name: format!("vm-{:02}", index + 1).into(),
            region,
            data_centre,
            state: State::Live,
            entry: self.next_address(),
            share: self.next_address(),
            lookup: self.next_address(),
            gossip: self.next_address(),
            admin: self.next_address(),
        };
        let (entry_metrics, lookup_metrics) = (self.next_address(), self.next_address());
        let control_metrics = self.next_address();
        let Node {
            name,
            region,
            data_centre,
            entry,
            share,
            lookup,
            gossip,
            admin,
            ..
        } = &node;
        let identity = format!("vm: {name}\nregion: {region}\ndata_centre: {data_centre}\n");
        let control_settings = format!(
            "{identity}local: {local}\ngossip: {gossip}\nadmin: {admin}\nplatform: {platform}\n\
             metrics: {control_metrics}\nadmin_token: {ADMIN_TOKEN}\nkey_secret: {KEY_SECRET}\n"
        );
        let entry_settings = format!(
            "{identity}listen: {entry}\nshare: {share}\nmetrics: {entry_metrics}\n\
             control: {local}\nplatform: {platform}\nkey_secret: {KEY_SECRET}\n"
        );
        let lookup_settings = format!(
            "data_centre: {data_centre}\nlisten: {lookup}\nmetrics: {lookup_metrics}\n\
             control: {local}\n"
        );
        for (program, settings) in [
            ("control", control_settings),
            ("entry", entry_settings),
            ("lookup", lookup_settings),
        ] {
            let file = format!("{name}-{program}.yaml");
            let path = directory.join(&file);
            self.add_process(
                &format!("{name}-{program}"),
                &format!("{program} --settings {}", path.display()),
            );
            self.files.push((file, settings));
        }
        self.list.nodes.push(node);
    }

    fn add_backend(&mut self, deployment: Deployment, service: Service, index: usize, label: &str) {
        let (region, data_centre) = deployment.location(index);
        let address = self.next_address();
        let name = format!("{}-{label}-{:02}", service.name, index + 1);
        let Service {
            slots, service_ms, ..
        } = service;
        let connections = deployment.connections;
        self.add_process(
            &name,
            &format!(
                "standin-backend --listen {address} --name {name} --label {label} \
                 --slots {slots} --connections {connections} --service-ms {service_ms}"
            ),
        );
        self.list.backends.push(Backend {
            name: name.into(),
            service: service.name.into(),
            label: label.into(),
            region,
            data_centre,
            state: State::Live,
            address,
            slots,
            connections,
        });
    }
}
