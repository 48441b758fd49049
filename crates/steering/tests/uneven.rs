//! Choice of servers by learned costs and backlog, under uneven load.
//!
//! Two routes share a service, 3% of the requests take 7 times as long, 15% of the servers run 2.5
//! times slower for 0.6 s at a time, and 20 VMs know each other's requests with 0.3 s of delay.

#[path = "uneven/run.rs"]
mod run;

use run::{Method, Outcome, run};

const SEEDS: std::ops::Range<u64> = 1..4;

/// Runs all seeds and prints a row for each route.
fn measure(method: Method) -> Outcome {
    let mut sum = Outcome::default();
    SEEDS.for_each(|seed| sum.add(run(method, seed)));
    for (route, name) in run::ROUTES.iter().enumerate().map(|(i, r)| (i, r.name)) {
        let [share, p50, p99] = [
            sum.share(route),
            sum.quantile(route, 0.5),
            sum.quantile(route, 0.99),
        ];
        println!("{method:?} {name}: in time {share:.3}, p50 {p50:.0} ms, p99 {p99:.0} ms");
    }
    sum
}

#[test]
fn learned_costs_serve_uneven_load() {
    let [fixed, learned, oracle] = [Method::Fixed, Method::Learned, Method::Oracle].map(measure);
    assert!(learned.share(0) > fixed.share(0) && oracle.share(0) >= learned.share(0));
}
