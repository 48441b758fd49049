//! Borrowing from and lending to the workspace's holders on other VMs.

use super::Holder;
use crate::limits::loan::Loan;
use crate::limits::message::{Borrow, Lent};
use crate::limits::{Amount, TOKEN};
use base::id::Vm;
use std::time::{Duration, Instant};

/// Minimum amount of a loan; smaller ones only scatter fractions of a token.
const MIN_LOAN: Amount = TOKEN / 4;
/// Typical time from a borrow request to its answer between regions.
const ROUND_TRIP: Duration = Duration::from_millis(30);
/// Borrowers whose last request number is remembered. A duplicate from a forgotten one costs the
/// lender tokens but creates none.
const MAX_BORROWERS: usize = 256;

base::value! {
    /// A borrow request and its recipient.
    pub struct LoanRequest {
        /// VM of the lender.
        pub peer: Vm,
        /// Request to send.
        pub borrow: Borrow,
    }
}

impl Holder {
    /// Returns a borrow request if fewer than `needed` tokens are available or expected; call again
    /// on each event while requests wait.
    ///
    /// Headroom for the answer is reserved until it arrives or times out. Without that, the
    /// lender would refill while the tokens are in transit and the sum would exceed the burst.
    pub fn borrow(&mut self, needed: Amount, now: Instant) -> Option<LoanRequest> {
        self.expire(now);
        let expected: Amount = self.loans.values().map(|loan| loan.tokens).sum();
        let short = needed.checked_sub(self.bucket.level(now).saturating_add(expected))?;
        if short == 0 || self.loans.len() >= self.settings.max_loans {
            return None;
        }
        // Reserved headroom doesn't refill, so the refill of one round trip stays unreserved.
        let own_refill = u128::from(self.bucket.part().rate) * ROUND_TRIP.as_micros() / 1_000_000;
        let own_refill = Amount::try_from(own_refill).unwrap_or(Amount::MAX);
        let headroom = self.bucket.headroom(now).saturating_sub(own_refill);
        let is_asked = |vm: &Vm| self.loans.values().any(|loan| loan.peer == *vm);
        let (peer, spare) = self.peers.choose(short, now, is_asked)?;
        let tokens = short.max(TOKEN).min(headroom).min(spare);
        if tokens < MIN_LOAN {
            return None;
        }
        if self.settings.reserve_headroom {
            self.bucket.reserve(tokens, now);
        }
        self.last_loan += 1;
        let loan = Loan {
            peer: peer.clone(),
            tokens,
            deadline: now + self.settings.loan_timeout,
        };
        self.loans.insert(self.last_loan, loan);
        let borrow = Borrow {
            workspace: self.identity.workspace.clone(),
            from: self.identity.incarnation,
            number: self.last_loan,
            tokens,
        };
        Some(LoanRequest { peer, borrow })
    }

    /// Debits the tokens to lend and returns the answer; ignores duplicates and requests older than
    /// the last one.
    pub fn lend(&mut self, borrow: &Borrow, now: Instant) -> Option<Lent> {
        let last = self.borrower_requests.entry(borrow.from).or_insert(0);
        if borrow.number <= *last || borrow.workspace != self.identity.workspace {
            return None;
        }
        *last = borrow.number;
        if self.borrower_requests.len() > MAX_BORROWERS {
            self.borrower_requests.shift_remove_index(0);
        }
        self.expire(now);
        let spare = self.spare(now);
        Some(Lent {
            to: borrow.from,
            number: borrow.number,
            tokens: self.bucket.take(spare.min(borrow.tokens), now),
            left: self.spare(now),
        })
    }

    /// Adds lent tokens to the reserved headroom; an answer after the timeout is ignored.
    pub fn apply_loan(&mut self, lent: &Lent, now: Instant) {
        self.expire(now);
        if lent.to != self.identity.incarnation {
            return;
        }
        if let Some(loan) = self.loans.shift_remove(&lent.number) {
            if self.settings.reserve_headroom {
                self.bucket.release(loan.tokens, now);
            }
            self.bucket.add(lent.tokens.min(loan.tokens), now);
            self.peers.update(&loan.peer, lent.left, now);
        }
    }

    /// Returns the tokens that can be lent: half of the level, or all if this holder has no demand.
    pub(super) fn spare(&mut self, now: Instant) -> Amount {
        let level = self.bucket.level(now);
        if self.demand.rate(now) < TOKEN {
            level
        } else {
            level / 2
        }
    }
}
