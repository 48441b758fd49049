//! Serves control processes and entries of other VMs.

use crate::release::exchange;
use crate::state::{Known, Shared};
use peers::gossip::{Exchange, Gossip, Releases, Reply};
use peers::wire::{self, Frame};
use steering::limits::{Grant, Renew};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[derive(Clone)]
struct Server {
    shared: Shared,
}

impl Gossip for Server {
    async fn exchange(self, _: Context, _exchange: Frame<Exchange>) -> Frame<Option<Reply>> {
        Frame::new(None)
    }

    async fn releases(self, _: Context, news: Frame<Releases>) -> Frame<Releases> {
        if let Ok(news) = news.open() {
            exchange::hear(&self.shared, news);
        }
        let news = |known: &Known| known.board.news(&self.shared.settings.vm);
        Frame::new(self.shared.read(news))
    }

    async fn renew(self, _: Context, _renew: Frame<Renew>) -> Frame<Option<Grant>> {
        Frame::new(None)
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
