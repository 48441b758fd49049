//! Counters of the entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;
use steering::attempt::{Outcome, Refusal, RetryReason, Uncertainty};
use steering::limits::{Amount, TOKEN};

/// Label of a reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

/// Label of a configured workspace; their number is bounded by the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Tenant {
    workspace: Box<str>,
}

/// Labels of a workspace and a reason or result.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantReason {
    workspace: Box<str>,
    reason: &'static str,
}

/// Counter of fractions of tokens.
type Tokens = Counter<f64, AtomicU64>;

/// Label of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Centre {
    data_centre: String,
}

/// Label of a region.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Far {
    region: String,
}

/// Counters of the entry.
#[derive(Debug, Default)]
pub struct Metrics {
    served: Counter,
    not_run: Family<Reason, Counter>,
    unknown: Family<Reason, Counter>,
    retries: Family<Reason, Counter>,
    asked: Counter,
    crashes: Counter,
    trials: Counter,
    passed: Counter,
    spent: Family<Tenant, Counter>,
    borrowed: Family<Tenant, Tokens>,
    lent: Family<Tenant, Tokens>,
    refused: Family<TenantReason, Counter>,
    renewals: Family<TenantReason, Counter>,
    retries_denied: Counter,
    probes: Family<Reason, Counter>,
    spilled: Family<Centre, Counter>,
    link_bytes: Family<Far, Counter>,
    /// Ejections of slow servers.
    pub ejections: Counter,
    /// Slots borrowed from other entries.
    pub loans: Counter,
    /// Slots that requests of this entry use now, lent ones included.
    pub slots_in_use: Gauge,
}

impl Metrics {
    /// Registers all counters; each reason is shown from the start with the value 0.
    pub fn register(&self, registry: &mut Registry) {
        for reason in Refusal::ALL {
            drop(self.not_run.get_or_create(&Reason {
                reason: reason.as_str(),
            }));
        }
        for reason in Uncertainty::ALL {
            drop(self.unknown.get_or_create(&Reason {
                reason: reason.as_str(),
            }));
        }
        for reason in RetryReason::ALL {
            drop(self.retries.get_or_create(&Reason {
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

    /// Counts a request id that another VM is asked about.
    pub fn record_claim_query(&self) {
        self.asked.inc();
    }

    /// Counts a request that was interrupted by a crash of its server.
    pub fn record_crash(&self) {
        self.crashes.inc();
    }

    /// Counts a suspected request that is passed on.
    pub fn record_passed(&self) {
        self.passed.inc();
    }

    /// Counts a trial run.
    pub fn record_trial(&self) {
        self.trials.inc();
    }

    /// Counts a request that was paid for.
    pub fn record_spent(&self, workspace: &str) {
        self.spent.get_or_create(&tenant(workspace)).inc();
    }

    /// Counts tokens that came from another VM.
    pub fn record_borrowed(&self, workspace: &str, tokens: Amount) {
        let counter = self.borrowed.get_or_create(&tenant(workspace));
        counter.inc_by(tokens as f64 / TOKEN as f64);
    }

    /// Counts tokens that went to another VM.
    pub fn record_lent(&self, workspace: &str, tokens: Amount) {
        let counter = self.lent.get_or_create(&tenant(workspace));
        counter.inc_by(tokens as f64 / TOKEN as f64);
    }

    /// Counts a refusal of a workspace's request.
    pub fn record_refusal(&self, workspace: &str, reason: Refusal) {
        let workspace = workspace.into();
        let reason = reason.as_str();
        let labels = TenantReason { workspace, reason };
        self.refused.get_or_create(&labels).inc();
    }

    /// Counts a renewal by its result.
    pub fn record_renewal(&self, workspace: &str, reason: &'static str) {
        let workspace = workspace.into();
        let labels = TenantReason { workspace, reason };
        self.renewals.get_or_create(&labels).inc();
    }

    /// Counts a retry that the budget does not allow.
    pub fn record_denied_retry(&self) {
        self.retries_denied.inc();
    }

    /// Counts a probe.
    pub fn record_probe(&self, answered: bool) {
        let reason = if answered { "answered" } else { "failed" };
        self.probes.get_or_create(&Reason { reason }).inc();
    }

    /// Counts a request sent to another data centre.
    pub fn record_spilled(&self, data_centre: &str) {
        let data_centre = data_centre.into();
        self.spilled.get_or_create(&Centre { data_centre }).inc();
    }

    /// Counts bytes exchanged with another region.
    pub fn record_link_bytes(&self, region: &str, bytes: usize) {
        let region = region.into();
        let counter = self.link_bytes.get_or_create(&Far { region });
        counter.inc_by(bytes as u64);
    }

    /// Counts a retry.
    pub fn record_retry(&self, retry: RetryReason) {
        self.retries
            .get_or_create(&Reason {
                reason: retry.as_str(),
            })
            .inc();
    }

    /// Counts what became of a request.
    pub fn record_outcome(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Served | Outcome::ServedBefore => self.served.inc(),
            Outcome::NotRun(proof) => self
                .not_run
                .get_or_create(&Reason {
                    reason: proof.reason().as_str(),
                })
                .inc(),
            Outcome::Unknown(cause) => self
                .unknown
                .get_or_create(&Reason {
                    reason: cause.as_str(),
                })
                .inc(),
        };
    }
}

fn tenant(workspace: &str) -> Tenant {
    Tenant {
        workspace: workspace.into(),
    }
}
