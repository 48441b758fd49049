//! Releases, drains and stops: what this VM knows of them, and the tasks that move them on.

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

/// Time between two looks at the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a report after which the entry of this VM has ended.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which an entry that is stopped together with this process says so.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(600);

/// Runs all tasks until `stop` is cancelled.
pub async fn run(shared: Shared, client: Client, stop: CancellationToken) {
    tokio::join!(
        evaluate(&shared, &stop),
        owner::run(&shared, &client, &stop),
        exchange::run(&shared, &stop),
    );
}

/// Judges the evidence and publishes the caps, several times a second.
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

/// Waits for `stop` and, if the entry of this VM is stopping too, for the end of the entry, so that
/// the other VMs hear of the stop and the entry hears that they did. Then cancels `end`.
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
