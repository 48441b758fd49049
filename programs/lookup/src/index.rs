//! Prepared answers for every data centre.

use base::id::DataCentre;
use bytes::Bytes;
use callers::answer;
use indexmap::IndexMap;
use operators::bundle::Bundle;
use peers::local::State;
use platform::list;
use std::net::IpAddr;
use steering::lookup::{Answer, Entry, Map, map};

/// Time for which callers may use an answer, in milliseconds.
///
/// A stopping VM outlives the answers that name it, so this bounds the time of a planned stop.
pub const TTL_MS: u64 = 5_000;

/// Prepared answers; replaced whole when the configuration or the list changes.
#[derive(Debug, Default)]
pub struct Index {
    map: Map,
    sites: Vec<Site>,
    home: usize,
}

/// Answers for the clients of one data centre, one for each turn.
#[derive(Debug)]
struct Site {
    answers: Vec<Bytes>,
}

impl Index {
    /// Prepares all answers.
    pub fn build(state: &State, home: &str) -> Self {
        let Ok(bundle) = Bundle::parse(&state.files) else {
            return Self::default();
        };
        let entries: Vec<Entry> = live(state).collect();
        let fleet = &bundle.fleet;
        let mut index = Self::default();
        let mut numbers: IndexMap<&DataCentre, map::Site> = IndexMap::new();
        for centre in fleet.data_centres() {
            let region = fleet.region(centre).map_or("", |region| region);
            numbers.insert(centre, index.sites.len() as map::Site);
            index.sites.push(Site::build(&entries, centre, region));
        }
        for block in &fleet.clients {
            if let Some(site) = numbers.get(&block.value.data_centre) {
                index.map.insert(block.value.block, *site);
            }
        }
        index.home = numbers
            .get(&Box::from(home))
            .map_or(0, |site| usize::from(*site));
        index
    }

    /// Returns the answer for a client, or nothing while no entry VM is known.
    pub fn answer(&self, client: IpAddr) -> Option<Bytes> {
        let site = self.map.site(client).map_or(self.home, usize::from);
        let answers = &self.sites.get(site)?.answers;
        answers.get(turn(client) % answers.len().max(1)).cloned()
    }
}

impl Site {
    fn build(entries: &[Entry], centre: &str, region: &str) -> Self {
        let local = entries.iter().filter(|e| &*e.data_centre == centre).count();
        let turns = if entries.is_empty() { 0 } else { local.max(1) };
        let answers = (0..turns).map(|turn| encode(Answer::rank(entries, centre, region, turn)));
        Self {
            answers: answers.collect(),
        }
    }
}

/// Spreads the clients of a data centre evenly over its VMs.
fn turn(client: IpAddr) -> usize {
    let bits = match client {
        IpAddr::V4(client) => u64::from(u32::from(client)),
        IpAddr::V6(client) => u128::from(client) as u64,
    };
    (bits.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize
}

fn live(state: &State) -> impl Iterator<Item = Entry> {
    let nodes = state.list.nodes.iter();
    nodes
        .filter(|node| node.state == list::State::Live && !state.leaving.contains(&node.name))
        .map(|node| Entry {
            vm: node.name.clone(),
            region: node.region.clone(),
            data_centre: node.data_centre.clone(),
            address: node.entry,
        })
}

fn encode(ranked: Answer) -> Bytes {
    let entries = ranked.entries.into_iter().map(|entry| answer::Entry {
        vm: entry.vm,
        address: entry.address,
        id_prefix: None,
    });
    let answer = answer::Answer {
        entries: entries.collect(),
        ttl_ms: TTL_MS,
    };
    serde_json::to_vec(&answer).unwrap_or_default().into()
}
