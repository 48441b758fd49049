//! State shared by the tasks of the gateway; each field has its own lock.

use crate::answer_memory::{self, AnswerMemory};
use crate::body_memory::{self, BodyMemory};
use crate::fleet::{Fleet, MemberEntry, Rank, StoreSource};
use crate::listing::Listing;
use crate::metrics::Metrics;
use crate::relay::PackedCache;
use crate::servers::{Parts, Services};
use crate::settings::Settings;
use crate::takeovers::Takeovers;
use crate::traffic::Traffic;
use crate::usage::Usage;
use adapter::store;
use base::id::{Incarnation, Vm};
use base::sync::lock;
use indexmap::IndexMap;
use peers::report::Phase;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::crashes::CrashCounter;
use steering::crashes::record::Record;
use steering::drain::StopDeadlines;
use steering::entrance::{Candidate, TimerLag};
use steering::intake::{self, Holders, Place};
use steering::membership::rendezvous;
use steering::reading;
use steering::registry::RECOVERY_GRACE;
use steering::routing::{DesiredState, Table};
use steering::spending::{Coverage, Ledger};
use steering::split::Split;
use steering::transfer::{self, Allowance};
use steering::warmup::Ownership;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Operator's orders as last read.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    /// Routes and workspaces; none before the first configuration.
    pub table: Option<Arc<Table>>,
    /// Orders as read, for VMs that don't read the store. In an `Arc`, because a delegate answers
    /// many requests per second and large orders take milliseconds to copy.
    pub operations: Arc<DesiredState>,
    /// Store version of the newest known order.
    pub version: u64,
    /// Store version at the last change that was applied here.
    pub changed_at: u64,
    /// Store version at the last read; all changes up to it are known.
    pub snapshot: u64,
    /// Data centres whose servers get no requests.
    pub evacuated: Vec<base::id::DataCentre>,
    /// When the orders were last known to be current.
    pub read_at: Option<Instant>,
    /// When the operator has written its orders again, after the store came back from an older copy;
    /// none if they were read since.
    pub rewritten_at: Option<Instant>,
}

impl Orders {
    /// Records the version of the store up to which the orders are known; returns whether the store
    /// came back from an older copy since the last one.
    pub fn advance(&mut self, snapshot: u64, now: Instant) -> bool {
        let is_back = self.table.is_some() && store::era(snapshot) > store::era(self.snapshot);
        if is_back {
            self.rewritten_at = Some(now + RECOVERY_GRACE);
        }
        self.snapshot = self.snapshot.max(snapshot);
        is_back
    }
}

/// State of one gateway process.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Phase of the process: starting, ready or leaving.
    phase: Mutex<Phase>,
    /// Deadlines of the shutdown; unset before it begins.
    shutdown: OnceLock<StopDeadlines>,
    /// Cancelled when the shutdown no longer waits for servers.
    pub grace_token: CancellationToken,
    /// Operator's orders.
    pub orders: Mutex<Orders>,
    /// Registered servers.
    pub listing: Mutex<Listing>,
    /// Packed answers to other VMs' requests for store data.
    pub packed_cache: Mutex<PackedCache>,
    /// Bulk data that this VM may send to others.
    pub bulk: Mutex<Allowance>,
    /// Other VMs.
    pub fleet: Mutex<Fleet>,
    /// Backend servers by service.
    pub services: Services,
    /// Cold servers to which this VM sends requests.
    ownership: Mutex<Ownership>,
    /// Parts that this VM holds of the limits that servers name.
    holders: Mutex<Holders>,
    /// Spending of workspaces.
    pub ledger: Mutex<Ledger>,
    /// Crash counts of requests.
    pub crashes: Mutex<CrashCounter>,
    /// This VM's record of crashes in the store.
    pub crash_record: Mutex<Record>,
    /// Wakes the writer of that record.
    pub crashes_changed: Notify,
    /// Wakes it at once, for a suspect.
    pub suspect_changed: Notify,
    /// Wakes sends that wait for the record.
    pub crashes_recorded: Notify,
    /// State of routes that are divided by share, by route.
    pub splits: Mutex<IndexMap<Box<str>, Split>>,
    /// Takeovers by new versions.
    pub takeovers: Takeovers,
    /// Usage reports; none if the deployment has none.
    pub usage: Option<Usage>,
    /// Memory budget for incomplete answers.
    pub answers: Arc<AnswerMemory>,
    /// Memory budget for bodies of callers' requests.
    pub bodies: BodyMemory,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Bytes exchanged with other VMs and the store.
    pub traffic: Traffic,
    /// Recent lateness of this VM's timers.
    pub lateness: Mutex<TimerLag>,
    /// Set while a new connection of a caller waits because all others have requests.
    pub is_full: Arc<AtomicBool>,
    /// Wakes the keeper of this VM's member entry when the store came back from an older copy.
    pub store_returned: Notify,
    /// Wakes the reader of orders when another VM has newer ones.
    pub orders_outdated: Notify,
    /// Wakes the relay when another VM holds other store data than before.
    pub report_received: Notify,
    /// Wakes the sender of reports when a change is to be reported at once.
    pub report_requested: Notify,
    /// Wakes it when a VM was heard that doesn't know this one yet.
    pub greeting_requested: Notify,
    /// When this VM last read the store; none if the last read failed.
    store_read_at: Mutex<Option<Instant>>,
    started_at: Instant,
    /// Whether the member table was read.
    has_members: AtomicBool,
    in_flight: AtomicU64,
}

/// Time since its last read during which a VM counts as reading the store: the poll period plus the
/// time of an answer from a slow store.
const MAX_READ_AGE: Duration = Duration::from_millis(1_100);

/// Time after the start of the process in which VMs of the member table may not have reported yet.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Guard that counts a caller's request while it is in the process.
#[derive(Debug)]
pub struct RequestGuard<'a>(&'a Shared);

impl Shared {
    /// Creates the state of a process that starts.
    pub fn new(settings: Settings, incarnation: Incarnation) -> Self {
        let memory = settings.memory_mb * 1_000_000;
        let answers = answer_memory::Settings::of_memory(memory);
        let bodies = body_memory::Settings::of_memory(memory, &answers);
        let pace = transfer::Settings::default();
        let bulk = Allowance::new(&pace, settings.link_mbps(), Instant::now());
        Self {
            services: Services::new(&settings),
            ownership: Mutex::new(Ownership::new(&settings.vm)),
            holders: Mutex::new(Holders::new(&settings.vm)),
            usage: Usage::new(settings.usage.as_ref(), incarnation),
            settings,
            incarnation,
            phase: Mutex::new(Phase::Starting),
            shutdown: OnceLock::new(),
            grace_token: CancellationToken::new(),
            orders: Mutex::default(),
            listing: Mutex::default(),
            packed_cache: Mutex::default(),
            bulk: Mutex::new(bulk),
            fleet: Mutex::default(),
            ledger: Mutex::default(),
            crashes: Mutex::default(),
            crash_record: Mutex::default(),
            crashes_changed: Notify::new(),
            suspect_changed: Notify::new(),
            crashes_recorded: Notify::new(),
            splits: Mutex::default(),
            takeovers: Takeovers::default(),
            answers: Arc::new(AnswerMemory::new(answers)),
            bodies: BodyMemory::new(bodies),
            metrics: Metrics::default(),
            traffic: Traffic::default(),
            lateness: Mutex::default(),
            is_full: Arc::default(),
            store_returned: Notify::new(),
            orders_outdated: Notify::new(),
            report_received: Notify::new(),
            report_requested: Notify::new(),
            greeting_requested: Notify::new(),
            store_read_at: Mutex::default(),
            started_at: Instant::now(),
            has_members: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
        }
    }

    /// Returns the phase of the process.
    pub fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Moves to another phase; `Leaving` is final.
    pub fn enter(&self, phase: Phase) {
        let mut current = lock(&self.phase);
        if *current != Phase::Leaving && *current != phase {
            log::info!("event=phase from={:?} to={phase:?}", *current);
            *current = phase;
            self.report_requested.notify_one();
        }
    }

    /// Begins the shutdown: from now on only requests that end before the process are forwarded.
    pub fn begin_shutdown(&self, grace: StopDeadlines) {
        self.shutdown.get_or_init(|| grace);
        self.enter(Phase::Leaving);
    }

    /// Returns whether a request with this deadline may be forwarded to a server.
    pub fn admits(&self, deadline: Instant) -> bool {
        self.shutdown
            .get()
            .is_none_or(|grace| grace.admits(deadline))
    }

    /// Returns the routing table in use.
    pub fn table(&self) -> Option<Arc<Table>> {
        lock(&self.orders).table.clone()
    }

    /// Returns how long callers' connections may rest by the configuration; none before the first.
    pub fn idle_timeout(&self) -> Option<Duration> {
        let table = self.table()?;
        Some(table.configuration().bounds.idle_timeout)
    }

    /// Returns the link bandwidth of this VM and whether it is busy.
    pub fn entrance(&self) -> Candidate {
        Candidate {
            link_mbps: self.settings.link_mbps(),
            is_busy: lock(&self.lateness).is_busy(),
        }
    }

    /// Returns the age of the oldest store data on this VM, read here or by another VM; none before
    /// the first read.
    pub fn store_data_age(&self, now: Instant) -> Option<Duration> {
        let orders = lock(&self.orders).read_at;
        let listing = lock(&self.listing).read_at;
        let oldest = orders.zip(listing).map(|(a, b)| a.min(b));
        oldest.map(|read_at| now.saturating_duration_since(read_at))
    }

    /// Returns how many VMs are known and how many are up.
    pub fn coverage(&self, now: Instant) -> Coverage {
        lock(&self.fleet).coverage(&self.settings.vm, now)
    }

    /// Returns this VM's parts of what all VMs together may send to a server.
    pub fn parts(&self, now: Instant) -> OwnParts<'_> {
        OwnParts { shared: self, now }
    }

    /// Returns the VM that is the delegate of this data centre; none if it is this VM.
    pub fn delegate(&self, now: Instant) -> Option<StoreSource> {
        let reads = self.reads_store(now);
        let own = Rank::new(reads, self.settings.link_mbps(), &self.settings.vm);
        let fleet = lock(&self.fleet);
        let delegate = fleet.delegate(&own, now);
        delegate.map(|peer| StoreSource::of(&peer.report))
    }

    /// Returns whether this VM itself reads the store.
    pub fn reads_store(&self, now: Instant) -> bool {
        let read_at = *lock(&self.store_read_at);
        read_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_READ_AGE)
    }

    /// Returns whether this VM reads the store for its data centre.
    pub fn is_speaker(&self, now: Instant) -> bool {
        self.reads_store(now) && self.delegate(now).is_none()
    }

    /// Returns whether this VM ranks first for a subject among the delegates that read the store.
    pub fn is_leader(&self, subject: &str) -> bool {
        let now = Instant::now();
        if !self.is_speaker(now) {
            return false;
        }
        let fleet = lock(&self.fleet);
        let others: Vec<Vm> = fleet
            .remote(now)
            .filter(|peer| peer.report.known.reads)
            .map(|peer| peer.report.vm.clone())
            .collect();
        rendezvous::rank(subject, &self.settings.vm, &others) == 0
    }

    /// Records when a read of the store succeeded; none if it failed or if the delegate reads for
    /// this VM.
    pub fn set_store_read(&self, read_at: Option<Instant>) {
        let mut known = lock(&self.store_read_at);
        if known.is_some() != read_at.is_some() {
            self.report_requested.notify_one();
        }
        *known = read_at;
    }

    /// Records that the store came back from an older copy, which may lack what this VM has written.
    pub fn record_return(&self) {
        log::info!("event=store-returned");
        lock(&self.crash_record).forget();
        self.crashes_changed.notify_one();
        self.store_returned.notify_one();
    }

    /// Replaces the members by those of the store's table.
    pub fn set_members(&self, members: IndexMap<Vm, MemberEntry>) {
        lock(&self.fleet).set_members(members);
        self.has_members.store(true, Ordering::Relaxed);
    }

    /// Returns the time from which this VM reads the store, if no VM of its data centre is known to
    /// read since `lost_at`.
    pub fn reads_from(&self, lost_at: Instant, now: Instant) -> Instant {
        reading::begins_at(
            &reading::Settings::default(),
            self.reading_place(now),
            self.started_at,
            lost_at,
        )
    }

    /// Returns this VM's place in the order in which VMs of its data centre read the store.
    pub fn reading_place(&self, now: Instant) -> reading::Place {
        if !self.has_members.load(Ordering::Relaxed) {
            return reading::Place::Unlisted;
        }
        let settings = &self.settings;
        let own = Rank::new(false, settings.link_mbps(), &settings.vm);
        let is_starting = now.saturating_duration_since(self.started_at) < START_TIME;
        let fleet = lock(&self.fleet);
        let centre = &settings.data_centre;
        reading::Place::After(fleet.readers_before(&own, centre, is_starting, now))
    }

    /// Counts a caller's request until the guard is dropped.
    pub fn track_request(&self) -> RequestGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard(self)
    }

    /// Returns the number of callers' requests in the process.
    pub fn requests_in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// This VM's parts of what all VMs together may send to a server, at a time.
#[derive(Debug)]
pub struct OwnParts<'a> {
    shared: &'a Shared,
    now: Instant,
}

impl Parts for OwnParts<'_> {
    fn is_warmup_owner(&self, server: Digest) -> bool {
        let Self { shared, now } = *self;
        let mut ownership = lock(&shared.ownership);
        if ownership.is_expired(now) {
            let fleet = lock(&shared.fleet);
            let own = &shared.settings.vm;
            let others = fleet.alive(now).map(|alive| affinity::digest(alive.vm));
            let alive: Vec<Digest> = others.chain([affinity::digest(own)]).collect();
            ownership.set_view(&alive, fleet.coverage(own, now).members, now);
        }
        ownership.owns(server)
    }

    fn intake_place(&self, server: Digest, region: &str) -> Place {
        let Self { shared, now } = *self;
        let mut holders = lock(&shared.holders);
        if holders.is_expired(now) {
            let settings = &shared.settings;
            let candidate = |vm: &str, region: &str, phase| intake::Candidate {
                vm: affinity::digest(vm),
                region: affinity::digest(region),
                is_ready: phase == Phase::Ready,
            };
            let own = candidate(&settings.vm, &settings.region, shared.phase());
            let fleet = lock(&shared.fleet);
            let others = fleet.alive(now);
            let others = others.map(|vm| candidate(vm.vm, vm.region, vm.phase));
            let members = fleet.coverage(&settings.vm, now).members;
            holders.set_view(others.chain([own]), members, now);
        }
        holders.place(server, affinity::digest(region), now)
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
