//! Counters of the entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use steering::attempt::{Outcome, Refusal, Retry, Uncertainty};

/// Label of a reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

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
                reason: reason.text(),
            }));
        }
        for reason in Uncertainty::ALL {
            drop(self.unknown.get_or_create(&Reason {
                reason: reason.text(),
            }));
        }
        for reason in Retry::ALL {
            drop(self.retries.get_or_create(&Reason {
                reason: reason.text(),
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

    /// Counts a retry that the budget does not allow.
    pub fn denied(&self) {
        self.retries_denied.inc();
    }

    /// Counts a probe.
    pub fn probed(&self, answered: bool) {
        let reason = if answered { "answered" } else { "failed" };
        self.probes.get_or_create(&Reason { reason }).inc();
    }

    /// Counts a request sent to another data centre.
    pub fn spilled(&self, data_centre: &str) {
        let data_centre = data_centre.into();
        self.spilled.get_or_create(&Centre { data_centre }).inc();
    }

    /// Counts bytes exchanged with another region.
    pub fn link_bytes(&self, region: &str, bytes: usize) {
        let region = region.into();
        let counter = self.link_bytes.get_or_create(&Far { region });
        counter.inc_by(bytes as u64);
    }

    /// Counts a retry.
    pub fn retry(&self, retry: Retry) {
        self.retries
            .get_or_create(&Reason {
                reason: retry.text(),
            })
            .inc();
    }

    /// Counts what became of a request.
    pub fn outcome(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Served | Outcome::ServedBefore => self.served.inc(),
            Outcome::NotRun(proof) => self
                .not_run
                .get_or_create(&Reason {
                    reason: proof.reason().text(),
                })
                .inc(),
            Outcome::Unknown(cause) => self
                .unknown
                .get_or_create(&Reason {
                    reason: cause.text(),
                })
                .inc(),
        };
    }
}
