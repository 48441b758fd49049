//! Map from blocks of client addresses to locations.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;

/// Index of a location, which has its own order of data centres.
pub type Location = u16;

/// Longest-prefix map from client addresses to locations.
#[derive(Debug, Clone, Default)]
pub struct AddressMap {
    v4: PrefixMap<Ipv4Net, Location>,
    v6: PrefixMap<Ipv6Net, Location>,
}

impl AddressMap {
    /// Adds a block or changes its location.
    pub fn insert(&mut self, block: IpNet, location: Location) {
        match block {
            IpNet::V4(block) => self.v4.insert(block.trunc(), location),
            IpNet::V6(block) => self.v6.insert(block.trunc(), location),
        };
    }

    /// Removes a block; returns whether it existed.
    pub fn remove(&mut self, block: IpNet) -> bool {
        match block {
            IpNet::V4(block) => self.v4.remove(&block.trunc()).is_some(),
            IpNet::V6(block) => self.v6.remove(&block.trunc()).is_some(),
        }
    }

    /// Returns the location of the longest block that contains `client`.
    pub fn location(&self, client: IpAddr) -> Option<Location> {
        match client {
            IpAddr::V4(client) => self
                .v4
                .get_lpm(&Ipv4Net::from(client))
                .map(|(_, location)| *location),
            IpAddr::V6(client) => self
                .v6
                .get_lpm(&Ipv6Net::from(client))
                .map(|(_, location)| *location),
        }
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Returns whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
