//! Drains of backend servers.

use crate::state::{ControlState, Shared};
use crate::table;
use base::clock;
use base::id::{Operation, Service};
use indexmap::IndexMap;
use peers::local::Standing;
use platform::{Client, Error, list};
use std::time::{Duration, Instant};
use steering::drain::{Fleet, Plan, Refusal, Rollout, ServerSpec, Settings, Target};
use steering::membership::rendezvous;

const ROW: &str = "drains";

/// Most attempts of a write that conflicts with other writers.
const MAX_ATTEMPTS: usize = 8;

/// Age from which a VM's report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Why a change of the drains did not succeed.
#[derive(Debug)]
pub enum Failure {
    /// The remaining servers would not have enough headroom, or a name is unknown.
    Refused(Refusal),
    /// The table did not accept the write.
    Store(Error),
}

impl Failure {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Refused(Refusal::Unknown(_)) => "unknown-target",
            Self::Refused(Refusal::Headroom { .. }) => "headroom",
            Self::Refused(Refusal::Spill { .. }) => "spill",
            Self::Store(_) => "store",
        }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::Store(error)
    }
}

/// Reads the drains with the version of their row.
///
/// # Errors
///
/// Fails if the row can't be read or decoded.
pub async fn read(client: &Client) -> Result<(u64, Plan), Error> {
    match client.read(ROW).await {
        Ok(row) => Ok((row.version, table::decode(row.value)?)),
        Err(Error::Absent) => Ok((0, Plan::default())),
        Err(error) => Err(error),
    }
}

/// Accepts a drain of the named servers and data centres.
///
/// # Errors
///
/// Returns why the drain was refused.
pub async fn accept(
    shared: &Shared,
    client: &Client,
    names: &[Box<str>],
) -> Result<Operation, Failure> {
    let operation: Operation = base::id::random(&mut rand::rng())[..12].into();
    update(shared, client, |known, plan| {
        let settings = Settings::default();
        let targets: Vec<Target> = names.iter().map(|name| known.drain_target(name)).collect();
        let fleet = known.fleet();
        let now = clock::unix_millis();
        plan.accept(now, operation.clone(), &targets, &fleet, &settings)
            .map_err(Failure::Refused)
    })
    .await
    .inspect(|()| shared.metrics.record_drain("accepted"))
    .inspect_err(|failure| shared.metrics.record_drain(failure.as_str()))?;
    Ok(operation)
}

/// Removes a drain; returns whether there was one.
///
/// # Errors
///
/// Fails if the table does not accept the write.
pub async fn remove(shared: &Shared, client: &Client, operation: &str) -> Result<bool, Failure> {
    update(shared, client, |_, plan| Ok(plan.remove(operation))).await
}

/// Advances the drains if this VM coordinates them.
pub async fn advance(shared: &Shared, client: &Client) {
    let next = shared.read(|known| {
        let (version, plan) = &known.progress.drains;
        let mut next = plan.clone();
        let now = clock::unix_millis();
        let started = next.advance(now, &Settings::default(), |name| known.in_flight(name));
        // One coordinator avoids useless writes; if two write, the row version rejects the second.
        let first = known.is_coordinator(&shared.settings.vm);
        (first && next != *plan).then_some((*version, next, started))
    });
    let Some((version, next, started)) = next else {
        return;
    };
    let Ok(write) = table::write(version, &next) else {
        return;
    };
    match client.write(ROW, &write).await {
        Ok(version) => {
            if !started.is_empty() {
                log::info!("draining {}", started.join(", "));
            }
            shared.update_and_publish(|known| known.progress.record_drains(version, &next));
        }
        Err(error) => log::debug!("drains not advanced: {error}"),
    }
}

/// Updates the row, and retries after conflicts with other writers.
async fn update<T>(
    shared: &Shared,
    client: &Client,
    change: impl Fn(&ControlState, &mut Plan) -> Result<T, Failure>,
) -> Result<T, Failure> {
    let mut last = Error::Absent;
    for _ in 0..MAX_ATTEMPTS {
        let (version, mut plan) = read(client).await?;
        let result = shared.read(|known| change(known, &mut plan))?;
        match client.write(ROW, &table::write(version, &plan)?).await {
            Ok(version) => {
                shared.update_and_publish(|known| known.progress.record_drains(version, &plan));
                return Ok(result);
            }
            Err(Error::Conflict(version)) => last = Error::Conflict(version),
            Err(error) => return Err(error.into()),
        }
    }
    Err(last.into())
}

impl ControlState {
    fn drain_target(&self, name: &str) -> Target {
        if self.list.backends.iter().any(|b| *b.data_centre == *name) {
            Target::DataCentre(name.into())
        } else {
            Target::Server(name.into())
        }
    }

    /// Returns whether this VM has the first rank for the drains among the VMs that report.
    fn is_coordinator(&self, own: &str) -> bool {
        let reports = |vm: &str| {
            *vm == *own
                || self
                    .progress
                    .peers
                    .get(vm)
                    .is_some_and(|p| p.reported_at.elapsed() < MAX_REPORT_AGE)
        };
        let names = self.list.nodes.iter().map(|node| &node.name);
        rendezvous::rank(ROW, own, names.filter(|vm| reports(vm))) == 0
    }

    /// Returns the requests in flight to a server from all VMs, or `None` if the server is gone.
    ///
    /// A VM without a recent count for the server counts as one request: it may not know of the
    /// drain yet.
    fn in_flight(&self, server: &str) -> Option<u32> {
        self.list.backends.iter().find(|b| *b.name == *server)?;
        let own = self.progress.report.as_ref();
        let own = own.filter(|(at, _)| at.elapsed() < MAX_REPORT_AGE);
        let own = own.and_then(|(_, report)| report.in_flight.get(server).copied());
        let others = self.others(&self.vm).len();
        let fresh = |reported_at: &Instant| reported_at.elapsed() < MAX_REPORT_AGE;
        let peers = self
            .progress
            .peers
            .values()
            .filter(|p| fresh(&p.reported_at));
        let counts: Vec<u32> = peers
            .filter_map(|peer| peer.in_flight.get(server).copied())
            .collect();
        let unknown = others.saturating_sub(counts.len()) as u32 + u32::from(own.is_none());
        Some(counts.iter().sum::<u32>() + own.unwrap_or(0) + unknown)
    }

    /// Returns the capacity and demand known to this VM.
    fn fleet(&self) -> Fleet {
        let live = self
            .list
            .backends
            .iter()
            .filter(|b| b.state == list::State::Live);
        let servers = live.map(|b| (b.name.clone(), self.server_spec(b)));
        let mut fleet = Fleet {
            servers: servers.collect(),
            ..Fleet::default()
        };
        let mut add = |vm: &str, demand: &IndexMap<Service, f64>| {
            let Some(node) = self.list.nodes.iter().find(|node| *node.name == *vm) else {
                return;
            };
            for (service, used) in demand {
                let key = (service.clone(), node.region.clone());
                *fleet.demand.entry(key).or_default() += used;
            }
        };
        for (vm, peer) in &self.progress.peers {
            add(vm, &peer.demand);
        }
        if let Some((_, report)) = &self.progress.report {
            add(&self.vm, &report.demand);
        }
        for configured in self.configured_releases() {
            let Some((_, record)) = self.progress.rows.get(&configured.id) else {
                continue;
            };
            let Some((_, next)) = record.step() else {
                continue;
            };
            let backends = self.list.backends.iter();
            let new =
                backends.filter(|b| b.service == configured.service && b.label == configured.new);
            let rollout = Rollout {
                new_servers: new.map(|b| b.name.clone()).collect(),
                next_cap: next,
            };
            fleet.rollouts.insert(configured.service, rollout);
        }
        fleet.spill_capacity = self.spill_capacity(&fleet);
        fleet
    }

    /// Describes a server. One whose version is not in service gets a service name of its own, so
    /// that it counts as no capacity of its service.
    fn server_spec(&self, backend: &list::Backend) -> ServerSpec {
        let bundle = self.active.as_ref().map(|active| &active.bundle);
        let service = bundle.and_then(|bundle| bundle.service(&backend.service));
        let serves = service.is_none_or(|service| {
            let takeover = service.release.as_ref().map(|release| &release.value);
            let step = takeover.and_then(|takeover| self.progress.steps.get(&takeover.id));
            match step {
                Some(step) if step.standing == Standing::Complete => backend.label == step.to,
                Some(step) => backend.label == step.to || backend.label == service.current,
                None => backend.label == service.current,
            }
        });
        let service = if serves {
            backend.service.clone()
        } else {
            format!("{} {}", backend.service, backend.label).into()
        };
        ServerSpec {
            service,
            region: backend.region.clone(),
            data_centre: backend.data_centre.clone(),
            slots: backend.slots,
        }
    }

    /// Returns the work that each region can send to others.
    ///
    /// NOTE: the size of answers is unknown here, so the links don't limit a drain; the entries
    /// enforce the byte shares of the links.
    fn spill_capacity(&self, fleet: &Fleet) -> IndexMap<Box<str>, f64> {
        let regions = fleet.servers.values().map(|spec| spec.region.clone());
        let demand = fleet.demand.keys().map(|(_, region)| region.clone());
        regions
            .chain(demand)
            .map(|region| (region, f64::MAX))
            .collect()
    }

    /// Describes the drains for the status answer.
    pub fn describe_drains(&self) -> IndexMap<Operation, Box<str>> {
        let now = clock::unix_millis();
        let plan = &self.progress.drains.1;
        let describe = |operation: &Operation| {
            let report = plan.report(operation, now)?;
            let mut text = format!("{} of {} servers done", report.done, report.servers);
            if let Some(took) = report.took {
                text += &format!(", took {:.1} s", took as f64 / 1e3);
            }
            if !report.overdue.is_empty() {
                text += &format!(", overdue: {}", report.overdue.join(", "));
            }
            Some((operation.clone(), text.into()))
        };
        plan.operations().filter_map(describe).collect()
    }
}
