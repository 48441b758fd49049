//! Versions that were rolled back, under the orders that follow.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use rstest::rstest;
use site::{Gateway, Site, call_each, wait_until};
use standin_site::operator::{self, Desired};
use standin_site::server::{Behaviour, Entry, Server};
use std::time::Duration;

/// Term of the orders in seconds.
const TERM: u32 = 6;
/// Time until a decision has reached every VM.
const SPREAD: Duration = Duration::from_millis(1_500);
/// VMs and their data centres.
const VMS: [(&str, &str); 2] = [("vm-1", "nord-a"), ("vm-2", "sud-a")];

/// Starts a server of a version that answers with a status.
async fn version(site: &Site, label: &'static str, status: u16) -> Server {
    let entry = Entry {
        label,
        ..Entry::default()
    };
    let server = site.server(&format!("i-{label}"), &entry).await;
    server.set(Behaviour {
        status,
        ..Behaviour::default()
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    server
}

/// Orders a version and calls until the takeover has ended; returns how.
async fn run_takeover(site: &Site, gateways: &[Gateway], label: &str) -> String {
    operator::order_takeover(&site.store, "lookup", label, TERM);
    let state = || operator::takeover_state(&site.store, "lookup");
    wait_until("the takeover runs", || async {
        call_each(gateways).await;
        state() == "running"
    })
    .await;
    wait_until("the takeover ends", || async {
        call_each(gateways).await;
        state() != "running"
    })
    .await;
    state()
}

/// Guards against a version that was rolled back and serves again from the next order on, its failures
/// being counted against the next version (review/8).
#[rstest]
#[case::same_processes(false)]
#[case::all_processes_restarted(true)]
#[tokio::test]
async fn version_that_was_rolled_back_gets_nothing_under_the_next_order(
    #[case] is_restarted: bool,
) {
    let (site, door, [_old]) = Site::with_servers(&Desired::default()).await;
    let mut gateways = site.gateways(VMS, &door).await;
    let bad = version(&site, "v2", 500).await;
    assert_eq!(run_takeover(&site, &gateways, "v2").await, "rolled_back");
    tokio::time::sleep(SPREAD).await;
    if is_restarted {
        gateways.iter().for_each(|gateway| gateway.stop.cancel());
        gateways = site.gateways(VMS, &door).await;
    }
    let good = version(&site, "v3", 200).await;
    let before = bad.arrivals().len();
    assert_eq!(run_takeover(&site, &gateways, "v3").await, "completed");
    tokio::time::sleep(SPREAD).await;
    call_each(&gateways).await;
    assert_eq!(bad.arrivals().len(), before);
    assert!(!good.runs().is_empty());
    // Ordered again, it is sampled again.
    bad.set(Behaviour::default());
    assert_eq!(run_takeover(&site, &gateways, "v2").await, "completed");
    assert!(bad.arrivals().len() > before);
}
