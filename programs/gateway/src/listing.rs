//! List of registered servers as VMs pass it on: whole at first, then what changed.

use base::id::{Incarnation, Server};
use indexmap::IndexMap;
use std::time::Instant;
use steering::routing::Registration;

/// Most servers that left which are remembered; who misses more gets the whole list.
const LEFT: usize = 512;

base::message! {
    /// Position in the changes that one run of a VM counted.
    #[derive(Copy, Eq)]
    pub struct Position {
        /// Run of the VM.
        pub run: Incarnation,
        /// Number of the change.
        pub number: u64,
    }

    /// What changed since a position.
    pub struct Delta {
        /// Position after the changes.
        pub position: Position,
        /// Whether the servers are all there are.
        pub is_whole: bool,
        /// Servers that changed; none for those that left.
        pub servers: Vec<(Server, Option<Registration>)>,
    }
}

/// Registered servers, and when each changed.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    servers: IndexMap<Server, (u64, Registration)>,
    left: IndexMap<Server, u64>,
    number: u64,
    /// Changes up to this number are no longer all known.
    forgotten: u64,
    /// Position in the changes of the VM that the list came from last.
    pub followed: Option<Position>,
    /// When the list was last read from the store, here or by the VM that it came from.
    pub read: Option<Instant>,
}

impl Listing {
    /// Returns the number of the newest change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the registered servers.
    pub fn registrations(&self) -> Vec<Registration> {
        self.servers.values().map(|(_, r)| r.clone()).collect()
    }

    /// Takes in the whole list.
    pub fn replace<'a>(&mut self, listed: impl IntoIterator<Item = &'a Registration>) {
        let mut left = std::mem::take(&mut self.servers);
        for registration in listed {
            let before = left.swap_remove(&registration.server);
            let number = match before {
                Some((number, known)) if is_alike(&known, registration) => number,
                _ => {
                    self.number += 1;
                    self.number
                }
            };
            self.left.shift_remove(&registration.server);
            let entry = (number, registration.clone());
            self.servers.insert(registration.server.clone(), entry);
        }
        for server in left.into_keys() {
            self.number += 1;
            self.left.insert(server, self.number);
        }
        while self.left.len() > LEFT {
            if let Some((_, number)) = self.left.shift_remove_index(0) {
                self.forgotten = self.forgotten.max(number);
            }
        }
    }

    /// Returns the position of the newest change in the run `own`.
    pub fn position(&self, own: Incarnation) -> Position {
        Position {
            run: own,
            number: self.number,
        }
    }

    /// Returns what changed since a position; none if not all of it is known.
    pub fn since(&self, position: Position, own: Incarnation) -> Option<Delta> {
        if position.run != own || position.number < self.forgotten {
            return None;
        }
        let after = position.number;
        let left = self.left.iter().filter(|(_, number)| **number > after);
        let left = left.map(|(server, _)| (server.clone(), None));
        Some(Delta {
            position: self.position(own),
            is_whole: false,
            servers: self.listed(after).chain(left).collect(),
        })
    }

    /// Returns the whole list.
    pub fn whole(&self, own: Incarnation) -> Delta {
        Delta {
            position: self.position(own),
            is_whole: true,
            servers: self.listed(0).collect(),
        }
    }

    /// Returns the servers that changed after a number.
    fn listed(&self, after: u64) -> impl Iterator<Item = (Server, Option<Registration>)> {
        let servers = self.servers.iter();
        servers
            .filter(move |(_, (number, _))| *number > after)
            .map(|(server, (_, r))| (server.clone(), Some(r.clone())))
    }

    /// Returns the whole list after changes of another VM.
    pub fn with(&self, delta: Delta) -> Vec<Registration> {
        let mut servers: IndexMap<Server, Registration> = match delta.is_whole {
            true => IndexMap::new(),
            false => self
                .registrations()
                .into_iter()
                .map(|r| (r.server.clone(), r))
                .collect(),
        };
        for (server, registration) in delta.servers {
            match registration {
                Some(registration) => servers.insert(server, registration),
                None => servers.swap_remove(&server),
            };
        }
        servers.into_values().collect()
    }
}

/// Whether two reports of a server differ in nothing but their number. A server that cools down
/// is alike; one that turned cold is not.
fn is_alike(known: &Registration, new: &Registration) -> bool {
    let turned_cold = new.warmup_left > known.warmup_left;
    let same = Registration {
        sequence: known.sequence,
        warmup_left: known.warmup_left,
        ..new.clone()
    };
    !turned_cold && *known == same
}
