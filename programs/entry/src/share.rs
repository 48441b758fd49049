//! Server for the entries of other VMs.

use crate::pipeline::Pipeline;
use crate::quarantine::pass;
use peers::share::{Answer, Passed, Question, Reply, Servers, Share, Suspects, Want};
use peers::wire::{self, Frame};
use std::sync::Arc;
use steering::balance::Loan;
use steering::limits::{Borrow, Lent};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[derive(Clone)]
struct Server {
    pipeline: Arc<Pipeline>,
}

impl Share for Server {
    async fn borrow(self, _: Context, borrow: Frame<Borrow>) -> Frame<Option<Lent>> {
        let borrow = borrow.open().ok();
        Frame::new(borrow.and_then(|borrow| self.pipeline.admission.lend(&borrow)))
    }

    async fn claim(self, _: Context, question: Frame<Question>) -> Frame<Option<Answer>> {
        let question = question.open().ok();
        Frame::new(question.map(|question| self.pipeline.claims().settle(&question)))
    }

    async fn pass(self, _: Context, passed: Frame<Passed>) -> Frame<Option<Reply>> {
        let _passing = self.pipeline.track_passed();
        let call = passed.open().ok().and_then(pass::parse_call);
        Frame::new(match call {
            Some(call) => pass::collect_reply(self.pipeline.handle_passed(&call).await).await,
            None => None,
        })
    }

    async fn servers(self, _: Context, news: Frame<Servers>) -> Frame<Servers> {
        let exchange = |news| self.pipeline.router().exchange_reports(news);
        Frame::new(news.open().map(exchange).unwrap_or_default())
    }

    async fn lend(self, _: Context, want: Frame<Want>) -> Frame<Option<Loan>> {
        let lend = |want| self.pipeline.router().lend(&want);
        Frame::new(want.open().ok().and_then(lend))
    }

    async fn give_back(self, _: Context, loan: Frame<Loan>) -> Frame<()> {
        if let Ok(loan) = loan.open() {
            self.pipeline.router().return_loan(&loan);
        }
        Frame::new(())
    }

    async fn suspects(self, _: Context, news: Frame<Suspects>) -> Frame<Suspects> {
        let quarantine = self.pipeline.quarantine();
        let is_new = news.open().is_ok_and(|news| quarantine.merge_report(&news));
        Frame::new(quarantine.report(is_new))
    }
}

/// Serves calls of other entries until `stop` is cancelled.
pub async fn run(listener: TcpListener, pipeline: Arc<Pipeline>, stop: CancellationToken) {
    let server = Server { pipeline };
    wire::accept(listener, stop, |stream| {
        wire::serve(stream, server.clone().serve())
    })
    .await;
}
