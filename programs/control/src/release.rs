//! Releases, drains and shutdowns: their state on this VM, and the tasks that advance them.

mod configured;
pub mod exchange;
mod owner;
mod peer_report;
mod progress;

pub use configured::ConfiguredRelease;
pub use peer_report::PeerReport;
pub use progress::Progress;

use crate::state::Shared;
use platform::Client;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a report after which the entry of this VM counts as stopped.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for an entry that is stopped together with this process to report that it is leaving.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(600);

/// Runs all tasks until `stop` is cancelled.
pub async fn run(shared: Shared, client: Client, stop: CancellationToken) {
    tokio::join!(
        evaluate(&shared, &stop),
        owner::run(&shared, &client, &stop),
        exchange::run(&shared, &stop),
    );
}

/// Evaluates the evidence and publishes changed caps until `stop` is cancelled.
async fn evaluate(shared: &Shared, stop: &CancellationToken) {
    while !stop.is_cancelled() {
        let (changed, halts) = shared.update(|known| {
            let before = known.progress.halt.reasons().count();
            let changed = known.evaluate_releases(Instant::now());
            (changed, known.progress.halt.reasons().count() - before)
        });
        shared.metrics.record_halts(halts);
        if changed {
            shared.update_and_publish(|_| ());
        }
        stop.run_until_cancelled(tokio::time::sleep(EVALUATION_INTERVAL))
            .await;
    }
}

/// Cancels `end` after `stop`; while the entry of this VM reports that it is leaving, waits for its
/// end first. Other VMs learn of the shutdown, and the entry of their confirmation, only through
/// this process.
pub async fn wait_for_entry_shutdown(
    shared: &Shared,
    stop: CancellationToken,
    end: CancellationToken,
) {
    stop.cancelled().await;
    let leaving = || {
        shared.read(|known| {
            let report = known.progress.report.as_ref();
            report.is_some_and(|(at, report)| report.leaving && at.elapsed() < REPORT_TIMEOUT)
        })
    };
    tokio::time::sleep(SHUTDOWN_NOTICE).await;
    while leaving() {
        tokio::time::sleep(EVALUATION_INTERVAL).await;
    }
    end.cancel();
}
