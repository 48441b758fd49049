//! Prepared answers for the clients of each data centre.

use base::id::{DataCentre, Incarnation, Version, Vm};
use bytes::Bytes;
use callers::answer;
use indexmap::{IndexMap, IndexSet};
use operators::bundle::Bundle;
use peers::local::State;
use platform::list;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use steering::claims;
use steering::lookup::{AddressMap, Answer, Entry, map};

/// Time for which callers may use an answer, in milliseconds.
///
/// A VM that shuts down serves until the answers that name it have expired, so this value adds to
/// the time of a planned shutdown.
pub const TTL_MS: u64 = 5_000;

/// Time for which request ids under a prefix stay valid, in seconds.
///
/// Entries keep claims for 900 s; the difference allows for clocks that differ between VMs.
const ID_VALIDITY_SECONDS: u64 = 600;

/// Interval at which answers are prepared again, so that their prefixes do not expire.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(60);

type Prefixes = IndexMap<Vm, Box<str>>;

/// Prepared answers; replaced as a whole when the configuration or the list changes.
#[derive(Debug, Default)]
pub struct Index {
    version: Version,
    bundle: Option<Arc<Bundle>>,
    list: list::List,
    leaving: IndexSet<Vm>,
    map: AddressMap,
    data_centres: Vec<DataCentreAnswers>,
    home: usize,
}

/// Answers for the clients of one data centre; each one starts with another VM.
#[derive(Debug)]
struct DataCentreAnswers {
    answers: Vec<Bytes>,
}

impl Index {
    /// Prepares the successor of `self` from a state of the control process.
    ///
    /// A lower configuration version and an empty list, as from a restarted control process, are
    /// ignored.
    pub fn next(&self, state: &State, home: &str, unix_seconds: u64) -> Self {
        let newer = (state.version > self.version)
            .then(|| Bundle::parse(&state.files).ok())
            .flatten();
        let (version, bundle) = match newer {
            Some(bundle) => (state.version, Some(Arc::new(bundle))),
            None => (self.version, self.bundle.clone()),
        };
        let list = if state.list.nodes.is_empty() {
            &self.list
        } else {
            &state.list
        };
        let index = Self {
            version,
            bundle,
            list: list.clone(),
            leaving: state.leaving.clone(),
            ..Self::default()
        };
        let expires = unix_seconds + ID_VALIDITY_SECONDS;
        let prefix =
            |(vm, run): (&Vm, &Incarnation)| (vm.clone(), claims::prefix(vm, *run, expires));
        let prefixes: Prefixes = state.runs.iter().map(prefix).collect();
        index.prepare(home, &prefixes)
    }

    /// Prepares all answers.
    fn prepare(self, home: &str, prefixes: &Prefixes) -> Self {
        let Some(bundle) = self.bundle.clone() else {
            return self;
        };
        let mut index = self;
        let entries: Vec<Entry> = live(&index.list.nodes, &index.leaving).collect();
        let fleet = &bundle.fleet;
        let mut numbers: IndexMap<&DataCentre, map::Location> = IndexMap::new();
        for centre in fleet.data_centres() {
            let region = fleet.region(centre).map_or("", |region| region);
            numbers.insert(centre, index.data_centres.len() as map::Location);
            index
                .data_centres
                .push(DataCentreAnswers::build(&entries, prefixes, centre, region));
        }
        for block in &fleet.clients {
            if let Some(number) = numbers.get(&block.value.data_centre) {
                index.map.insert(block.value.block, *number);
            }
        }
        index.home = numbers
            .get(&Box::from(home))
            .map_or(0, |number| usize::from(*number));
        index
    }

    /// Returns the answer for a client, or nothing while no entry VM is known.
    pub fn answer(&self, client: IpAddr) -> Option<Bytes> {
        let number = self.map.location(client).map_or(self.home, usize::from);
        let answers = &self.data_centres.get(number)?.answers;
        answers
            .get(client_hash(client) % answers.len().max(1))
            .cloned()
    }
}

impl DataCentreAnswers {
    fn build(entries: &[Entry], prefixes: &Prefixes, centre: &str, region: &str) -> Self {
        let local = entries.iter().filter(|e| &*e.data_centre == centre).count();
        let turns = if entries.is_empty() { 0 } else { local.max(1) };
        let answers =
            (0..turns).map(|turn| encode(Answer::rank(entries, centre, region, turn), prefixes));
        Self {
            answers: answers.collect(),
        }
    }
}

/// Returns a hash of the address, to spread the clients of a data centre evenly over its VMs.
fn client_hash(client: IpAddr) -> usize {
    let bits = match client {
        IpAddr::V4(client) => u64::from(u32::from(client)),
        IpAddr::V6(client) => u128::from(client) as u64,
    };
    (bits.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize
}

fn live(nodes: &[list::Node], leaving: &IndexSet<Vm>) -> impl Iterator<Item = Entry> {
    nodes
        .iter()
        .filter(|node| node.state == list::State::Live && !leaving.contains(&node.name))
        .map(|node| Entry {
            vm: node.name.clone(),
            region: node.region.clone(),
            data_centre: node.data_centre.clone(),
            address: node.entry,
        })
}

fn encode(ranked: Answer, prefixes: &Prefixes) -> Bytes {
    let entries = ranked.entries.into_iter().map(|entry| answer::Entry {
        id_prefix: prefixes.get(&entry.vm).cloned(),
        vm: entry.vm,
        address: entry.address,
    });
    let answer = answer::Answer {
        entries: entries.collect(),
        ttl_ms: TTL_MS,
    };
    serde_json::to_vec(&answer).unwrap_or_default().into()
}
