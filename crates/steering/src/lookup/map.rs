//! AddressMap from blocks of client addresses to sites.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;

/// Index of a site: a place with its own order of data centres.
pub type Location = u16;

/// Longest-prefix map from client addresses to sites.
#[derive(Debug, Clone, Default)]
pub struct AddressMap {
    v4: PrefixMap<Ipv4Net, Location>,
    v6: PrefixMap<Ipv6Net, Location>,
}

impl AddressMap {
    /// Adds a block; a block that is there already gets the new site.
    pub fn insert(&mut self, block: IpNet, site: Location) {
        match block {
            IpNet::V4(block) => self.v4.insert(block.trunc(), site),
            IpNet::V6(block) => self.v6.insert(block.trunc(), site),
        };
    }

    /// Removes a block; returns whether it was there.
    pub fn remove(&mut self, block: IpNet) -> bool {
        match block {
            IpNet::V4(block) => self.v4.remove(&block.trunc()).is_some(),
            IpNet::V6(block) => self.v6.remove(&block.trunc()).is_some(),
        }
    }

    /// Returns the site of the longest block that holds `client`.
    pub fn location(&self, client: IpAddr) -> Option<Location> {
        match client {
            IpAddr::V4(client) => self
                .v4
                .get_lpm(&Ipv4Net::from(client))
                .map(|(_, site)| *site),
            IpAddr::V6(client) => self
                .v6
                .get_lpm(&Ipv6Net::from(client))
                .map(|(_, site)| *site),
        }
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Says whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
