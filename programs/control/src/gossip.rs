//! Serves control processes and entries of other VMs.

mod exchanger;

use crate::granter;
use crate::release::exchange;
use crate::state::{ControlState, Peer, Shared};
use crate::versions;
use base::id::{Version, Vm};
use exchanger::Exchanger;
use indexmap::IndexMap;
use peers::gossip::{Exchange, Floor, Gossip, Owned, Releases, Reply};
use peers::wire::{self, Frame};
use std::time::Instant;
use steering::limits::{Grant, Renew};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[derive(Clone)]
struct Server {
    shared: Shared,
    exchanger: Exchanger,
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
        let (reply, sender_has_more) = self
            .shared
            .update(|known| known.answer_exchange(exchange, Instant::now()));
        if sender_has_more {
            self.exchanger.start_exchange(peer, false);
        }
        Frame::new(Some(reply))
    }

    async fn version(self, _: Context) -> Frame<Version> {
        Frame::new(self.shared.read(ControlState::version))
    }

    async fn versions(self, _: Context) -> Frame<IndexMap<Vm, Version>> {
        Frame::new(versions::data_centre_versions(&self.shared).await)
    }

    async fn releases(self, _: Context, message: Frame<Releases>) -> Frame<Releases> {
        if let Ok(message) = message.open() {
            exchange::merge_message(&self.shared, message);
        }
        let message = |known: &ControlState| known.progress.message(&self.shared.settings.vm);
        Frame::new(self.shared.read(message))
    }

    async fn floor(self, _: Context, vm: Frame<Vm>) -> Frame<Option<Floor>> {
        let vm = vm.open().ok();
        let answer = |vm: Vm| {
            self.shared
                .read(|known| granter::floor_exchange::handle(known, &vm))
        };
        Frame::new(vm.and_then(answer))
    }

    async fn owns(self, _: Context, owned: Frame<Owned>) {
        if let Ok(Owned { vm, version }) = owned.open() {
            self.shared
                .update(|known| known.floor_owners.record_owner(&vm, version));
        }
    }

    async fn renew(self, _: Context, renew: Frame<Renew>) -> Frame<Option<Grant>> {
        let grant = renew.open().ok();
        Frame::new(grant.and_then(|renew| granter::renew(&self.shared, &renew)))
    }
}

/// Serves and exchanges with other VMs until `stop` is cancelled.
pub async fn run(listener: TcpListener, shared: Shared, stop: CancellationToken) {
    let exchanger = Exchanger::new(shared.clone());
    let server = Server {
        shared,
        exchanger: exchanger.clone(),
    };
    let served = wire::accept(listener, stop.clone(), |stream| {
        wire::serve(stream, server.clone().serve())
    });
    tokio::join!(served, exchanger.run(stop));
}
