//! State of the stand-in: rows, objects and the history of the VM list.

use bytes::Bytes;
use platform::list::{List, State};
use platform::table::{Row, Write};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Most versions of the list that are kept; older ones can't be returned.
const MAX_LIST_VERSIONS: usize = 1024;

/// Rows, objects and the VM list.
#[derive(Debug)]
pub struct Store {
    rows: BTreeMap<Box<str>, Row>,
    objects: BTreeMap<Box<str>, Bytes>,
    lists: VecDeque<(Instant, List)>,
    reads: u64,
    writes: u64,
}

base::message! {
    /// Number of calls since the start.
    pub struct Calls {
        /// Reads of rows, objects and the list.
        pub reads: u64,
        /// Writes of rows and objects.
        pub writes: u64,
    }

    /// Change of a machine's state in the list.
    #[serde(deny_unknown_fields)]
    pub struct Change {
        /// Name of the VM or backend server.
        pub name: Box<str>,
        /// New state; absent removes the machine from the list.
        pub state: Option<State>,
    }
}

impl Store {
    /// Makes a store with an empty table and this list.
    pub fn new(list: List, now: Instant) -> Self {
        Self {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            lists: VecDeque::from([(now, list)]),
            reads: 0,
            writes: 0,
        }
    }

    /// Reads a row.
    pub fn read(&mut self, key: &str) -> Option<Row> {
        self.reads += 1;
        self.rows.get(key).cloned()
    }

    /// Reads the rows whose key starts with `prefix`.
    pub fn scan(&mut self, prefix: &str) -> Vec<Row> {
        self.reads += 1;
        let from = self.rows.range(Box::<str>::from(prefix)..);
        from.take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Writes a row if it has the expected version.
    ///
    /// # Errors
    ///
    /// Returns the version in the table if it differs.
    pub fn write(&mut self, key: &str, write: Write) -> Result<u64, u64> {
        self.writes += 1;
        let version = self.rows.get(key).map_or(0, |row| row.version);
        if version != write.expected {
            return Err(version);
        }
        let version = version + 1;
        let Write {
            operation, value, ..
        } = write;
        self.rows.insert(
            key.into(),
            Row {
                key: key.into(),
                version,
                operation,
                value,
            },
        );
        Ok(version)
    }

    /// Stores an object.
    pub fn put(&mut self, hash: &str, bytes: Bytes) {
        self.writes += 1;
        self.objects.insert(hash.into(), bytes);
    }

    /// Fetches an object.
    pub fn get(&mut self, hash: &str) -> Option<Bytes> {
        self.reads += 1;
        self.objects.get(hash).cloned()
    }

    /// Returns the list as it was `lag` ago.
    pub fn list(&mut self, now: Instant, lag: Duration) -> List {
        self.reads += 1;
        let old_enough = self.lists.iter().rev().find(|(at, _)| *at + lag <= now);
        old_enough
            .or(self.lists.front())
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    /// Changes a machine's state in the list.
    pub fn change(&mut self, change: &Change, now: Instant) {
        let mut list = self
            .lists
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        list.nodes
            .retain(|n| n.name != change.name || change.state.is_some());
        list.backends
            .retain(|b| b.name != change.name || change.state.is_some());
        if let Some(state) = change.state {
            list.nodes
                .iter_mut()
                .filter(|n| n.name == change.name)
                .for_each(|n| n.state = state);
            let backends = list.backends.iter_mut();
            backends
                .filter(|b| b.name == change.name)
                .for_each(|b| b.state = state);
        }
        self.lists.push_back((now, list));
        if self.lists.len() > MAX_LIST_VERSIONS {
            self.lists.pop_front();
        }
    }

    /// Returns the number of calls since the start.
    pub fn calls(&self) -> Calls {
        Calls {
            reads: self.reads,
            writes: self.writes,
        }
    }
}
