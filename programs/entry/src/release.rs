//! Selects the version of each attempt and collects the evidence of releases.

use crate::server::Server;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::id::{Incarnation, Label, Release, Route};
use base::sync::lock;
use indexmap::IndexMap;
use operators::service::Service;
use peers::local::{self, LocalClient, Report, Standing, Step};
use peers::wire::{Error, Frame};
use rand::RngExt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::release::{CONTACT_TIMEOUT, Cap, Evidence, Quota, Side};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Number of shards; each service has its counters in one of them.
const SHARDS: usize = 16;

/// Time between two reports to the control process.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Weight of the newest sample in the moving average of the demand, which covers about 2 s.
const DEMAND_WEIGHT: f64 = 0.125;

/// Quotas and evidence of all releases on this VM.
#[derive(Debug)]
pub struct Releases {
    incarnation: Incarnation,
    shards: [Mutex<Shard>; SHARDS],
    /// Time at which the control process last answered a report.
    last_contact: Mutex<Option<Instant>>,
    demand: Mutex<IndexMap<Box<str>, f64>>,
}

#[derive(Debug, Default)]
struct Shard {
    quotas: IndexMap<Box<str>, Quota>,
    evidence: IndexMap<Release, Evidence>,
}

/// Version that an attempt uses, and the observation of its result for a release.
#[derive(Debug)]
pub struct VersionChoice {
    /// Label of the version.
    pub label: Label,
    observation: Option<Box<Observation>>,
}

/// Result of an attempt on one of the versions that a release compares; added to the evidence when
/// it is dropped.
#[derive(Debug)]
pub struct Observation {
    releases: Arc<Releases>,
    service: Box<str>,
    release: Release,
    step: usize,
    route: Route,
    side: Side,
    started_at: Instant,
    result: Option<(bool, Duration)>,
}

impl Default for Releases {
    fn default() -> Self {
        Self {
            incarnation: rand::rng().random(),
            shards: Default::default(),
            last_contact: Mutex::default(),
            demand: Mutex::default(),
        }
    }
}

impl Releases {
    /// Counts an attempt and selects its version.
    pub fn select_version(
        self: &Arc<Self>,
        snapshot: &Snapshot,
        service: &Service,
        route: &str,
    ) -> VersionChoice {
        let Some(step) = snapshot.step(service) else {
            return VersionChoice::unobserved(&service.current);
        };
        if step.standing == Standing::Complete {
            return VersionChoice::unobserved(&step.to);
        }
        let name = &service.service.value;
        let cap = self.cap(step);
        let side = {
            let mut shard = lock(self.shard(name));
            let quota = shard.quotas.entry(name.clone()).or_default();
            quota.set_cap(cap);
            quota.start()
        };
        let has_server = snapshot.servers(name, &step.to).next().is_some();
        let side = if has_server { side } else { Side::Old };
        let release = service.release.as_ref().map(|release| &release.value.id);
        let observation = release.map(|release| {
            Box::new(Observation {
                releases: self.clone(),
                service: name.clone(),
                release: release.clone(),
                step: step.step,
                route: route.into(),
                side,
                started_at: Instant::now(),
                result: None,
            })
        });
        let label = match side {
            Side::Old => &service.current,
            Side::New => &step.to,
        };
        VersionChoice {
            label: label.clone(),
            observation,
        }
    }

    /// Returns the cap of a step; [`Cap::NONE`] while there is no contact to the control process,
    /// which learns of halts.
    fn cap(&self, step: &Step) -> Cap {
        let in_contact = lock(&self.last_contact).is_some_and(|at| at.elapsed() < CONTACT_TIMEOUT);
        if in_contact || step.standing != Standing::Stepping {
            step.cap
        } else {
            Cap::NONE
        }
    }

    fn shard(&self, service: &str) -> &Mutex<Shard> {
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        &self.shards[(hasher.finish() % SHARDS as u64) as usize]
    }

    /// Drops the quotas and evidence of releases that are complete or no longer configured, and the
    /// evidence of earlier steps.
    fn prune(&self, snapshot: &Snapshot) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.quotas.retain(|name, _| {
                let service = snapshot.service(name);
                service.is_some_and(|service| service.release.is_some())
            });
            shard.evidence.retain(|release, evidence| {
                let step = snapshot.release_step(release);
                if let Some(step) = step {
                    evidence.prune_before(step.step);
                }
                step.is_some_and(|step| step.standing != Standing::Complete)
            });
        }
    }

    /// Builds the next report.
    fn report(&self, snapshot: &Snapshot, leaving: bool) -> Report {
        self.prune(snapshot);
        let mut evidence = IndexMap::new();
        for shard in &self.shards {
            evidence.extend(lock(shard).evidence.clone());
        }
        let is_reported = |server: &&Arc<Server>| {
            server.in_flight() > 0 || snapshot.is_draining(&server.listed.name)
        };
        let in_flight: IndexMap<_, _> = snapshot
            .all_servers()
            .filter(is_reported)
            .map(|server| (server.listed.name.clone(), server.in_flight()))
            .collect();
        Report {
            incarnation: self.incarnation,
            evidence,
            in_flight,
            demand: self.average_demand(snapshot),
            leaving,
        }
    }

    /// Returns the moving average of the requests in flight of each service.
    fn average_demand(&self, snapshot: &Snapshot) -> IndexMap<Box<str>, f64> {
        let mut now: IndexMap<&str, f64> = IndexMap::new();
        for server in snapshot.all_servers() {
            *now.entry(&server.listed.service).or_default() += f64::from(server.in_flight());
        }
        let mut demand = lock(&self.demand);
        demand.retain(|service, _| now.contains_key(&**service));
        for (service, sample) in now {
            let known = demand.entry(service.into()).or_default();
            *known += DEMAND_WEIGHT * (sample - *known);
        }
        demand.clone()
    }
}

impl VersionChoice {
    /// Makes the choice for an attempt that is no evidence for a release.
    pub fn unobserved(label: &Label) -> Self {
        Self {
            label: label.clone(),
            observation: None,
        }
    }

    /// Records that the request is sent now; the wait for a slot before is no latency of the
    /// version.
    pub fn record_sent(&mut self) {
        if let Some(observation) = &mut self.observation {
            observation.started_at = Instant::now();
        }
    }

    /// Records an answer with this status; the returned observation is dropped when the answer
    /// ends.
    pub fn record_answer(mut self, status: u16) -> Option<Box<Observation>> {
        if let Some(observation) = &mut self.observation {
            observation.result = Some((status >= 500, observation.started_at.elapsed()));
        }
        self.observation
    }

    /// Records that the attempt may have run and that no whole answer came.
    pub fn record_lost(self) {
        if let Some(mut observation) = self.observation {
            observation.record_interruption();
        }
    }
}

impl Observation {
    /// Records that the answer was interrupted.
    pub fn record_interruption(&mut self) {
        self.result = Some((true, self.started_at.elapsed()));
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        // Without a result the attempt was refused or its caller left, which is no evidence about
        // the version.
        let Some((failed, latency)) = self.result else {
            return;
        };
        let mut shard = lock(self.releases.shard(&self.service));
        let evidence = shard.evidence.entry(self.release.clone()).or_default();
        let key = (self.releases.incarnation, self.step);
        evidence.record(key, &self.route, self.side, failed, latency);
    }
}

/// Reports to the control process until `end` is cancelled.
///
/// `leaving` is cancelled when the VM begins to stop; this function cancels `withdrawn` when every
/// other VM has learned of it.
pub async fn run(
    releases: Arc<Releases>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    settings: &Settings,
    (leaving, withdrawn): (CancellationToken, CancellationToken),
    end: CancellationToken,
) {
    let mut client = None;
    while !end.is_cancelled() {
        let current = snapshot.borrow().clone();
        let report = releases.report(&current, leaving.is_cancelled());
        match send(&mut client, settings, report).await {
            Ok(reply) => {
                *lock(&releases.last_contact) = Some(Instant::now());
                if reply.withdrawn && leaving.is_cancelled() {
                    withdrawn.cancel();
                }
            }
            Err(error) => {
                log::debug!("report to the control process failed: {error}");
                client = None;
            }
        }
        end.run_until_cancelled(tokio::time::sleep(REPORT_INTERVAL))
            .await;
    }
}

async fn send(
    client: &mut Option<LocalClient>,
    settings: &Settings,
    report: Report,
) -> Result<local::Heard, Error> {
    let connected = match client.take() {
        Some(connected) => connected,
        None => local::connect(settings.control).await?,
    };
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + REPORT_TIMEOUT;
    let reply = connected
        .report(context, Frame::new(report))
        .await?
        .open()?;
    *client = Some(connected);
    Ok(reply)
}
