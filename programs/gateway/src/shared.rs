//! State that the parts of the gateway share; each field has a lock of its own.

use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::servers::Services;
use crate::settings::Settings;
use crate::takeovers::Takeovers;
use base::id::{Incarnation, Vm};
use base::sync::lock;
use indexmap::IndexMap;
use peers::report::Phase;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use steering::crashes::Crashes;
use steering::routing::{Operations, Registration, Table};
use steering::spending::{Ledger, Reach};
use steering::split::Split;
use tokio::sync::Notify;

/// What was last read of the operator's orders.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    /// Routes and workspaces; none before the first configuration.
    pub table: Option<Arc<Table>>,
    /// Orders as read, for VMs that can't reach the store.
    pub operations: Operations,
    /// Version of the store that they were read at.
    pub version: u64,
    /// Data centres whose servers get nothing.
    pub evacuated: Vec<base::id::DataCentre>,
    /// When they were last confirmed.
    pub read: Option<Instant>,
}

/// Registrations as last read, for VMs that can't reach the store.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// All registrations.
    pub registrations: Vec<Registration>,
    /// When they were read from the store; none if they came from another VM.
    pub read: Option<Instant>,
}

/// State of one gateway process.
#[derive(Debug)]
pub struct Shared {
    /// Settings in force.
    pub settings: Settings,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Start of the process.
    pub started: Instant,
    /// What callers may expect.
    phase: Mutex<Phase>,
    /// Operator's orders.
    pub orders: Mutex<Orders>,
    /// Registrations for other VMs.
    pub listing: Mutex<Listing>,
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
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Wakes the reader of orders, when another VM has a newer configuration.
    pub stale: Notify,
    /// Wakes the sender of reports, when something should be known at once.
    pub urgent: Notify,
    in_flight: AtomicU64,
}

/// A caller's request inside the process.
#[derive(Debug)]
pub struct Running<'a>(&'a Shared);

impl Shared {
    /// Makes the state of a process that starts.
    pub fn new(settings: Settings, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            services: Services::new(&settings),
            settings,
            incarnation,
            started: now,
            phase: Mutex::new(Phase::Starting),
            orders: Mutex::default(),
            listing: Mutex::default(),
            fleet: Mutex::default(),
            ledger: Mutex::default(),
            crashes: Mutex::default(),
            splits: Mutex::default(),
            takeovers: Takeovers::default(),
            metrics: Metrics::default(),
            stale: Notify::new(),
            urgent: Notify::new(),
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

    /// Returns the table in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        lock(&self.orders).table.clone()
    }

    /// Returns how many VMs there are and how many are heard.
    pub fn reach(&self, now: Instant) -> Reach {
        lock(&self.fleet).reach(&self.settings.vm, now)
    }

    /// Returns the VMs that serve, this one included.
    pub fn alive(&self, now: Instant) -> Vec<Vm> {
        let fleet = lock(&self.fleet);
        let others = fleet.alive(now).map(|peer| peer.report.vm.clone());
        others
            .chain(std::iter::once(self.settings.vm.clone()))
            .collect()
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
