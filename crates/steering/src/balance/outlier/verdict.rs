//! Ejections and returns that the VMs of a data centre tell each other.

use super::{Outlier, Standing};
use base::id::Server;
use std::time::{Duration, Instant};

/// Time by which a VM leaves the next trial of an ejected server to the VM that made the last one.
///
/// It covers two exchanges, so that VMs whose trials would fall together don't all make one.
const DEFERENCE: Duration = Duration::from_millis(600);

base::message! {
    /// Ejection or return of one server, as sent to the other VMs of its data centre.
    pub struct Verdict {
        /// Backend server.
        pub server: Server,
        /// Time since the ejection or the return.
        pub age: Duration,
        /// What was found, if it is ejected.
        pub ejected: Option<Finding>,
    }

    /// Why and how a server is kept out.
    pub struct Finding {
        /// Latency in seconds above which an answer is slow.
        pub limit: f64,
        /// Time since the last request that was sent to try the server.
        pub idle: Duration,
    }
}

impl Outlier {
    /// Returns the ejections and returns of servers, for the other VMs of the data centre.
    pub fn verdicts(&self, now: Instant) -> Vec<Verdict> {
        let verdict = |(server, standing): (&Server, &Standing)| {
            let (since, ejected) = match standing {
                Standing::Regular => return None,
                Standing::Recovering { since } => (since, None),
                Standing::Ejected {
                    since,
                    limit,
                    tried,
                    ..
                } => {
                    let idle = now.saturating_duration_since(*tried);
                    let limit = *limit;
                    (since, Some(Finding { limit, idle }))
                }
            };
            Some(Verdict {
                server: server.clone(),
                age: now.saturating_duration_since(*since),
                ejected,
            })
        };
        self.standing.iter().filter_map(verdict).collect()
    }

    /// Follows the verdicts of another VM of the data centre that are newer than the own ones.
    ///
    /// With few requests, one VM finds a slow server or its recovery earlier than the others, and
    /// trials by each of them are a large part of the server's former load.
    pub fn follow(&mut self, verdicts: impl IntoIterator<Item = Verdict>, now: Instant) {
        for verdict in verdicts {
            let at = now.checked_sub(verdict.age).unwrap_or(now);
            let standing = self.standing.get(&verdict.server).cloned();
            match (standing, verdict.ejected) {
                (Some(Standing::Ejected { since, .. }), None) if at > since => {
                    self.readmit(&verdict.server, at);
                }
                (Some(Standing::Ejected { .. }), Some(finding)) => {
                    self.defer(&verdict.server, finding.idle, now);
                }
                (Some(Standing::Recovering { since }), Some(finding)) if at > since => {
                    self.eject(&verdict.server, finding.limit, now);
                    self.defer(&verdict.server, finding.idle, now);
                }
                (Some(Standing::Regular), Some(finding)) => {
                    self.eject(&verdict.server, finding.limit, now);
                    self.defer(&verdict.server, finding.idle, now);
                }
                _ => {}
            }
        }
    }

    fn defer(&mut self, server: &str, idle: Duration, now: Instant) {
        if let Some(Standing::Ejected {
            due,
            trickle,
            good: 0,
            tried,
            ..
        }) = self.standing.get_mut(server)
        {
            let last = now.checked_sub(idle).unwrap_or(now);
            if last > *tried {
                *due = (*due).max(last + *trickle + DEFERENCE);
            }
        }
    }
}
