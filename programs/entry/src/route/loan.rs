//! Slots lent by other entries.

use super::{Router, Seek};
use base::id::DataCentre;
use peers::share::Want;
use peers::wire::Frame;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::balance::Loan;

/// Longest time for the answer of a lender.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Most entries that are asked in one look.
const ASKED: usize = 2;
/// Longest term of a loan; a lost return costs the slot for twice that.
const MOST_TERM: Duration = Duration::from_secs(60);

/// A lent slot; given back when it is dropped.
#[derive(Debug)]
pub(super) struct Loaned {
    router: Arc<Router>,
    lender: SocketAddr,
    loan: Loan,
}

impl Loaned {
    /// Returns the name of the server.
    pub(super) fn server(&self) -> &str {
        &self.loan.server
    }
}

impl Drop for Loaned {
    fn drop(&mut self) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let (router, lender, loan) = (self.router.clone(), self.lender, self.loan.clone());
        runtime.spawn(async move {
            let call = |client: peers::share::ShareClient, context| async move {
                client.give_back(context, Frame::new(loan)).await
            };
            // A lost return ends with the term of the loan.
            if let Err(error) = router.links.call(lender, ASK_TIMEOUT, call).await {
                log::debug!("a slot could not be given back: {error}");
            }
        });
    }
}

/// Asks entries of a data centre for a slot.
pub(super) async fn borrow(seek: &Seek<'_>, data_centre: &DataCentre) -> Option<Loaned> {
    let near = *data_centre == seek.router.settings.data_centre;
    let _permit = seek.shard.borrowing(near)?;
    let mut lenders: Vec<_> = (seek.snapshot().nodes().iter())
        .filter(|n| n.data_centre == *data_centre && n.name != seek.router.settings.vm)
        .map(|node| node.share)
        .collect();
    lenders.shuffle(&mut rand::rng());
    for lender in lenders.into_iter().take(ASKED) {
        let term = seek.deadline.saturating_duration_since(Instant::now());
        if term.is_zero() || term > MOST_TERM {
            return None;
        }
        let want = Want {
            data_centre: seek.router.settings.data_centre.clone(),
            service: seek.shard.service.clone(),
            label: seek.label.clone(),
            term,
            except: seek.shard.unfit(seek.tried, &seek.snapshot()),
        };
        // The task goes on when the caller leaves, so that a granted slot is given back.
        let asked = tokio::spawn(ask(seek.router.clone(), lender, want));
        if let Ok(Some(loan)) = asked.await {
            return Some(loan);
        }
    }
    None
}

async fn ask(router: Arc<Router>, lender: SocketAddr, want: Want) -> Option<Loaned> {
    let call = |client: peers::share::ShareClient, context| async move {
        client.lend(context, Frame::new(want)).await
    };
    let answer = router.links.call(lender, ASK_TIMEOUT, call).await;
    let loan = answer.ok()?.open().ok()??;
    router.metrics.loans.inc();
    Some(Loaned {
        router,
        lender,
        loan,
    })
}

impl Router {
    /// Lends a slot to another entry.
    pub fn lend(&self, want: &Want) -> Option<Loan> {
        let shard = self.known(&want.service)?;
        let snapshot = self.snapshot.borrow().clone();
        let near = want.data_centre == self.settings.data_centre;
        let want = Want {
            term: want.term.min(MOST_TERM),
            ..want.clone()
        };
        shard.lend(&want, near, &snapshot, Instant::now())
    }

    /// Takes a lent slot back.
    pub fn return_loan(&self, loan: &Loan) {
        let snapshot = self.snapshot.borrow().clone();
        let server = snapshot.server(&loan.server);
        if let Some(shard) = server.and_then(|server| self.known(&server.listed.service)) {
            shard.returned(loan);
        }
    }
}
