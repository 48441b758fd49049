//! Sending and receiving of reports between VMs.

use crate::fleet::Heard;
use crate::shared::Shared;
use base::id::Region;
use base::sync::lock;
use indexmap::{IndexMap, IndexSet};
use peers::report::{self, Phase, Report};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use tokio::net::UdpSocket;

/// Time between two reports to VMs of the own region.
const NEAR_PERIOD: Duration = Duration::from_millis(250);
/// Every this many reports go to VMs of other regions, too; bytes between regions are dear.
const FAR_EVERY: u64 = 2;
/// Least time between two reports.
const LEAST_GAP: Duration = Duration::from_millis(50);
/// Most crashes in one report.
const CRASHES: usize = 32;

/// Sends reports until the task is dropped.
pub async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    loop {
        let is_urgent = tokio::time::timeout(NEAR_PERIOD, shared.urgent.notified())
            .await
            .is_ok();
        sequence += 1;
        let now = Instant::now();
        let report = make(&shared, sequence, now);
        match report::encode(&report) {
            Ok(bytes) => {
                let is_far = is_urgent || sequence % FAR_EVERY == 0;
                for address in targets(&shared, is_far) {
                    if let Err(error) = socket.send_to(&bytes, address).await {
                        log::debug!("event=report-unsent to={address} error={error}");
                    }
                }
            }
            Err(error) => log::warn!("event=report-too-large error={error}"),
        }
        aggregate(&shared, now);
        tokio::time::sleep(LEAST_GAP).await;
    }
}

fn targets(shared: &Shared, is_far: bool) -> IndexSet<SocketAddr> {
    let settings = &shared.settings;
    let is_due = |region: &Option<Region>| {
        is_far
            || region
                .as_ref()
                .is_none_or(|region| *region == settings.region)
    };
    let fleet = lock(&shared.fleet);
    let known = fleet.targets();
    let mut targets: IndexSet<SocketAddr> = known
        .iter()
        .filter(|(_, region)| is_due(region))
        .map(|(address, _)| *address)
        .collect();
    if known.is_empty() {
        let port = settings.listen.peers.port();
        let seeds = settings.seeds.iter();
        targets.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), port)));
    }
    targets.shift_remove(&settings.listen.peers);
    targets
}

fn make(shared: &Shared, sequence: u64, now: Instant) -> Report {
    let (in_flight, down) = shared.services.report(now);
    let read = lock(&shared.listing).read;
    let age = read.map(|read| now.saturating_duration_since(read).as_millis());
    Report {
        vm: shared.settings.vm.clone(),
        incarnation: shared.incarnation,
        sequence,
        data_centre: shared.settings.data_centre.clone(),
        region: shared.settings.region.clone(),
        callers: shared.settings.listen.callers,
        phase: shared.phase(),
        configuration: shared.table().map_or(0, |t| t.configuration().version),
        store_age: age.map(|age| u32::try_from(age).unwrap_or(u32::MAX)),
        in_flight,
        handled: shared.services.report_handled(now),
        down,
        totals: lock(&shared.ledger)
            .totals()
            .map(|(workspace, total)| (workspace.clone(), total))
            .collect(),
        crashes: lock(&shared.crashes).counts(CRASHES),
        takeovers: shared.takeovers.report(),
    }
}

/// Hands the sums of the reports to the choice of servers, and forgets silent VMs.
fn aggregate(shared: &Shared, now: Instant) {
    let mut loads: IndexMap<Digest, u32> = IndexMap::new();
    let mut down = Vec::new();
    let (silent, members) = {
        let mut fleet = lock(&shared.fleet);
        let silent = fleet.sweep(now);
        for peer in fleet.alive(now) {
            for (server, count) in &peer.report.in_flight {
                *loads.entry(*server).or_default() += u32::from(*count);
            }
            down.extend(&peer.report.down);
        }
        (silent, fleet.reach(&shared.settings.vm, now).members)
    };
    let mut ledger = lock(&shared.ledger);
    silent.iter().for_each(|vm| ledger.forget(vm));
    drop(ledger);
    shared.services.reported(&loads, &down, members);
}

/// Receives reports until the task is dropped.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; report::MOST_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("event=report-unreceived error={error}");
                tokio::time::sleep(LEAST_GAP).await;
                continue;
            }
        };
        match report::decode(&buffer[..length]) {
            Ok(report) => take(&shared, from, &report, Instant::now()),
            Err(error) => log::warn!("event=report-unreadable from={from} error=\"{error}\""),
        }
    }
}

fn take(shared: &Shared, from: SocketAddr, report: &Report, now: Instant) {
    if report.vm == shared.settings.vm {
        return;
    }
    let vm = report.vm.clone();
    let heard = lock(&shared.fleet).hear(from, report.clone(), now);
    match heard {
        Heard::Overtaken => return,
        Heard::Appeared => {
            log::info!(
                "event=vm-heard vm={vm} incarnation={} address={from} phase={:?}",
                report.incarnation,
                report.phase
            );
            shared.urgent.notify_one();
        }
        Heard::Again => {}
    }
    {
        let mut ledger = lock(&shared.ledger);
        for (workspace, total) in &report.totals {
            ledger.reported(&vm, report.incarnation, workspace, *total, now);
        }
    }
    shared.services.handled(&report.handled, now);
    lock(&shared.crashes).reported(&vm, &report.crashes, now);
    shared.takeovers.hear(report);
    let own = shared.table().map_or(0, |t| t.configuration().version);
    if report.configuration > own && report.phase != Phase::Starting {
        shared.stale.notify_one();
    }
}
