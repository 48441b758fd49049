//! The steering file of the fleet: data centres, links, workspaces and clients.

use base::id::{DataCentre, Region, Workspace};
use base::unit::{Bandwidth, Rate, Share, Span};
use ipnet::IpNet;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::time::Duration;
use steering::limits::{Allocation, Amount, Settings, TOKEN};

/// Name of the fleet's file in a publication.
pub const FILE: &str = "fleet.yaml";

/// Content of the fleet's steering file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the deployment.
    pub fleet: Box<str>,
    /// Regions with their data centres.
    pub regions: Vec<Zone>,
    /// Links between regions.
    #[serde(default)]
    pub links: Vec<Spanned<Link>>,
    /// Workspaces with their limits.
    pub workspaces: Vec<Spanned<Tenant>>,
    /// Client address blocks with their nearest data centres.
    #[serde(default)]
    pub clients: Vec<Spanned<Block>>,
    /// How limits are divided.
    #[serde(default)]
    pub limits: Division,
    /// Treatment of keys in an isolated data centre.
    #[serde(default)]
    pub keys: Isolation,
}

/// A region and its data centres.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the region.
    pub name: Region,
    /// Data centres of the region.
    pub data_centres: Vec<Spanned<DataCentre>>,
}

/// A link between two regions, with the same capacity in both directions.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The two regions.
    pub between: [Region; 2],
    /// Capacity in each direction, shared by all traffic.
    pub capacity: Bandwidth,
}

/// A workspace's limits over the whole fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the workspace.
    pub name: Workspace,
    /// Requests per second.
    pub rate: Rate,
    /// Requests admitted at once after a pause.
    pub burst: u32,
}

/// A block of client addresses and the data centre nearest to it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// Block of addresses.
    pub block: IpNet,
    /// Nearest data centre.
    pub data_centre: DataCentre,
}

/// How a limit is divided into floors and an elastic part.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Division {
    /// Share of each limit that is bound to VMs without an expiry time.
    pub floor_share: Share,
    /// Number of equal units into which the floors are divided; at most one per VM.
    pub floor_units: u32,
}

impl Default for Division {
    fn default() -> Self {
        Self {
            floor_share: Share(0.25),
            floor_units: 16,
        }
    }
}

/// Treatment of keys while a VM can't receive withdrawals.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Isolation {
    /// Policy once `key_staleness` has passed.
    pub isolated_keys: Policy,
    /// Time without any path to the store or a peer after which the policy applies.
    pub key_staleness: Span,
}

impl Default for Isolation {
    fn default() -> Self {
        Self {
            isolated_keys: Policy::Serve,
            key_staleness: Span(Duration::from_secs(60)),
        }
    }
}

/// Policy for keys in an isolated data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Accepts the known keys; the status shows since when they have not been confirmed.
    Serve,
    /// Refuses requests that need a key.
    Refuse,
}

impl Fleet {
    /// Returns the region of a data centre.
    pub fn region(&self, data_centre: &str) -> Option<&Region> {
        let zone = self
            .regions
            .iter()
            .find(|z| z.has_data_centre(data_centre))?;
        Some(&zone.name)
    }

    /// Returns all data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.regions
            .iter()
            .flat_map(|z| z.data_centres.iter().map(|d| &d.value))
    }

    /// Returns a workspace by its name.
    pub fn workspace(&self, name: &str) -> Option<&Tenant> {
        self.workspaces
            .iter()
            .map(|w| &w.value)
            .find(|w| &*w.name == name)
    }
}

impl Tenant {
    /// Returns the limit over all VMs.
    pub fn limit(&self) -> Allocation {
        Allocation {
            rate: (self.rate.0 * TOKEN as f64) as Amount,
            burst: Amount::from(self.burst) * TOKEN,
        }
    }
}

impl Division {
    /// Returns the share of each limit that is divided into floors, in whole percent.
    pub fn floor_percent(&self) -> u64 {
        // Shares are read from decimal percentages, so 29% may be stored as 0.28999...
        (self.floor_share.0 * 100.0 + 1e-6) as u64
    }

    /// Returns the settings of holders and granters.
    pub fn settings(&self) -> Settings {
        Settings {
            floor_percent: self.floor_percent(),
            floor_units: u64::from(self.floor_units),
            ..Settings::default()
        }
    }
}

impl Zone {
    fn has_data_centre(&self, data_centre: &str) -> bool {
        self.data_centres.iter().any(|d| &*d.value == data_centre)
    }
}
