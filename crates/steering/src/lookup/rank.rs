//! Order of entry VMs in an answer.

use base::id::{DataCentre, Region, Vm};
use std::net::SocketAddr;

base::value! {
    /// An entry VM in service.
    pub struct Entry {
        /// Name of the VM.
        pub vm: Vm,
        /// Region of its data centre.
        pub region: Region,
        /// Data centre.
        pub data_centre: DataCentre,
        /// Address towards callers.
        pub address: SocketAddr,
    }

    /// Entry VMs in order of preference.
    pub struct Answer {
        /// Entries; the first is to be tried first.
        pub entries: Vec<Entry>,
    }
}

/// Most entries of one data centre in an answer, so that its size stays bounded.
const ENTRIES_PER_DATA_CENTRE: usize = 3;

/// Most entries in an answer.
const ENTRIES: usize = 8;

/// How far a data centre is from a client's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Same,
    Region,
    Far,
}

impl Answer {
    /// Orders entries for a client near `home`: its data centre, its region, then the others.
    ///
    /// `turn` rotates the order within each data centre, so that clients spread over its VMs.
    pub fn rank(entries: &[Entry], home: &str, region: &str, turn: usize) -> Self {
        let mut centres: Vec<&DataCentre> = entries.iter().map(|e| &e.data_centre).collect();
        centres.sort_unstable();
        centres.dedup();
        centres.sort_by_key(|centre| {
            entries
                .iter()
                .find(|e| e.data_centre == **centre)
                .map(|e| distance(e, home, region))
        });
        let ranked = centres
            .iter()
            .flat_map(|centre| local(entries, centre, turn));
        Self {
            entries: ranked.take(ENTRIES).cloned().collect(),
        }
    }
}

fn distance(entry: &Entry, home: &str, region: &str) -> Distance {
    match entry {
        _ if &*entry.data_centre == home => Distance::Same,
        _ if &*entry.region == region => Distance::Region,
        _ => Distance::Far,
    }
}

/// Returns the first entries of one data centre, beginning with the one whose turn it is.
fn local<'a>(entries: &'a [Entry], centre: &str, turn: usize) -> impl Iterator<Item = &'a Entry> {
    let members: Vec<&Entry> = entries
        .iter()
        .filter(|e| &*e.data_centre == centre)
        .collect();
    let count = members.len();
    (0..count.min(ENTRIES_PER_DATA_CENTRE)).map(move |i| members[(turn + i) % count])
}
