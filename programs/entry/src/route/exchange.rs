//! Exchanges reports of slots, latencies and loads with other entries.

use super::{PeerReport, Router};
use crate::server::Server;
use crate::snapshot::Snapshot;
use base::id::{self, DataCentre, Incarnation, Label, Vm};
use indexmap::IndexMap;
use peers::share::{Servers, ShareClient};
use peers::wire::Frame;
use platform::list::Node;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::balance::Summary;
use tokio_util::sync::CancellationToken;

/// Rounds of exchanges inside the data centre for each round that includes other data centres.
const REMOTE_EXCHANGE_ROUNDS: u32 = 3;
/// Longest time for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Age above which the demand that another entry reported is ignored.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(5);

/// Exchanges reports until `stop` is cancelled.
pub(super) async fn run(router: Arc<Router>, stop: CancellationToken) {
    let mut round = 0_u32;
    while !stop.is_cancelled() {
        let snapshot = router.snapshot.borrow().clone();
        let report = router.update(&snapshot, Instant::now());
        let with_remote = round.is_multiple_of(REMOTE_EXCHANGE_ROUNDS);
        for address in router.partners(&snapshot, with_remote) {
            tokio::spawn(exchange(router.clone(), address, report.clone()));
        }
        round = round.wrapping_add(1);
        let pause = tokio::time::sleep(router.settings.exchange_interval.0);
        stop.run_until_cancelled(pause).await;
    }
}

async fn exchange(router: Arc<Router>, address: SocketAddr, report: Servers) {
    let call = |client: ShareClient, context| async move {
        client.servers(context, Frame::new(report)).await
    };
    let answer = router.links.call(address, EXCHANGE_TIMEOUT, call).await;
    match answer.and_then(Frame::open) {
        Ok(report) => router.merge_report(report),
        Err(error) => log::debug!("entry at {address} did not answer a report: {error}"),
    }
}

impl Router {
    /// Merges the report of another entry and returns this entry's.
    pub fn exchange_reports(&self, report: Servers) -> Servers {
        self.merge_report(report);
        let snapshot = self.snapshot.borrow().clone();
        self.report(&snapshot, Instant::now())
    }

    /// Returns the entries to exchange reports with: all of the data centre and, if `with_remote`,
    /// one of each other data centre.
    // TODO: at the target size, one entry should report for its data centre, and regions should
    // relay.
    fn partners(&self, snapshot: &Snapshot, with_remote: bool) -> Vec<SocketAddr> {
        let mut data_centres: IndexMap<&DataCentre, Vec<&Node>> = IndexMap::new();
        for node in snapshot.nodes() {
            data_centres
                .entry(&node.data_centre)
                .or_default()
                .push(node);
        }
        let local = data_centres.swap_remove(&self.settings.data_centre);
        let local = (local.into_iter().flatten())
            .filter(|node| node.name != self.settings.vm)
            .map(|node| node.share);
        let random = |nodes: &Vec<&Node>| nodes.choose(&mut rand::rng()).map(|node| node.share);
        let remote = data_centres
            .values()
            .filter(|_| with_remote)
            .filter_map(random);
        local.chain(remote).collect()
    }

    /// Applies the list, measures the loads and plans the spill; returns the report for other
    /// entries.
    fn update(&self, snapshot: &Snapshot, now: Instant) -> Servers {
        let members = self.members(snapshot);
        let entries = members.len().max(1) as f64;
        // An incarnation that becomes known later counts as a restart and would delay the first
        // slots once more.
        let is_settling = now < self.started_at + self.settings.settle.0;
        let members = match is_settling && members.values().any(|incarnation| *incarnation == 0) {
            true => IndexMap::new(),
            false => members,
        };
        let mut local: IndexMap<&id::Service, Vec<Arc<Server>>> = IndexMap::new();
        for server in snapshot.listed() {
            if server.listed.data_centre == self.settings.data_centre {
                let servers = local.entry(&server.listed.service).or_default();
                servers.push(server.clone());
            }
        }
        for service in services(snapshot) {
            let name = &service.service.value;
            let servers = local.get(name).map_or(&[][..], Vec::as_slice);
            let state = self.service_state(name);
            let mut load = state.apply_list(servers, members.clone(), snapshot, now);
            load.demand += self.peer_demand(name, now);
            let inbound = state.lent_rate() * entries;
            self.spill.update_plan(service, load, inbound, entries, now);
        }
        let links = snapshot.bundle().map(|bundle| &*bundle.fleet.links);
        (self.spill).update_links(links.unwrap_or_default(), snapshot.nodes(), now);
        self.report(snapshot, now)
    }

    /// Returns the entries of this data centre with their incarnations; 0 for one that has not
    /// reported yet.
    ///
    /// This entry is a member only when it is on the list, since the other entries wait for that
    /// too.
    fn members(&self, snapshot: &Snapshot) -> IndexMap<Vm, Incarnation> {
        let mut peers = self.peer_reports();
        peers.retain(|vm, _| snapshot.nodes().iter().any(|node| node.name == *vm));
        let incarnation = |vm: &Vm| match *vm == self.settings.vm {
            true => self.incarnation,
            false => peers.get(vm).map_or(0, |peer| peer.incarnation),
        };
        (snapshot.nodes().iter())
            .filter(|node| node.data_centre == self.settings.data_centre)
            .map(|node| (node.name.clone(), incarnation(&node.name)))
            .collect()
    }

    /// Returns the requests per second that arrive at the other entries of this data centre.
    fn peer_demand(&self, service: &str, now: Instant) -> f64 {
        let is_fresh =
            |peer: &&PeerReport| now.saturating_duration_since(peer.received_at) <= MAX_DEMAND_AGE;
        let peers = self.peer_reports();
        (peers.values().filter(is_fresh))
            .filter_map(|peer| peer.demands.get(service))
            .sum()
    }

    fn report(&self, snapshot: &Snapshot, now: Instant) -> Servers {
        let mut report = Servers {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            loads: self.spill.loads(),
            ..Servers::default()
        };
        for service in services(snapshot) {
            let name = &service.service.value;
            let (notice, summaries, verdicts) = self.service_state(name).report(now);
            report.verdicts.extend(verdicts);
            report.notices.insert(name.clone(), notice);
            report.summaries.extend(summaries);
            report
                .demands
                .insert(name.clone(), self.service_state(name).demand());
        }
        report
    }

    fn merge_report(&self, report: Servers) {
        let now = Instant::now();
        let snapshot = self.snapshot.borrow().clone();
        let Some(node) = snapshot.nodes().iter().find(|node| node.name == report.vm) else {
            return;
        };
        let mut summaries: IndexMap<(id::Service, Label), Vec<Summary>> = IndexMap::new();
        for summary in report.summaries {
            if let Some(server) = snapshot.server(&summary.server) {
                let listed = &server.listed;
                let key = (listed.service.clone(), listed.label.clone());
                summaries.entry(key).or_default().push(summary);
            }
        }
        for ((service, label), summaries) in summaries {
            if let Some(state) = self.existing_service(&service) {
                state.merge_summaries(&label, summaries, now);
            }
        }
        if node.data_centre == self.settings.data_centre {
            self.peer_reports().insert(
                report.vm,
                PeerReport {
                    incarnation: report.incarnation,
                    demands: report.demands,
                    received_at: now,
                },
            );
            for verdict in report.verdicts {
                let server = snapshot
                    .server(&verdict.server)
                    .map(|server| &server.listed);
                if let Some(listed) = server
                    && let Some(state) = self.existing_service(&listed.service)
                {
                    state.merge_verdict(&listed.label, verdict, now);
                }
            }
            for (service, notice) in report.notices {
                if let Some(state) = self.existing_service(&service) {
                    state.apply_notice(notice, now);
                }
            }
        } else {
            for (service, load) in report.loads {
                if snapshot.service(&service).is_some() {
                    let place = (node.data_centre.clone(), node.region.clone());
                    self.spill.merge_load(&service, place, &load, now);
                }
            }
        }
    }
}

fn services(snapshot: &Snapshot) -> impl Iterator<Item = &operators::service::Service> {
    let bundle = snapshot.bundle().into_iter();
    bundle.flat_map(|bundle| bundle.services.values())
}
