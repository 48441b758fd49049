//! Content of the row of a lease, and answers to its writes.

use base::id::{Incarnation, Operation, Vm};
use std::time::Duration;

base::message! {
    /// Holder of a lease, as stored in its row.
    #[derive(Eq)]
    pub struct Holder {
        /// VM.
        pub vm: Vm,
        /// Incarnation of its control process. A restarted process waits like any other contender,
        /// because requests of its earlier incarnation may still be in flight.
        pub incarnation: Incarnation,
    }

    /// The row as read.
    #[derive(Default)]
    pub struct Row {
        /// Version; 0 if the row doesn't exist.
        pub version: u64,
        /// Operation that wrote it.
        pub operation: Operation,
        /// Holder; `None` if the last one released the lease.
        pub holder: Option<Holder>,
    }
}

base::value! {
    /// Precondition and id of a write.
    pub struct Permit {
        /// Row version that the write expects: the fencing token.
        pub expected: u64,
        /// Operation id.
        pub operation: Operation,
    }

    /// Answer to a write.
    #[derive(Copy)]
    pub enum Answer {
        /// The write took effect; the new version of the row.
        Written(u64),
        /// The row has another version.
        Conflict,
        /// The answer was lost: the write may have taken effect, or may still do so.
        Lost,
    }

    /// Durations of a lease.
    #[derive(Copy)]
    pub struct Terms {
        /// Time for which a write renews the lease.
        pub term: Duration,
        /// Time that a contender waits beyond the term. It covers clocks that differ in speed
        /// by up to `margin / term`.
        pub margin: Duration,
        /// Additional wait of a contender for each VM that ranks before it, so that contenders
        /// don't all write at once.
        pub stagger: Duration,
    }
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(4),
            margin: Duration::from_secs(1),
            stagger: Duration::from_millis(300),
        }
    }
}
