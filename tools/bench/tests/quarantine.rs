//! Targets of a crashing request: at most 2 servers lost in a data centre and 3 in all.

use bench::experiment::quarantine::{Method, run};
use std::time::Duration;

/// Bound on the refusals of an innocent suspect: one settle time, then for each other
/// request that was in flight at the crash (2 with 3 slots) the limit of its trial and the settle
/// time that follows if that trial takes the server.
const INNOCENT_REFUSAL: Duration = Duration::from_secs(2 + 2 * (5 + 2));

/// Guards against a crashing request that takes one server per VM, and against innocents that
/// are refused for good.
#[test]
fn crashing_request_is_stopped() {
    for seed in 1..=20 {
        let cost = run(Method::Full, seed);
        println!("{seed} {cost:?}");
        assert!(
            cost.worst_data_centre <= 2 && cost.total <= 3,
            "{seed}: {cost:?}"
        );
        assert_eq!(cost.innocents_quarantined, 0, "{seed}: {cost:?}");
        assert!(cost.longest_refusal <= INNOCENT_REFUSAL, "{seed}: {cost:?}");
    }
}

/// Shows that the experiment can miss the target: without quarantine each send takes a server.
#[test]
fn without_quarantine_each_send_takes_a_server() {
    let cost = run(Method::Plain, 1);
    println!("{cost:?}");
    assert!(cost.worst_data_centre > 2 && cost.total > 3);
}

/// Shows that holding the replies matters: a caller that sends again at once outruns the gossip.
#[test]
fn without_hold_the_caller_outruns_gossip() {
    let costs: Vec<_> = (1..=20).map(|seed| run(Method::NoHold, seed)).collect();
    println!("{costs:?}");
    assert!(costs.iter().any(|c| c.worst_data_centre > 2 || c.total > 3));
}
