//! One backend server, as this VM knows it.

use crate::settings::Settings;
use adapter::header::Load;
use backends::client::{self, Names, Pool};
use base::id::Region;
use hyper::header::HeaderName;
use indexmap::IndexMap;
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::routing::Registration;
use steering::warmup::Warmup;
use steering::work::ServerPerformance;

/// Age up to which a server's own report of its load is used.
const LOAD_AGE: Duration = Duration::from_millis(300);
/// Longest time to make a connection; two regions are 24 ms apart, and a lost packet is sent again
/// after 200 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections are closed after this time, unless the server announced less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Time after which a server that refused connections is tried again, though it did not report.
pub(super) const DOWN_TIME: Duration = Duration::from_secs(4);
/// Reports of a server after which it counts as up again. The first may have been on its way when
/// the server went down.
const DOWN_REPORTS: u64 = 2;

/// A registered server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) registration: Registration,
    pub(super) digest: Digest,
    pub(super) region: Region,
    pub(super) pool: Pool,
    pub(super) condition: ServerPerformance,
    pub(super) warmup: Option<Warmup>,
    /// When each unanswered request of this VM was sent, by ticket.
    pub(super) sent: IndexMap<u64, Instant>,
    /// Requests of other VMs, as they report.
    pub(super) others: u32,
    /// What the server said last.
    pub(super) load: Option<(Load, Instant)>,
    /// When the server refused a connection, and the number of its report then.
    pub(super) down: Option<(Instant, u64)>,
}

impl Server {
    /// Starts with a server of which only its report is known.
    pub(super) fn new(listed: &Registration, settings: &Settings, now: Instant) -> Self {
        let pool = client::Settings {
            names: Names {
                request_id: HeaderName::from_static(adapter::header::REQUEST_ID),
                deadline: HeaderName::from_static(adapter::header::DEADLINE),
                // The load in such an answer says whether the server is full.
                not_run: None,
            },
            echoes: true,
            accept_unmarked: true,
            unacknowledged: Some(UNACKNOWLEDGED),
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            // Requests end by their own deadlines; silence alone does not end one.
            read_timeout: Duration::from_secs(300),
            ..client::Settings::default()
        };
        Self {
            digest: affinity::digest(&listed.server),
            region: settings.region_of(&listed.data_centre),
            pool: Pool::new(listed.address, pool),
            registration: listed.clone(),
            condition: ServerPerformance::new(now),
            warmup: None,
            sent: IndexMap::new(),
            others: 0,
            load: None,
            down: None,
        }
    }

    pub(super) fn load(&self, now: Instant) -> u32 {
        let own = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let others = match self.load {
            Some((load, at)) if now.saturating_duration_since(at) < LOAD_AGE => load
                .running
                .saturating_add(load.waiting)
                .saturating_sub(own),
            _ => self.others,
        };
        own.saturating_add(others)
    }

    pub(super) fn is_down(&self, now: Instant) -> bool {
        self.down.is_some_and(|(since, sequence)| {
            let reports = self.registration.sequence.saturating_sub(sequence);
            reports < DOWN_REPORTS && now.saturating_duration_since(since) < DOWN_TIME
        })
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.warmup.as_ref().is_some_and(|w| w.is_cold(now))
    }

    pub(super) fn warm_up(&mut self, until: Instant, now: Instant) {
        match &mut self.warmup {
            Some(warmup) if warmup.is_cold(now) => warmup.extend(until),
            _ => self.warmup = Some(Warmup::new(until, now)),
        }
    }
}
