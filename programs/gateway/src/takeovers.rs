//! State of the takeovers of services by new versions, as each VM keeps it.

mod leader;

pub use leader::run;

use crate::servers::{InFlightRequest, VersionFilter};
use crate::settings::Bounds;
use adapter::store::{self, RowVersion};
use base::id::{DataCentre, Incarnation, Label, Service, Vm};
use base::sync::lock;
use indexmap::IndexMap;
use operators::gateway::Release;
use peers::report::{self, Report};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::release::{Cap, Side};
use steering::routing::TakeoverOrder;
use steering::takeover::{
    Evidence, Exposure, ExposureLimits, LatencyBaseline, OrderVersion, Outcome, Settings,
    SlidingWindow, Stage, Verdict, VersionChoice, Withdrawn,
};
use steering::warmth;

/// Time before the deadline from which evidence is no longer written: the leader waits up to 1.2 s
/// for the store's answer and must not miss the deadline.
const SAVE_CUTOFF: Duration = Duration::from_secs(3);
/// Minimum number of unsaved requests to the new version that triggers a write.
const MIN_UNSAVED_REQUESTS: u64 = 4;
/// Fraction of the operator's bound on requests to a new version that all VMs together use.
const EXPOSURE_FRACTION: f64 = 0.9;

base::message! {
    /// Start of a takeover, stored so that another VM can take over as leader.
    struct Begin {
        /// Row version of the operator's order.
        order: OrderVersion,
        /// Time when the order was first seen, in milliseconds of the store's clock.
        began_ms: u64,
        /// Evidence of all VMs at the last write, in case all of them stop.
        #[serde(default)]
        evidence: Evidence,
        /// Versions of the service that were rolled back before the order.
        #[serde(default)]
        withdrawn: Vec<Label>,
    }
}

/// A takeover in progress, with the evidence that this VM has received.
#[derive(Debug)]
struct ActiveTakeover {
    order: TakeoverOrder,
    /// When this VM received the order.
    received_at: Instant,
    stage: Option<Stage>,
    /// Whether the final stage is in the store.
    settled: bool,
    deadline: Option<Instant>,
    /// Version of the last known status row; 0 for none.
    status_version: RowVersion,
    /// Begin row in the store and its version; none until it is read or written.
    begin: Option<(Begin, RowVersion)>,
    /// Evidence in the store that no running VM reports.
    recovered: Evidence,
    exposure: Exposure,
    pace: LatencyBaseline,
    /// Evidence of this VM.
    own: Evidence,
    history: SlidingWindow,
    /// Evidence of the last seconds.
    recent: Evidence,
    /// Evidence of the other VMs of this data centre; kept after they stop.
    local: IndexMap<(Vm, Incarnation), Evidence>,
    /// Evidence of other data centres, summed by their delegates.
    remote: IndexMap<DataCentre, Evidence>,
}

impl ActiveTakeover {
    /// Returns whether this is the takeover of an order. After the store came back from an older copy,
    /// an order has another version.
    fn is_of(&self, order: &TakeoverOrder) -> bool {
        let known = TakeoverOrder {
            order: order.order,
            ..self.order.clone()
        };
        let is_of_later_era = store::era(order.order) > store::era(self.order.order);
        self.order.order == order.order || (is_of_later_era && known == *order)
    }

    /// Goes on under another version of its order. What the store has of it may be lost, so the stage
    /// and the evidence are to be written again.
    fn keep_for(&mut self, order: &TakeoverOrder) {
        if self.order.order == order.order {
            return;
        }
        log::info!(
            "event=takeover-reordered service={} target={} order={} former={} stage={:?}",
            order.service,
            order.label,
            order.order,
            self.order.order,
            self.stage
        );
        self.order.order = order.order;
        self.settled = false;
        if let Some((begin, _)) = &mut self.begin {
            begin.order = order.order;
        }
    }

    /// Returns the evidence of all VMs of this data centre.
    fn local_evidence(&self) -> Evidence {
        let mut sum = self.own.clone();
        self.local.values().for_each(|other| sum.add(other));
        sum
    }

    /// Returns the evidence of all VMs.
    fn total_evidence(&self) -> Evidence {
        let mut sum = self.local_evidence();
        self.remote.values().for_each(|other| sum.add(other));
        sum.add(&self.recovered);
        sum
    }

    /// Stores the begin row. Evidence in the first one beyond that of running VMs is from VMs that
    /// stopped.
    fn set_begin(&mut self, begin: Begin, row: RowVersion) {
        if self.begin.is_none() {
            self.recovered = begin.evidence.since(&self.total_evidence());
            log::info!(
                "event=takeover-recalled service={} target={} order={} row_version={row} {}",
                self.order.service,
                self.order.label,
                self.order.order,
                self.recovered
            );
        }
        self.begin = Some((begin, row));
    }

    /// Returns the begin row with the current evidence if a write is due. The steps between writes
    /// grow with the evidence, so a takeover needs only a few writes.
    fn pending_save(&self) -> Option<(Begin, RowVersion)> {
        let (begin, row) = self.begin.as_ref()?;
        let evidence = self.total_evidence();
        let saved = begin.evidence.new_total().finished();
        let is_due = evidence.new_total().finished() >= saved + saved / 2 + MIN_UNSAVED_REQUESTS;
        let begin = Begin {
            evidence,
            ..begin.clone()
        };
        let in_time = self.time_left(Instant::now()) >= SAVE_CUTOFF;
        (is_due && in_time).then_some((begin, *row))
    }

    /// Returns the time until the deadline. Until the begin row is known, the term counts from when
    /// this VM received the order.
    fn time_left(&self, now: Instant) -> Duration {
        let deadline = self.deadline.unwrap_or(self.received_at + self.order.term);
        deadline.saturating_duration_since(now)
    }

    /// Moves to a later stage, or to a stage that the store settled; returns whether it moved.
    fn advance_to(&mut self, stage: Stage, settled: bool, from: &str) -> bool {
        let is_new = settled || self.stage.is_none_or(|known| known < stage);
        let is_later = is_new && !self.settled;
        if is_later {
            log::info!(
                "event=takeover service={} target={} order={} from={:?} to={stage:?} settled={settled} by={from} left_ms={} {}",
                self.order.service,
                self.order.label,
                self.order.order,
                self.stage,
                self.time_left(Instant::now()).as_millis(),
                self.total_evidence()
            );
            self.stage = Some(stage);
            self.settled |= settled;
        }
        is_later
    }
}

/// Ordered takeovers by service.
#[derive(Debug, Default)]
pub struct Takeovers {
    active: Mutex<IndexMap<Service, ActiveTakeover>>,
    /// Versions that were rolled back under earlier orders.
    withdrawn: Mutex<Withdrawn>,
}

impl Takeovers {
    /// Applies the operator's orders: drops takeovers no longer ordered and adds new ones.
    pub fn apply_orders(
        &self,
        orders: &[TakeoverOrder],
        bounds: &Bounds,
        own: &Vm,
        members: usize,
    ) {
        let mut active = lock(&self.active);
        let mut withdrawn = lock(&self.withdrawn);
        active.retain(|service, known| {
            let same = |order: &TakeoverOrder| order.service == *service && known.is_of(order);
            let is_ordered = orders.iter().any(same);
            if !is_ordered && known.stage == Some(Stage::RolledBack) {
                withdrawn.withdraw(service, &known.order.label);
            }
            is_ordered
        });
        for order in orders {
            if let Some(known) = active.get_mut(&order.service) {
                known.keep_for(order);
                continue;
            }
            withdrawn.order(&order.service, &order.label);
            let Some(bounds) = bounds.exposure() else {
                // Without bounds, no number of requests to the new version is known to be safe.
                log::warn!(
                    "event=takeover-refused service={} target={} order={} reason=\"the settings have no exposure_share\"",
                    order.service,
                    order.label,
                    order.order
                );
                continue;
            };
            log::info!(
                "event=takeover-ordered service={} target={} order={} term_ms={}",
                order.service,
                order.label,
                order.order,
                order.term.as_millis()
            );
            let settings = Settings::default();
            let allowance = ExposureLimits {
                share: settings.share,
                final_share: settings.final_share,
                final_window: settings.final_window,
                cap: Cap::from_ppm((bounds.share * EXPOSURE_FRACTION * 1e6) as u32),
                slack: bounds.slack * EXPOSURE_FRACTION / members.max(1) as f64,
                term: order.term,
                order: affinity::digest(&format!("{} {}", order.service, order.order)),
                vm: affinity::digest(own),
            };
            let entry = ActiveTakeover {
                order: order.clone(),
                received_at: Instant::now(),
                stage: None,
                settled: false,
                deadline: None,
                status_version: 0,
                begin: None,
                recovered: Evidence::default(),
                exposure: Exposure::new(allowance),
                pace: LatencyBaseline::default(),
                own: Evidence::default(),
                history: SlidingWindow::default(),
                recent: Evidence::default(),
                local: IndexMap::new(),
                remote: IndexMap::new(),
            };
            active.insert(order.service.clone(), entry);
        }
    }

    /// Returns the versions of a service that were rolled back under earlier orders.
    pub fn withdrawn(&self, service: &str) -> Vec<Label> {
        lock(&self.withdrawn).labels(service)
    }

    /// Records versions that were rolled back before the order for `target`.
    fn withdraw(&self, service: &Service, target: &Label, labels: &[Label]) {
        let mut withdrawn = lock(&self.withdrawn);
        for label in labels.iter().filter(|label| *label != target) {
            if withdrawn.withdraw(service, label) {
                log::info!("event=version-withdrawn service={service} version={label}");
            }
        }
    }

    /// Keeps the withdrawn versions that have servers.
    pub fn retain_withdrawn(&self, has_servers: impl Fn(&Service, &Label) -> bool) {
        lock(&self.withdrawn).retain(has_servers);
    }

    /// Returns the version for the next request of a service and, if the request samples the new
    /// version, the digest of its server. `servers` counts the servers of a version.
    pub fn select_version(
        &self,
        service: &str,
        servers: impl Fn(&str) -> usize,
    ) -> (VersionFilter, Option<Digest>) {
        let mut active = lock(&self.active);
        let Some(takeover) = active.get_mut(service) else {
            return (VersionFilter::InService, None);
        };
        let label = takeover.order.label.clone();
        let left = takeover.time_left(Instant::now());
        let start = match takeover.stage {
            Some(stage) => takeover.exposure.select(stage, left, servers(&label)),
            None => VersionChoice::Old,
        };
        match start {
            VersionChoice::Old => (VersionFilter::Except(label), None),
            VersionChoice::Sample(server) => (VersionFilter::Only(label), Some(server)),
            VersionChoice::New => (VersionFilter::Only(label), None),
        }
    }

    /// Counts the first send of a request by the server's version.
    pub fn record_send(&self, service: &str, label: &str) {
        if let Some(takeover) = lock(&self.active).get_mut(service) {
            let left = takeover.time_left(Instant::now());
            let is_new = *takeover.order.label == *label;
            takeover.exposure.record_send(is_new, left);
        }
    }

    /// Returns the time after which a request is late; none without a takeover of its service.
    pub fn late_threshold(&self, service: &str, flight: &InFlightRequest) -> Option<Duration> {
        let active = lock(&self.active);
        let takeover = active.get(service)?;
        Some(takeover.pace.late_threshold(flight.warm, flight.baseline))
    }

    /// Returns the version for a request that can't use the new one.
    pub fn fallback_version(&self, service: &str) -> VersionFilter {
        let active = lock(&self.active);
        let label = active.get(service).map(|t| t.order.label.clone());
        label.map_or(VersionFilter::InService, VersionFilter::Except)
    }

    /// Records that a request ended or is late; returns its side of the takeover, if its service
    /// has one.
    pub fn record_outcome(
        &self,
        service: &str,
        flight: &InFlightRequest,
        outcome: Outcome,
        took: Duration,
    ) -> Option<Side> {
        if lock(&self.withdrawn)
            .labels(service)
            .contains(&flight.label)
        {
            return None;
        }
        let mut active = lock(&self.active);
        let takeover = active.get_mut(service)?;
        let (side, tally) = match takeover.order.label == flight.label {
            true => {
                let server = warmth::short_digest(affinity::digest(&flight.server));
                (Side::New, takeover.own.new.entry(server).or_default())
            }
            false => (Side::Old, &mut takeover.own.old),
        };
        tally.record(outcome);
        if side == Side::Old && matches!(outcome, Outcome::Good | Outcome::Late) {
            takeover.pace.record(flight.warm, took, flight.baseline);
        }
        Some(side)
    }

    /// Logs the evidence of a takeover that this VM leads.
    fn log_evidence(&self, service: &str, now: Instant) {
        if let Some(takeover) = lock(&self.active).get(service) {
            log::info!(
                "event=takeover-evidence service={service} target={} order={} stage={:?} left_ms={} {}",
                takeover.order.label,
                takeover.order.order,
                takeover.stage,
                takeover.time_left(now).as_millis(),
                takeover.total_evidence()
            );
        }
    }

    /// Returns the takeover entries of a report to this data centre, or of a summary to others.
    pub fn report(&self, is_summary: bool) -> Vec<report::Takeover> {
        let active = lock(&self.active);
        let report = active.values().map(|takeover| report::Takeover {
            service: takeover.order.service.clone(),
            order: takeover.order.order,
            stage: takeover.stage,
            settled: takeover.settled,
            evidence: match is_summary {
                true => takeover.local_evidence(),
                false => takeover.own.clone(),
            },
            withdrawn: self.withdrawn(&takeover.order.service),
        });
        report.collect()
    }

    /// Returns the ordered releases for operators.
    pub fn releases(&self) -> Vec<Release> {
        let active = lock(&self.active);
        let releases = active.values().map(|takeover| Release {
            service: takeover.order.service.clone(),
            label: takeover.order.label.clone(),
            stage: takeover.stage,
            is_final: takeover.settled,
        });
        releases.collect()
    }

    /// Merges the evidence and the stages in a report of another VM.
    pub fn merge_report(&self, report: &Report) {
        let mut active = lock(&self.active);
        for theirs in &report.takeovers {
            let known = active.get_mut(&theirs.service);
            let Some(takeover) = known.filter(|t| t.order.order == theirs.order) else {
                continue;
            };
            self.withdraw(&theirs.service, &takeover.order.label, &theirs.withdrawn);
            if report.is_summary() {
                let centre = report.data_centre.clone();
                takeover.remote.insert(centre, theirs.evidence.clone());
            } else {
                let run = (report.vm.clone(), report.incarnation);
                takeover.local.insert(run, theirs.evidence.clone());
            }
            if let Some(stage) = theirs.stage {
                takeover.advance_to(stage, theirs.settled, &report.vm);
            }
        }
    }

    /// Rolls back new versions that the evidence shows to be bad; returns whether it did.
    fn roll_back_bad(&self, now: Instant) -> bool {
        let test = Settings::default().test;
        let mut active = lock(&self.active);
        let mut rolled_back = false;
        for takeover in active.values_mut() {
            let evidence = takeover.total_evidence();
            takeover.recent = takeover.history.update(&evidence, now);
            let undecided = takeover.stage.is_none_or(|s| s < Stage::Completed);
            let is_open = undecided && !takeover.settled;
            if is_open && test.evaluate(&evidence, &takeover.recent) == Verdict::Bad {
                rolled_back |= takeover.advance_to(Stage::RolledBack, false, "own evidence");
            }
        }
        rolled_back
    }

    /// Returns the next time at which a takeover may change its stage.
    fn next_stage_due(&self, now: Instant) -> Option<Instant> {
        let settings = Settings::default();
        let active = lock(&self.active);
        let open = active.values().filter(|takeover| !takeover.settled);
        let due = open.filter_map(|takeover| {
            let before = match takeover.stage? {
                Stage::Sampling => settings.cutover_lead,
                Stage::Moving => settings.completion_lead,
                Stage::Completed | Stage::RolledBack => return None,
            };
            takeover.deadline?.checked_sub(before)
        });
        due.filter(|due| *due > now).min()
    }

    /// Returns the services whose final stage is not in the store.
    fn unsettled(&self) -> Vec<Service> {
        let active = lock(&self.active);
        let unsettled = active.iter().filter(|(_, takeover)| !takeover.settled);
        unsettled.map(|(service, _)| service.clone()).collect()
    }
}
