//! Exchange of ejections and readmissions between the VMs of a data centre.

use super::{OutlierDetector, State};
use base::id::Server;
use std::time::{Duration, Instant};

/// Time by which a VM postpones its probe of an ejected server after the probe of another VM.
///
/// It covers two exchanges, so that VMs whose probes would coincide don't all send one.
const PROBE_DEFERRAL: Duration = Duration::from_millis(600);

base::message! {
    /// Ejection or readmission of one server, as sent to the other VMs of its data centre.
    pub struct Verdict {
        /// Backend server.
        pub server: Server,
        /// Time since the ejection or the readmission.
        pub age: Duration,
        /// Details of the ejection, if it is ejected.
        pub ejected: Option<Ejection>,
    }

    /// Details of an ejection.
    pub struct Ejection {
        /// Latency in seconds above which an answer is slow.
        pub limit: f64,
        /// Time since the last probe request to the server.
        pub idle: Duration,
    }
}

impl OutlierDetector {
    /// Returns the ejections and readmissions, for the other VMs of the data centre.
    pub fn verdicts(&self, now: Instant) -> Vec<Verdict> {
        let verdict = |(server, state): (&Server, &State)| {
            let (since, ejected) = match state {
                State::Regular => return None,
                State::Recovering { since } => (since, None),
                State::Ejected {
                    since,
                    limit,
                    last_probe,
                    ..
                } => {
                    let idle = now.saturating_duration_since(*last_probe);
                    let limit = *limit;
                    (since, Some(Ejection { limit, idle }))
                }
            };
            Some(Verdict {
                server: server.clone(),
                age: now.saturating_duration_since(*since),
                ejected,
            })
        };
        self.states.iter().filter_map(verdict).collect()
    }

    /// Applies the verdicts of another VM of the data centre that are newer than the own ones.
    ///
    /// With few requests, one VM detects a slow server or its recovery earlier than the others, and
    /// probes by each of them would be a large part of the server's former load.
    pub fn merge_verdicts(&mut self, verdicts: impl IntoIterator<Item = Verdict>, now: Instant) {
        for verdict in verdicts {
            let at = now.checked_sub(verdict.age).unwrap_or(now);
            let state = self.states.get(&verdict.server).cloned();
            match (state, verdict.ejected) {
                (Some(State::Ejected { since, .. }), None) if at > since => {
                    self.readmit(&verdict.server, at);
                }
                (Some(State::Ejected { .. }), Some(finding)) => {
                    self.defer(&verdict.server, finding.idle, now);
                }
                (Some(State::Recovering { since }), Some(finding)) if at > since => {
                    self.eject(&verdict.server, finding.limit, now);
                    self.defer(&verdict.server, finding.idle, now);
                }
                (Some(State::Regular), Some(finding)) => {
                    self.eject(&verdict.server, finding.limit, now);
                    self.defer(&verdict.server, finding.idle, now);
                }
                _ => {}
            }
        }
    }

    fn defer(&mut self, server: &str, idle: Duration, now: Instant) {
        if let Some(State::Ejected {
            next_probe,
            probe_interval,
            good: 0,
            last_probe,
            ..
        }) = self.states.get_mut(server)
        {
            let last = now.checked_sub(idle).unwrap_or(now);
            if last > *last_probe {
                *next_probe = (*next_probe).max(last + *probe_interval + PROBE_DEFERRAL);
            }
        }
    }
}
