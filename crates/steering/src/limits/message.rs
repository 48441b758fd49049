//! Messages between holders and granters.
//!
//! Durations are relative to the request that a message answers; no instant crosses the wire.

use super::{Amount, Part};
use base::id::{Incarnation, Version, Vm, Workspace};
use std::time::Duration;

base::message! {
    /// A holder's report to the granter, which asks for a renewed grant.
    pub struct Renew {
        /// Workspace whose limit is shared.
        pub workspace: Workspace,
        /// VM of the holder.
        pub vm: Vm,
        /// Incarnation of the holder.
        pub incarnation: Incarnation,
        /// Number of the request, growing within the incarnation.
        pub number: u64,
        /// Number of the last request whose grant the holder applied; zero before the first.
        pub applied: u64,
        /// Elastic part that the holder holds as it sends; answers to earlier requests are void.
        pub holding: Part,
        /// All tokens given back by this incarnation so far.
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
        /// Incarnation that asked.
        pub to: Incarnation,
        /// Number of the request that is answered.
        pub number: u64,
        /// Elastic part that the holder holds from now on, in place of the former one.
        pub part: Part,
        /// Tokens that come with an added part.
        pub tokens: Amount,
        /// Time from the sending of the request to the end of the grant.
        pub term: Duration,
        /// Holders that reported the most spare tokens.
        pub rich: Vec<(Vm, Amount)>,
    }

    /// A request for tokens from one holder to another.
    pub struct Borrow {
        /// Workspace whose tokens are asked for.
        pub workspace: Workspace,
        /// Incarnation that asks.
        pub from: Incarnation,
        /// Number of the request, growing within the incarnation.
        pub number: u64,
        /// Most tokens that the borrower can take.
        pub tokens: Amount,
    }

    /// The answer to [`Borrow`].
    pub struct Lent {
        /// Incarnation that asked.
        pub to: Incarnation,
        /// Number of the request that is answered.
        pub number: u64,
        /// Tokens that were debited from the lender.
        pub tokens: Amount,
        /// Tokens that the lender could still lend.
        pub left: Amount,
    }
}
