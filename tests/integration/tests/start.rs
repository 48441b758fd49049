//! Startup order of the fleet that the other tests use.

use bench::topology::{ATLAS, Deployment};
use integration::Fleet;
use std::net::TcpStream;

const SMALL: Deployment = Deployment { nodes: 1, ..ATLAS };

/// Guards against tests that fail because of the startup order: a VM that answers before the
/// platform listens rightly refuses its first publication.
#[test]
fn platform_listens_before_the_vms_start() {
    let fleet = Fleet::start(SMALL, 29_000);
    let platform = fleet.address("vm-01-control", "platform");
    TcpStream::connect(platform).expect("the platform listens");
}
