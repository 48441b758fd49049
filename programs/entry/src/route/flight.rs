//! One request on a backend server, counted until it ends.

use super::Router;
use super::loan::Loaned;
use super::shard::Shard;
use crate::server::Server;
use backends::client::{After, Before, Failure, NotRun};
use base::id::{Label, Route};
use hyper::StatusCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::balance::{Completion, Unit};
use steering::spill::{Charge, ServiceClass};

/// Time for which the slot of a cancelled request stays taken.
///
/// The server learns of the cancellation from the closed connection. A request that is sent before
/// would find the slot taken there.
const CANCEL_TIME: Duration = Duration::from_millis(100);

/// Slot that a request holds.
#[derive(Debug)]
pub(super) enum Hold {
    /// Slot of this entry.
    Own(Unit),
    /// Slot lent by another entry.
    Lent(Loaned),
}

/// One request on a backend server; holds its slot and its counts until it is dropped.
#[derive(Debug)]
pub struct Flight {
    router: Arc<Router>,
    shard: Arc<Shard>,
    server: Arc<Server>,
    version: (Label, Route),
    hold: Option<Hold>,
    started: Instant,
    reply: Option<Completion>,
    /// Whether the server is done with the request.
    finished: bool,
    charge: Option<(Charge, ServiceClass)>,
    received: usize,
}

impl Flight {
    pub(super) fn new(
        router: Arc<Router>,
        shard: Arc<Shard>,
        server: Arc<Server>,
        version: (Label, Route),
        hold: Option<Hold>,
    ) -> Self {
        router.metrics.slots_in_use.inc();
        Self {
            router,
            shard,
            server,
            version,
            hold,
            started: Instant::now(),
            reply: None,
            finished: false,
            charge: None,
            received: 0,
        }
    }

    /// Returns the server that has the request.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Returns the version that the server runs.
    pub fn label(&self) -> &Label {
        &self.version.0
    }

    /// Returns the time at which the request was handed to the server.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Returns when the request, if it is still unanswered, is due at a second server.
    pub fn overdue(&self) -> Instant {
        self.started + self.router.settings.read_timeout.0
    }

    pub(super) fn charge(&mut self, charge: Charge, class: ServiceClass, bytes: usize) {
        self.charge = Some((charge, class));
        self.router
            .metrics
            .record_link_bytes(&self.server.listed.region, bytes);
    }

    /// Ends a flight of which nothing was sent.
    pub(crate) fn unused(&mut self) {
        self.finished = true;
    }

    /// Notes the head of an answer.
    pub fn answered(&mut self, status: StatusCode) {
        let now = Instant::now();
        self.reply = Some(match status.is_server_error() {
            true => Completion::Failed,
            false => Completion::Answered,
        });
        if !status.is_server_error() {
            self.sample(now);
        }
    }

    /// Notes why the request got no answer.
    pub fn failed(&mut self, failure: Failure) {
        let now = Instant::now();
        let name = &*self.server.listed.name;
        self.finished = !matches!(failure, Failure::After(_));
        self.reply = Some(match failure {
            Failure::NotRun(NotRun::Shedding) => Completion::Shed,
            // The server's time is known to be at least this long.
            Failure::After(After::Deadline) => {
                self.sample(now);
                Completion::Answered
            }
            // A silent connection is no fault of the server.
            Failure::After(After::Silent)
            | Failure::Before(Before::Busy | Before::Stale | Before::Deadline) => {
                Completion::Answered
            }
            _ => Completion::Failed,
        });
        match failure {
            Failure::NotRun(NotRun::Leaving) => self.shard.refused(name, self.started, now),
            Failure::Before(Before::ConnectRefused) => self.shard.down(name),
            _ => {}
        }
    }

    /// Counts bytes of the answer.
    pub fn received(&mut self, bytes: usize) {
        self.received += bytes;
        if self.charge.is_some() {
            let region = &self.server.listed.region;
            self.router.metrics.record_link_bytes(region, bytes);
        }
    }

    /// Notes that the whole answer has arrived.
    pub fn finish(&mut self) {
        if !self.finished {
            self.finished = true;
            if matches!(self.hold, Some(Hold::Own(_))) {
                self.shard.served(self.started.elapsed());
            }
        }
    }

    fn sample(&self, now: Instant) {
        let (label, route) = &self.version;
        let latency = now.saturating_duration_since(self.started);
        let name = &self.server.listed.name;
        if self.shard.sample(label, route, name, latency, now) {
            log::info!("server {name} is ejected: it is slower than its peers");
            self.router.metrics.ejections.inc();
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.router.metrics.slots_in_use.dec();
        if let Some((charge, class)) = self.charge.take() {
            let region = &self.server.listed.region;
            let received = self.received;
            self.router
                .spill
                .settle(region, &charge, class, received, Instant::now());
        }
        let Some(hold) = self.hold.take() else {
            return;
        };
        let reply = self.reply.unwrap_or(Completion::Answered);
        let name = self.server.listed.name.clone();
        let (shard, label) = (self.shard.clone(), self.version.0.clone());
        let end = move || match hold {
            Hold::Own(unit) => shard.end(&label, &name, unit, reply),
            Hold::Lent(loan) => drop(loan),
        };
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) if !self.finished => {
                runtime.spawn(async move {
                    tokio::time::sleep(CANCEL_TIME).await;
                    end();
                });
            }
            _ => end(),
        }
    }
}
