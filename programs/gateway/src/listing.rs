//! List of registered servers that VMs pass on: in full to a VM that has none, as changes to one
//! that follows, and as the difference to one that followed another VM.

use base::id::{Incarnation, Server};
use indexmap::{IndexMap, IndexSet};
use std::time::Instant;
use steering::affinity::{self, Digest};
use steering::routing::Registration;

/// Maximum number of removed servers that are remembered; a VM that missed more gets the full list.
const MAX_REMOVED: usize = 512;

base::message! {
    /// Position in the numbered changes of one run of a VM.
    #[derive(Copy, Eq)]
    pub struct Position {
        /// Run of the VM.
        pub run: Incarnation,
        /// Number of the last change.
        pub number: u64,
    }

    /// Changes since a position.
    pub struct Delta {
        /// Position after the changes.
        pub position: Position,
        /// Whether `servers` is the full list.
        pub is_whole: bool,
        /// Servers that changed; none for removed ones.
        pub servers: Vec<(Server, Option<Registration>)>,
    }
}

base::message! {
    /// Difference between the lists of two VMs.
    pub struct Difference {
        /// Position of the sender.
        pub position: Position,
        /// Servers that the receiver lacks or knows otherwise.
        pub servers: Vec<Registration>,
        /// Digests of the receiver's entries that the sender lacks.
        pub dropped: Vec<Digest>,
    }
}

/// A registered server.
#[derive(Debug, Clone)]
struct Entry {
    /// Number of its last change.
    number: u64,
    /// Digest of its content.
    digest: Digest,
    registration: Registration,
}

/// Registered servers with the number of the last change of each.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    servers: IndexMap<Server, Entry>,
    removed: IndexMap<Server, u64>,
    number: u64,
    /// Number of the newest removal that was forgotten; older positions get the full list.
    forgotten: u64,
    /// Position in the changes of the VM that the list came from; none if read from the store.
    pub source_position: Option<Position>,
    /// When the list was last read from the store, here or by the VM that it came from.
    pub read_at: Option<Instant>,
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
        let entries = self.servers.values();
        entries.map(|entry| entry.registration.clone()).collect()
    }

    /// Replaces the list and numbers what changed.
    pub fn replace<'a>(&mut self, listed: impl IntoIterator<Item = &'a Registration>) {
        let mut previous = std::mem::take(&mut self.servers);
        for registration in listed {
            let before = previous.swap_remove(&registration.server);
            let (number, digest) = match before {
                Some(entry) if is_unchanged(&entry.registration, registration) => {
                    (entry.number, entry.digest)
                }
                _ => {
                    self.number += 1;
                    (self.number, content_digest(registration))
                }
            };
            self.removed.shift_remove(&registration.server);
            let entry = Entry {
                number,
                digest,
                registration: registration.clone(),
            };
            self.servers.insert(registration.server.clone(), entry);
        }
        for server in previous.into_keys() {
            self.number += 1;
            self.removed.insert(server, self.number);
        }
        while self.removed.len() > MAX_REMOVED {
            if let Some((_, number)) = self.removed.shift_remove_index(0) {
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

    /// Returns the changes since a position; none if not all of them are known.
    pub fn since(&self, position: Position, own: Incarnation) -> Option<Delta> {
        if position.run != own || position.number < self.forgotten {
            return None;
        }
        let after = position.number;
        let removed = self.removed.iter().filter(|(_, number)| **number > after);
        let removed = removed.map(|(server, _)| (server.clone(), None));
        Some(Delta {
            position: self.position(own),
            is_whole: false,
            servers: self.changed(after).chain(removed).collect(),
        })
    }

    /// Returns the full list.
    pub fn full(&self, own: Incarnation) -> Delta {
        Delta {
            position: self.position(own),
            is_whole: true,
            servers: self.changed(0).collect(),
        }
    }

    /// Returns the registered servers that changed after a number.
    fn changed(&self, after: u64) -> impl Iterator<Item = (Server, Option<Registration>)> {
        let servers = self.servers.iter();
        servers
            .filter(move |(_, entry)| entry.number > after)
            .map(|(server, entry)| (server.clone(), Some(entry.registration.clone())))
    }

    /// Returns the digests of all entries.
    pub fn digests(&self) -> Vec<Digest> {
        self.servers.values().map(|entry| entry.digest).collect()
    }

    /// Returns the difference from a list with these digests to this one.
    pub fn difference(&self, digests: &[Digest], own: Incarnation) -> Difference {
        let mut dropped: IndexSet<Digest> = digests.iter().copied().collect();
        let entries = self.servers.values();
        let lacking = entries.filter(|entry| !dropped.swap_remove(&entry.digest));
        let servers = lacking.map(|entry| entry.registration.clone()).collect();
        Difference {
            position: self.position(own),
            servers,
            dropped: dropped.into_iter().collect(),
        }
    }

    /// Returns the full list after the difference to another VM's list.
    pub fn apply_difference(&self, difference: Difference) -> Vec<Registration> {
        let dropped: IndexSet<Digest> = difference.dropped.into_iter().collect();
        let entries = self.servers.values();
        let kept = entries.filter(|entry| !dropped.contains(&entry.digest));
        let mut servers: IndexMap<Server, Registration> = kept
            .map(|entry| {
                (
                    entry.registration.server.clone(),
                    entry.registration.clone(),
                )
            })
            .collect();
        for registration in difference.servers {
            servers.insert(registration.server.clone(), registration);
        }
        servers.into_values().collect()
    }

    /// Returns the full list after the changes of another VM.
    pub fn apply(&self, delta: Delta) -> Vec<Registration> {
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

/// Returns whether two registrations of a server differ only in their sequence number or by a
/// shorter warm-up time. A longer one is a change: the server turned cold.
fn is_unchanged(known: &Registration, new: &Registration) -> bool {
    let turned_cold = new.warmup_left > known.warmup_left;
    let same = Registration {
        sequence: known.sequence,
        warmup_left: known.warmup_left,
        ..new.clone()
    };
    !turned_cold && *known == same
}

/// Returns the digest of what matters to other VMs in a registration.
fn content_digest(registration: &Registration) -> Digest {
    let Registration {
        server,
        service,
        address,
        data_centre,
        label,
        slots,
        leaving,
        warmup_left,
        sequence: _,
        born,
    } = registration;
    let is_cold = !warmup_left.is_zero();
    affinity::digest(&format!(
        "{server} {service} {address} {data_centre} {label} {slots} {leaving} {is_cold} {born}"
    ))
}
