//! Planned removal of backend servers and data centres.

use super::fleet::{Fleet, Refusal, check};
use base::clock::Millis;
use base::id::{DataCentre, Operation, Server, Service};
use indexmap::{IndexMap, IndexSet};

base::value! {
    /// Settings of drains.
    #[derive(Copy)]
    pub struct Settings {
        /// Capacity that must remain beyond the demand, as a fraction of the demand.
        pub headroom: f64,
        /// Largest number of servers that leave at the same time, over all drains. Their requests
        /// move to servers with cold caches, so only a few may leave at once.
        pub max_parallel: usize,
        /// Time after which a leaving server that still has requests is reported as overdue.
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
        /// Still gets new work.
        Waiting,
        /// Gets no new work, but may still have requests in flight.
        Leaving {
            /// Time since which it gets no new work.
            since: Millis,
            /// Time after which it is overdue.
            until: Millis,
        },
        /// Has no request in flight.
        Done {
            /// Time since which it got no new work.
            since: Millis,
            /// Time at which no request was in flight any more.
            at: Millis,
        },
    }

    /// Progress of one drain.
    pub struct Report {
        /// Servers of the drain.
        pub servers: usize,
        /// Servers without requests in flight.
        pub done: usize,
        /// Servers that still have requests in flight although they are overdue.
        pub overdue: Vec<Server>,
        /// Time from the drain request until all servers were done; none before.
        pub took: Option<Millis>,
    }

    /// All accepted drains.
    ///
    /// They are stored in one table row: if two drains are accepted at the same time, the second
    /// write fails, and its drain is checked again together with the first one.
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
    /// Accepts a drain with the operation's id. If a drain has this id already, nothing changes.
    ///
    /// # Errors
    ///
    /// Returns why the drain is refused; the plan is unchanged then.
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
        let mut selected = IndexSet::new();
        for target in targets {
            let before = selected.len();
            selected.extend(fleet.servers.iter().filter_map(|(name, spec)| {
                let is_match = match target {
                    Target::Server(server) => server == name,
                    Target::DataCentre(data_centre) => *data_centre == spec.data_centre,
                };
                is_match.then_some(name)
            }));
            if selected.len() == before {
                return Err(Refusal::Unknown(target.clone()));
            }
        }
        check(fleet, settings.headroom, |name| {
            !selected.contains(name) && !self.is_drained(name)
        })?;
        let servers = interleave_services(fleet, &selected);
        let drain = Drain {
            asked: now,
            servers,
        };
        self.drains.insert(operation, drain);
        Ok(())
    }

    /// Advances all drains and returns the servers that get no new work from now on.
    ///
    /// `in_flight` returns how many requests of all VMs a server still runs, or `None` if the
    /// server is gone.
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

    /// Returns whether no drain keeps the server from new work.
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

    /// Removes a drain, finished or not; its servers may get new work again once they are healthy.
    pub fn remove(&mut self, operation: &str) -> bool {
        self.drains.shift_remove(operation).is_some()
    }

    /// Returns whether an accepted drain includes the server, whatever its progress.
    fn is_drained(&self, server: &str) -> bool {
        self.drains
            .values()
            .any(|drain| drain.servers.contains_key(server))
    }
}

/// Orders servers so that services alternate and none loses several servers in a row.
fn interleave_services(fleet: &Fleet, selected: &IndexSet<&Server>) -> IndexMap<Server, Progress> {
    let mut ranks: IndexMap<&Service, usize> = IndexMap::new();
    let mut order: Vec<(usize, &Server)> = selected
        .iter()
        .map(|name| {
            let rank = ranks.entry(&fleet.servers[*name].service).or_default();
            *rank += 1;
            (*rank, *name)
        })
        .collect();
    order.sort_by_key(|(rank, _)| *rank);
    order
        .into_iter()
        .map(|(_, name)| (name.clone(), Progress::Waiting))
        .collect()
}
