//! Capacity and demand of the fleet, and the check that a drain leaves enough capacity.

use super::Target;
use crate::release::Cap;
use base::id::{DataCentre, Region, Server, Service};
use indexmap::{IndexMap, IndexSet};
use std::fmt;

base::value! {
    /// A backend server as the platform lists it.
    pub struct ServerSpec {
        /// Service.
        pub service: Service,
        /// Region.
        pub region: Region,
        /// Data centre.
        pub data_centre: DataCentre,
        /// Largest number of requests that it runs at once.
        pub slots: u32,
    }

    /// A release under way.
    pub struct Rollout {
        /// Servers of the new version.
        pub new_servers: IndexSet<Server>,
        /// Cap of the next step.
        pub next_cap: Cap,
    }

    /// Input of the decision whether a drain is accepted.
    #[derive(Default)]
    pub struct Fleet {
        /// Backend servers in service.
        pub servers: IndexMap<Server, ServerSpec>,
        /// Slots in use by callers of each region, per service.
        pub demand: IndexMap<(Service, Region), f64>,
        /// Work, in slots, that the links of a region can carry to other regions.
        pub spill_capacity: IndexMap<Region, f64>,
        /// Releases under way.
        pub rollouts: IndexMap<Service, Rollout>,
    }

    /// Why a drain is refused.
    pub enum Refusal {
        /// No such server or data centre is in service.
        Unknown(Target),
        /// The service's remaining slots would be fewer than needed.
        Headroom {
            /// Service.
            service: Service,
            /// Slots that would remain.
            remaining: f64,
            /// Slots needed, headroom included.
            needed: f64,
            /// Whether a release is under way, which limits the servers that count.
            release: bool,
        },
        /// More work would have to leave the region than its links carry.
        Spill {
            /// Region.
            region: Region,
            /// Work that would leave it, in slots.
            excess: f64,
            /// Work that its links carry, in slots.
            carried: f64,
        },
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(Target::Server(name)) => write!(f, "no backend server `{name}`"),
            Self::Unknown(Target::DataCentre(name)) => write!(f, "no server in `{name}`"),
            Self::Headroom {
                service,
                remaining,
                needed,
                release,
            } => {
                let cause = if *release { " during its release" } else { "" };
                write!(
                    f,
                    "service `{service}` would keep {remaining:.0} slots of {needed:.0} needed{cause}"
                )
            }
            Self::Spill {
                region,
                excess,
                carried,
            } => write!(
                f,
                "region `{region}` would send out {excess:.0} slots of work; its links carry {carried:.0}"
            ),
        }
    }
}

/// Checks that the remaining servers have capacity for the demand plus headroom.
///
/// During a release, the old version needs capacity for all of the demand, because a roll-back may
/// happen at any time, and the new version for the share of the next step.
pub(super) fn check(
    fleet: &Fleet,
    headroom: f64,
    stays: impl Fn(&Server) -> bool,
) -> Result<(), Refusal> {
    let scale = 1.0 + headroom;
    let slots = |keep: &dyn Fn(&Server, &ServerSpec) -> bool| -> f64 {
        let kept = fleet.servers.iter().filter(|(n, s)| stays(n) && keep(n, s));
        kept.map(|(_, spec)| f64::from(spec.slots)).sum()
    };
    let is_new = |name: &Server, service: &Service| {
        let rollout = fleet.rollouts.get(service);
        rollout.is_some_and(|rollout| rollout.new_servers.contains(name))
    };
    let mut needed: IndexMap<&Service, f64> = IndexMap::new();
    let mut excess: IndexMap<&Region, f64> = IndexMap::new();
    for ((service, region), demand) in &fleet.demand {
        *needed.entry(service).or_default() += demand * scale;
        let here = slots(&|name, spec| {
            spec.service == *service && spec.region == *region && !is_new(name, service)
        });
        *excess.entry(region).or_default() += (demand * scale - here).max(0.0);
    }
    for (service, needed) in needed {
        let rollout = fleet.rollouts.get(service);
        let old = slots(&|name, spec| spec.service == *service && !is_new(name, service));
        let new = slots(&|name, spec| spec.service == *service && is_new(name, service));
        let next = rollout.map_or(0.0, |rollout| rollout.next_cap.fraction());
        for (remaining, needed) in [(old, needed), (new, needed * next)] {
            if remaining < needed {
                return Err(Refusal::Headroom {
                    service: service.clone(),
                    remaining,
                    needed,
                    release: rollout.is_some(),
                });
            }
        }
    }
    for (region, excess) in excess {
        let carried = fleet.spill_capacity.get(region).copied().unwrap_or(0.0);
        if excess > carried {
            return Err(Refusal::Spill {
                region: region.clone(),
                excess,
                carried,
            });
        }
    }
    Ok(())
}
