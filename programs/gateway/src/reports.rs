//! Sending and receiving of reports between VMs.

use crate::fleet::Heard;
use crate::shared::Shared;
use base::id::Vm;
use base::sync::lock;
use indexmap::{IndexMap, IndexSet};
use peers::report::{self, Known, Member, Phase, Report};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::spending::Source;
use steering::warmth::ShortDigest;
use tokio::net::UdpSocket;

/// Time between two reports to VMs of the own data centre.
const NEAR_PERIOD: Duration = Duration::from_millis(250);
/// Time between two reports to other data centres; bytes between regions are dear.
const FAR_PERIOD: Duration = Duration::from_millis(500);
/// Least time between two reports.
const LEAST_GAP: Duration = Duration::from_millis(50);
/// Most crashes in one report.
const CRASHES: usize = 32;

/// Sends reports until the task is dropped.
pub async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    let mut next_far = Instant::now();
    loop {
        let is_urgent = tokio::time::timeout(NEAR_PERIOD, shared.urgent.notified())
            .await
            .is_ok();
        sequence += 1;
        let now = Instant::now();
        let own = own(&shared, sequence, now);
        let targets = near_targets(&shared, now);
        send_to(&socket, &own, targets).await;
        if is_urgent || now >= next_far {
            next_far = now + FAR_PERIOD;
            if shared.delegate(now).is_none() {
                let summary = summary(&shared, own, now);
                let targets = {
                    let fleet = lock(&shared.fleet);
                    fleet.far_targets(&shared.settings.data_centre, now)
                };
                send_to(&socket, &summary, targets).await;
            }
        }
        aggregate(&shared, now);
        let due = Instant::now() + LEAST_GAP;
        tokio::time::sleep_until(due.into()).await;
        sample(&shared, Instant::now().saturating_duration_since(due));
    }
}

/// Takes in by how much a timer was late; logs when this VM becomes busy, or is no longer.
fn sample(shared: &Shared, late: Duration) {
    let mut lateness = lock(&shared.lateness);
    let before = lateness.is_busy();
    lateness.record(late);
    let is_busy = lateness.is_busy();
    drop(lateness);
    if is_busy != before {
        let late_ms = late.as_millis();
        let running = shared.running();
        log::info!("event=busy is_busy={is_busy} late_ms={late_ms} running={running}");
    }
}

async fn send_to(socket: &UdpSocket, report: &Report, targets: IndexSet<SocketAddr>) {
    if targets.is_empty() {
        return;
    }
    match report::encode(report) {
        Ok(bytes) => send_bytes(socket, &bytes, targets).await,
        Err(error) => log::warn!("event=report-too-large error=\"{error}\""),
    }
}

async fn send_bytes(socket: &UdpSocket, bytes: &[u8], targets: IndexSet<SocketAddr>) {
    for address in targets {
        if let Err(error) = socket.send_to(bytes, address).await {
            log::debug!("event=report-unsent to={address} error=\"{error}\"");
        }
    }
}

/// Returns the VMs of the own data centre, and the seeds while no other VM is known.
fn near_targets(shared: &Shared, now: Instant) -> IndexSet<SocketAddr> {
    let settings = &shared.settings;
    let fleet = lock(&shared.fleet);
    let mut targets = fleet.near_targets(&settings.data_centre);
    if fleet.alive(now).next().is_none() {
        let port = settings.listen.peers.port();
        let seeds = settings.seeds.iter();
        targets.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), port)));
    }
    targets.shift_remove(&settings.listen.peers);
    targets
}

/// Returns the report of this VM alone.
fn own(shared: &Shared, sequence: u64, now: Instant) -> Report {
    let (in_flight, down) = shared.services.report(now);
    let settings = &shared.settings;
    let crashes = lock(&shared.crashes).counts(CRASHES);
    Report {
        vm: settings.vm.clone(),
        incarnation: shared.incarnation,
        sequence,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        address: settings.listen.peers,
        entrance: shared.entrance(),
        callers: settings.listen.callers,
        phase: shared.phase(),
        configuration: shared.table().map_or(0, |t| t.configuration().version),
        known: known(shared, now),
        members: Vec::new(),
        in_flight,
        handled: shared.services.report_handled(false, now),
        down,
        totals: lock(&shared.ledger).totals().collect(),
        crashes: match crashes.is_empty() {
            true => Vec::new(),
            false => vec![(settings.vm.clone(), crashes)],
        },
        takeovers: shared.takeovers.report(false),
    }
}

fn known(shared: &Shared, now: Instant) -> Known {
    let age = shared.age(now).map(|age| age.as_millis());
    Known {
        age: age.map(|age| u32::try_from(age).unwrap_or(u32::MAX)),
        reads: shared.reads(now),
        orders: lock(&shared.orders).version,
        listing: lock(&shared.listing).number(),
    }
}

/// Returns the report of the data centre, from this VM's own and those of the others.
fn summary(shared: &Shared, own: Report, now: Instant) -> Report {
    let mut loads: IndexMap<ShortDigest, u16> = own.in_flight.iter().copied().collect();
    let mut down: IndexSet<ShortDigest> = own.down.iter().copied().collect();
    let mut members = vec![Member::of(&own)];
    let mut crashes = own.crashes.clone();
    {
        let fleet = lock(&shared.fleet);
        for peer in fleet.near(now) {
            let report = &peer.report;
            for (server, count) in &report.in_flight {
                let sum = loads.entry(*server).or_default();
                *sum = sum.saturating_add(*count);
            }
            down.extend(&report.down);
            members.push(Member::of(report));
            crashes.extend(report.crashes.iter().cloned());
        }
    }
    Report {
        members,
        in_flight: loads.into_iter().collect(),
        handled: shared.services.report_handled(true, now),
        down: down.into_iter().collect(),
        totals: lock(&shared.ledger).near_totals().collect(),
        crashes,
        takeovers: shared.takeovers.report(true),
        ..own
    }
}

/// Hands the sums of the reports to the choice of servers, and forgets silent VMs.
fn aggregate(shared: &Shared, now: Instant) {
    let mut loads: IndexMap<ShortDigest, u32> = IndexMap::new();
    let mut down = IndexSet::new();
    let (silent, members) = {
        let mut fleet = lock(&shared.fleet);
        let silent = fleet.sweep(now);
        for peer in fleet.near(now).chain(fleet.far(now)) {
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
                log::debug!("event=report-unreceived error=\"{error}\"");
                tokio::time::sleep(LEAST_GAP).await;
                continue;
            }
        };
        let bytes = &buffer[..length];
        match report::decode(bytes) {
            Ok(report) => {
                let targets = take(&shared, from, &report, Instant::now());
                send_bytes(&socket, bytes, targets).await;
            }
            Err(error) => log::warn!("event=report-unreadable from={from} error=\"{error}\""),
        }
    }
}

/// Takes in a report; returns to whom it is to be passed on.
fn take(shared: &Shared, from: SocketAddr, report: &Report, now: Instant) -> IndexSet<SocketAddr> {
    let settings = &shared.settings;
    let is_own = report.data_centre == settings.data_centre;
    if report.vm == settings.vm || (is_own && report.is_summary()) {
        return IndexSet::new();
    }
    let mut fleet = lock(&shared.fleet);
    if !is_own && !report.is_summary() {
        // A VM that knows only the seeds: its delegate, or all its neighbours, shall answer it.
        fleet.add(report);
        shared.urgent.notify_one();
        let delegate = fleet
            .far(now)
            .find(|p| p.report.data_centre == report.data_centre);
        return delegate
            .map(|peer| peer.report.address)
            .into_iter()
            .collect();
    }
    let before: Option<Vm> = fleet.delegate_of(&report.data_centre).cloned();
    let heard = fleet.hear(report.clone(), now);
    let is_direct = report.is_summary() && !fleet.is_near(&from);
    let targets = match is_direct && heard != Heard::Overtaken {
        true => fleet.near_targets(&settings.data_centre),
        false => IndexSet::new(),
    };
    drop(fleet);
    match heard {
        Heard::Overtaken => return targets,
        Heard::Appeared => {
            log::info!(
                "event=vm-heard vm={} incarnation={} data_centre={} members={} phase={:?}",
                report.vm,
                report.incarnation,
                report.data_centre,
                report.members.len(),
                report.phase
            );
            shared.urgent.notify_one();
        }
        Heard::Again => {}
    }
    apply(shared, report, before.as_ref(), now);
    let mut targets = targets;
    targets.shift_remove(&settings.listen.peers);
    targets
}

/// Applies what a report says to limits, servers, crashes and takeovers.
fn apply(shared: &Shared, report: &Report, before: Option<&Vm>, now: Instant) {
    {
        let mut ledger = lock(&shared.ledger);
        // Another VM now speaks for that data centre; its sums start elsewhere.
        if let Some(before) = before.filter(|before| report.is_summary() && **before != report.vm) {
            ledger.forget(before);
        }
        let source = Source {
            vm: &report.vm,
            incarnation: report.incarnation,
            is_near: !report.is_summary(),
        };
        for (workspace, total) in &report.totals {
            ledger.reported(source, *workspace, *total, now);
        }
    }
    let is_near = !report.is_summary();
    shared.services.handled(&report.handled, is_near, now);
    {
        let mut crashes = lock(&shared.crashes);
        for (vm, counts) in &report.crashes {
            crashes.merge(vm, counts, now);
        }
    }
    shared.takeovers.hear(report);
    let snapshot = lock(&shared.orders).snapshot;
    if report.known.orders > snapshot && report.phase != Phase::Starting {
        shared.stale.notify_one();
    }
    shared.heard.notify_one();
}
