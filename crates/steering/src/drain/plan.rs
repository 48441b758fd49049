//! Drains of backend servers and data centres.

use super::fleet::{Fleet, Refusal, check};
use base::clock::Millis;
use base::id::{DataCentre, Operation, Server, Service};
use indexmap::{IndexMap, IndexSet};

base::value! {
    /// Settings of drains.
    #[derive(Copy)]
    pub struct Settings {
        /// Capacity that must remain beyond the demand, as a part of the demand.
        pub headroom: f64,
        /// Servers that leave at the same time, over all drains. A leaving server's work moves to
        /// servers with cold caches; a few at a time keep that small.
        pub max_parallel: usize,
        /// Time after which a server that still has requests is reported as overdue.
        pub overdue_after: Millis,
    }
}

base::message! {
    /// What an operator drains.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Target {
        /// One backend server.
        Server(Server),
        /// All backend servers of a data centre.
        DataCentre(DataCentre),
    }

    /// Progress of one server.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Progress {
        /// Still gets work.
        Waiting,
        /// Gets no new work.
        Leaving {
            /// Time since which it gets none.
            since: Millis,
            /// Time after which it is overdue.
            until: Millis,
        },
        /// Has no request in flight.
        Done {
            /// Time since which it got no new work.
            since: Millis,
            /// Time at which its last request had finished.
            at: Millis,
        },
    }

    /// Progress of one drain.
    pub struct Report {
        /// Servers of the drain.
        pub servers: usize,
        /// Servers without work.
        pub done: usize,
        /// Servers that still have requests after their time.
        pub overdue: Vec<Server>,
        /// Time from the request to the last server's last request, once all are done.
        pub took: Option<Millis>,
    }

    /// All drains that are accepted.
    ///
    /// It is the content of one table row. Of two drains that are accepted at the same time, the
    /// second write fails and its drain is checked again with the first one counted.
    #[derive(Default)]
    pub struct Plan {
        drains: IndexMap<Operation, Drain>,
    }

    /// One drain.
    struct Drain {
        asked: Millis,
        servers: IndexMap<Server, Progress>,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            headroom: 0.2,
            max_parallel: 2,
            overdue_after: 120_000,
        }
    }
}

impl Plan {
    /// Accepts a drain under the operation's id; an id that is already accepted changes nothing.
    ///
    /// # Errors
    ///
    /// Returns why the drain is refused; nothing has changed then.
    pub fn accept(
        &mut self,
        now: Millis,
        operation: Operation,
        targets: &[Target],
        fleet: &Fleet,
        settings: &Settings,
    ) -> Result<(), Refusal> {
        if self.drains.contains_key(&operation) {
            return Ok(());
        }
        let mut chosen = IndexSet::new();
        for target in targets {
            let before = chosen.len();
            chosen.extend(fleet.servers.iter().filter_map(|(name, spec)| {
                let hit = match target {
                    Target::Server(server) => server == name,
                    Target::DataCentre(place) => *place == spec.data_centre,
                };
                hit.then_some(name)
            }));
            if chosen.len() == before {
                return Err(Refusal::Unknown(target.clone()));
            }
        }
        check(fleet, settings.headroom, |name| {
            !chosen.contains(name) && !self.drained(name)
        })?;
        let servers = in_turn(fleet, &chosen);
        let drain = Drain {
            asked: now,
            servers,
        };
        self.drains.insert(operation, drain);
        Ok(())
    }

    /// Moves the drains on and returns the servers that get no new work from now on.
    ///
    /// `in_flight` returns the requests that a server still runs for any VM, or none if the server
    /// is gone.
    pub fn advance(
        &mut self,
        now: Millis,
        settings: &Settings,
        in_flight: impl Fn(&str) -> Option<u32>,
    ) -> Vec<Server> {
        let mut leaving = 0;
        for (server, progress) in self.drains.values_mut().flat_map(|d| &mut d.servers) {
            if let Progress::Leaving { since, .. } = *progress {
                if in_flight(server).unwrap_or(0) == 0 {
                    *progress = Progress::Done { since, at: now };
                } else {
                    leaving += 1;
                }
            }
        }
        let until = now + settings.overdue_after;
        let begun = Progress::Leaving { since: now, until };
        self.drains
            .values_mut()
            .flat_map(|drain| &mut drain.servers)
            .filter(|(_, progress)| **progress == Progress::Waiting)
            .take(settings.max_parallel.saturating_sub(leaving))
            .map(|(server, progress)| {
                *progress = begun;
                server.clone()
            })
            .collect()
    }

    /// Returns whether a server may get new work as far as the drains are concerned.
    pub fn may_start(&self, server: &str) -> bool {
        self.drains
            .values()
            .filter_map(|drain| drain.servers.get(server))
            .all(|progress| *progress == Progress::Waiting)
    }

    /// Returns the ids of all drains.
    pub fn operations(&self) -> impl Iterator<Item = &Operation> {
        self.drains.keys()
    }

    /// Returns the servers that get no new work because of a drain.
    pub fn stopped_servers(&self) -> impl Iterator<Item = &Server> {
        let servers = self.drains.values().flat_map(|drain| &drain.servers);
        servers
            .filter(|(_, progress)| **progress != Progress::Waiting)
            .map(|(server, _)| server)
    }

    /// Returns the progress of a drain.
    pub fn report(&self, operation: &str, now: Millis) -> Option<Report> {
        let drain = self.drains.get(operation)?;
        let ends: Vec<Millis> = drain
            .servers
            .values()
            .filter_map(|progress| match progress {
                Progress::Done { at, .. } => Some(*at),
                _ => None,
            })
            .collect();
        let overdue = drain.servers.iter().filter(
            |(_, progress)| matches!(progress, Progress::Leaving { until, .. } if *until <= now),
        );
        let all = ends.len() == drain.servers.len();
        Some(Report {
            servers: drain.servers.len(),
            done: ends.len(),
            overdue: overdue.map(|(server, _)| server.clone()).collect(),
            took: ends
                .iter()
                .max()
                .filter(|_| all)
                .map(|at| at.saturating_sub(drain.asked)),
        })
    }

    /// Ends a drain, finished or not; its servers may get work again once their health says so.
    pub fn remove(&mut self, operation: &str) -> bool {
        self.drains.shift_remove(operation).is_some()
    }

    /// Returns whether a drain of the server is accepted, whatever its progress.
    fn drained(&self, server: &str) -> bool {
        self.drains
            .values()
            .any(|drain| drain.servers.contains_key(server))
    }
}

/// Orders servers so that services take turns and none loses several servers in a row.
fn in_turn(fleet: &Fleet, chosen: &IndexSet<&Server>) -> IndexMap<Server, Progress> {
    let mut turns: IndexMap<&Service, usize> = IndexMap::new();
    let mut order: Vec<(usize, &Server)> = chosen
        .iter()
        .map(|name| {
            let turn = turns.entry(&fleet.servers[*name].service).or_default();
            *turn += 1;
            (*turn, *name)
        })
        .collect();
    order.sort_by_key(|(turn, _)| *turn);
    order
        .into_iter()
        .map(|(_, name)| (name.clone(), Progress::Waiting))
        .collect()
}
