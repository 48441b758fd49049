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
        /// Entries, the preferred one first.
        pub entries: Vec<Entry>,
    }
}

/// Maximum number of entries of one data centre in an answer.
const MAX_ENTRIES_PER_DATA_CENTRE: usize = 3;

/// Maximum number of entries in an answer.
const MAX_ENTRIES: usize = 8;

/// Distance of a data centre from the client's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

impl Answer {
    /// Orders entries for a client whose data centre is `home`: that one, its region, the others.
    ///
    /// `rotation` rotates the order within each data centre, so that clients spread over its VMs.
    pub fn rank(entries: &[Entry], home: &str, region: &str, rotation: usize) -> Self {
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
            .flat_map(|centre| rotated(entries, centre, rotation));
        Self {
            entries: ranked.take(MAX_ENTRIES).cloned().collect(),
        }
    }
}

fn distance(entry: &Entry, home: &str, region: &str) -> Distance {
    match entry {
        _ if &*entry.data_centre == home => Distance::SameDataCentre,
        _ if &*entry.region == region => Distance::SameRegion,
        _ => Distance::OtherRegion,
    }
}

/// Returns the first entries of one data centre in the rotated order.
fn rotated<'a>(
    entries: &'a [Entry],
    centre: &str,
    rotation: usize,
) -> impl Iterator<Item = &'a Entry> {
    let members: Vec<&Entry> = entries
        .iter()
        .filter(|e| &*e.data_centre == centre)
        .collect();
    let count = members.len();
    (0..count.min(MAX_ENTRIES_PER_DATA_CENTRE)).map(move |i| members[(rotation + i) % count])
}
