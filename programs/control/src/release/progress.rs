//! State of releases, drains and shutdowns on this VM.

use super::{ConfiguredRelease, PeerReport};
use crate::state::ControlState;
use base::id::{Incarnation, Release, Vm};
use indexmap::{IndexMap, IndexSet};
use peers::gossip::{Releases, Sign};
use peers::local::{Heard, Report, Standing, Step};
use rand::RngExt;
use std::time::Instant;
use steering::config::Mark;
use steering::drain;
use steering::release::{
    Confirmations, Evidence, HaltSet, Load, Monitor, Reason, Record, Settings, State, Verdict,
};

/// State of releases, drains and shutdowns as this VM knows them.
#[derive(Debug)]
pub struct Progress {
    /// Incarnation of this control process.
    pub incarnation: Incarnation,
    /// Rows of the configured releases with their versions.
    pub rows: IndexMap<Release, (u64, Record)>,
    /// Halted releases with their reasons.
    pub halt: HaltSet,
    /// Latest heartbeat and wait reason of each release's owner.
    pub owner_status: IndexMap<Release, Sign>,
    /// Incarnations that confirmed the last step of each release.
    pub confirmations: Confirmations,
    /// Reasons for which releases are not accepted.
    pub refusals: IndexMap<Release, Box<str>>,
    /// Latest verdict of this VM on each release.
    pub verdicts: IndexMap<Release, Verdict>,
    /// Releases that this VM owns.
    pub owned: IndexSet<Release>,
    /// Drains with the version of their row.
    pub drains: (u64, drain::Plan),
    /// Latest reports of the other VMs.
    pub peers: IndexMap<Vm, PeerReport>,
    /// Latest report of this VM's entry, with its time.
    pub report: Option<(Instant, Report)>,
    /// Whether this VM is shutting down.
    pub leaving: bool,
    /// Caps for the other processes of this VM.
    pub steps: IndexMap<Release, Step>,
    monitors: IndexMap<Release, Monitor>,
    own_evidence: IndexMap<Release, Evidence>,
    merged_evidence: IndexMap<Release, Evidence>,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            incarnation: rand::rng().random(),
            rows: IndexMap::new(),
            halt: HaltSet::default(),
            owner_status: IndexMap::new(),
            confirmations: Confirmations::default(),
            refusals: IndexMap::new(),
            verdicts: IndexMap::new(),
            owned: IndexSet::new(),
            drains: Default::default(),
            peers: IndexMap::new(),
            report: None,
            leaving: false,
            steps: IndexMap::new(),
            monitors: IndexMap::new(),
            own_evidence: IndexMap::new(),
            merged_evidence: IndexMap::new(),
        }
    }
}

impl Progress {
    /// Records a row unless its version or a later one is known.
    pub fn record_row(&mut self, id: &Release, version: u64, record: Record) {
        let known = self.rows.get(id).map_or(0, |(known, _)| *known);
        if version > known {
            if let Some((_, last)) = self.rows.get(id)
                && last.state != record.state
            {
                log::info!("release {id}: {:?}", record.state);
            }
            self.rows.insert(id.clone(), (version, record));
        }
    }

    /// Records the drains unless their version or a later one is known.
    pub fn record_drains(&mut self, version: u64, plan: &drain::Plan) {
        if version > self.drains.0 {
            self.drains = (version, plan.clone());
        }
    }

    /// Halts a release unless it is complete or this VM has confirmed its last step. Returns
    /// whether it is halted.
    pub fn halt_release(&mut self, id: &Release, reason: &Reason) -> bool {
        match (self.rows.get(id), self.monitors.get(id)) {
            (Some((_, record)), _) if record.state == State::Complete => false,
            (Some((_, record)), Some(monitor)) => monitor.halt(record, reason, &mut self.halt),
            _ => {
                self.halt.add(id, reason);
                true
            }
        }
    }

    /// Records a report of this VM's entry. The answer says whether every other VM knows of the
    /// shutdown.
    pub fn record_report(&mut self, report: Report, now: Instant, nodes: &IndexSet<Vm>) -> Heard {
        for (release, evidence) in &report.evidence {
            for known in [&mut self.own_evidence, &mut self.merged_evidence] {
                known.entry(release.clone()).or_default().merge(evidence);
            }
        }
        self.leaving = report.leaving;
        self.report = Some((now, report));
        let knows_of_shutdown = |vm: &Vm| {
            self.peers
                .get(vm)
                .is_some_and(|peer| peer.knows_of_shutdown)
        };
        Heard {
            withdrawn: self.leaving && nodes.iter().all(knows_of_shutdown),
        }
    }

    /// Makes the message of an exchange with another VM.
    pub fn message(&self, vm: &Vm) -> Releases {
        let report = self.report.as_ref().map(|(_, report)| report);
        Releases {
            vm: vm.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            evidence: self.own_evidence.clone(),
            rows: self.rows.clone(),
            halt: self.halt.clone(),
            signs: self.owner_status.clone(),
            confirmed: self.confirmations.clone(),
            drains: self.drains.clone(),
            in_flight: report.map(|r| r.in_flight.clone()).unwrap_or_default(),
            demand: report.map(|r| r.demand.clone()).unwrap_or_default(),
        }
    }

    /// Merges the message of another VM; evidence and rows of releases without a row here are
    /// ignored.
    pub fn merge_message(&mut self, message: Releases, now: Instant) {
        for (release, evidence) in &message.evidence {
            if self.rows.contains_key(release) {
                self.merged_evidence
                    .entry(release.clone())
                    .or_default()
                    .merge(evidence);
            }
        }
        for (id, (version, record)) in message.rows {
            if self.rows.contains_key(&id) {
                self.record_row(&id, version, record);
            }
        }
        for (id, status) in message.signs {
            let known = self.owner_status.entry(id).or_default();
            if status.beat > known.beat {
                *known = status;
            }
        }
        self.halt.merge(&message.halt);
        self.confirmations.merge(&message.confirmed);
        self.record_drains(message.drains.0, &message.drains.1);
        let knows_of_shutdown = self
            .peers
            .get(&message.vm)
            .is_some_and(|peer| peer.knows_of_shutdown);
        let peer = PeerReport {
            incarnation: message.incarnation,
            reported_at: now,
            leaving: message.leaving,
            knows_of_shutdown,
            in_flight: message.in_flight,
            demand: message.demand,
        };
        self.peers.insert(message.vm, peer);
    }

    /// Returns the VMs that are shutting down.
    pub fn leaving_vms(&self, own: &Vm) -> IndexSet<Vm> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.leaving);
        let own = self.leaving.then_some(own);
        peers.map(|(vm, _)| vm).chain(own).cloned().collect()
    }

    /// Returns whether this VM and all of `nodes` confirmed the last step.
    pub fn has_all_confirmations(&self, id: &str, own: &str, nodes: &IndexSet<Vm>) -> bool {
        let incarnation = |vm: &Vm| match self.peers.get(vm) {
            _ if **vm == *own => self.incarnation,
            Some(peer) => peer.incarnation,
            // No process has incarnation 0, so the release waits for VMs that have not reported
            // yet.
            None => 0,
        };
        let own = std::iter::once(self.incarnation);
        self.confirmations
            .includes_all(id, own.chain(nodes.iter().map(incarnation)))
    }

    /// Returns the load per server of the new version, measured in this step and expected in the
    /// next, in requests finished during this step.
    pub fn load(&self, configured: &ConfiguredRelease) -> Load {
        let none = Load {
            measured: 0.0,
            expected: 1.0,
        };
        let Some((_, record)) = self.rows.get(&configured.id) else {
            return none;
        };
        let (Some((step, next)), Some(evidence)) =
            (record.step(), self.merged_evidence.get(&configured.id))
        else {
            return none;
        };
        let sum = |(new, all): (u64, u64), route| {
            let pair = evidence.total(route, step);
            let requests = pair.new.requests;
            (new + requests, all + requests + pair.old.requests)
        };
        let (new, all) = configured.routes.iter().map(|r| &**r).fold((0, 0), sum);
        Load {
            measured: new as f64 / f64::from(record.active_servers(configured.servers)),
            expected: next.fraction() * all as f64 / f64::from(configured.servers.max(1)),
        }
    }

    /// Evaluates the configured releases, halts and confirms them, and computes this VM's caps.
    fn evaluate(&mut self, now: Instant, configured: &[ConfiguredRelease], settings: &Settings) {
        let is_configured = |id: &Release| configured.iter().any(|configured| configured.id == *id);
        self.rows.retain(|id, _| is_configured(id));
        self.monitors.retain(|id, _| is_configured(id));
        self.owner_status.retain(|id, _| is_configured(id));
        self.refusals.retain(|id, _| is_configured(id));
        self.verdicts.retain(|id, _| is_configured(id));
        self.own_evidence.retain(|id, _| is_configured(id));
        self.merged_evidence.retain(|id, _| is_configured(id));
        self.steps.clear();
        for configured in configured {
            let id = &configured.id;
            let Some((_, record)) = self.rows.get(id) else {
                continue;
            };
            let monitor = self.monitors.entry(id.clone()).or_insert_with(|| {
                Monitor::new(*settings, record, configured.routes.iter().cloned())
            });
            if self.owned.contains(id) {
                self.owner_status.entry(id.clone()).or_default().beat.count += 1;
            }
            if let Some(status) = self.owner_status.get(id) {
                monitor.record_heartbeat(now, status.beat);
            }
            let evidence = self.merged_evidence.entry(id.clone()).or_default();
            if let Some((step, _)) = record.step() {
                evidence.prune_before(step);
                self.own_evidence
                    .entry(id.clone())
                    .or_default()
                    .prune_before(step);
            }
            let halted = self.halt.reason(id).is_some();
            let verdict = monitor.evaluate(now, record, evidence, &mut self.halt);
            self.verdicts
                .insert(id.clone(), verdict.unwrap_or(Verdict::Good));
            if let (false, Some(reason)) = (halted, self.halt.reason(id)) {
                log::warn!("release {id} halted: {reason}");
            }
            let confirmed = monitor.confirm(record, &self.halt);
            if confirmed {
                self.confirmations.add(id, self.incarnation);
            }
            let stage = match record.state {
                State::Complete => Standing::Complete,
                State::Stepping { .. } if confirmed => Standing::Confirmed,
                State::Stepping { .. } => Standing::Stepping,
                State::Planned | State::RolledBack(_) => continue,
            };
            let step = Step {
                service: configured.service.clone(),
                to: configured.new.clone(),
                cap: monitor.cap(now, record, &self.halt),
                step: record.step().map_or(0, |(step, _)| step),
                width: record.active_servers(configured.servers),
                standing: stage,
            };
            self.steps.insert(id.clone(), step);
        }
    }

    /// Describes a release for the status answer.
    fn describe(&self, configured: &ConfiguredRelease) -> String {
        let id = &configured.id;
        let Some((_, record)) = self.rows.get(id) else {
            let refused = self.refusals.get(id);
            return refused.map_or_else(
                || "not planned yet".into(),
                |reason| format!("not accepted: {reason}"),
            );
        };
        let halt = self.halt.reason(id);
        let waits = self
            .owner_status
            .get(id)
            .map_or("its owner", |status| &*status.waits);
        match (&record.state, halt) {
            (State::Complete, _) => format!("complete: {} serves", configured.new),
            (State::RolledBack(recorded), _) => {
                format!("rolled back: {}", self.halt.rollback_reason(id, recorded))
            }
            (_, Some(reason)) => format!("halted, roll-back not recorded yet: {reason}"),
            (State::Planned, _) => "planned".into(),
            (State::Stepping { step, .. }, _) => format!(
                "step {} of {}, at most {} on {}; waits for {waits}",
                step + 1,
                record.steps.len(),
                base::unit::Share(record.cap(&self.halt).fraction()),
                configured.new
            ),
        }
    }
}

impl ControlState {
    /// Evaluates the releases and synchronises halts with the grow-only set of marks. Returns
    /// whether a cap changed.
    pub fn evaluate_releases(&mut self, now: Instant) -> bool {
        let before = self.progress.steps.clone();
        for mark in self.replica.marks.marks() {
            let Mark::Halted(id) = mark else { continue };
            if matches!(self.progress.halt.reason(id), None | Some(Reason::Unknown)) {
                let known = self.halt_reasons.get(id);
                let reason = known.and_then(|text| serde_json::from_str(text).ok());
                self.progress
                    .halt_release(id, &reason.unwrap_or(Reason::Unknown));
            }
        }
        let nodes = self.list.nodes.len();
        let listed: IndexSet<&Vm> = self.list.nodes.iter().map(|node| &node.name).collect();
        if nodes > 0 {
            self.progress.peers.retain(|vm, _| listed.contains(vm));
        }
        let configured = self.configured_releases();
        let settings = Settings {
            observers: u32::try_from(nodes.max(1)).unwrap_or(u32::MAX),
            min_requests: self.release_requests,
            ..Settings::default()
        };
        self.progress.evaluate(now, &configured, &settings);
        for (id, reason) in self.progress.halt.reasons() {
            if *reason != Reason::Unknown {
                let text = || serde_json::to_string(reason).unwrap_or_default().into();
                self.halt_reasons.entry(id.clone()).or_insert_with(text);
            }
            self.replica.marks.add(Mark::Halted(id.clone()));
        }
        self.progress.steps != before
    }

    /// Returns the names of the listed VMs other than `own`.
    pub fn others(&self, own: &str) -> IndexSet<Vm> {
        let nodes = self.list.nodes.iter().map(|node| &node.name);
        nodes.filter(|vm| ***vm != *own).cloned().collect()
    }

    /// Describes the configured and the halted releases.
    pub fn describe_releases(&self) -> IndexMap<Release, Box<str>> {
        let halted = self.progress.halt.reasons();
        let halted = halted.map(|(id, reason)| (id.clone(), format!("halted: {reason}").into()));
        let mut texts: IndexMap<Release, Box<str>> = halted.collect();
        for configured in self.configured_releases() {
            let text = self.progress.describe(&configured).into();
            texts.insert(configured.id, text);
        }
        texts
    }
}
