//! Command line.

use crate::topology::Deployment;
use bpaf::{OptionParser, Parser, construct, long, positional};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Subcommand with its arguments.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Writes the settings, VM list and process list of a deployment on loopback.
    Topology {
        /// Deployment.
        deployment: Deployment,
        /// Directory for the files.
        directory: PathBuf,
        /// Ports are assigned upwards from the one after this.
        port: u16,
        /// Number of VMs; the deployment's own number if absent.
        nodes: Option<usize>,
    },
    /// Sends requests through the system or directly to one server.
    Load(Load),
    /// Measures the cost per unit of each kind of state.
    Capacity {
        /// Kind of state, see [`crate::capacity::report`].
        name: Box<str>,
    },
    /// Runs the fault matrix.
    Matrix,
    /// Runs experiments in simulated time.
    Experiment {
        /// Name of an experiment, or `all`.
        name: Box<str>,
    },
}

/// Options of the load generator.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Address of a lookup process that returns the addresses of the entries.
    pub lookup: Option<SocketAddr>,
    /// Address to send to, instead of those that a lookup process returns.
    pub address: Option<SocketAddr>,
    /// Request path, with the service as its first segment.
    pub path: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Workspace key.
    pub key: Option<Box<str>>,
    /// Number of requests.
    pub requests: usize,
    /// Number of connections, each with at most one request in flight.
    pub connections: usize,
}

/// Describes the command line.
pub fn parser() -> OptionParser<Command> {
    let topology = topology()
        .to_options()
        .descr("Write a deployment's files")
        .command("topology");
    let load = load().map(Command::Load);
    let load = load
        .to_options()
        .descr("Send requests and count outcomes")
        .command("load");
    let name = positional::<String>("NAME")
        .help("Experiment, or `all`")
        .map(Into::into);
    let experiment = name.map(|name| Command::Experiment { name });
    let experiment = experiment
        .to_options()
        .descr("Run an experiment")
        .command("experiment");
    let capacity = positional::<String>("NAME")
        .help("Kind of state")
        .map(Into::into);
    let capacity = capacity.map(|name| Command::Capacity { name });
    let capacity = capacity
        .to_options()
        .descr("Measure cost per unit of state")
        .command("capacity");
    let matrix = bpaf::pure(Command::Matrix);
    let matrix = matrix
        .to_options()
        .descr("Run the fault matrix")
        .command("matrix");
    construct!([topology, load, capacity, matrix, experiment])
        .to_options()
        .descr("Load, experiments, capacity")
}

fn topology() -> impl Parser<Command> {
    let port = long("port")
        .help("First port")
        .argument("PORT")
        .fallback(20_000);
    let nodes = long("nodes").help("Number of VMs").argument("N").optional();
    let deployment = positional("DEPLOYMENT").help("atlas or elsherbiny");
    let directory = positional("DIRECTORY").help("Directory for the files");
    construct!(Command::Topology {
        port,
        nodes,
        deployment,
        directory
    })
}

fn load() -> impl Parser<Load> {
    let lookup = long("lookup")
        .help("Address of a look-up")
        .argument("ADDRESS")
        .optional();
    let address = long("address")
        .help("Address to use directly")
        .argument("ADDRESS")
        .optional();
    let path = long("path")
        .help("Path")
        .argument::<String>("PATH")
        .map(Into::into);
    let method = long("method")
        .help("Method")
        .argument::<String>("METHOD")
        .map(Into::into)
        .fallback("GET".into());
    let key = long("key")
        .help("Key")
        .argument::<String>("KEY")
        .map(Into::into)
        .optional();
    let requests = long("requests")
        .help("Number of requests")
        .argument("N")
        .fallback(100);
    let connections = long("connections")
        .help("Connections")
        .argument("N")
        .fallback(8);
    construct!(Load {
        lookup,
        address,
        path,
        method,
        key,
        requests,
        connections
    })
}
