//! What one VM knows of releases, drains and stops.

use super::{Peer, Planned};
use crate::state::Known;
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

/// What this VM knows of releases, drains and stops.
#[derive(Debug)]
pub struct Board {
    /// This run of the control process.
    pub incarnation: Incarnation,
    /// Rows of the configured releases with their versions.
    pub rows: IndexMap<Release, (u64, Record)>,
    /// Halted releases with their reasons.
    pub halt: HaltSet,
    /// Latest signs of the owners.
    pub signs: IndexMap<Release, Sign>,
    /// Confirmations of last steps.
    pub confirmed: Confirmations,
    /// Why a release is not accepted.
    pub refused: IndexMap<Release, Box<str>>,
    /// Last verdict of this VM.
    pub verdicts: IndexMap<Release, Verdict>,
    /// Releases that this VM owns.
    pub owned: IndexSet<Release>,
    /// Drains with the version of their row.
    pub drains: (u64, drain::Plan),
    /// The other VMs.
    pub peers: IndexMap<Vm, Peer>,
    /// Last report of the entry of this VM.
    pub report: Option<(Instant, Report)>,
    /// Whether this VM is stopping.
    pub leaving: bool,
    /// Caps as published.
    pub steps: IndexMap<Release, Step>,
    watches: IndexMap<Release, Monitor>,
    own: IndexMap<Release, Evidence>,
    all: IndexMap<Release, Evidence>,
}

impl Default for Board {
    fn default() -> Self {
        Self {
            incarnation: rand::rng().random(),
            rows: IndexMap::new(),
            halt: HaltSet::default(),
            signs: IndexMap::new(),
            confirmed: Confirmations::default(),
            refused: IndexMap::new(),
            verdicts: IndexMap::new(),
            owned: IndexSet::new(),
            drains: Default::default(),
            peers: IndexMap::new(),
            report: None,
            leaving: false,
            steps: IndexMap::new(),
            watches: IndexMap::new(),
            own: IndexMap::new(),
            all: IndexMap::new(),
        }
    }
}

impl Board {
    /// Takes up a row unless a later version is known.
    pub fn row(&mut self, id: &Release, version: u64, record: Record) {
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

    /// Takes up the drains unless a later version is known.
    pub fn drains(&mut self, version: u64, plan: &drain::Plan) {
        if version > self.drains.0 {
            self.drains = (version, plan.clone());
        }
    }

    /// Halts a release unless this VM has confirmed its last step; returns whether it is halted.
    pub fn stop(&mut self, id: &Release, reason: &Reason) -> bool {
        match (self.rows.get(id), self.watches.get(id)) {
            (Some((_, record)), _) if record.state == State::Complete => false,
            (Some((_, record)), Some(watch)) => watch.halt(record, reason, &mut self.halt),
            _ => {
                self.halt.add(id, reason);
                true
            }
        }
    }

    /// Takes up the entry's report.
    pub fn reported(&mut self, report: Report, now: Instant, nodes: &IndexSet<Vm>) -> Heard {
        for (release, evidence) in &report.evidence {
            for known in [&mut self.own, &mut self.all] {
                known.entry(release.clone()).or_default().merge(evidence);
            }
        }
        self.leaving = report.leaving;
        self.report = Some((now, report));
        let told = |vm: &Vm| self.peers.get(vm).is_some_and(|peer| peer.told);
        Heard {
            withdrawn: self.leaving && nodes.iter().all(told),
        }
    }

    /// Makes the news for another VM.
    pub fn news(&self, vm: &Vm) -> Releases {
        let report = self.report.as_ref().map(|(_, report)| report);
        Releases {
            vm: vm.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            evidence: self.own.clone(),
            rows: self.rows.clone(),
            halt: self.halt.clone(),
            signs: self.signs.clone(),
            confirmed: self.confirmed.clone(),
            drains: self.drains.clone(),
            in_flight: report.map(|r| r.in_flight.clone()).unwrap_or_default(),
            demand: report.map(|r| r.demand.clone()).unwrap_or_default(),
        }
    }

    /// Takes up the news of another VM.
    pub fn hear(&mut self, news: Releases, now: Instant) {
        for (release, evidence) in &news.evidence {
            if self.rows.contains_key(release) {
                self.all.entry(release.clone()).or_default().merge(evidence);
            }
        }
        for (id, (version, record)) in news.rows {
            if self.rows.contains_key(&id) {
                self.row(&id, version, record);
            }
        }
        for (id, sign) in news.signs {
            let known = self.signs.entry(id).or_default();
            if sign.beat > known.beat {
                *known = sign;
            }
        }
        self.halt.merge(&news.halt);
        self.confirmed.merge(&news.confirmed);
        self.drains(news.drains.0, &news.drains.1);
        let told = self.peers.get(&news.vm).is_some_and(|peer| peer.told);
        let peer = Peer {
            incarnation: news.incarnation,
            heard: now,
            leaving: news.leaving,
            told,
            in_flight: news.in_flight,
            demand: news.demand,
        };
        self.peers.insert(news.vm, peer);
    }

    /// Returns the VMs that are stopping.
    pub fn leaving(&self, own: &Vm) -> IndexSet<Vm> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.leaving);
        let own = self.leaving.then_some(own);
        peers.map(|(vm, _)| vm).chain(own).cloned().collect()
    }

    /// Returns whether all these VMs confirmed the last step.
    pub fn all_confirmed(&self, id: &str, own: &str, nodes: &IndexSet<Vm>) -> bool {
        let incarnation = |vm: &Vm| match self.peers.get(vm) {
            _ if **vm == *own => self.incarnation,
            Some(peer) => peer.incarnation,
            // Nobody has this number, so a VM that was never heard of keeps the release waiting.
            None => 0,
        };
        let own = std::iter::once(self.incarnation);
        self.confirmed
            .includes_all(id, own.chain(nodes.iter().map(incarnation)))
    }

    /// Returns the new version's load per used server now and in the next step, in requests of
    /// this step.
    pub fn load(&self, planned: &Planned) -> Load {
        let none = Load {
            measured: 0.0,
            expected: 1.0,
        };
        let Some((_, record)) = self.rows.get(&planned.id) else {
            return none;
        };
        let (Some((step, next)), Some(evidence)) = (record.step(), self.all.get(&planned.id))
        else {
            return none;
        };
        let sum = |(new, all): (u64, u64), route| {
            let pair = evidence.total(route, step);
            let requests = pair.new.requests;
            (new + requests, all + requests + pair.old.requests)
        };
        let (new, all) = planned.routes.iter().map(|r| &**r).fold((0, 0), sum);
        Load {
            measured: new as f64 / f64::from(record.active_servers(planned.servers)),
            expected: next.fraction() * all as f64 / f64::from(planned.servers.max(1)),
        }
    }

    /// Judges, halts and confirms, and computes the caps of this VM.
    fn look(&mut self, now: Instant, planned: &[Planned], settings: &Settings) {
        let named = |id: &Release| planned.iter().any(|planned| planned.id == *id);
        self.rows.retain(|id, _| named(id));
        self.watches.retain(|id, _| named(id));
        self.signs.retain(|id, _| named(id));
        self.refused.retain(|id, _| named(id));
        self.verdicts.retain(|id, _| named(id));
        self.own.retain(|id, _| named(id));
        self.all.retain(|id, _| named(id));
        self.steps.clear();
        for planned in planned {
            let id = &planned.id;
            let Some((_, record)) = self.rows.get(id) else {
                continue;
            };
            let watch = self
                .watches
                .entry(id.clone())
                .or_insert_with(|| Monitor::new(*settings, record, planned.routes.iter().cloned()));
            if self.owned.contains(id) {
                self.signs.entry(id.clone()).or_default().beat.count += 1;
            }
            if let Some(sign) = self.signs.get(id) {
                watch.record_heartbeat(now, sign.beat);
            }
            let evidence = self.all.entry(id.clone()).or_default();
            if let Some((step, _)) = record.step() {
                evidence.prune_before(step);
                self.own.entry(id.clone()).or_default().prune_before(step);
            }
            let halted = self.halt.reason(id).is_some();
            let verdict = watch.evaluate(now, record, evidence, &mut self.halt);
            self.verdicts
                .insert(id.clone(), verdict.unwrap_or(Verdict::Good));
            if let (false, Some(reason)) = (halted, self.halt.reason(id)) {
                log::warn!("release {id} halted: {reason}");
            }
            let confirmed = watch.confirm(record, &self.halt);
            if confirmed {
                self.confirmed.add(id, self.incarnation);
            }
            let standing = match record.state {
                State::Complete => Standing::Complete,
                State::Stepping { .. } if confirmed => Standing::Confirmed,
                State::Stepping { .. } => Standing::Stepping,
                State::Planned | State::RolledBack(_) => continue,
            };
            let step = Step {
                service: planned.service.clone(),
                to: planned.new.clone(),
                cap: watch.cap(now, record, &self.halt),
                step: record.step().map_or(0, |(step, _)| step),
                width: record.active_servers(planned.servers),
                standing,
            };
            self.steps.insert(id.clone(), step);
        }
    }

    /// Describes a release.
    fn text(&self, planned: &Planned) -> String {
        let id = &planned.id;
        let Some((_, record)) = self.rows.get(id) else {
            let refused = self.refused.get(id);
            return refused.map_or_else(
                || "not planned yet".into(),
                |reason| format!("not accepted: {reason}"),
            );
        };
        let halt = self.halt.reason(id);
        let waits = self.signs.get(id).map_or("its owner", |sign| &*sign.waits);
        match (&record.state, halt) {
            (State::Complete, _) => format!("complete: {} serves", planned.new),
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
                planned.new
            ),
        }
    }
}

impl Known {
    /// Judges the evidence and exchanges halts with the growing set; returns whether a cap changed.
    pub fn look(&mut self, now: Instant) -> bool {
        let before = self.board.steps.clone();
        for mark in self.replica.marks.marks() {
            let Mark::Halted(id) = mark else { continue };
            if matches!(self.board.halt.reason(id), None | Some(Reason::Unknown)) {
                let known = self.reasons.get(id);
                let reason = known.and_then(|text| serde_json::from_str(text).ok());
                self.board.stop(id, &reason.unwrap_or(Reason::Unknown));
            }
        }
        let nodes = self.list.nodes.len();
        let listed: IndexSet<&Vm> = self.list.nodes.iter().map(|node| &node.name).collect();
        if nodes > 0 {
            self.board.peers.retain(|vm, _| listed.contains(vm));
        }
        let planned = self.planned();
        let settings = Settings {
            observers: u32::try_from(nodes.max(1)).unwrap_or(u32::MAX),
            min_requests: self.release_requests,
            ..Settings::default()
        };
        self.board.look(now, &planned, &settings);
        for (id, reason) in self.board.halt.reasons() {
            if *reason != Reason::Unknown {
                let text = || serde_json::to_string(reason).unwrap_or_default().into();
                self.reasons.entry(id.clone()).or_insert_with(text);
            }
            self.replica.marks.add(Mark::Halted(id.clone()));
        }
        self.board.steps != before
    }

    /// Returns the names of the listed VMs other than `own`.
    pub fn others(&self, own: &str) -> IndexSet<Vm> {
        let nodes = self.list.nodes.iter().map(|node| &node.name);
        nodes.filter(|vm| ***vm != *own).cloned().collect()
    }

    /// Describes the releases.
    pub fn releases(&self) -> IndexMap<Release, Box<str>> {
        let halted = self.board.halt.reasons();
        let halted = halted.map(|(id, reason)| (id.clone(), format!("halted: {reason}").into()));
        let mut texts: IndexMap<Release, Box<str>> = halted.collect();
        for planned in self.planned() {
            let text = self.board.text(&planned).into();
            texts.insert(planned.id, text);
        }
        texts
    }
}
