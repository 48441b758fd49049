//! Metrics of the control process.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use steering::config::tracker::OfferOutcome;

/// Result of an exchange with another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeResult {
    /// Answered.
    Answered,
    /// Not answered in time.
    Failed,
    /// Skipped, because too many were running.
    Busy,
}

impl ExchangeResult {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Busy => "busy",
        }
    }
}

/// Result of a publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublicationResult {
    /// Accepted.
    Accepted,
    /// Another one came first.
    Conflict,
    /// The files have errors.
    Refused,
    /// The store can't be reached.
    Unavailable,
    /// The outcome was not known in time.
    Unknown,
    /// The row was read back after a lost answer.
    ReadBack,
}

impl PublicationResult {
    fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
            Self::ReadBack => "read-back",
        }
    }
}

/// Label of a result.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    result: &'static str,
}

/// Metrics of the control process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Configuration version in force; 0 before the process is ready.
    pub version: Gauge,
    /// Objects whose content does not match their hash.
    pub corrupt: Counter,
    refused_heads: Family<Label, Counter>,
    exchanges: Family<Label, Counter>,
    table_reads: Family<Label, Counter>,
    list_reads: Family<Label, Counter>,
    mark_writes: Family<Label, Counter>,
    publications: Family<Label, Counter>,
    drains: Family<Label, Counter>,
    halts: Counter,
}

impl Metrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "config_version",
            "Configuration version in force",
            self.version.clone(),
        );
        registry.register(
            "objects_corrupt",
            "Objects whose content does not match their hash",
            self.corrupt.clone(),
        );
        registry.register("heads_refused", "Heads refused", self.refused_heads.clone());
        registry.register(
            "exchanges",
            "Exchanges with other VMs",
            self.exchanges.clone(),
        );
        registry.register(
            "table_reads",
            "Reads of the table",
            self.table_reads.clone(),
        );
        registry.register("list_reads", "Reads of the list", self.list_reads.clone());
        registry.register(
            "growing_records",
            "Writes of growing changes to the table",
            self.mark_writes.clone(),
        );
        registry.register(
            "publications",
            "Publications through this VM",
            self.publications.clone(),
        );
        registry.register("drains", "Requests for drains", self.drains.clone());
        registry.register(
            "releases_halted",
            "Halts by this VM's evidence or found in the growing set",
            self.halts.clone(),
        );
    }

    /// Counts a request for a drain by its result.
    pub fn record_drain(&self, result: &'static str) {
        self.drains.get_or_create(&label(result)).inc();
    }

    /// Counts halts by this VM's evidence or found among the marks.
    pub fn record_halts(&self, count: usize) {
        self.halts.inc_by(count as u64);
    }

    /// Counts a head read from the table, if it was refused.
    pub fn record_offer(&self, offer: &OfferOutcome) {
        let result = match offer {
            OfferOutcome::Stale => "stale",
            OfferOutcome::Contradiction => "contradiction",
            OfferOutcome::Known | OfferOutcome::Fetching | OfferOutcome::InForce => return,
        };
        self.refused_heads.get_or_create(&label(result)).inc();
    }

    /// Counts an exchange.
    pub fn record_exchange(&self, result: ExchangeResult) {
        self.exchanges.get_or_create(&label(result.as_str())).inc();
    }

    /// Counts a read of the table.
    pub fn record_table_read(&self, done: bool) {
        self.table_reads
            .get_or_create(&label(result_text(done)))
            .inc();
    }

    /// Counts a read of the list.
    pub fn record_list_read(&self, done: bool) {
        self.list_reads
            .get_or_create(&label(result_text(done)))
            .inc();
    }

    /// Counts a write of marks.
    pub fn record_marks_write(&self, done: bool) {
        self.mark_writes
            .get_or_create(&label(result_text(done)))
            .inc();
    }

    /// Counts a publication.
    pub fn record_publication(&self, result: PublicationResult) {
        self.publications
            .get_or_create(&label(result.as_str()))
            .inc();
    }
}

fn result_text(done: bool) -> &'static str {
    if done { "done" } else { "failed" }
}

fn label(result: &'static str) -> Label {
    Label { result }
}
