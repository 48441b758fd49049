//! Serves the entries of other VMs.

use crate::pipeline::Pipeline;
use peers::share::{Answer, Question, Servers, Share, Suspects};
use peers::wire::{self, Frame};
use std::sync::Arc;
use steering::limits::{Borrow, Lent};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[derive(Clone)]
struct Server {
    // TODO: the other calls below answer from it.
    pipeline: Arc<Pipeline>,
}

impl Share for Server {
    async fn borrow(self, _: Context, borrow: Frame<Borrow>) -> Frame<Option<Lent>> {
        let borrow = borrow.open().ok();
        Frame::new(borrow.and_then(|borrow| self.pipeline.admission.lend(&borrow)))
    }

    async fn claim(self, _: Context, _question: Frame<Question>) -> Frame<Option<Answer>> {
        Frame::new(None)
    }

    async fn servers(self, _: Context, _news: Frame<Servers>) -> Frame<Servers> {
        Frame::new(Servers::default())
    }

    async fn suspects(self, _: Context, news: Frame<Suspects>) -> Frame<Suspects> {
        news
    }
}

/// Serves until `stop` is cancelled.
pub async fn run(listener: TcpListener, pipeline: Arc<Pipeline>, stop: CancellationToken) {
    let server = Server { pipeline };
    wire::accept(listener, stop, |stream| {
        wire::serve(stream, server.clone().serve())
    })
    .await;
}
