//! Answer to an entry lookup.

use base::id::Vm;
use std::net::SocketAddr;

base::message! {
    /// Entry VMs to use, in order of preference.
    pub struct Answer {
        /// Entries; the caller uses the first that accepts a connection.
        pub entries: Vec<Entry>,
        /// Time in milliseconds for which the caller may use this answer.
        pub ttl_ms: u64,
    }

    /// One entry VM.
    pub struct Entry {
        /// Name of the VM.
        pub vm: Vm,
        /// Address of its entry program.
        pub address: SocketAddr,
        /// Prefix of request ids first sent to this VM, `<vm>.<incarnation>.`; the caller
        /// appends a random part of its own. Absent while the incarnation is not known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub id_prefix: Option<Box<str>>,
    }
}
