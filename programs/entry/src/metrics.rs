//! Metrics of the entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;
use steering::attempt::{Outcome, Refusal, RetryReason, Uncertainty};
use steering::limits::{Amount, TOKEN};

/// Label `reason`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

/// Label `workspace`; the number of its values is bounded by the configured workspaces.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkspaceLabels {
    workspace: Box<str>,
}

/// Labels `workspace` and `reason`, which may be a result.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkspaceReasonLabels {
    workspace: Box<str>,
    reason: &'static str,
}

/// Counter of tokens, which may be lent in fractions.
type Tokens = Counter<f64, AtomicU64>;

/// Label `data_centre`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DataCentreLabels {
    data_centre: String,
}

/// Label `region`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RegionLabels {
    region: String,
}

/// Metrics of the entry.
#[derive(Debug, Default)]
pub struct Metrics {
    served: Counter,
    not_run: Family<ReasonLabels, Counter>,
    unknown: Family<ReasonLabels, Counter>,
    retries: Family<ReasonLabels, Counter>,
    asked: Counter,
    crashes: Counter,
    trials: Counter,
    passed: Counter,
    spent: Family<WorkspaceLabels, Counter>,
    borrowed: Family<WorkspaceLabels, Tokens>,
    lent: Family<WorkspaceLabels, Tokens>,
    refused: Family<WorkspaceReasonLabels, Counter>,
    renewals: Family<WorkspaceReasonLabels, Counter>,
    retries_denied: Counter,
    probes: Family<ReasonLabels, Counter>,
    spilled: Family<DataCentreLabels, Counter>,
    link_bytes: Family<RegionLabels, Counter>,
    /// Ejections of slow servers.
    pub ejections: Counter,
    /// Slots borrowed from other entries.
    pub loans: Counter,
    /// Slots that requests of this entry use now, lent ones included.
    pub slots_in_use: Gauge,
}

impl Metrics {
    /// Registers all metrics; counters of requests and retries show each reason from the start,
    /// with the value 0.
    pub fn register(&self, registry: &mut Registry) {
        for reason in Refusal::ALL {
            drop(self.not_run.get_or_create(&ReasonLabels {
                reason: reason.as_str(),
            }));
        }
        for reason in Uncertainty::ALL {
            drop(self.unknown.get_or_create(&ReasonLabels {
                reason: reason.as_str(),
            }));
        }
        for reason in RetryReason::ALL {
            drop(self.retries.get_or_create(&ReasonLabels {
                reason: reason.as_str(),
            }));
        }
        registry.register("requests_served", "Requests served", self.served.clone());
        registry.register("requests_not_run", "Requests not run", self.not_run.clone());
        registry.register(
            "requests_unknown",
            "Requests that may have run",
            self.unknown.clone(),
        );
        registry.register("retries", "Requests sent again", self.retries.clone());
        let asked = self.asked.clone();
        registry.register("claims_asked", "Request ids asked of other VMs", asked);
        let crashes = self.crashes.clone();
        registry.register("crashes_seen", "Requests interrupted by a crash", crashes);
        let trials = self.trials.clone();
        let passed = self.passed.clone();
        registry.register(
            "passed",
            "Suspected requests passed to their keeper",
            passed,
        );
        registry.register("trials", "Trial runs of suspected requests", trials);
        registry.register("tokens_spent", "Tokens spent", self.spent.clone());
        registry.register(
            "tokens_borrowed",
            "Tokens that other VMs lent",
            self.borrowed.clone(),
        );
        registry.register("tokens_lent", "Tokens lent to other VMs", self.lent.clone());
        registry.register(
            "workspace_refusals",
            "Requests of a workspace refused before they were sent",
            self.refused.clone(),
        );
        registry.register(
            "renewals",
            "Renewals of parts of limits by result",
            self.renewals.clone(),
        );
        let denied = self.retries_denied.clone();
        registry.register("retries_denied", "Retries without budget", denied);
        registry.register("probes", "Health probes by result", self.probes.clone());
        let spilled = self.spilled.clone();
        registry.register("spilled", "Requests sent to other data centres", spilled);
        let bytes = self.link_bytes.clone();
        registry.register("link_bytes", "Bytes exchanged with other regions", bytes);
        let ejections = self.ejections.clone();
        registry.register("ejections", "Ejections of slow servers", ejections);
        registry.register("slot_loans", "Slots borrowed", self.loans.clone());
        let in_use = self.slots_in_use.clone();
        registry.register("slots_in_use", "Slots in use", in_use);
    }

    /// Counts a query for a request id to another VM.
    pub fn record_claim_query(&self) {
        self.asked.inc();
    }

    /// Counts a request that was interrupted by a crash of its server.
    pub fn record_crash(&self) {
        self.crashes.inc();
    }

    /// Counts a suspected request that is passed to the trial coordinator.
    pub fn record_passed(&self) {
        self.passed.inc();
    }

    /// Counts a trial run.
    pub fn record_trial(&self) {
        self.trials.inc();
    }

    /// Counts a request that spent a token.
    pub fn record_spent(&self, workspace: &str) {
        self.spent.get_or_create(&workspace_labels(workspace)).inc();
    }

    /// Counts tokens borrowed from another VM.
    pub fn record_borrowed(&self, workspace: &str, tokens: Amount) {
        let counter = self.borrowed.get_or_create(&workspace_labels(workspace));
        counter.inc_by(tokens as f64 / TOKEN as f64);
    }

    /// Counts tokens lent to another VM.
    pub fn record_lent(&self, workspace: &str, tokens: Amount) {
        let counter = self.lent.get_or_create(&workspace_labels(workspace));
        counter.inc_by(tokens as f64 / TOKEN as f64);
    }

    /// Counts a refused request of a workspace by its reason.
    pub fn record_refusal(&self, workspace: &str, reason: Refusal) {
        let workspace = workspace.into();
        let reason = reason.as_str();
        let labels = WorkspaceReasonLabels { workspace, reason };
        self.refused.get_or_create(&labels).inc();
    }

    /// Counts a renewal by its result.
    pub fn record_renewal(&self, workspace: &str, reason: &'static str) {
        let workspace = workspace.into();
        let labels = WorkspaceReasonLabels { workspace, reason };
        self.renewals.get_or_create(&labels).inc();
    }

    /// Counts a retry that the budget does not allow.
    pub fn record_denied_retry(&self) {
        self.retries_denied.inc();
    }

    /// Counts a health probe by its result.
    pub fn record_probe(&self, answered: bool) {
        let reason = if answered { "answered" } else { "failed" };
        self.probes.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a request sent to another data centre.
    pub fn record_spilled(&self, data_centre: &str) {
        let data_centre = data_centre.into();
        self.spilled
            .get_or_create(&DataCentreLabels { data_centre })
            .inc();
    }

    /// Counts bytes exchanged with another region.
    pub fn record_link_bytes(&self, region: &str, bytes: usize) {
        let region = region.into();
        let counter = self.link_bytes.get_or_create(&RegionLabels { region });
        counter.inc_by(bytes as u64);
    }

    /// Counts a retry by its reason.
    pub fn record_retry(&self, retry: RetryReason) {
        self.retries
            .get_or_create(&ReasonLabels {
                reason: retry.as_str(),
            })
            .inc();
    }

    /// Counts the outcome of a request.
    pub fn record_outcome(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Served | Outcome::ServedBefore => self.served.inc(),
            Outcome::NotRun(proof) => self
                .not_run
                .get_or_create(&ReasonLabels {
                    reason: proof.reason().as_str(),
                })
                .inc(),
            Outcome::Unknown(cause) => self
                .unknown
                .get_or_create(&ReasonLabels {
                    reason: cause.as_str(),
                })
                .inc(),
        };
    }
}

fn workspace_labels(workspace: &str) -> WorkspaceLabels {
    WorkspaceLabels {
        workspace: workspace.into(),
    }
}
