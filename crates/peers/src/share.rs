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

/// Largest body of an answer to a forwarded request, in bytes; half of the largest frame.
pub const MAX_REPLY_BYTES: usize = wire::MAX_FRAME_BYTES / 2;

/// Name and value of a header.
pub type Header = (Box<str>, Vec<u8>);

base::message! {
    /// Query for the outcome of a request, to the VM that its id names.
    pub struct Question {
        /// Workspace of the request.
        pub workspace: Workspace,
        /// Request id.
        pub request: Request,
    }

    /// Outcome and reason of a request, as the VM knows them.
    pub struct Answer {
        /// Outcome, as in the header for callers.
        pub outcome: Box<str>,
        /// Reason, as in the header for callers.
        pub reason: Box<str>,
    }

    /// State of backend servers, as the sender sees them.
    #[derive(Default)]
    pub struct Servers {
        /// Sender.
        pub vm: Vm,
        /// Incarnation of the sender.
        pub incarnation: Incarnation,
        /// Latencies that the sender observed.
        pub summaries: Vec<Summary>,
        /// Servers that the sender ejected or readmitted; used within its data centre.
        pub verdicts: Vec<Verdict>,
        /// Slots that the sender uses, by service; used within its data centre.
        pub notices: IndexMap<Service, Notice>,
        /// Requests per second that the sender gets from callers; used within its data centre.
        pub demands: IndexMap<Service, f64>,
        /// Load of the sender's data centre; used in other data centres.
        pub loads: IndexMap<Service, Load>,
    }

    /// Load of one service in one data centre.
    pub struct Load {
        /// Whether at least one backend server answers.
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
        /// Time within which the request ends.
        pub term: Duration,
        /// Servers that must not be lent: they failed the request, or are leaving as far as the
        /// borrower knows.
        pub except: Vec<Server>,
    }

    /// A suspected request, forwarded to the VM that runs its trial.
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
        /// Complete body.
        pub body: Vec<u8>,
        /// Time left until the deadline, in milliseconds.
        pub left_ms: u64,
    }

    /// Answer to a forwarded request, as its caller gets it.
    pub struct Reply {
        /// Status code.
        pub status: u16,
        /// Headers, including that of the outcome.
        pub headers: Vec<Header>,
        /// Complete body; none if it was interrupted or is larger than [`MAX_REPLY_BYTES`].
        pub body: Option<Vec<u8>>,
    }

    /// State of requests that are suspected of crashing backend servers.
    pub struct Suspects {
        /// Sender.
        pub vm: Vm,
        /// Incarnation of the sender's entry, which is part of its request ids.
        pub incarnation: Incarnation,
        /// Backend servers that all VMs keep free for the sender's trial runs.
        pub reserved: Vec<Server>,
        /// Changes that the receiver lacks; empty if there are none.
        pub delta: Delta,
    }
}

/// Text that is hidden in the debug format, so that a logged message shows no key.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Secret(pub Box<str>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

/// Service of an entry for the entries of other VMs.
#[tarpc::service]
pub trait Share {
    /// Borrows tokens of a workspace's limit.
    async fn borrow(borrow: Frame<Borrow>) -> Frame<Option<Lent>>;

    /// Returns the outcome of a request.
    async fn claim(question: Frame<Question>) -> Frame<Option<Answer>>;

    /// Exchanges the state of backend servers.
    async fn servers(news: Frame<Servers>) -> Frame<Servers>;

    /// Runs a suspected request; none if the request can't be parsed.
    async fn pass(passed: Frame<Passed>) -> Frame<Option<Reply>>;

    /// Borrows a slot of a backend server for one request.
    async fn lend(want: Frame<Want>) -> Frame<Option<Loan>>;

    /// Returns a lent slot whose request has ended.
    async fn give_back(loan: Frame<Loan>) -> Frame<()>;

    /// Exchanges the state of requests that are suspected of crashing backend servers.
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
