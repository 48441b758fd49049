//! Messages of the administration API, and its client.

use crate::bundle::Files;
use crate::check::Finding;
use base::clock::Millis;
use base::http::client::{self, Answer, Target};
use base::id::{DataCentre, Operation, Release, Version, Vm, Workspace};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use std::fmt;

/// Paths of the administration API.
pub mod path {
    /// Configuration in force: `GET` reads it, `PUT` publishes.
    pub const CONFIG: &str = "/admin/config";
    /// State of the fleet: `GET`.
    pub const STATUS: &str = "/admin/status";
    /// Keys: `POST` issues one, `DELETE` withdraws one.
    pub const KEYS: &str = "/admin/keys";
    /// Rotation of a key: `POST`.
    pub const ROTATIONS: &str = "/admin/keys/rotations";
    /// Drains of backend servers: `POST` starts one, `DELETE` ends one.
    pub const DRAINS: &str = "/admin/drains";
    /// Halt of a release: `POST`.
    pub const HALTS: &str = "/admin/halts";
}

base::message! {
    /// Configuration in force.
    pub struct Config {
        /// Version; 0 if nothing has been published.
        pub version: Version,
        /// Steering files.
        pub files: Files,
    }

    /// A publication proposed against a base version.
    #[serde(deny_unknown_fields)]
    pub struct Proposal {
        /// Version that the operator reviewed.
        pub base: Version,
        /// Author, recorded with the version.
        pub author: Box<str>,
        /// All steering files.
        pub files: Files,
    }

    /// Outcome of a publication.
    #[serde(rename_all = "kebab-case", tag = "outcome")]
    pub enum Verdict {
        /// Accepted as this version.
        Accepted {
            /// New version.
            version: Version,
        },
        /// Another publication was accepted first.
        Conflict {
            /// Version to review again.
            version: Version,
        },
        /// The files have errors; nothing was changed.
        Refused {
            /// What is wrong.
            findings: Vec<Finding>,
        },
        /// The store can't be reached; nothing was changed.
        Unavailable {
            /// Why.
            reason: Box<str>,
        },
        /// The store's answer was lost; `status` shows later whether the version is in force.
        Unknown {
            /// Why.
            reason: Box<str>,
        },
    }

    /// Request for a new key.
    #[serde(deny_unknown_fields)]
    pub struct Issue {
        /// Workspace of the key.
        pub workspace: Workspace,
    }

    /// A new key; no other message contains its text.
    pub struct Issued {
        /// Id, by which the key is rotated or withdrawn.
        pub id: Box<str>,
        /// Key.
        pub key: Box<str>,
    }

    /// Request to replace a key by a new one.
    #[serde(deny_unknown_fields)]
    pub struct Rotate {
        /// Id of the key to replace.
        pub id: Box<str>,
        /// Time for which both keys are accepted, in milliseconds.
        pub overlap_ms: u64,
    }

    /// Request to withdraw a key.
    #[serde(deny_unknown_fields)]
    pub struct Withdraw {
        /// Id of the key.
        pub id: Box<str>,
    }

    /// Request to drain backend servers.
    #[serde(deny_unknown_fields)]
    pub struct Drain {
        /// Names of backend servers and data centres.
        pub servers: Vec<Box<str>>,
    }

    /// An accepted drain.
    pub struct Drained {
        /// Id, by which the drain is displayed and ended.
        pub id: Operation,
    }

    /// Request to end a drain.
    #[serde(deny_unknown_fields)]
    pub struct Undrain {
        /// Id of the drain.
        pub id: Operation,
    }

    /// Request to halt a release.
    #[serde(deny_unknown_fields)]
    pub struct Halt {
        /// Id of the release.
        pub release: Release,
        /// Reason, recorded with the halt.
        pub reason: Box<str>,
    }

    /// Acknowledgement of a safe change.
    pub struct Done {
        /// Whether the store has recorded the change; if not, it is recorded once the store can be
        /// reached again.
        pub durable: bool,
        /// Whether the store or another VM has the change; if not, a restart of this VM loses it.
        pub shared: bool,
    }

    /// State of the fleet as one VM sees it.
    pub struct Status {
        /// VM that answers.
        pub vm: Vm,
        /// Configuration version in force on it.
        pub version: Version,
        /// Adoption of that version by the fleet.
        pub stage: Stage,
        /// Number of VMs on which that version or a later one is in force.
        pub on: usize,
        /// Number of VMs that are in the platform's list or have reported.
        pub of: usize,
        /// VMs on which it is not in force, or that have not reported recently.
        pub missing: Vec<Vm>,
        /// Latest report of each VM by name; absent if the VM has not reported.
        pub in_force: IndexMap<Vm, Report>,
        /// Time of this VM's last read of the store; 0 if there was none.
        pub confirmed_by_store: Millis,
        /// Number of keys issued and withdrawn.
        pub keys: Keys,
        /// Releases with their state.
        pub releases: IndexMap<Release, Box<str>>,
        /// Backend servers that are being drained.
        pub draining: Vec<Box<str>>,
        /// Accepted drains with their progress.
        pub drains: IndexMap<Operation, Box<str>>,
    }

    /// Adoption of a version by the fleet.
    #[serde(rename_all = "kebab-case")]
    pub enum Stage {
        /// Nothing has been published, or the VM is not ready yet.
        NoVersion,
        /// Accepted, but not known to be in force anywhere.
        Accepted,
        /// In force on some VMs.
        InForce,
        /// In force on all VMs.
        Done,
    }

    /// Latest report of one VM.
    pub struct Report {
        /// Data centre of the VM.
        pub data_centre: DataCentre,
        /// Configuration version in force on it.
        pub version: Version,
    }

    /// State of the keys on a VM.
    #[serde(rename_all = "kebab-case")]
    pub enum KeyState {
        /// The VM receives withdrawals.
        Confirmed,
        /// The VM has been cut off; keys are accepted.
        NotConfirmed,
        /// The VM has been cut off for longer than `key_staleness`; keys are refused.
        Refused,
    }

    /// State of the keys on the VM that answers.
    pub struct Keys {
        /// Number of valid keys.
        pub valid: usize,
        /// Number of withdrawn keys.
        pub withdrawn: usize,
        /// Whether the VM receives withdrawals.
        pub state: KeyState,
        /// Time since which the keys have not been confirmed.
        pub since: Option<Millis>,
    }

    /// Body of an error answer.
    pub struct Problem {
        /// Error message.
        pub error: Box<str>,
    }
}

/// Why a call of the administration API failed.
#[derive(Debug)]
pub enum Error {
    /// The call got no usable answer.
    Call(client::Error),
    /// The API refused the call.
    Refused(StatusCode, Box<str>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => error.fmt(f),
            Self::Refused(status, reason) => write!(f, "refused with status {status}: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        Self::Call(error)
    }
}

/// Client of the administration API of one VM.
#[derive(Debug, Clone)]
pub struct Client {
    target: Target,
}

impl Client {
    /// Makes a client; `target` carries the administration credential.
    pub fn new(target: Target) -> Self {
        Self { target }
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or is refused.
    pub async fn config(&self) -> Result<Config, Error> {
        decode(
            &self
                .target
                .call(Method::GET, path::CONFIG, Bytes::new())
                .await?,
        )
    }

    /// Publishes steering files.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or is refused; a refused publication is a [`Verdict`].
    pub async fn publish(&self, proposal: &Proposal) -> Result<Verdict, Error> {
        decode(
            &self
                .target
                .call_json(Method::PUT, path::CONFIG, proposal)
                .await?,
        )
    }

    /// Reads the state of the fleet.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or is refused.
    pub async fn status(&self) -> Result<Status, Error> {
        decode(
            &self
                .target
                .call(Method::GET, path::STATUS, Bytes::new())
                .await?,
        )
    }

    /// Issues a key.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or is refused.
    pub async fn issue(&self, issue: &Issue) -> Result<Issued, Error> {
        decode(
            &self
                .target
                .call_json(Method::POST, path::KEYS, issue)
                .await?,
        )
    }

    /// Replaces a key by a new one.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or is refused.
    pub async fn rotate(&self, rotate: &Rotate) -> Result<Issued, Error> {
        decode(
            &self
                .target
                .call_json(Method::POST, path::ROTATIONS, rotate)
                .await?,
        )
    }

    /// Withdraws a key.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or is refused.
    pub async fn withdraw(&self, withdraw: &Withdraw) -> Result<Done, Error> {
        decode(
            &self
                .target
                .call_json(Method::DELETE, path::KEYS, withdraw)
                .await?,
        )
    }

    /// Drains backend servers.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or is refused.
    pub async fn drain(&self, drain: &Drain) -> Result<Drained, Error> {
        decode(
            &self
                .target
                .call_json(Method::POST, path::DRAINS, drain)
                .await?,
        )
    }

    /// Ends a drain.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or is refused.
    pub async fn undrain(&self, undrain: &Undrain) -> Result<Done, Error> {
        decode(
            &self
                .target
                .call_json(Method::DELETE, path::DRAINS, undrain)
                .await?,
        )
    }

    /// Halts a release.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or is refused.
    pub async fn halt(&self, halt: &Halt) -> Result<Done, Error> {
        decode(
            &self
                .target
                .call_json(Method::POST, path::HALTS, halt)
                .await?,
        )
    }
}

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    if answer.status.is_success() {
        return Ok(answer.decode()?);
    }
    let reason = answer
        .decode::<Problem>()
        .map_or_else(|_| "no reason given".into(), |p| p.error);
    Err(Error::Refused(answer.status, reason))
}
