//! Start of the fleet that the other tests use.

use bench::topology::{ATLAS, Deployment};
use integration::Fleet;
use std::net::TcpStream;

const SMALL: Deployment = Deployment { nodes: 1, ..ATLAS };

/// Guards against a test that fails by the order in which processes get processor time: a VM that
/// answers before the platform listens refuses its first publication with reason.
#[test]
fn platform_listens_before_the_vms_start() {
    let fleet = Fleet::start(SMALL, 29_000);
    let platform = fleet.address("vm-01-control", "platform");
    TcpStream::connect(platform).expect("the platform listens");
}
