//! Exchanges slots, latencies and loads with other entries.

use super::{Peer, Router};
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

/// Exchanges within the data centre for each one with other data centres.
const FAR: u32 = 3;
/// Longest time for one exchange.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Age from which the demand that another entry reported is ignored.
const DEMAND_AGE: Duration = Duration::from_secs(5);

/// Exchanges until `stop` is cancelled.
pub(super) async fn run(router: Arc<Router>, stop: CancellationToken) {
    let mut round = 0_u32;
    while !stop.is_cancelled() {
        let snapshot = router.snapshot.borrow().clone();
        let news = router.update(&snapshot, Instant::now());
        let far = round.is_multiple_of(FAR);
        for address in router.partners(&snapshot, far) {
            tokio::spawn(exchange(router.clone(), address, news.clone()));
        }
        round = round.wrapping_add(1);
        let pause = tokio::time::sleep(router.settings.exchange_interval.0);
        stop.run_until_cancelled(pause).await;
    }
}

async fn exchange(router: Arc<Router>, address: SocketAddr, news: Servers) {
    let call = |client: ShareClient, context| async move {
        client.servers(context, Frame::new(news)).await
    };
    let answer = router.links.call(address, TIMEOUT, call).await;
    match answer.and_then(Frame::open) {
        Ok(news) => router.hear(news),
        Err(error) => log::debug!("no news from the entry at {address}: {error}"),
    }
}

impl Router {
    /// Answers the news of another entry with this entry's.
    pub fn answer(&self, news: Servers) -> Servers {
        self.hear(news);
        let snapshot = self.snapshot.borrow().clone();
        self.news(&snapshot, Instant::now())
    }

    /// Entries to exchange news with: all of the data centre and, if `far`, one of each other one.
    // TODO: at the target size, one entry of a data centre speaks for it and regions relay.
    fn partners(&self, snapshot: &Snapshot, far: bool) -> Vec<SocketAddr> {
        let mut centres: IndexMap<&DataCentre, Vec<&Node>> = IndexMap::new();
        for node in snapshot.nodes() {
            centres.entry(&node.data_centre).or_default().push(node);
        }
        let home = centres.swap_remove(&self.settings.data_centre);
        let near = (home.into_iter().flatten())
            .filter(|node| node.name != self.settings.vm)
            .map(|node| node.share);
        let one = |nodes: &Vec<&Node>| nodes.choose(&mut rand::rng()).map(|node| node.share);
        let far = centres.values().filter(|_| far).filter_map(one);
        near.chain(far).collect()
    }

    /// Applies the list, measures and plans; returns the news for other entries.
    fn update(&self, snapshot: &Snapshot, now: Instant) -> Servers {
        let members = self.members(snapshot);
        let entries = members.len().max(1) as f64;
        // A run that is learned later counts as a restart and would delay the first slots once more.
        let early = now < self.started + self.settings.settle.0;
        let members = match early && members.values().any(|run| *run == 0) {
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
            let shard = self.shard(name);
            let mut load = shard.sync(servers, members.clone(), snapshot, now);
            load.demand += self.demand(name, now);
            let inbound = shard.lent() * entries;
            self.spill.update_plan(service, load, inbound, entries, now);
        }
        let links = snapshot.bundle().map(|bundle| &*bundle.fleet.links);
        (self.spill).update_links(links.unwrap_or_default(), snapshot.nodes(), now);
        self.news(snapshot, now)
    }

    /// Entries of this data centre with their runs; 0 for one that was not heard yet.
    ///
    /// This entry counts as one only when the list has it, since the others wait for that as well.
    fn members(&self, snapshot: &Snapshot) -> IndexMap<Vm, Incarnation> {
        let mut peers = self.peers();
        peers.retain(|vm, _| snapshot.nodes().iter().any(|node| node.name == *vm));
        let run = |vm: &Vm| match *vm == self.settings.vm {
            true => self.incarnation,
            false => peers.get(vm).map_or(0, |peer| peer.incarnation),
        };
        (snapshot.nodes().iter())
            .filter(|node| node.data_centre == self.settings.data_centre)
            .map(|node| (node.name.clone(), run(&node.name)))
            .collect()
    }

    /// Requests per second that arrive at the other entries of this data centre.
    fn demand(&self, service: &str, now: Instant) -> f64 {
        let fresh = |peer: &&Peer| now.saturating_duration_since(peer.heard) <= DEMAND_AGE;
        let peers = self.peers();
        (peers.values().filter(fresh))
            .filter_map(|peer| peer.demands.get(service))
            .sum()
    }

    fn news(&self, snapshot: &Snapshot, now: Instant) -> Servers {
        let mut news = Servers {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            loads: self.spill.loads(),
            ..Servers::default()
        };
        for service in services(snapshot) {
            let name = &service.service.value;
            let (notice, summaries, verdicts) = self.shard(name).news(now);
            news.verdicts.extend(verdicts);
            news.notices.insert(name.clone(), notice);
            news.summaries.extend(summaries);
            news.demands.insert(name.clone(), self.shard(name).demand());
        }
        news
    }

    fn hear(&self, news: Servers) {
        let now = Instant::now();
        let snapshot = self.snapshot.borrow().clone();
        let Some(node) = snapshot.nodes().iter().find(|node| node.name == news.vm) else {
            return;
        };
        let mut summaries: IndexMap<(id::Service, Label), Vec<Summary>> = IndexMap::new();
        for summary in news.summaries {
            if let Some(server) = snapshot.server(&summary.server) {
                let listed = &server.listed;
                let key = (listed.service.clone(), listed.label.clone());
                summaries.entry(key).or_default().push(summary);
            }
        }
        for ((service, label), summaries) in summaries {
            if let Some(shard) = self.known(&service) {
                shard.learn(&label, summaries, now);
            }
        }
        if node.data_centre == self.settings.data_centre {
            self.peers().insert(
                news.vm,
                Peer {
                    incarnation: news.incarnation,
                    demands: news.demands,
                    heard: now,
                },
            );
            for verdict in news.verdicts {
                let server = snapshot
                    .server(&verdict.server)
                    .map(|server| &server.listed);
                if let Some(listed) = server
                    && let Some(shard) = self.known(&listed.service)
                {
                    shard.follow(&listed.label, verdict, now);
                }
            }
            for (service, notice) in news.notices {
                if let Some(shard) = self.known(&service) {
                    shard.hear(notice, now);
                }
            }
        } else {
            for (service, load) in news.loads {
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
