//! Registered backend servers, from reports that may be late, duplicated, reordered or missing.

use crate::routing::Registration;
use base::id::Server;
use indexmap::{IndexMap, IndexSet};
use std::time::{Duration, Instant};

/// Time after the recovery of the store in which entries that expired meanwhile may return. The
/// platform specifies about two seconds.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_000);
/// Time for which the last report of a server that is gone is remembered; a store comes back from a
/// copy that is some seconds old.
const GONE_RETENTION: Duration = Duration::from_secs(60);

base::value! {
    /// A registered server.
    pub struct Entry {
        /// Newest report.
        pub registration: Registration,
        /// Time at which the newest report was read.
        pub read: Instant,
        /// Time until which the server is cold.
        pub cold_until: Option<Instant>,
    }

    /// Change made by an update.
    pub enum Change {
        /// A server, or a new run of a known one, is registered.
        Joined(Server),
        /// The server is leaving.
        Leaving(Server),
        /// The server is no longer registered.
        Gone(Server),
    }
}

/// Registered servers by id.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    entries: IndexMap<Server, Entry>,
    /// Time until which missing entries are kept.
    grace: Option<Instant>,
    /// Last reports of servers that are gone, with the time at which they went.
    gone: IndexMap<Server, Gone>,
    /// When the store last came back from an older copy.
    restored_at: Option<Instant>,
}

#[derive(Debug, Clone)]
struct Gone {
    born: u64,
    sequence: u64,
    at: Instant,
}

impl Registry {
    /// Returns the registered servers, those that are leaving included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Keeps missing entries for [`RECOVERY_GRACE`], since they may have expired in the outage.
    pub fn store_recovered(&mut self, now: Instant) {
        self.grace = Some(now + RECOVERY_GRACE);
    }

    /// Keeps missing entries like [`Registry::store_recovered`], since the store came back from an older
    /// copy. A report from before a server was gone no longer counts.
    pub fn store_restored(&mut self, now: Instant) {
        self.store_recovered(now);
        self.restored_at = Some(now);
    }

    /// Applies the complete list of reports that was read from the store and returns the changes.
    pub fn update(&mut self, listed: Vec<Registration>, now: Instant) -> Vec<Change> {
        let is_kept = self.grace.is_some_and(|until| now < until);
        self.apply(listed, is_kept, now)
    }

    /// Applies the complete list of another registry and returns the changes. Entries that it lacks
    /// are not kept: that registry keeps what may return, and names each removal only once.
    pub fn follow(&mut self, listed: Vec<Registration>, now: Instant) -> Vec<Change> {
        self.apply(listed, false, now)
    }

    fn apply(&mut self, mut listed: Vec<Registration>, is_kept: bool, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut present = IndexSet::with_capacity(listed.len());
        let restored_at = self.restored_at;
        let is_outdated = |new: &Registration| {
            let gone = self.gone.get(&new.server);
            gone.is_some_and(|gone| {
                restored_at.is_some_and(|at| gone.at <= at)
                    && (gone.born, gone.sequence) >= (new.born, new.sequence)
            })
        };
        listed.retain(|new| !is_outdated(new));
        for registration in listed {
            present.insert(registration.server.clone());
            self.apply_report(registration, now, &mut changes);
        }
        self.entries.retain(|server, entry| {
            let kept = is_kept && !entry.registration.leaving;
            let stays = kept || present.contains(server);
            if !stays {
                changes.push(Change::Gone(server.clone()));
                let Registration { born, sequence, .. } = entry.registration;
                let gone = Gone {
                    born,
                    sequence,
                    at: now,
                };
                self.gone.insert(server.clone(), gone);
            }
            stays
        });
        self.gone
            .retain(|_, gone| now.saturating_duration_since(gone.at) < GONE_RETENTION);
        changes
    }

    fn apply_report(&mut self, mut new: Registration, now: Instant, changes: &mut Vec<Change>) {
        let known = self.entries.get_mut(&new.server);
        if let Some(entry) = known.filter(|entry| entry.registration.born >= new.born) {
            let old = &mut entry.registration;
            // A report of an earlier run, or a reordered one.
            if old.born > new.born || old.sequence > new.sequence {
                return;
            }
            if new.leaving && !old.leaving {
                changes.push(Change::Leaving(new.server.clone()));
            }
            // A server that is leaving doesn't return in the same run.
            new.leaving |= old.leaving;
            if new.sequence > old.sequence {
                entry.read = now;
                entry.cold_until = cold_until(&new, now);
            }
            *old = new;
            return;
        }
        changes.push(match new.leaving {
            true => Change::Leaving(new.server.clone()),
            false => Change::Joined(new.server.clone()),
        });
        let entry = Entry {
            read: now,
            cold_until: cold_until(&new, now),
            registration: new,
        };
        self.entries
            .insert(entry.registration.server.clone(), entry);
    }
}

fn cold_until(registration: &Registration, now: Instant) -> Option<Instant> {
    (!registration.warmup_left.is_zero()).then(|| now + registration.warmup_left)
}
