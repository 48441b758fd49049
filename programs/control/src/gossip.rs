//! Serves control processes and entries of other VMs.

mod spread;

use crate::granter;
use crate::release::exchange;
use crate::state::{Known, Peer, Shared};
use crate::versions;
use base::id::{Version, Vm};
use indexmap::IndexMap;
use peers::gossip::{Exchange, Floor, Gossip, Owned, Releases, Reply};
use peers::wire::{self, Frame};
use spread::Spread;
use std::time::Instant;
use steering::limits::{Grant, Renew};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[derive(Clone)]
struct Server {
    shared: Shared,
    spread: Spread,
}

impl Gossip for Server {
    async fn exchange(self, _: Context, exchange: Frame<Exchange>) -> Frame<Option<Reply>> {
        let Ok(exchange) = exchange.open() else {
            return Frame::new(None);
        };
        let peer = Peer {
            vm: exchange.vm.clone(),
            data_centre: Some(exchange.data_centre.clone()),
            address: exchange.gossip,
        };
        let (reply, lags) = self
            .shared
            .touch(|known| known.reply(exchange, Instant::now()));
        if lags {
            self.spread.ask(peer, false);
        }
        Frame::new(Some(reply))
    }

    async fn version(self, _: Context) -> Frame<Version> {
        Frame::new(self.shared.read(Known::version))
    }

    async fn versions(self, _: Context) -> Frame<IndexMap<Vm, Version>> {
        Frame::new(versions::centre(&self.shared).await)
    }

    async fn releases(self, _: Context, news: Frame<Releases>) -> Frame<Releases> {
        if let Ok(news) = news.open() {
            exchange::hear(&self.shared, news);
        }
        let news = |known: &Known| known.board.news(&self.shared.settings.vm);
        Frame::new(self.shared.read(news))
    }

    async fn floor(self, _: Context, vm: Frame<Vm>) -> Frame<Option<Floor>> {
        let vm = vm.open().ok();
        let answer = |vm: Vm| self.shared.read(|known| granter::ask::answer(known, &vm));
        Frame::new(vm.and_then(answer))
    }

    async fn owns(self, _: Context, owned: Frame<Owned>) {
        if let Ok(Owned { vm, version }) = owned.open() {
            self.shared
                .touch(|known| known.owners.record_owner(&vm, version));
        }
    }

    async fn renew(self, _: Context, renew: Frame<Renew>) -> Frame<Option<Grant>> {
        let grant = renew.open().ok();
        Frame::new(grant.and_then(|renew| granter::renew(&self.shared, &renew)))
    }
}

/// Serves and exchanges with other VMs until `stop` is cancelled.
pub async fn run(listener: TcpListener, shared: Shared, stop: CancellationToken) {
    let spread = Spread::new(shared.clone());
    let server = Server {
        shared,
        spread: spread.clone(),
    };
    let served = wire::accept(listener, stop.clone(), |stream| {
        wire::serve(stream, server.clone().serve())
    });
    tokio::join!(served, spread.run(stop));
}
