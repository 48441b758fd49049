//! Slots lent by other entries.

use super::{Router, ServerSearch};
use base::id::DataCentre;
use peers::share::Want;
use peers::wire::Frame;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::balance::Loan;

/// Longest time for a call to a lender.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Most entries that one attempt asks for a slot.
const MAX_LENDERS: usize = 2;
/// Longest term of a loan; if its return is lost, the slot stays taken for twice the term.
const MAX_LOAN_TERM: Duration = Duration::from_secs(60);

/// A slot borrowed from another entry; returned when dropped.
#[derive(Debug)]
pub(super) struct BorrowedSlot {
    router: Arc<Router>,
    lender: SocketAddr,
    loan: Loan,
}

impl BorrowedSlot {
    /// Returns the name of the server.
    pub(super) fn server(&self) -> &str {
        &self.loan.server
    }
}

impl Drop for BorrowedSlot {
    fn drop(&mut self) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let (router, lender, loan) = (self.router.clone(), self.lender, self.loan.clone());
        runtime.spawn(async move {
            let call = |client: peers::share::ShareClient, context| async move {
                client.give_back(context, Frame::new(loan)).await
            };
            // If the return is lost, the loan expires.
            if let Err(error) = router.links.call(lender, CALL_TIMEOUT, call).await {
                log::debug!("slot of a loan from {lender} was not returned: {error}");
            }
        });
    }
}

/// Borrows a slot from an entry of a data centre.
pub(super) async fn borrow(
    search: &ServerSearch<'_>,
    data_centre: &DataCentre,
) -> Option<BorrowedSlot> {
    let is_local = *data_centre == search.router.settings.data_centre;
    let _permit = search.state.borrow_permit(is_local)?;
    let mut lenders: Vec<_> = (search.snapshot().nodes().iter())
        .filter(|n| n.data_centre == *data_centre && n.name != search.router.settings.vm)
        .map(|node| node.share)
        .collect();
    lenders.shuffle(&mut rand::rng());
    for lender in lenders.into_iter().take(MAX_LENDERS) {
        let term = search.deadline.saturating_duration_since(Instant::now());
        if term.is_zero() || term > MAX_LOAN_TERM {
            return None;
        }
        let want = Want {
            data_centre: search.router.settings.data_centre.clone(),
            service: search.state.service.clone(),
            label: search.label.clone(),
            term,
            except: search
                .state
                .unusable_servers(search.tried, &search.snapshot()),
        };
        // The task goes on when the caller leaves, so that a granted slot is returned.
        let loan_task = tokio::spawn(request_loan(search.router.clone(), lender, want));
        if let Ok(Some(loan)) = loan_task.await {
            return Some(loan);
        }
    }
    None
}

async fn request_loan(router: Arc<Router>, lender: SocketAddr, want: Want) -> Option<BorrowedSlot> {
    let call = |client: peers::share::ShareClient, context| async move {
        client.lend(context, Frame::new(want)).await
    };
    let answer = router.links.call(lender, CALL_TIMEOUT, call).await;
    let loan = answer.ok()?.open().ok()??;
    router.metrics.loans.inc();
    Some(BorrowedSlot {
        router,
        lender,
        loan,
    })
}

impl Router {
    /// Lends a slot to another entry.
    pub fn lend(&self, want: &Want) -> Option<Loan> {
        let state = self.existing_service(&want.service)?;
        let snapshot = self.snapshot.borrow().clone();
        let is_local = want.data_centre == self.settings.data_centre;
        let want = Want {
            term: want.term.min(MAX_LOAN_TERM),
            ..want.clone()
        };
        state.lend(&want, is_local, &snapshot, Instant::now())
    }

    /// Takes a lent slot back.
    pub fn return_loan(&self, loan: &Loan) {
        let snapshot = self.snapshot.borrow().clone();
        let server = snapshot.server(&loan.server);
        if let Some(state) = server.and_then(|server| self.existing_service(&server.listed.service))
        {
            state.return_loan(loan);
        }
    }
}
