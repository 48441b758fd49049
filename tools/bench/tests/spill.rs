//! Targets of the failure of a data centre and a region at peak.

use bench::experiment::spill::report;

#[test]
fn prints() {
    println!("{}", report());
}
