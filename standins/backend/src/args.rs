//! Command line of the stand-in.

use bpaf::{OptionParser, Parser, construct, long};
use std::net::SocketAddr;

/// Command line of the stand-in.
#[derive(Debug, Clone, PartialEq)]
pub struct Args {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name, reported in each answer.
    pub name: Box<str>,
    /// Software version, reported in each answer.
    pub label: Box<str>,
    /// Requests that run at once; further ones are shed.
    pub slots: usize,
    /// Connections accepted at once.
    pub connections: usize,
    /// Service time of a request, in milliseconds.
    pub service_ms: u64,
    /// Number of first requests that take five times as long, as if caches were cold.
    pub cold: u64,
}

/// Returns the parser of the command line.
pub fn parser() -> OptionParser<Args> {
    let listen = long("listen")
        .help("Address to listen on")
        .argument("ADDRESS");
    let name = long("name")
        .help("Name of the server")
        .argument::<String>("NAME")
        .map(Into::into);
    let label = long("label")
        .help("Software version")
        .argument::<String>("LABEL")
        .map(Into::into)
        .fallback("v1".into());
    let slots = long("slots")
        .help("Requests run at once")
        .argument("N")
        .fallback(3);
    let connections = long("connections")
        .help("Connections")
        .argument("N")
        .fallback(400);
    let service_ms = long("service-ms")
        .help("Time of a request, ms")
        .argument("MS")
        .fallback(5);
    let cold = long("cold")
        .help("Number of slow first requests")
        .argument("N")
        .fallback(0);
    construct!(Args {
        listen,
        name,
        label,
        slots,
        connections,
        service_ms,
        cold
    })
    .to_options()
    .descr("Stand-in for a backend server")
}
