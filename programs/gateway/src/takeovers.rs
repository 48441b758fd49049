//! Takeovers of services by new versions: what each VM acts by.

mod lead;

pub use lead::drive;

use crate::servers::{Flight, Version};
use crate::settings::Bounds;
use adapter::store::RowVersion;
use base::id::{DataCentre, Incarnation, Service, Vm};
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
    SlidingWindow, Stage, Verdict, VersionChoice,
};
use steering::warmth;

/// Time before the deadline from which the evidence is not written any more: the leader waits for the
/// store's answer, up to 1.2 s, and must not be late for the takeover.
const LAST_SAVE: Duration = Duration::from_secs(3);
/// Least requests on the new version beyond those in the store for which the store is written.
const LEAST_UNSAVED: u64 = 4;
/// Part of the operator's bound on requests to a new version that VMs use together.
const EXPOSURE_PART: f64 = 0.9;

base::message! {
    /// Begin of a takeover, kept in the store, so that another VM can lead it to its end.
    struct Begin {
        /// Order of the operator.
        order: OrderVersion,
        /// Time of the store's clock in milliseconds when the order was first seen.
        began_ms: u64,
        /// What all VMs saw until the last write, for the case that all of them end.
        #[serde(default)]
        evidence: Evidence,
    }
}

#[derive(Debug)]
struct Active {
    order: TakeoverOrder,
    /// When this VM learned of the order.
    learned: Instant,
    stage: Option<Stage>,
    settled: bool,
    deadline: Option<Instant>,
    /// Version of the status row that this VM saw last; 0 for none.
    row: RowVersion,
    /// The store's row on the begin, and its version; none before it was read or written.
    begin: Option<(Begin, RowVersion)>,
    /// Evidence in the store that no running VM holds.
    kept: Evidence,
    exposure: Exposure,
    pace: LatencyBaseline,
    own: Evidence,
    history: SlidingWindow,
    /// Evidence of the last seconds.
    recent: Evidence,
    /// Evidence of the VMs of the own data centre, by VM, which stays when they end.
    near: IndexMap<(Vm, Incarnation), Evidence>,
    /// Evidence of other data centres, as their delegates sum it up.
    far: IndexMap<DataCentre, Evidence>,
}

impl Active {
    /// Returns what the VMs of the own data centre saw.
    fn near_evidence(&self) -> Evidence {
        let mut sum = self.own.clone();
        self.near.values().for_each(|other| sum.add(other));
        sum
    }

    /// Returns what all VMs saw.
    fn evidence(&self) -> Evidence {
        let mut sum = self.near_evidence();
        self.far.values().for_each(|other| sum.add(other));
        sum.add(&self.kept);
        sum
    }

    /// Takes in the store's row on the begin. What it holds beyond the evidence of the VMs that run
    /// was seen by VMs that ended.
    fn begun(&mut self, begin: Begin, row: RowVersion) {
        if self.begin.is_none() {
            self.kept = begin.evidence.since(&self.evidence());
            log::info!(
                "event=takeover-recalled service={} target={} order={} row_version={row} {}",
                self.order.service,
                self.order.label,
                self.order.order,
                self.kept
            );
        }
        self.begin = Some((begin, row));
    }

    /// Returns the row on the begin with the evidence of now, if that is worth a write: the gaps
    /// between writes grow with the evidence, so an order takes a handful of them.
    fn unsaved(&self) -> Option<(Begin, RowVersion)> {
        let (begin, row) = self.begin.as_ref()?;
        let evidence = self.evidence();
        let saved = begin.evidence.new_total().finished();
        let is_due = evidence.new_total().finished() >= saved + saved / 2 + LEAST_UNSAVED;
        let begin = Begin {
            evidence,
            ..begin.clone()
        };
        let in_time = self.left(Instant::now()) >= LAST_SAVE;
        (is_due && in_time).then_some((begin, *row))
    }

    /// Returns the time until the deadline; counted from when this VM learned of the order, until
    /// the store said when that was.
    fn left(&self, now: Instant) -> Duration {
        let deadline = self.deadline.unwrap_or(self.learned + self.order.term);
        deadline.saturating_duration_since(now)
    }

    /// Moves to a later stage; the store's word is final.
    fn learn(&mut self, stage: Stage, settled: bool, from: &str) -> bool {
        let is_news = settled || self.stage.is_none_or(|known| known < stage);
        let later = is_news && !self.settled;
        if later {
            log::info!(
                "event=takeover service={} target={} order={} from={:?} to={stage:?} settled={settled} by={from} left_ms={} {}",
                self.order.service,
                self.order.label,
                self.order.order,
                self.stage,
                self.left(Instant::now()).as_millis(),
                self.evidence()
            );
            self.stage = Some(stage);
            self.settled |= settled;
        }
        later
    }
}

/// Takeovers that are ordered, by service.
#[derive(Debug, Default)]
pub struct Takeovers {
    active: Mutex<IndexMap<Service, Active>>,
}

impl Takeovers {
    /// Takes in the orders of the operator.
    pub fn order(&self, orders: &[TakeoverOrder], bounds: &Bounds, own: &Vm, members: usize) {
        let mut active = lock(&self.active);
        active.retain(|service, known| {
            let same = |order: &TakeoverOrder| {
                order.service == *service && order.order == known.order.order
            };
            orders.iter().any(same)
        });
        for order in orders {
            if active.contains_key(&order.service) {
                continue;
            }
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
                cap: Cap::from_ppm((bounds.exposure_share * EXPOSURE_PART * 1e6) as u32),
                slack: bounds.exposure_slack * EXPOSURE_PART / members.max(1) as f64,
                term: order.term,
                order: affinity::digest(&format!("{} {}", order.service, order.order)),
                vm: affinity::digest(own),
            };
            let entry = Active {
                order: order.clone(),
                learned: Instant::now(),
                stage: None,
                settled: false,
                deadline: None,
                row: 0,
                begin: None,
                kept: Evidence::default(),
                exposure: Exposure::new(allowance),
                pace: LatencyBaseline::default(),
                own: Evidence::default(),
                history: SlidingWindow::default(),
                recent: Evidence::default(),
                near: IndexMap::new(),
                far: IndexMap::new(),
            };
            active.insert(order.service.clone(), entry);
        }
    }

    /// Returns the version that the next request of a service may use, and for a request that
    /// samples it the digest of its server. `servers` counts the servers of a version.
    pub fn next(
        &self,
        service: &str,
        servers: impl Fn(&str) -> usize,
    ) -> (Version, Option<Digest>) {
        let mut active = lock(&self.active);
        let Some(takeover) = active.get_mut(service) else {
            return (Version::Current, None);
        };
        let label = takeover.order.label.clone();
        let left = takeover.left(Instant::now());
        let start = match takeover.stage {
            Some(stage) => takeover.exposure.select(stage, left, servers(&label)),
            None => VersionChoice::Old,
        };
        match start {
            VersionChoice::Old => (Version::Except(label), None),
            VersionChoice::Sample(server) => (Version::Only(label), Some(server)),
            VersionChoice::New => (Version::Only(label), None),
        }
    }

    /// Counts the first send of a request to a server with a version.
    pub fn sent(&self, service: &str, label: &str) {
        if let Some(takeover) = lock(&self.active).get_mut(service) {
            let left = takeover.left(Instant::now());
            let is_new = *takeover.order.label == *label;
            takeover.exposure.record_send(is_new, left);
        }
    }

    /// Returns the time from which a request is late, during a takeover of its service.
    pub fn late_after(&self, service: &str, flight: &Flight) -> Option<Duration> {
        let active = lock(&self.active);
        let takeover = active.get(service)?;
        Some(takeover.pace.late_threshold(flight.warm, flight.ordinary))
    }

    /// Returns the version for a request that the new one can't take.
    pub fn fall_back(&self, service: &str) -> Version {
        let active = lock(&self.active);
        let label = active.get(service).map(|t| t.order.label.clone());
        label.map_or(Version::Current, Version::Except)
    }

    /// Takes in the end of a request of a service, or that it is late; returns the side of the
    /// takeover on which it was, if there is a takeover.
    pub fn ended(
        &self,
        service: &str,
        flight: &Flight,
        outcome: Outcome,
        took: Duration,
    ) -> Option<Side> {
        let mut active = lock(&self.active);
        let takeover = active.get_mut(service)?;
        let (side, tally) = match takeover.order.label == flight.label {
            true => {
                let server = warmth::short(affinity::digest(&flight.server));
                (Side::New, takeover.own.new.entry(server).or_default())
            }
            false => (Side::Old, &mut takeover.own.old),
        };
        tally.record(outcome);
        if side == Side::Old && matches!(outcome, Outcome::Good | Outcome::Late) {
            takeover.pace.record(flight.warm, took, flight.ordinary);
        }
        Some(side)
    }

    /// Logs what is known of a takeover that this VM leads.
    fn log_evidence(&self, service: &str, now: Instant) {
        if let Some(takeover) = lock(&self.active).get(service) {
            log::info!(
                "event=takeover-evidence service={service} target={} order={} stage={:?} left_ms={} {}",
                takeover.order.label,
                takeover.order.order,
                takeover.stage,
                takeover.left(now).as_millis(),
                takeover.evidence()
            );
        }
    }

    /// Returns what to tell the other VMs, or the other data centres.
    pub fn report(&self, is_summary: bool) -> Vec<report::Takeover> {
        let active = lock(&self.active);
        let report = active.values().map(|takeover| report::Takeover {
            service: takeover.order.service.clone(),
            order: takeover.order.order,
            stage: takeover.stage,
            settled: takeover.settled,
            evidence: match is_summary {
                true => takeover.near_evidence(),
                false => takeover.own.clone(),
            },
        });
        report.collect()
    }

    /// Returns the releases that are ordered, for operators.
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

    /// Takes in what another VM saw and decided.
    pub fn hear(&self, report: &Report) {
        let mut active = lock(&self.active);
        for theirs in &report.takeovers {
            let known = active.get_mut(&theirs.service);
            let Some(takeover) = known.filter(|t| t.order.order == theirs.order) else {
                continue;
            };
            if report.is_summary() {
                let centre = report.data_centre.clone();
                takeover.far.insert(centre, theirs.evidence.clone());
            } else {
                let run = (report.vm.clone(), report.incarnation);
                takeover.near.insert(run, theirs.evidence.clone());
            }
            if let Some(stage) = theirs.stage {
                takeover.learn(stage, theirs.settled, &report.vm);
            }
        }
    }

    /// Stops new versions that this VM's evidence condemns; returns whether it stopped one.
    fn judge(&self, now: Instant) -> bool {
        let test = Settings::default().test;
        let mut active = lock(&self.active);
        let mut stopped = false;
        for takeover in active.values_mut() {
            let evidence = takeover.evidence();
            takeover.recent = takeover.history.update(&evidence, now);
            let undecided = takeover.stage.is_none_or(|s| s < Stage::Completed);
            let is_open = undecided && !takeover.settled;
            if is_open && test.evaluate(&evidence, &takeover.recent) == Verdict::Bad {
                stopped |= takeover.learn(Stage::RolledBack, false, "own evidence");
            }
        }
        stopped
    }

    /// Returns the next time at which a takeover may enter its next stage.
    fn next_due(&self, now: Instant) -> Option<Instant> {
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

    fn unsettled(&self) -> Vec<Service> {
        let active = lock(&self.active);
        let unsettled = active.iter().filter(|(_, takeover)| !takeover.settled);
        unsettled.map(|(service, _)| service.clone()).collect()
    }
}
