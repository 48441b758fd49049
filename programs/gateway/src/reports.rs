//! Sends and receives the reports that VMs exchange by datagrams.

mod dispatch;

use crate::fleet::Receipt;
use crate::servers::PassedWords;
use crate::shared::Shared;
use crate::traffic::Kind;
use crate::usage::Usage;
use base::id::Vm;
use base::sync::lock;
use dispatch::Dispatch;
use indexmap::{IndexMap, IndexSet};
use peers::report::{self, Known, Member, Part, Phase, Report};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::fanout::{self, Pace};
use steering::spending::Source;
use steering::warmth::ShortDigest;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Longest time between two reports to the VMs of this data centre.
const LOCAL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two reports of a VM that has nothing to report but that it is up. Two of them
/// may come before it counts as down.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two summaries to other data centres; traffic between regions is expensive.
const REMOTE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time from a summary to one for a VM that was heard for the first time; each is passed on to
/// all VMs of all data centres.
const MIN_GREETING_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Kinds of datagrams in metrics and in the log.
const OWN: (&str, Kind) = ("own", Kind::OwnOut);
const SUMMARY: (&str, Kind) = ("summary", Kind::SummariesOut);
const PASSED_ON: (&str, Kind) = ("passed-on", Kind::PassedOut);
/// Maximum number of crash counts in one report.
const MAX_CRASHES: usize = 32;

/// Sends reports until the task is dropped.
pub async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    let mut next_summary = Instant::now();
    let mut summary_sent_at = next_summary;
    let mbps = shared.settings.link_mbps();
    let mut pace = Pace::new(fanout::Settings::default(), mbps, next_summary);
    let mut next = next_summary + LOCAL_INTERVAL;
    loop {
        let (is_requested, is_greeting) = tokio::select! {
            biased;
            () = notified_from(&shared.report_requested, pace.hurries_at()) => (true, false),
            () = notified_from(&shared.greeting_requested, pace.greets_at()) => (false, true),
            () = tokio::time::sleep_until(next.into()) => (false, false),
        };
        sequence += 1;
        let now = Instant::now();
        let own = vm_report(&shared, sequence, now);
        let interval = match own.is_idle() {
            true => IDLE_INTERVAL,
            false => LOCAL_INTERVAL,
        };
        let targets = local_targets(&shared, now);
        let mut sent = 0;
        if let Some(bytes) = dispatch::encode(&own) {
            let dispatch = Dispatch::new(&shared, &socket, &bytes, OWN);
            sent += dispatch.send(targets).await;
        }
        if is_greeting {
            next_summary = next_summary.min(summary_sent_at + MIN_GREETING_INTERVAL);
        }
        let is_postponed = is_greeting && now < next_summary;
        if is_requested || now >= next_summary {
            summary_sent_at = now;
            next_summary = now + REMOTE_INTERVAL;
            if shared.delegate(now).is_none() {
                sent += send_summary(&shared, &socket, own, now).await;
            }
        }
        apply_loads(&shared, now);
        let due = Instant::now() + MIN_INTERVAL;
        pace.record(sent, now);
        next = pace.next_at(interval + MIN_INTERVAL);
        if is_postponed {
            next = next.min(next_summary);
        }
        tokio::time::sleep_until(due.into()).await;
        record_lateness(&shared, Instant::now().saturating_duration_since(due));
    }
}

/// Waits for a notice, which is taken from a time on.
async fn notified_from(notice: &Notify, from: Instant) {
    tokio::time::sleep_until(from.into()).await;
    notice.notified().await;
}

/// Records how late a timer fired; logs when this VM becomes busy or stops being busy.
fn record_lateness(shared: &Shared, late: Duration) {
    let mut lateness = lock(&shared.lateness);
    let before = lateness.is_busy();
    lateness.record(late);
    let is_busy = lateness.is_busy();
    drop(lateness);
    if is_busy != before {
        let late_ms = late.as_millis();
        let running = shared.requests_in_flight();
        log::info!("event=busy is_busy={is_busy} late_ms={late_ms} running={running}");
    }
}

/// Sends the summary of this data centre to the delegates of the others, and to members of those
/// whose delegate is silent; returns the bytes.
async fn send_summary(shared: &Shared, socket: &UdpSocket, own: Report, now: Instant) -> usize {
    let Some(bytes) = dispatch::encode(&data_centre_summary(shared, own, now)) else {
        return 0;
    };
    let (delegates, silent) = {
        let fleet = lock(&shared.fleet);
        let delegates = fleet.remote_delegates();
        let silent = fleet.silent_data_centres(&shared.settings.data_centre, &delegates, now);
        (delegates, silent)
    };
    let dispatch = Dispatch::new(shared, socket, &bytes, SUMMARY);
    dispatch.send(delegates).await + dispatch.reach(silent).await
}

/// Returns the other VMs of this data centre, and the seeds while no other VM is up.
fn local_targets(shared: &Shared, now: Instant) -> IndexSet<SocketAddr> {
    let settings = &shared.settings;
    let fleet = lock(&shared.fleet);
    let mut targets = fleet.local_targets(&settings.data_centre);
    if fleet.alive(now).next().is_none() {
        let port = settings.listen.peers.port();
        let seeds = settings.seeds.iter();
        targets.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), port)));
    }
    targets.shift_remove(&settings.listen.peers);
    targets
}

/// Returns the report of this VM.
fn vm_report(shared: &Shared, sequence: u64, now: Instant) -> Report {
    let (in_flight, down) = shared.services.load_report(now);
    let settings = &shared.settings;
    let crashes = lock(&shared.crashes).report(MAX_CRASHES, sequence, now);
    let words = shared.services.words(now);
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
        known: held_versions(shared, now),
        members: Vec::new(),
        in_flight,
        handled: shared.services.recent_handled(false, now),
        down,
        leaving: words.leaving,
        staying: words.staying,
        limits: words.limits,
        spending: lock(&shared.ledger).changes(now),
        crashes,
        takeovers: shared.takeovers.report(false),
        usage: shared
            .usage
            .as_ref()
            .map(|usage| usage.part(shared.phase() == Phase::Leaving)),
        paces: shared.services.stated_paces(false, now),
    }
}

/// Returns what this VM holds of the store's data.
fn held_versions(shared: &Shared, now: Instant) -> Known {
    let age = shared.store_data_age(now).map(|age| age.as_millis());
    Known {
        age: age.map(|age| u32::try_from(age).unwrap_or(u32::MAX)),
        reads: shared.reads_store(now),
        orders: lock(&shared.orders).version,
        listing: lock(&shared.listing).number(),
    }
}

/// Returns the summary of this data centre: this VM's report merged with those of the others.
fn data_centre_summary(shared: &Shared, own: Report, now: Instant) -> Report {
    let mut loads: IndexMap<ShortDigest, u16> = own.in_flight.iter().copied().collect();
    let mut down: IndexSet<ShortDigest> = own.down.iter().copied().collect();
    let mut members = vec![Member::of(&own)];
    let mut words = PassedWords {
        leaving: own.leaving.clone(),
        staying: own.staying.clone(),
        limits: own.limits.clone(),
    };
    {
        let fleet = lock(&shared.fleet);
        for peer in fleet.local(now) {
            let report = &peer.report;
            for (server, count) in &report.in_flight {
                let sum = loads.entry(*server).or_default();
                *sum = sum.saturating_add(*count);
            }
            down.extend(&report.down);
            let passed = now.saturating_duration_since(peer.received_at);
            words.merge(report, passed);
            members.push(Member::of(report));
        }
    }
    words.limit();
    Report {
        members,
        leaving: words.leaving,
        staying: words.staying,
        limits: words.limits,
        in_flight: loads.into_iter().collect(),
        handled: shared.services.recent_handled(true, now),
        down: down.into_iter().collect(),
        spending: lock(&shared.ledger).data_centre_changes(now),
        takeovers: shared.takeovers.report(true),
        usage: shared.usage.as_ref().map(Usage::data_centre_part),
        paces: shared.services.stated_paces(true, now),
        ..own
    }
}

/// Passes the summed loads to server selection, and drops the spending of VMs that are down.
fn apply_loads(shared: &Shared, now: Instant) {
    let mut loads: IndexMap<ShortDigest, u32> = IndexMap::new();
    let mut down = IndexSet::new();
    let (down_vms, members) = {
        let mut fleet = lock(&shared.fleet);
        let down_vms = fleet.expire(now);
        for peer in fleet.local(now).chain(fleet.remote(now)) {
            for (server, count) in &peer.report.in_flight {
                *loads.entry(*server).or_default() += u32::from(*count);
            }
            down.extend(&peer.report.down);
        }
        (down_vms, fleet.coverage(&shared.settings.vm, now).members)
    };
    let mut ledger = lock(&shared.ledger);
    down_vms.iter().for_each(|vm| ledger.forget(vm));
    drop(ledger);
    shared.services.apply_peer_loads(&loads, &down, members);
}

/// Receives reports until the task is dropped.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; report::MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("event=report-unreceived error=\"{error}\"");
                tokio::time::sleep(MIN_INTERVAL).await;
                continue;
            }
        };
        shared.traffic.record(Kind::ReportsIn, length);
        let (part, bytes) = report::split(&buffer[..length]);
        match report::decode(bytes) {
            Ok(report) => {
                let now = Instant::now();
                let targets = handle_report(&shared, from, &report, now);
                let dispatch = Dispatch::new(&shared, &socket, bytes, PASSED_ON);
                match part {
                    Some(part) => dispatch.send(part_targets(&shared, part, &from)).await,
                    None if targets.is_empty() => 0,
                    None => dispatch.pass_on(targets).await,
                };
            }
            Err(error) => log::warn!("event=report-unreadable from={from} error=\"{error}\""),
        }
    }
}

/// Returns the VMs of a part of this data centre, without the one that a report is from.
fn part_targets(shared: &Shared, part: Part, from: &SocketAddr) -> IndexSet<SocketAddr> {
    let settings = &shared.settings;
    let mut targets = lock(&shared.fleet).local_targets(&settings.data_centre);
    targets
        .retain(|target| part.holds(target) && target != from && *target != settings.listen.peers);
    targets
}

/// Processes a received report; returns the addresses to forward it to.
fn handle_report(
    shared: &Shared,
    from: SocketAddr,
    report: &Report,
    now: Instant,
) -> IndexSet<SocketAddr> {
    let settings = &shared.settings;
    let is_own = report.data_centre == settings.data_centre;
    if report.vm == settings.vm || (is_own && report.is_summary()) {
        return IndexSet::new();
    }
    let mut fleet = lock(&shared.fleet);
    if !is_own && !report.is_summary() {
        // The sender knows only the seeds. The report goes to its delegate; if none is known, the
        // next summary goes to all VMs of its data centre.
        fleet.add_member(report);
        shared.greeting_requested.notify_one();
        let delegate = fleet
            .remote(now)
            .find(|p| p.report.data_centre == report.data_centre);
        return delegate
            .map(|peer| peer.report.address)
            .into_iter()
            .collect();
    }
    let previous_delegate: Option<Vm> = fleet.delegate_of(&report.data_centre).cloned();
    let receipt = fleet.merge_report(report.clone(), now);
    let is_direct = report.is_summary() && !fleet.is_local(&from);
    let targets = match is_direct && receipt != Receipt::Outdated {
        true => fleet.local_targets(&settings.data_centre),
        false => IndexSet::new(),
    };
    drop(fleet);
    // A data centre whose delegate is silent gets summaries at all its VMs; if each passed them on,
    // the datagrams would grow with the square of the VMs.
    let targets = match targets.is_empty() || shared.delegate(now).is_none() {
        true => targets,
        false => IndexSet::new(),
    };
    match receipt {
        Receipt::Outdated => return targets,
        Receipt::NewSender => {
            shared.report_received.notify_one();
            log::info!(
                "event=vm-heard vm={} incarnation={} data_centre={} members={} phase={:?}",
                report.vm,
                report.incarnation,
                report.data_centre,
                report.members.len(),
                report.phase
            );
            shared.greeting_requested.notify_one();
        }
        Receipt::KnownSender { has_news: true } => shared.report_received.notify_one(),
        Receipt::KnownSender { has_news: false } => {}
    }
    merge_report(shared, report, previous_delegate.as_ref(), now);
    let mut targets = targets;
    targets.shift_remove(&settings.listen.peers);
    targets
}

/// Merges a report into limits, servers, crash counts and takeovers.
fn merge_report(shared: &Shared, report: &Report, previous_delegate: Option<&Vm>, now: Instant) {
    {
        let mut ledger = lock(&shared.ledger);
        // The delegate of that data centre changed; the sums of the new one start elsewhere.
        if let Some(previous) =
            previous_delegate.filter(|vm| report.is_summary() && **vm != report.vm)
        {
            ledger.forget(previous);
        }
        let source = Source {
            vm: &report.vm,
            incarnation: report.incarnation,
            is_local: !report.is_summary(),
        };
        ledger.record_report(source, &report.spending, now);
    }
    shared
        .services
        .apply_words(&report.leaving, &report.staying, now);
    shared.services.apply_limits(&report.limits, now);
    let is_near = !report.is_summary();
    shared.services.apply_paces(&report.paces, now);
    shared.services.merge_handled(&report.handled, is_near, now);
    if lock(&shared.crashes).merge_report(&report.crashes, now) {
        shared.crashes_changed.notify_one();
    }
    shared.takeovers.merge_report(report);
    if let Some(usage) = &shared.usage {
        usage.merge_report(report);
    }
    let snapshot = lock(&shared.orders).snapshot;
    if report.known.orders > snapshot && report.phase != Phase::Starting {
        shared.orders_outdated.notify_one();
    }
}
