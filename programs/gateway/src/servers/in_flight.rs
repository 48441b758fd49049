//! A request that was sent to a backend server and is not answered yet.

use super::notices::Topic;
use super::server::Server;
use super::server_set::{HandledRecord, ServerSet, State};
use adapter::header::{Load, Notice};
use backends::client::Pool;
use base::id::{DataCentre, Label, Route, Server as ServerId};
use base::sync::lock;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::notice::Rejection;
use steering::placement::Estimate;
use steering::warmth::{self, ObjectUse};
use steering::work::ServiceTimeEstimate;

/// Slowdown up to which the answers of a server count in the estimated service times.
const MAX_SAMPLED_SLOWDOWN: f64 = 1.5;

/// A request at a backend server; counts towards the load of the server until it is dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    pub(super) servers: Arc<ServerSet>,
    pub(super) ticket: u64,
    pub(super) born: u64,
    /// Server that was chosen.
    pub server: ServerId,
    /// Version of the software of the server.
    pub label: Label,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Connections to the server.
    pub pool: Pool,
    pub(super) route: Route,
    /// Latency objective of the request.
    pub objective: Duration,
    /// How its times were estimated.
    pub estimate: Estimate,
    /// Expected time until the answer.
    pub expected: Duration,
    /// Part of the expected time in which it waits for a slot; zero for [`Estimate::Fixed`].
    pub wait: Duration,
    /// Time of the server divided by that of one of ordinary speed, when it was chosen.
    pub pace: f64,
    pub(super) round_trip: Duration,
    /// Expected time until the answer of a server of ordinary speed.
    pub baseline: Duration,
    pub(super) cold_service_time: Duration,
    pub(super) silence_unit: Duration,
    /// Time from which the unanswered request may be sent to a second server.
    pub(super) hedge_at: Instant,
    /// Whether the server had a free slot when it was chosen.
    pub(super) had_free_slot: bool,
    /// Load of the server when it was chosen.
    pub load: u32,
    /// Whether the server handled the object lately.
    pub warm: bool,
    pub(super) object: Option<Digest>,
    pub(super) sent_at: Instant,
}

impl InFlightRequest {
    /// Returns the digest of the server.
    pub fn digest(&self) -> Digest {
        affinity::digest(&self.server)
    }

    fn with_server(&self, change: impl FnOnce(&mut Server)) {
        let mut state = lock(&self.servers.state);
        if let Some(server) = self.find_server(&mut state) {
            change(server);
        }
    }

    fn find_server<'a>(&self, state: &'a mut State) -> Option<&'a mut Server> {
        state.find_run(&self.server, self.born)
    }

    /// Records the answer of the server, which arrived at `arrived`.
    pub fn record_answer(&self, load: Option<Load>, arrived: Instant, now: Instant) {
        let took = arrived.saturating_duration_since(self.sent_at);
        let mut state = lock(&self.servers.state);
        let mut is_ordinary_speed = false;
        // The pace changes while a request runs; its mean counts.
        let pace = match load.and_then(|load| load.pace) {
            Some(percent) => f64::midpoint(self.pace, f64::from(percent) / 100.0),
            None => self.pace,
        };
        if load.is_some_and(|load| load.pace.is_some()) {
            state.pace_stated_at = Some(now);
        }
        if let Some(server) = self.find_server(&mut state) {
            server.down_since = None;
            let is_ramp_over =
                |rejection: &mut Box<Rejection>| rejection.record_answer(self.sent_at);
            server.rejection.take_if(is_ramp_over);
            server.record_load(load, now);
            is_ordinary_speed =
                server.performance.slowdown(now) < MAX_SAMPLED_SLOWDOWN && !server.is_cold(now);
            match self.estimate {
                Estimate::Fixed => {
                    // The expected time includes the known slowdown of the server.
                    let slowdown = server.performance.slowdown(now);
                    let expected = self.expected.div_f64(slowdown.max(0.1));
                    server.performance.record_answer(now, took, expected);
                }
                // A phase in which the machine is known to be slow does not mark the server.
                Estimate::Learned { .. } => {
                    let expected = self.baseline.mul_f64(pace);
                    server.performance.record_answer(now, took, expected);
                }
            }
        }
        if let Some(object) = self.object {
            let pair = ObjectUse {
                server: warmth::short_digest(affinity::digest(&self.server)),
                object: warmth::short_digest(object),
            };
            if state.warm_objects.record(pair, now) {
                state.recently_handled.push(HandledRecord {
                    at: now,
                    pair,
                    is_from_peer: false,
                });
            }
        }
        if is_ordinary_speed && self.had_free_slot {
            state
                .service_times
                .entry(self.objective)
                .or_insert_with(|| ServiceTimeEstimate::new(self.objective))
                .sample(self.warm, took);
            let took = took.saturating_sub(self.round_trip);
            let took = took.div_f64(pace.max(0.1));
            let costs = &mut state.costs;
            costs.record(&self.route, self.objective, self.warm, took);
        }
    }

    /// Records that the request was given up although it would have taken longer: its deadline passed
    /// or another server answered. Without these times the costs would lack the slowest requests.
    pub fn record_unanswered(&self, now: Instant) {
        let mut state = lock(&self.servers.state);
        if self.had_free_slot {
            let took = now.saturating_duration_since(self.sent_at);
            let took = took.div_f64(self.pace.max(0.1));
            let costs = &mut state.costs;
            costs.record(&self.route, self.objective, self.warm, took);
        }
    }

    /// Records what the server said of itself in the head of an answer; returns whether other VMs
    /// are to be told.
    pub fn record_notice(&self, notice: Notice, now: Instant) -> bool {
        let mut state = lock(&self.servers.state);
        let Some(server) = state.find_run(&self.server, self.born) else {
            return false;
        };
        let (is_new, run) = (
            server.record_notice(notice, self.sent_at, now),
            server.run(),
        );
        if notice.is_leaving {
            state.words.leaving.insert(Topic::Departure(run), now);
        }
        is_new
    }

    /// Records that the server failed the request or refused it.
    pub fn record_failure(&self, now: Instant) {
        self.with_server(|server| server.performance.record_failure(now));
    }

    /// Records that the server refused the request as full, with the load that it reported.
    pub fn record_shedding(&self, load: Option<Load>, now: Instant) {
        self.with_server(|server| {
            let full = Load {
                running: server.registration.slots,
                waiting: server.registration.slots * 2,
                slots: server.registration.slots,
                pace: None,
            };
            server.record_load(Some(load.unwrap_or(full)), now);
        });
    }

    /// Records that the server accepts no connections.
    pub fn record_unreachable(&self, now: Instant) {
        self.with_server(|server| {
            server.down_since = Some((now, server.registration.sequence));
            server.pool.close_idle();
        });
    }

    /// Returns whether the request should be sent to a second server: its answer is overdue, or the
    /// server has answered nothing for so long that it may be dead.
    pub fn is_overdue(&self, now: Instant) -> bool {
        let mut state = lock(&self.servers.state);
        let server = self.find_server(&mut state);
        let is_silent = server
            .is_some_and(|server| server.is_silent(now, self.cold_service_time, self.silence_unit));
        is_silent || now >= self.hedge_at
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.with_server(|server| {
            server.backlog.remove(ticket);
        });
    }
}
