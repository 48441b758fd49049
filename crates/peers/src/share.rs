//! Messages between entries.

use crate::wire::{self, Error, Frame};
use base::id::{Incarnation, Request, Server, Vm, Workspace};
use std::net::SocketAddr;
use steering::balance::{Notice, Summary};
use steering::limits::{Borrow, Lent};
use steering::quarantine::Delta;

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

    /// News on backend servers, within a data centre.
    #[derive(Default)]
    pub struct Servers {
        /// Latency of servers as the sender sees them.
        pub summaries: Vec<Summary>,
        /// Slots that the sender uses.
        pub notices: Vec<Notice>,
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

/// Service of an entry towards the entries of other VMs.
#[tarpc::service]
pub trait Share {
    /// Borrows tokens of a workspace's limit.
    async fn borrow(borrow: Frame<Borrow>) -> Frame<Option<Lent>>;

    /// Asks what became of a request id.
    async fn claim(question: Frame<Question>) -> Frame<Option<Answer>>;

    /// Exchanges news on backend servers.
    async fn servers(news: Frame<Servers>) -> Frame<Servers>;

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
