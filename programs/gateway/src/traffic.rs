//! Bytes that a VM exchanges for its own work, by what they are for.

use crate::shared::Shared;
use adapter::store::Client;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time over which bytes are summed.
const INTERVAL: Duration = Duration::from_secs(1);
/// Share of the link above which a line is logged.
const MIN_SHARE: f64 = 0.25;
/// Bytes per second of a megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Number of kinds.
const KINDS: usize = 9;

/// What bytes are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Reports of this VM.
    OwnOut,
    /// Summaries of its data centre.
    SummariesOut,
    /// Summaries of others that it passes on.
    PassedOut,
    /// Datagrams from other VMs.
    ReportsIn,
    /// Requests for store data to other VMs.
    QuestionsOut,
    /// The same from other VMs.
    QuestionsIn,
    /// Answers with store data to other VMs.
    CopiesOut,
    /// The same from other VMs.
    CopiesIn,
    /// Answers of the store.
    StoreIn,
}

impl Kind {
    const ALL: [(Self, &str); KINDS] = [
        (Self::OwnOut, "own_out"),
        (Self::SummariesOut, "summaries_out"),
        (Self::PassedOut, "passed_out"),
        (Self::ReportsIn, "reports_in"),
        (Self::QuestionsOut, "questions_out"),
        (Self::QuestionsIn, "questions_in"),
        (Self::CopiesOut, "copies_out"),
        (Self::CopiesIn, "copies_in"),
        (Self::StoreIn, "store_in"),
    ];

    fn is_out(self) -> bool {
        matches!(
            self,
            Self::OwnOut
                | Self::SummariesOut
                | Self::PassedOut
                | Self::QuestionsOut
                | Self::CopiesOut
        )
    }
}

/// Bytes since the start of the process, by kind; headers are not counted.
#[derive(Debug, Default)]
pub struct Traffic([AtomicU64; KINDS]);

impl Traffic {
    /// Counts bytes.
    pub fn record(&self, kind: Kind, bytes: usize) {
        self.0[kind as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes of each kind since the start.
    fn totals(&self) -> [u64; KINDS] {
        std::array::from_fn(|kind| self.0[kind].load(Ordering::Relaxed))
    }
}

/// Logs the bytes of each second in which a direction of the link was used by more than a quarter,
/// until the task is dropped.
pub async fn watch(shared: Arc<Shared>, store: Client) {
    let link = f64::from(shared.settings.link_mbps()) * BYTES_PER_MBIT;
    let mut before = [0; KINDS];
    loop {
        tokio::time::sleep(INTERVAL).await;
        let mut totals = shared.traffic.totals();
        totals[Kind::StoreIn as usize] = store.received();
        let bytes: [u64; KINDS] = std::array::from_fn(|kind| totals[kind] - before[kind]);
        before = totals;
        let sum = |is_out: bool| -> u64 {
            let kinds = Kind::ALL.iter().zip(bytes);
            let counted = kinds.filter(|((kind, _), _)| kind.is_out() == is_out);
            counted.map(|(_, bytes)| bytes).sum()
        };
        let used = sum(true).max(sum(false)) as f64;
        if link > 0.0 && used > link * MIN_SHARE * INTERVAL.as_secs_f64() {
            let parts: String = Kind::ALL
                .iter()
                .zip(bytes)
                .map(|((_, name), bytes)| format!(" {name}={bytes}"))
                .collect();
            log::info!("event=link-use share={:.2}{parts}", used / link);
        }
    }
}
