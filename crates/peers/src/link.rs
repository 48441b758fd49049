//! Cached connections to other processes.

use crate::gossip::{self, GossipClient};
use crate::share::{self, ShareClient};
use crate::wire::Error;
use indexmap::IndexMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Connections by address; a failed connection is replaced at the next call.
#[derive(Debug)]
pub struct Links<C> {
    clients: Mutex<IndexMap<SocketAddr, C>>,
}

/// A tarpc client that can connect to an address.
pub trait Connect: Clone + Sized {
    /// Connects to the process at `address`.
    fn connect(address: SocketAddr) -> impl Future<Output = Result<Self, Error>> + Send;
}

impl Connect for GossipClient {
    async fn connect(address: SocketAddr) -> Result<Self, Error> {
        gossip::connect(address).await
    }
}

impl Connect for ShareClient {
    async fn connect(address: SocketAddr) -> Result<Self, Error> {
        share::connect(address).await
    }
}

impl<C> Default for Links<C> {
    fn default() -> Self {
        Self {
            clients: Mutex::default(),
        }
    }
}

impl<C: Connect> Links<C> {
    fn clients(&self) -> MutexGuard<'_, IndexMap<SocketAddr, C>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a process; connection and answer together take at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if no connection is made or no answer arrives in time; the call may have had its
    /// effect.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl FnOnce(C, Context) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + limit;
        let client = tokio::time::timeout(limit, self.client(address));
        let client = client
            .await
            .map_err(|_| Error::Call("connection timed out".into()))??;
        let answer = call(client, context).await;
        if answer.is_err() {
            self.clients().swap_remove(&address);
        }
        Ok(answer?)
    }

    async fn client(&self, address: SocketAddr) -> Result<C, Error> {
        if let Some(client) = self.clients().get(&address).cloned() {
            return Ok(client);
        }
        let client = C::connect(address).await?;
        self.clients().insert(address, client.clone());
        Ok(client)
    }
}
