//! Connections that wait for a request, by how long they have.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Number of a connection.
type Id = u64;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Activity {
    /// It has had no request since its start.
    Fresh(Instant),
    /// A request is being answered.
    Busy,
    /// It has waited for a further request since then.
    Resting(Instant),
}

impl Activity {
    fn waits_since(self) -> Option<Instant> {
        match self {
            Self::Fresh(since) | Self::Resting(since) => Some(since),
            Self::Busy => None,
        }
    }
}

#[derive(Debug)]
struct Entry {
    activity: Activity,
    close: Arc<Notify>,
}

/// Open connections of a server.
#[derive(Debug, Clone, Default)]
pub(super) struct Connections(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    last: Id,
    /// A standard map: `base` keeps to the dependencies in the lock file of `review/harness`.
    entries: BTreeMap<Id, Entry>,
}

/// One open connection; leaves the others when it is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection {
    id: Id,
    others: Connections,
    /// Told when the connection is to give way.
    pub(super) close: Arc<Notify>,
}

impl Connections {
    /// Adds a connection.
    pub(super) fn open(&self, now: Instant) -> OpenConnection {
        let close = Arc::new(Notify::new());
        let mut state = lock(&self.0);
        state.last += 1;
        let id = state.last;
        let entry = Entry {
            activity: Activity::Fresh(now),
            close: close.clone(),
        };
        state.entries.insert(id, entry);
        drop(state);
        OpenConnection {
            id,
            others: self.clone(),
            close,
        }
    }

    /// Closes the connection that has waited longest for a request, if any waits.
    pub(super) fn close_longest_waiting(&self) {
        let state = lock(&self.0);
        let waiting = state.entries.values();
        let waiting = waiting.filter_map(|entry| Some((entry.activity.waits_since()?, entry)));
        if let Some((_, entry)) = waiting.min_by_key(|(since, _)| *since) {
            entry.close.notify_one();
        }
    }

    /// Closes the connections that have rested for longer than `limit`.
    pub(super) fn close_rested(&self, limit: Duration, now: Instant) {
        for entry in lock(&self.0).entries.values() {
            let Activity::Resting(since) = entry.activity else {
                continue;
            };
            if now.saturating_duration_since(since) > limit {
                entry.close.notify_one();
            }
        }
    }

    fn set(&self, id: Id, activity: Activity) {
        if let Some(entry) = lock(&self.0).entries.get_mut(&id) {
            entry.activity = activity;
        }
    }
}

/// Request that a connection answers.
#[derive(Debug)]
pub(super) struct Answering {
    id: Id,
    connections: Connections,
}

impl Drop for Answering {
    fn drop(&mut self) {
        let since = Instant::now();
        self.connections.set(self.id, Activity::Resting(since));
    }
}

impl OpenConnection {
    /// Returns what begins a request of this connection.
    pub(super) fn answering(&self) -> impl Fn() -> Answering + Clone + Send + Sync + 'static {
        let (id, connections) = (self.id, self.others.clone());
        move || {
            connections.set(id, Activity::Busy);
            Answering {
                id,
                connections: connections.clone(),
            }
        }
    }

    /// Returns whether the connection has had no request since its start.
    pub(super) fn is_fresh(&self) -> bool {
        let state = lock(&self.others.0);
        let entry = state.entries.get(&self.id);
        entry.is_some_and(|entry| matches!(entry.activity, Activity::Fresh(_)))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        lock(&self.others.0).entries.remove(&self.id);
    }
}
