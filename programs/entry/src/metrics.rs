//! Counters of the entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use steering::attempt::{Outcome, Refusal, Retry, Uncertainty};

/// Label of a reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
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
    }

    /// Counts a request id that another VM is asked about.
    pub fn asked(&self) {
        self.asked.inc();
    }

    /// Counts a request that was interrupted by a crash of its server.
    pub fn crash(&self) {
        self.crashes.inc();
    }

    /// Counts a suspected request that is passed on.
    pub fn pass(&self) {
        self.passed.inc();
    }

    /// Counts a trial run.
    pub fn trial(&self) {
        self.trials.inc();
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
