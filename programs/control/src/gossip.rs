//! Serves control processes and entries of other VMs.

use crate::granter;
use crate::state::Shared;
use peers::gossip::{Exchange, Gossip, Releases, Reply};
use peers::wire::{self, Frame};
use steering::limits::{Grant, Renew};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[derive(Clone)]
struct Server {
    // TODO: the other calls below answer from it.
    shared: Shared,
}

impl Gossip for Server {
    async fn exchange(self, _: Context, _exchange: Frame<Exchange>) -> Frame<Option<Reply>> {
        Frame::new(None)
    }

    async fn releases(self, _: Context, _news: Frame<Releases>) -> Frame<Releases> {
        Frame::new(Releases::default())
    }

    async fn renew(self, _: Context, renew: Frame<Renew>) -> Frame<Option<Grant>> {
        let grant = renew.open().ok();
        Frame::new(grant.and_then(|renew| granter::renew(&self.shared, &renew)))
    }
}

/// Serves until `stop` is cancelled.
pub async fn run(listener: TcpListener, shared: Shared, stop: CancellationToken) {
    let server = Server { shared };
    wire::accept(listener, stop, |stream| {
        wire::serve(stream, server.clone().serve())
    })
    .await;
}
