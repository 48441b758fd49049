//! Estimate of true time from the wall clocks of many VMs.

use super::Boot;
use base::id::{DataCentre, Vm};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a changed median must last before the estimate follows it. After a suspension,
/// reports that waited in the socket's buffer state old times for about a second.
const HOLD: Duration = Duration::from_secs(2);
/// Time without an update after which the medians before it no longer count.
const MAX_GAP: Duration = Duration::from_secs(1);
/// Shortest time from the start to the first estimate: two periods of the reports of other data
/// centres, and the read of the table of VMs.
const MIN_START: Duration = Duration::from_millis(1_500);
/// Time after which a VM that has heard less than half of the others uses what it has.
const MAX_START: Duration = Duration::from_secs(4);
/// Time for which a reading counts. An offset stays right while its VM can't be heard.
const RETENTION: Duration = Duration::from_secs(60);

/// Sender of readings of wall clocks.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// A VM of this data centre.
    Vm(Vm),
    /// The delegate of another data centre, for all its VMs.
    DataCentre(DataCentre),
}

/// True time as the time since boot plus an offset: the median of the offsets of all VMs. Wall
/// clocks of a third of the VMs may step by seconds without moving it.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    started_at: Option<Boot>,
    own: Option<i64>,
    /// Offsets in milliseconds by sender, with their arrival.
    heard: IndexMap<Source, (Vec<i64>, Boot)>,
    /// Medians of the last [`HOLD`].
    medians: VecDeque<(Boot, i64)>,
    offset: Option<i64>,
}

impl Clock {
    /// Records wall clocks, in milliseconds since 1970, that another VM has just reported.
    pub fn hear(&mut self, source: Source, wall_ms: impl IntoIterator<Item = i64>, now: Boot) {
        let offsets = wall_ms.into_iter().map(|wall| offset(wall, now));
        self.heard.insert(source, (offsets.collect(), now));
    }

    /// Updates the estimate with this VM's wall clock in milliseconds since 1970. `members` is the
    /// number of VMs of the fleet. Must be called several times a second.
    pub fn update(&mut self, wall_ms: i64, members: usize, now: Boot) {
        self.own = Some(offset(wall_ms, now));
        self.heard
            .retain(|_, (_, at)| now.saturating_sub(*at) < RETENTION);
        let heard = self.heard.values().flat_map(|(offsets, _)| offsets);
        let mut offsets: Vec<i64> = heard.copied().chain(self.own).collect();
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        let started = now.saturating_sub(*self.started_at.get_or_insert(now));
        match self.offset {
            None => {
                let has_most = started >= MIN_START && offsets.len() * 2 > members;
                if has_most || started >= MAX_START {
                    self.offset = Some(median);
                }
            }
            Some(offset) => self.offset = Some(self.follow(offset, median, now)),
        }
    }

    /// Returns the offset nearest to the known one among the medians of the last [`HOLD`].
    fn follow(&mut self, offset: i64, median: i64, now: Boot) -> i64 {
        let last = self.medians.back();
        if last.is_some_and(|(at, _)| now.saturating_sub(*at) > MAX_GAP) {
            self.medians.clear();
        }
        self.medians.push_back((now, median));
        let is_old = |at: &Boot| now.saturating_sub(*at) >= HOLD;
        // The last one before the period stays, which shows that the period is covered.
        while self.medians.get(1).is_some_and(|(at, _)| is_old(at)) {
            self.medians.pop_front();
        }
        let is_covered = self.medians.front().is_some_and(|(at, _)| is_old(at));
        let medians = || self.medians.iter().map(|(_, median)| *median);
        match (is_covered, medians().min(), medians().max()) {
            (true, Some(min), Some(max)) => offset.clamp(min, max),
            _ => offset,
        }
    }

    /// Returns true time in milliseconds since 1970; none before the first estimate.
    pub fn true_ms(&self, now: Boot) -> Option<u64> {
        let millis = self.offset?.saturating_add(millis(now));
        u64::try_from(millis).ok()
    }

    /// Returns the wall clocks of the other VMs of this data centre at `now`, in milliseconds since
    /// 1970.
    pub fn local_readings(&self, now: Boot) -> impl Iterator<Item = i64> {
        let local = self.heard.iter().filter_map(|(source, (offsets, _))| {
            matches!(source, Source::Vm(_)).then_some(offsets)
        });
        let offsets = local.flatten().copied();
        offsets.map(move |offset| offset.saturating_add(millis(now)))
    }
}

fn millis(at: Boot) -> i64 {
    i64::try_from(at.as_millis()).unwrap_or(i64::MAX)
}

fn offset(wall_ms: i64, now: Boot) -> i64 {
    wall_ms.saturating_sub(millis(now))
}
