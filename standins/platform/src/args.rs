//! Command line of the stand-in.

use bpaf::{OptionParser, Parser, construct, long};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Command line of the stand-in.
#[derive(Debug, Clone, PartialEq)]
pub struct Args {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// YAML file with the list of VMs and backend servers.
    pub list: PathBuf,
}

/// Returns the parser of the command line.
pub fn parser() -> OptionParser<Args> {
    let listen = long("listen")
        .help("Address to listen on")
        .argument("ADDRESS");
    let list = long("list")
        .help("YAML file with the VMs and backend servers")
        .argument("FILE");
    construct!(Args { listen, list })
        .to_options()
        .descr("Stand-in for the platform's service")
}
