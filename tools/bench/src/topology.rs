//! Files of a whole deployment on loopback: settings, VM list and command lines.

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
    /// Time of one request, in milliseconds.
    pub service_ms: u32,
}

/// A deployment with its sizes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deployment {
    /// Name, also of its directory of examples.
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

/// One VM and one server without delay, to measure speed.
pub const SPEED: Deployment = Deployment {
    name: "speed",
    regions: ["north", "centre", "south"],
    nodes: 1,
    connections: 2_000,
    services: &[service("echo", 1, 2_000, 0)],
};

/// Data centres of a region.
const CENTRES_PER_REGION: usize = 2;

impl FromStr for Deployment {
    type Err = Box<str>;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        [ATLAS, ELSHERBINY, SPEED]
            .into_iter()
            .find(|deployment| deployment.name == name)
            .ok_or_else(|| "expected `atlas`, `elsherbiny` or `speed`".into())
    }
}

/// Files and command lines of a deployment.
#[derive(Debug, Default)]
struct Plan {
    list: List,
    files: Vec<(String, String)>,
    /// One line per process: name, a space, the command line.
    processes: String,
    port: u16,
}

/// Writes all files of a deployment; the processes use the ports from `port` on.
///
/// The file `processes` holds one line per process: its name, a space, its command line.
///
/// # Errors
///
/// Fails if a file can't be written.
pub fn write(deployment: Deployment, directory: &Path, port: u16) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let mut plan = Plan {
        port,
        ..Plan::default()
    };
    let platform = plan.address();
    let list = directory.join("list.yaml");
    plan.process(
        "platform",
        &format!(
            "standin-platform --listen {platform} --list {}",
            list.display()
        ),
    );
    for index in 0..deployment.nodes {
        plan.node(deployment, index, platform, directory);
    }
    for service in deployment.services {
        let service = *service;
        for index in 0..service.servers {
            plan.backend(deployment, service, index, "v1");
        }
        for index in 0..deployment.centres() {
            plan.backend(deployment, service, index, "v2");
        }
    }
    for (name, text) in &plan.files {
        std::fs::write(directory.join(name), text)?;
    }
    std::fs::write(directory.join("processes"), &plan.processes)?;
    // JSON is a subset of YAML.
    std::fs::write(list, serde_json::to_vec_pretty(&plan.list)?)
}

impl Deployment {
    fn centres(&self) -> usize {
        self.regions.len() * CENTRES_PER_REGION
    }

    /// Returns region and data centre of the machine with this index.
    fn place(&self, index: usize) -> (Box<str>, Box<str>) {
        let centre = index % self.centres();
        let region = self.regions[centre / CENTRES_PER_REGION];
        (
            region.into(),
            format!("{region}-{}", centre % CENTRES_PER_REGION + 1).into(),
        )
    }
}

impl Plan {
    fn address(&mut self) -> SocketAddr {
        self.port += 1;
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.port))
    }

    fn process(&mut self, name: &str, command: &str) {
        let _ = writeln!(self.processes, "{name} {command}");
    }

    fn node(
        &mut self,
        deployment: Deployment,
        index: usize,
        platform: SocketAddr,
        directory: &Path,
    ) {
        let (region, data_centre) = deployment.place(index);
        let local = self.address();
        let node = Node {
            name: format!("vm-{:02}", index + 1).into(),
            region,
            data_centre,
            state: State::Live,
            entry: self.address(),
            share: self.address(),
            lookup: self.address(),
            gossip: self.address(),
            admin: self.address(),
        };
        let (entry_metrics, lookup_metrics) = (self.address(), self.address());
        let control_metrics = self.address();
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
        let place = format!("vm: {name}\nregion: {region}\ndata_centre: {data_centre}\n");
        let control_settings = format!(
            "{place}local: {local}\ngossip: {gossip}\nadmin: {admin}\nplatform: {platform}\n\
             metrics: {control_metrics}\nadmin_token: {ADMIN_TOKEN}\nkey_secret: {KEY_SECRET}\n"
        );
        let entry_settings = format!(
            "{place}listen: {entry}\nshare: {share}\nmetrics: {entry_metrics}\n\
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
            self.process(
                &format!("{name}-{program}"),
                &format!("{program} --settings {}", path.display()),
            );
            self.files.push((file, settings));
        }
        self.list.nodes.push(node);
    }

    fn backend(&mut self, deployment: Deployment, service: Service, index: usize, label: &str) {
        let (region, data_centre) = deployment.place(index);
        let address = self.address();
        let name = format!("{}-{label}-{:02}", service.name, index + 1);
        let Service {
            slots, service_ms, ..
        } = service;
        let connections = deployment.connections;
        self.process(
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
