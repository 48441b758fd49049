//! Type aliases for identifiers.

use rand::RngExt;

/// Name of a VM of the system, unique in the fleet.
pub type Vm = Box<str>;
/// Name of a data centre.
pub type DataCentre = Box<str>;
/// Name of a region, a group of data centres.
pub type Region = Box<str>;
/// Name of a workspace, the unit that holds keys, rate and burst.
pub type Workspace = Box<str>;
/// Name of a service that callers reach through the system.
pub type Service = Box<str>;
/// Name of a backend server.
pub type Server = Box<str>;
/// Name of a route within a service.
pub type Route = Box<str>;
/// Id of a release; never reused after the release was halted.
pub type Release = Box<str>;
/// Label of a backend server's software version.
pub type Label = Box<str>;
/// Version of the configuration; grows with each publication.
pub type Version = u64;
/// Id of one run of a process; chosen at random at start.
pub type Incarnation = u64;
/// Id of a request, chosen by the caller or the entry.
pub type Request = Box<str>;
/// Unique id of one write to the platform's table.
pub type Operation = Box<str>;

/// Returns a new random id of 128 bits in hexadecimal.
pub fn random(rng: &mut impl rand::Rng) -> Box<str> {
    format!("{:032x}", rng.random::<u128>()).into()
}
