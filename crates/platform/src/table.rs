//! Messages of the transactional table.

use base::id::Operation;
use serde_json::Value;

base::message! {
    /// A row with its version; versions start at 1 and grow by 1 with each write.
    pub struct Row {
        /// Key of the row.
        pub key: Box<str>,
        /// Version of the row.
        pub version: u64,
        /// Id of the operation that wrote this version.
        pub operation: Operation,
        /// Content.
        pub value: Value,
    }

    /// A compare-and-set write.
    pub struct Write {
        /// Version that the row must have; 0 if it must not exist.
        pub expected: u64,
        /// Unique id of this write, which shows after a lost answer whether it took effect.
        pub operation: Operation,
        /// New content.
        pub value: Value,
    }

    /// Answer to a write: the row's version after it, or the one that caused a conflict.
    pub struct Written {
        /// Current version of the row.
        pub version: u64,
    }
}
