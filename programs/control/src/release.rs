//! Releases, drains and stops: what this VM knows of them, and the tasks that move them on.

mod board;
pub mod exchange;
mod owner;
mod peer;
mod view;

pub use board::Board;
pub use peer::Peer;
pub use view::Planned;

use crate::state::Shared;
use platform::Client;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Time between two looks at the evidence.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a report after which the entry of this VM has ended.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// Time in which an entry that is stopped together with this process says so.
const STOP_NOTICE: Duration = Duration::from_millis(600);

/// Runs all tasks until `stop` is cancelled.
pub async fn run(shared: Shared, client: Client, stop: CancellationToken) {
    tokio::join!(
        watch(&shared, &stop),
        owner::run(&shared, &client, &stop),
        exchange::run(&shared, &stop),
    );
}

/// Judges the evidence and publishes the caps, several times a second.
async fn watch(shared: &Shared, stop: &CancellationToken) {
    while !stop.is_cancelled() {
        let (changed, halts) = shared.touch(|known| {
            let before = known.board.halt.reasons().count();
            let changed = known.look(Instant::now());
            (changed, known.board.halt.reasons().count() - before)
        });
        shared.metrics.halted(halts);
        if changed {
            shared.change(|_| ());
        }
        stop.run_until_cancelled(tokio::time::sleep(LOOK_INTERVAL))
            .await;
    }
}

/// Waits for `stop` and, if the entry of this VM is stopping too, for the end of the entry, so that
/// the other VMs hear of the stop and the entry hears that they did. Then cancels `end`.
pub async fn outlast(shared: &Shared, stop: CancellationToken, end: CancellationToken) {
    stop.cancelled().await;
    let leaving = || {
        shared.read(|known| {
            let report = known.board.report.as_ref();
            report.is_some_and(|(at, report)| report.leaving && at.elapsed() < REPORT_AGE)
        })
    };
    tokio::time::sleep(STOP_NOTICE).await;
    while leaving() {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    end.cancel();
}
