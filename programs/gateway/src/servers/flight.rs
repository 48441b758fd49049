//! One request on its way to a backend server.

use super::server::Server;
use super::shard::{Shard, State, Told};
use adapter::header::Load;
use backends::client::Pool;
use base::id::{DataCentre, Label, Server as ServerId};
use base::sync::lock;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::warmth::{self, ObjectUse};

/// Slowdown up to which a server counts as ordinary, so that its times teach a service's work.
const ORDINARY: f64 = 1.5;

/// One request on its way; counts against its server until it is dropped.
#[derive(Debug)]
pub struct Flight {
    pub(super) shard: Arc<Shard>,
    pub(super) ticket: u64,
    pub(super) born: u64,
    /// Server that was chosen.
    pub server: ServerId,
    /// Version of its software.
    pub label: Label,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Connections to it.
    pub pool: Pool,
    /// Latency objective of the request.
    pub objective: Duration,
    /// Expected time until the answer.
    pub expected: Duration,
    /// The same for a server of ordinary speed.
    pub ordinary: Duration,
    pub(super) cold_work: Duration,
    /// When the request, if it is still unanswered, is due at a second server.
    pub(super) overdue: Instant,
    pub(super) is_free: bool,
    /// Requests that the server had when it was chosen.
    pub load: u32,
    /// Whether the server handled the object lately.
    pub warm: bool,
    pub(super) object: Option<Digest>,
    pub(super) sent: Instant,
}

impl Flight {
    fn with_server(&self, change: impl FnOnce(&mut Server)) {
        let mut state = lock(&self.shard.state);
        if let Some(server) = self.server_in(&mut state) {
            change(server);
        }
    }

    fn server_in<'a>(&self, state: &'a mut State) -> Option<&'a mut Server> {
        let server = state.servers.get_mut(&self.server);
        server.filter(|server| server.registration.born == self.born)
    }

    /// Takes in the answer of the server, which came at `came`.
    pub fn answered(&self, load: Option<Load>, came: Instant, now: Instant) {
        let took = came.saturating_duration_since(self.sent);
        let mut state = lock(&self.shard.state);
        let mut is_ordinary = false;
        if let Some(server) = self.server_in(&mut state) {
            server.down = None;
            server.load = load.map(|load| (load, now));
            is_ordinary = server.condition.slowdown(now) < ORDINARY && !server.is_cold(now);
            // The expected time holds what the server was already known to be slower by.
            let slowdown = server.condition.slowdown(now);
            let expected = self.expected.div_f64(slowdown.max(0.1));
            server.condition.record_answer(now, took, expected);
        }
        if let Some(object) = self.object {
            let pair = ObjectUse {
                server: warmth::short_digest(affinity::digest(&self.server)),
                object: warmth::short_digest(object),
            };
            if state.warmth.record(pair, now) {
                state.handled.push(Told {
                    at: now,
                    pair,
                    is_near: false,
                });
            }
        }
        if is_ordinary
            && self.is_free
            && let Some(estimate) = state.estimates.get_mut(&self.objective)
        {
            estimate.sample(self.warm, took);
        }
    }

    /// Takes in a failure, or a refusal, of the server.
    pub fn failed(&self, now: Instant) {
        self.with_server(|server| server.condition.record_failure(now));
    }

    /// Takes in that the server has other work than this VM knew.
    pub fn shed(&self, load: Option<Load>, now: Instant) {
        self.with_server(|server| {
            let full = Load {
                running: server.registration.slots,
                waiting: server.registration.slots * 2,
                slots: server.registration.slots,
            };
            server.load = Some((load.unwrap_or(full), now));
        });
    }

    /// Takes in that the server accepts no connections.
    pub fn refused(&self, now: Instant) {
        self.with_server(|server| {
            server.down = Some((now, server.registration.sequence));
            server.pool.close_idle();
        });
    }

    /// Returns whether the request should be sent to a second server: the answer is overdue, or the
    /// server left its requests unanswered for so long that it may be dead.
    pub fn is_overdue(&self, now: Instant) -> bool {
        let mut state = lock(&self.shard.state);
        let server = self.server_in(&mut state);
        let is_silent = server.is_some_and(|server| {
            let oldest = server.sent.values().copied().min();
            server.condition.is_silent(now, oldest, self.cold_work)
        });
        is_silent || now >= self.overdue
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.with_server(|server| {
            server.sent.shift_remove(&ticket);
        });
    }
}
