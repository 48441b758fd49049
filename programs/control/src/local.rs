//! Serves the processes of this VM.

use crate::state::Shared;
use base::id::Incarnation;
use peers::local::{Heard, Local, Report, Runs, SYNC_WAIT, State};
use peers::wire::{self, Frame};
use std::time::{Duration, Instant};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[derive(Clone)]
struct Server {
    shared: Shared,
}

impl Local for Server {
    async fn sync(self, _: Context, have: u64, entry: Option<Incarnation>) -> Frame<State> {
        if let Some(entry) = entry {
            self.shared.record_entry(entry);
        }
        let mut states = self.shared.subscribe();
        let changed = states.wait_for(|state| state.generation != have);
        let _ = tokio::time::timeout(SYNC_WAIT, changed).await;
        let state = State::clone(&states.borrow());
        Frame::new(state)
    }

    async fn report(self, _: Context, report: Frame<Report>) -> Frame<Heard> {
        let Ok(report) = report.open() else {
            return Frame::new(Heard { withdrawn: false });
        };
        let leaving = report.leaving;
        let vm = &self.shared.settings.vm;
        let (heard, new) = self.shared.update(|known| {
            let new = leaving && !known.progress.leaving;
            let others = known.others(vm);
            let heard = known
                .progress
                .record_report(report, Instant::now(), &others);
            (heard, new)
        });
        if new {
            log::info!("vm {vm} is leaving");
            self.shared.update_and_publish(|_| ());
        }
        Frame::new(heard)
    }

    async fn runs(self, _: Context, runs: Frame<Runs>) {
        if let Ok(runs) = runs.open() {
            self.shared.update_and_publish(|known| known.runs = runs);
        }
    }

    async fn confirmed(self, _: Context) -> Frame<Option<Duration>> {
        let confirmed = self.shared.read(|known| known.keys_confirmed_at);
        Frame::new(confirmed.map(|at| at.elapsed()))
    }
}

/// Serves until `stop` is cancelled.
pub async fn run(listener: TcpListener, shared: Shared, stop: CancellationToken) {
    let server = Server { shared };
    wire::accept(listener, stop, |stream| {
        wire::serve(stream, server.clone().serve())
    })
    .await;
}
