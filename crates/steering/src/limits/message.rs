//! Messages between holders and granters.
//!
//! Durations are relative to the request that a message answers; no message contains an instant.

use super::{Allocation, Amount};
use base::id::{Incarnation, Version, Vm, Workspace};
use std::time::Duration;

base::message! {
    /// Report of a holder to the granter, which requests a renewed grant.
    pub struct Renew {
        /// Workspace whose limit is divided.
        pub workspace: Workspace,
        /// VM of the holder.
        pub vm: Vm,
        /// Incarnation of the holder.
        pub incarnation: Incarnation,
        /// Number of the request; increases within the incarnation.
        pub number: u64,
        /// Number of the last request whose grant the holder applied; zero before the first.
        pub applied: u64,
        /// Elastic part held when the request is sent; answers to earlier requests are ignored.
        pub holding: Allocation,
        /// Total of the tokens that this incarnation has returned.
        pub returned: Amount,
        /// Demand in millionths of a token per second.
        pub demand: Amount,
        /// Tokens that the holder could lend.
        pub spare: Amount,
        /// Version of the limit from which the holder's floor is computed.
        pub version: Version,
    }

    /// The granter's answer to [`Renew`].
    pub struct Grant {
        /// Incarnation that sent the request.
        pub to: Incarnation,
        /// Number of the request.
        pub number: u64,
        /// Elastic part that replaces the holder's former one.
        pub part: Allocation,
        /// Tokens for the added capacity.
        pub tokens: Amount,
        /// Duration of the grant, counted from when the request was sent.
        pub term: Duration,
        /// Holders that reported the most spare tokens.
        pub rich: Vec<(Vm, Amount)>,
    }

    /// A request for tokens from one holder to another.
    pub struct Borrow {
        /// Workspace whose tokens are requested.
        pub workspace: Workspace,
        /// Incarnation of the borrower.
        pub from: Incarnation,
        /// Number of the request; increases within the incarnation.
        pub number: u64,
        /// Maximum number of tokens that the borrower can accept.
        pub tokens: Amount,
    }

    /// The answer to [`Borrow`].
    pub struct Lent {
        /// Incarnation that sent the request.
        pub to: Incarnation,
        /// Number of the request.
        pub number: u64,
        /// Tokens that were debited from the lender.
        pub tokens: Amount,
        /// Tokens that the lender could lend in addition.
        pub left: Amount,
    }
}
