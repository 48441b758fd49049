//! Messages between the control process and the other processes of its VM.

use crate::wire::{self, Error, Frame};
use base::clock::Millis;
use base::id::{Label, Release, Version, Workspace};
use indexmap::{IndexMap, IndexSet};
use platform::list::List;
use std::net::SocketAddr;
use std::time::Duration;

base::message! {
    /// A key as the entry knows it.
    pub struct Key {
        /// Workspace of the key.
        pub workspace: Workspace,
        /// Time from which the key is no longer accepted, if it is being replaced.
        pub expires: Option<Millis>,
    }

    /// Current state of a release.
    pub struct Step {
        /// New version.
        pub to: Label,
        /// Largest share of the service's starts that the new version gets, from 0 to 1.
        pub cap: f64,
    }

    /// All that the entry and the look-up need from the control process.
    #[derive(Default)]
    pub struct State {
        /// Grows with each change of this state; restarts with the control process.
        pub generation: u64,
        /// Configuration version in force; 0 if none is known yet.
        pub version: Version,
        /// Steering files of that version.
        pub files: IndexMap<Box<str>, Box<str>>,
        /// Keys by the hexadecimal form of their digest.
        pub keys: IndexMap<Box<str>, Key>,
        /// Digests of withdrawn keys.
        pub withdrawn: IndexSet<Box<str>>,
        /// Ids of halted releases.
        pub halted: IndexSet<Release>,
        /// Releases under way.
        pub steps: IndexMap<Release, Step>,
        /// Backend servers that must get no new work.
        pub draining: IndexSet<Box<str>>,
        /// Last known list of VMs and backend servers.
        pub list: List,
        /// Time of the last confirmation of keys by the store or a peer.
        pub confirmed: Millis,
    }
}

/// Longest time that `sync` waits for a change.
pub const SYNC_WAIT: Duration = Duration::from_secs(5);

/// Service of the control process towards the processes of its VM.
#[tarpc::service]
pub trait Local {
    /// Returns the state as soon as its generation differs from `have`, or after [`SYNC_WAIT`].
    async fn sync(have: u64) -> Frame<State>;
}

/// Connects to the control process.
///
/// # Errors
///
/// Fails if no connection is made.
pub async fn connect(address: SocketAddr) -> Result<LocalClient, Error> {
    let transport = wire::connect(address).await?;
    Ok(LocalClient::new(tarpc::client::Config::default(), transport).spawn())
}
