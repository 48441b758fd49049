//! State that this VM keeps about one backend server.

use super::Parts;
use crate::settings::Settings;
use adapter::header::Load;
use backends::client::{self, Names, Pool};
use base::id::Region;
use hyper::header::HeaderName;
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::backlog;
use steering::intake::Intake;
use steering::notice::{Departure, Rejection};
use steering::routing::Registration;
use steering::warmup::Warmup;
use steering::work::ServerPerformance;

/// Age up to which the load that a server reported itself is used.
const MAX_LOAD_AGE: Duration = Duration::from_millis(300);
/// Longest time to make a connection: the round trip between regions takes 24 ms, and a lost packet
/// is retransmitted after 200 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which idle connections are closed, unless the server announced a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a server that refused connections is tried again even without new reports.
pub(super) const DOWN_RETRY_TIME: Duration = Duration::from_secs(4);
/// Reports after which a server that refused connections counts as up again. The first may have
/// been under way when the server went down.
const REPORTS_UNTIL_UP: u64 = 2;

/// A registered server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) registration: Registration,
    pub(super) digest: Digest,
    pub(super) region: Region,
    pub(super) pool: Pool,
    pub(super) performance: ServerPerformance,
    pub(super) warmup: Option<Warmup>,
    /// Requests at the server, of this VM and of others.
    pub(super) backlog: backlog::Server,
    /// Load that the server reported last, and when.
    pub(super) reported_load: Option<(Load, Instant)>,
    /// When the server refused a connection, and the sequence number of its report at that time.
    pub(super) down_since: Option<(Instant, u64)>,
    /// Whether it has said that it leaves.
    pub(super) departure: Departure,
    /// Time for which it wants nothing from this VM, and the ramp afterwards.
    pub(super) rejection: Option<Box<Rejection>>,
    /// How many requests it takes from all VMs together.
    pub(super) intake: Intake,
    /// Whether a notice of it that could not be read was logged.
    pub(super) is_unreadable_logged: bool,
}

impl Server {
    /// Creates the state of a server of which only the registration is known.
    pub(super) fn new(registration: &Registration, settings: &Settings, now: Instant) -> Self {
        let pool = client::Settings {
            names: Names {
                request_id: HeaderName::from_static(adapter::header::REQUEST_ID),
                deadline: HeaderName::from_static(adapter::header::DEADLINE),
                // The gateway reads the header itself, since the load beside it says whether the
                // server is full.
                not_run: None,
                key: HeaderName::from_static(adapter::header::KEY),
                kept: adapter::header::ANSWER_FIELDS
                    .map(HeaderName::from_static)
                    .into(),
            },
            echoes: true,
            accept_unmarked: true,
            unacknowledged_timeout: Some(UNACKNOWLEDGED_TIMEOUT),
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            // Requests end at their own deadlines; a server without an answer may still be at work.
            read_timeout: Duration::from_secs(300),
            ..client::Settings::default()
        };
        Self {
            digest: affinity::digest(&registration.server),
            region: settings.region_of(&registration.data_centre),
            pool: Pool::new(registration.address, pool),
            registration: registration.clone(),
            performance: ServerPerformance::new(now),
            warmup: None,
            backlog: backlog::Server::default(),
            reported_load: None,
            down_since: None,
            departure: Departure::default(),
            rejection: None,
            intake: Intake::default(),
            is_unreadable_logged: false,
        }
    }

    /// Returns the requests that the server has, of this VM and of others.
    pub(super) fn load(&self, now: Instant) -> u32 {
        let own = u32::try_from(self.backlog.own()).unwrap_or(u32::MAX);
        let other_load = match self.reported_load {
            Some((load, at)) if now.saturating_duration_since(at) < MAX_LOAD_AGE => load
                .running
                .saturating_add(load.waiting)
                .saturating_sub(own),
            _ => self.backlog.reported(),
        };
        own.saturating_add(other_load)
    }

    /// Records the load that the server stated in an answer.
    pub(super) fn record_load(&mut self, load: Option<Load>, now: Instant) {
        self.reported_load = load.map(|load| (load, now));
        if let Some(load) = load {
            let all = load.running.saturating_add(load.waiting);
            self.backlog.record_load(all, now);
        }
        if let Some(pace) = load.and_then(|load| load.pace) {
            self.backlog.record_pace(pace, now);
        }
    }

    /// Returns whether the server has not answered for so long that it may be dead: one request
    /// waits for several times as long as the `slowest` ones take, or two as long as most take.
    pub(super) fn is_silent(&self, now: Instant, usual: Duration, slowest: Duration) -> bool {
        let [first, second] = self.backlog.oldest();
        self.performance.is_silent(now, first, slowest)
            || self.performance.is_silent(now, second, usual)
    }

    /// Whether the server refused a connection lately and has not reported enough since.
    pub(super) fn is_down(&self, now: Instant) -> bool {
        self.down_since.is_some_and(|(since, sequence)| {
            let reports = self.registration.sequence.saturating_sub(sequence);
            reports < REPORTS_UNTIL_UP && now.saturating_duration_since(since) < DOWN_RETRY_TIME
        })
    }

    /// Returns whether the server leaves, by the store or by its own word.
    pub(super) fn is_leaving(&self) -> bool {
        self.registration.leaving || self.departure.is_leaving()
    }

    /// Returns whether the server takes another request of this VM, as far as it has said.
    pub(super) fn takes_requests(&self, now: Instant) -> bool {
        let rejection = self.rejection.as_ref();
        rejection.is_none_or(|rejection| rejection.allows(self.backlog.own(), now))
    }

    /// Returns whether its limit leaves no request for this VM now.
    pub(super) fn is_limited(&self, parts: &impl Parts, now: Instant) -> bool {
        self.intake.rate().is_some() && {
            let place = parts.intake_place(self.digest, &self.region);
            !self.intake.allows(&place, now)
        }
    }

    /// Returns when this VM may send the next request within its part of the limit; none if it has no
    /// part.
    pub(super) fn turn_at(&self, parts: &impl Parts) -> Option<Instant> {
        let place = parts.intake_place(self.digest, &self.region);
        self.intake.turn_at(&place)
    }

    /// Lets requests that wait for a connection through, or not.
    pub(super) fn update_pool(&self, now: Instant) {
        let rejection = self.rejection.as_ref();
        let is_rejected = rejection.is_some_and(|rejection| now < rejection.until());
        self.pool.set_open(!self.is_leaving() && !is_rejected);
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.warmup
            .as_ref()
            .is_some_and(|warmup| warmup.is_cold(now))
    }

    /// Starts a warm-up until `until`, or extends the current one.
    pub(super) fn warm_up(&mut self, until: Instant, now: Instant) {
        match &mut self.warmup {
            Some(warmup) if warmup.is_cold(now) => warmup.extend(until),
            _ => self.warmup = Some(Warmup::new(until, now)),
        }
    }
}
