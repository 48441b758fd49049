//! Messages to and from the row of a lease.

use base::id::{Incarnation, Operation, Vm};
use std::time::Duration;

base::message! {
    /// Who holds a lease; part of the content of its row.
    #[derive(Eq)]
    pub struct Holder {
        /// VM.
        pub vm: Vm,
        /// Run of its control process. A restarted process waits like any other contender,
        /// because requests of its former run may still be under way.
        pub incarnation: Incarnation,
    }

    /// The row as read.
    #[derive(Default)]
    pub struct Row {
        /// Version; 0 if the row doesn't exist.
        pub version: u64,
        /// Operation that wrote it.
        pub operation: Operation,
        /// Holder; `None` if the last one gave the lease back.
        pub holder: Option<Holder>,
    }
}

base::value! {
    /// What a write must carry.
    pub struct Permit {
        /// Row version that the write expects: the fence.
        pub expected: u64,
        /// Operation id.
        pub operation: Operation,
    }

    /// Answer to a write.
    #[derive(Copy)]
    pub enum Answer {
        /// Took effect; the version of the row now.
        Written(u64),
        /// The row has another version.
        Conflict,
        /// No answer; the write may have taken effect, or may still do so.
        Lost,
    }

    /// Times of a lease.
    #[derive(Copy)]
    pub struct Terms {
        /// Time for which a write keeps the lease.
        pub term: Duration,
        /// Time that a contender waits beyond the term. It covers clocks that differ in speed
        /// by up to `margin / term`.
        pub margin: Duration,
        /// Further wait of a contender for each VM that comes before it, so that contenders
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
