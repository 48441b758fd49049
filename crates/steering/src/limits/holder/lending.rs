//! Borrowing from and lending to the workspace's holders on other VMs.

use super::Holder;
use crate::limits::loan::Loan;
use crate::limits::message::{Borrow, Lent};
use crate::limits::{Amount, TOKEN};
use base::id::Vm;
use std::time::{Duration, Instant};

/// Least amount that is worth borrowing; smaller loans only scatter fractions of a token.
const LEAST_LOAN: Amount = TOKEN / 4;
/// Usual time from a borrow request to its answer between regions.
const ROUND_TRIP: Duration = Duration::from_millis(30);
/// Borrowers whose last request is remembered. A duplicate from a forgotten one costs the lender
/// tokens but creates none.
const ANSWERED: usize = 256;
base::value! {
    /// A borrow request and the peer to which it goes.
    pub struct Ask {
        /// Peer to ask.
        pub peer: Vm,
        /// Request to send.
        pub borrow: Borrow,
    }
}

impl Holder {
    /// Asks a peer for tokens when fewer than `needed` are here; call again on each event while
    /// requests wait.
    ///
    /// Headroom for the answer is reserved until it arrives or the wait ends. Without that, the
    /// lender would refill while the tokens are in transit and the sum would exceed the burst.
    pub fn borrow(&mut self, needed: Amount, now: Instant) -> Option<Ask> {
        self.settle(now);
        let expected: Amount = self.loans.values().map(|loan| loan.tokens).sum();
        let short = needed.checked_sub(self.bucket.level(now).saturating_add(expected))?;
        if short == 0 || self.loans.len() >= self.settings.loans {
            return None;
        }
        // Reserved headroom doesn't refill, so some is left for the own refill during a round trip.
        let own = u128::from(self.bucket.part().rate) * ROUND_TRIP.as_micros() / 1_000_000;
        let own = Amount::try_from(own).unwrap_or(Amount::MAX);
        let headroom = self.bucket.headroom(now).saturating_sub(own);
        let asked = |vm: &Vm| self.loans.values().any(|loan| loan.peer == *vm);
        let (peer, spare) = self.peers.choose(short, now, asked)?;
        let tokens = short.max(TOKEN).min(headroom).min(spare);
        if tokens < LEAST_LOAN {
            return None;
        }
        if self.settings.reserve {
            self.bucket.reserve(tokens, now);
        }
        self.asked += 1;
        let loan = Loan {
            peer: peer.clone(),
            tokens,
            deadline: now + self.settings.loan_wait,
        };
        self.loans.insert(self.asked, loan);
        let borrow = Borrow {
            workspace: self.identity.workspace.clone(),
            from: self.identity.incarnation,
            number: self.asked,
            tokens,
        };
        Some(Ask { peer, borrow })
    }

    /// Debits what can be lent and returns the answer; drops duplicates and overtaken requests.
    pub fn lend(&mut self, borrow: &Borrow, now: Instant) -> Option<Lent> {
        let last = self.answered.entry(borrow.from).or_insert(0);
        if borrow.number <= *last || borrow.workspace != self.identity.workspace {
            return None;
        }
        *last = borrow.number;
        if self.answered.len() > ANSWERED {
            self.answered.shift_remove_index(0);
        }
        self.settle(now);
        let spare = self.spare(now);
        Some(Lent {
            to: borrow.from,
            number: borrow.number,
            tokens: self.bucket.take(spare.min(borrow.tokens), now),
            left: self.spare(now),
        })
    }

    /// Takes an answer into the reserved headroom; drops it after the wait has ended.
    pub fn lent(&mut self, lent: &Lent, now: Instant) {
        self.settle(now);
        if lent.to != self.identity.incarnation {
            return;
        }
        if let Some(loan) = self.loans.shift_remove(&lent.number) {
            if self.settings.reserve {
                self.bucket.release(loan.tokens, now);
            }
            self.bucket.add(lent.tokens.min(loan.tokens), now);
            self.peers.update(&loan.peer, lent.left, now);
        }
    }

    /// Tokens that can be lent: half of the level, or all without demand of its own.
    pub(super) fn spare(&mut self, now: Instant) -> Amount {
        let level = self.bucket.level(now);
        if self.demand.rate(now) < TOKEN {
            level
        } else {
            level / 2
        }
    }
}
