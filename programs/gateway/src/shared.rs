//! State that the parts of the gateway share; each field has a lock of its own.

use crate::answers::Budget;
use crate::fleet::{Fleet, Rank, Source};
use crate::listing::Listing;
use crate::metrics::Metrics;
use crate::relay::Cache;
use crate::servers::Services;
use crate::settings::Settings;
use crate::takeovers::Takeovers;
use base::id::Incarnation;
use base::sync::lock;
use indexmap::IndexMap;
use peers::report::Phase;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use steering::crashes::Crashes;
use steering::drain::StopDeadlines;
use steering::entrance::{Candidate, Lateness};
use steering::routing::{Operations, Table};
use steering::spending::{Ledger, Reach};
use steering::split::Split;
use steering::warmup;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// What was last read of the operator's orders.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    /// Routes and workspaces; none before the first configuration.
    pub table: Option<Arc<Table>>,
    /// Orders as read, for VMs that can't reach the store. Shared, because a delegate is asked many
    /// times a second and large orders take milliseconds to copy.
    pub operations: Arc<Operations>,
    /// Version of the store at the newest order that is known.
    pub version: u64,
    /// Version of the store at the last change that was put in force here.
    pub changed: u64,
    /// Version of the store when they were last read; all changes up to it are known.
    pub snapshot: u64,
    /// Data centres whose servers get nothing.
    pub evacuated: Vec<base::id::DataCentre>,
    /// When they were last confirmed.
    pub read: Option<Instant>,
}

/// State of one gateway process.
#[derive(Debug)]
pub struct Shared {
    /// Settings in force.
    pub settings: Settings,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// What callers may expect.
    phase: Mutex<Phase>,
    /// Deadlines of the stop; none before it begins.
    stop: OnceLock<StopDeadlines>,
    /// Cancelled when the stop waits for servers no longer.
    pub ending: CancellationToken,
    /// Operator's orders.
    pub orders: Mutex<Orders>,
    /// Registered servers.
    pub listing: Mutex<Listing>,
    /// What other VMs ask for, packed.
    pub packed: Mutex<Cache>,
    /// Other VMs.
    pub fleet: Mutex<Fleet>,
    /// Backend servers by service.
    pub services: Services,
    /// Spending of workspaces.
    pub ledger: Mutex<Ledger>,
    /// Requests that crash servers.
    pub crashes: Mutex<Crashes>,
    /// Dealers of divided routes.
    pub splits: Mutex<IndexMap<Box<str>, Split>>,
    /// Takeovers by new versions.
    pub takeovers: Takeovers,
    /// Memory of answers that are not whole.
    pub answers: Budget,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// How late the timers of this VM are.
    pub lateness: Mutex<Lateness>,
    /// Wakes the reader of orders, when another VM has a newer configuration.
    pub stale: Notify,
    /// Wakes the follower of other VMs, when a report came.
    pub heard: Notify,
    /// Wakes the sender of reports, when something should be known at once.
    pub urgent: Notify,
    /// When the last read of the store by this VM succeeded; none after one that failed.
    read: Mutex<Option<Instant>>,
    in_flight: AtomicU64,
}

/// Time since the last read for which a VM counts as reading the store: the period of the list,
/// and the time of an answer from a slow store.
const READING: Duration = Duration::from_millis(1_100);

/// A caller's request inside the process.
#[derive(Debug)]
pub struct Running<'a>(&'a Shared);

impl Shared {
    /// Makes the state of a process that starts.
    pub fn new(settings: Settings, incarnation: Incarnation) -> Self {
        Self {
            services: Services::new(&settings),
            settings,
            incarnation,
            phase: Mutex::new(Phase::Starting),
            stop: OnceLock::new(),
            ending: CancellationToken::new(),
            orders: Mutex::default(),
            listing: Mutex::default(),
            packed: Mutex::default(),
            fleet: Mutex::default(),
            ledger: Mutex::default(),
            crashes: Mutex::default(),
            splits: Mutex::default(),
            takeovers: Takeovers::default(),
            answers: Budget::default(),
            metrics: Metrics::default(),
            lateness: Mutex::default(),
            stale: Notify::new(),
            heard: Notify::new(),
            urgent: Notify::new(),
            read: Mutex::default(),
            in_flight: AtomicU64::new(0),
        }
    }

    /// Returns what callers may expect.
    pub fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Moves to another phase; a process that leaves does not come back.
    pub fn enter(&self, phase: Phase) {
        let mut current = lock(&self.phase);
        if *current != Phase::Leaving && *current != phase {
            log::info!("event=phase from={:?} to={phase:?}", *current);
            *current = phase;
            self.urgent.notify_one();
        }
    }

    /// Begins the stop: from now on only requests that end before this process are passed on.
    pub fn stop(&self, grace: StopDeadlines) {
        self.stop.get_or_init(|| grace);
        self.enter(Phase::Leaving);
    }

    /// Returns whether a request with this deadline may be passed on to a server.
    pub fn admits(&self, deadline: Instant) -> bool {
        self.stop.get().is_none_or(|grace| grace.admits(deadline))
    }

    /// Returns the table in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        lock(&self.orders).table.clone()
    }

    /// Returns what this VM can take of callers.
    pub fn entrance(&self) -> Candidate {
        Candidate {
            link_mbps: self.settings.link(),
            is_busy: lock(&self.lateness).is_busy(),
        }
    }

    /// Returns the time since what this VM knows was read from the store, here or by another VM;
    /// none before the first read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let orders = lock(&self.orders).read;
        let listing = lock(&self.listing).read;
        let oldest = orders.zip(listing).map(|(a, b)| a.min(b));
        oldest.map(|read| now.saturating_duration_since(read))
    }

    /// Returns how many VMs there are and how many are heard.
    pub fn reach(&self, now: Instant) -> Reach {
        lock(&self.fleet).reach(&self.settings.vm, now)
    }

    /// Returns whether this VM is the one that warms up a cold server.
    pub fn warms_up(&self, server: &str, now: Instant) -> bool {
        let fleet = lock(&self.fleet);
        let own = &self.settings.vm;
        let others = fleet.alive(now).map(|alive| alive.vm);
        let alive = others.chain(std::iter::once(own));
        warmup::is_owner(server, own, alive, fleet.reach(own, now).members)
    }

    /// Returns the other VM that is the delegate of this data centre; none if this VM is the
    /// delegate itself.
    pub fn delegate(&self, now: Instant) -> Option<Source> {
        let reads = self.reads(now);
        let own = Rank::new(reads, self.settings.link(), &self.settings.vm);
        let fleet = lock(&self.fleet);
        let delegate = fleet.delegate(&own, now);
        delegate.map(|peer| Source::of(&peer.report))
    }

    /// Returns whether this VM reads the store itself now.
    pub fn reads(&self, now: Instant) -> bool {
        let read = *lock(&self.read);
        read.is_some_and(|read| now.saturating_duration_since(read) < READING)
    }

    /// Takes in the end of a read of the store: when it succeeded, or none if it failed or this VM
    /// leaves the store to another one.
    pub fn set_read(&self, read: Option<Instant>) {
        let mut known = lock(&self.read);
        if known.is_some() != read.is_some() {
            self.urgent.notify_one();
        }
        *known = read;
    }

    /// Counts a caller's request until the guard is dropped.
    pub fn run(&self) -> Running<'_> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Running(self)
    }

    /// Returns the number of callers' requests inside the process.
    pub fn running(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
