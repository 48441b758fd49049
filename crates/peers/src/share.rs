//! Messages between entries.

use crate::wire::{self, Error, Frame};
use base::id::{DataCentre, Incarnation, Label, Request, Server, Service, Vm, Workspace};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use steering::balance::{Loan, Notice, Summary, Verdict};
use steering::limits::{Borrow, Lent};
use steering::quarantine::Delta;

/// Largest body of an answer to a passed request, in bytes; half of the largest frame.
pub const MAX_REPLY_BYTES: usize = wire::MAX_FRAME_BYTES / 2;

/// Name and value of a header.
pub type Header = (Box<str>, Vec<u8>);

base::message! {
    /// Question to the VM that a request id names.
    pub struct Question {
        /// Workspace of the request.
        pub workspace: Workspace,
        /// Request id.
        pub request: Request,
    }

    /// What the VM knows of the request id, as the text of an outcome and a reason.
    pub struct Answer {
        /// Outcome as told to callers.
        pub outcome: Box<str>,
        /// Reason as told to callers.
        pub reason: Box<str>,
    }

    /// News on backend servers.
    #[derive(Default)]
    pub struct Servers {
        /// Sender.
        pub vm: Vm,
        /// Run of the sender.
        pub incarnation: Incarnation,
        /// Latency of servers as the sender sees them.
        pub summaries: Vec<Summary>,
        /// Servers that the sender keeps out or took back; used within its data centre.
        pub verdicts: Vec<Verdict>,
        /// Slots that the sender uses, by service; used within its data centre.
        pub notices: IndexMap<Service, Notice>,
        /// Requests per second that arrive at the sender from callers; used within its data centre.
        pub demands: IndexMap<Service, f64>,
        /// Load of the sender's data centre; used in other data centres.
        pub loads: IndexMap<Service, Load>,
    }

    /// Load of one service in one data centre.
    pub struct Load {
        /// Whether any backend server answers.
        pub healthy: bool,
        /// Requests per second that its backend servers can run.
        pub capacity: f64,
        /// Requests per second that arrive from callers at its entries.
        pub demand: f64,
    }

    /// Request for the loan of a slot for one request.
    pub struct Want {
        /// Data centre of the borrower.
        pub data_centre: DataCentre,
        /// Service.
        pub service: Service,
        /// Software version.
        pub label: Label,
        /// Time in which the request ends.
        pub term: Duration,
        /// Servers that must not be lent: they failed the request, or leave as the borrower knows.
        pub except: Vec<Server>,
    }

    /// A suspected request, passed to the VM that runs the trials.
    pub struct Passed {
        /// Request id.
        pub request: Request,
        /// Key of the caller.
        pub key: Option<Secret>,
        /// Service.
        pub service: Service,
        /// Method.
        pub method: Box<str>,
        /// Path and query for the backend server.
        pub target: Box<str>,
        /// Headers without the key.
        pub headers: Vec<Header>,
        /// Whole body.
        pub body: Vec<u8>,
        /// Time left until the deadline, in milliseconds.
        pub left_ms: u64,
    }

    /// Answer to a passed request, as its caller gets it.
    pub struct Reply {
        /// Status code.
        pub status: u16,
        /// Headers; they name the outcome.
        pub headers: Vec<Header>,
        /// Whole body; none if it was interrupted or is larger than [`MAX_REPLY_BYTES`].
        pub body: Option<Vec<u8>>,
    }

    /// News on requests that crash backend servers.
    pub struct Suspects {
        /// Sender.
        pub vm: Vm,
        /// Incarnation of its entry, which its request ids name.
        pub incarnation: Incarnation,
        /// Backend servers that all VMs leave free for its trial runs.
        pub reserved: Vec<Server>,
        /// What it knows; empty if the receiver has it already.
        pub delta: Delta,
    }
}

/// Text that its debug form hides, so that a logged message shows no key.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Secret(pub Box<str>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

/// Service of an entry towards the entries of other VMs.
#[tarpc::service]
pub trait Share {
    /// Borrows tokens of a workspace's limit.
    async fn borrow(borrow: Frame<Borrow>) -> Frame<Option<Lent>>;

    /// Asks what became of a request id.
    async fn claim(question: Frame<Question>) -> Frame<Option<Answer>>;

    /// Exchanges news on backend servers.
    async fn servers(news: Frame<Servers>) -> Frame<Servers>;

    /// Runs a suspected request; none if the request does not parse.
    async fn pass(passed: Frame<Passed>) -> Frame<Option<Reply>>;
    /// Borrows a slot of a backend server for one request.
    async fn lend(want: Frame<Want>) -> Frame<Option<Loan>>;

    /// Gives back a lent slot whose request has ended.
    async fn give_back(loan: Frame<Loan>) -> Frame<()>;

    /// Exchanges news on requests that crash backend servers.
    async fn suspects(news: Frame<Suspects>) -> Frame<Suspects>;
}

/// Connects to an entry.
///
/// # Errors
///
/// Fails if no connection is made.
pub async fn connect(address: SocketAddr) -> Result<ShareClient, Error> {
    let transport = wire::connect(address).await?;
    Ok(ShareClient::new(tarpc::client::Config::default(), transport).spawn())
}
