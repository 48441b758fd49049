//! Sends of one VM by window and workspace.

use super::{Boot, Counts, KEPT_WINDOWS, Window};
use base::id::Workspace;
use indexmap::IndexMap;
use std::time::Duration;

/// Precision with which sends before the first estimate of true time are kept.
const BUCKET: Duration = Duration::from_millis(10);
/// Most buckets of such sends: 10 s, far above the time to the first estimate.
const MAX_BUCKETS: usize = 1_000;

/// Where a send is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Place {
    Window(Window),
    /// Number of the [`BUCKET`] since boot, while true time is not known.
    Early(u64),
}

base::value! {
    /// A send that was counted.
    #[derive(Copy)]
    pub struct Count(Place);
}

/// Sends that servers began to run, or may have begun to run.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    places: IndexMap<Place, Counts>,
    /// Windows of the buckets that were placed.
    placed: IndexMap<u64, Window>,
}

impl Tally {
    /// Counts a send in a window; without a window it is placed later.
    pub fn count(&mut self, workspace: &str, window: Option<Window>, now: Boot) -> Count {
        let bucket = || u64::try_from(now.as_millis() / BUCKET.as_millis()).unwrap_or(u64::MAX);
        let place = window.map_or_else(|| Place::Early(bucket()), Place::Window);
        let counts = self.places.entry(place).or_default();
        match counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                counts.insert(workspace.into(), 1);
            }
        }
        Count(place)
    }

    /// Takes back a send that the server did not run.
    pub fn revert(&mut self, workspace: &str, count: Count) {
        let place = match count.0 {
            Place::Early(bucket) => {
                let placed = self.placed.get(&bucket);
                placed.map_or(count.0, |window| Place::Window(*window))
            }
            place => place,
        };
        let counts = self.places.get_mut(&place);
        if let Some(known) = counts.and_then(|counts| counts.get_mut(workspace)) {
            *known = known.saturating_sub(1);
        }
    }

    /// Places the sends before the first estimate of true time, and drops old windows. `window_at`
    /// returns the window of a point in time.
    pub fn update(&mut self, current: Window, window_at: impl Fn(Boot) -> Option<Window>) {
        let early: Vec<u64> = self.places.keys().filter_map(early).collect();
        for bucket in early {
            let at = BUCKET * u32::try_from(bucket).unwrap_or(u32::MAX);
            if let Some(window) = window_at(at)
                && let Some(counts) = self.places.swap_remove(&Place::Early(bucket))
            {
                let placed = self.places.entry(Place::Window(window)).or_default();
                super::add(placed, &counts);
                if self.placed.len() < MAX_BUCKETS {
                    self.placed.insert(bucket, window);
                }
            }
        }
        self.places.retain(|place, _| match place {
            Place::Window(window) => window + KEPT_WINDOWS > current,
            Place::Early(_) => true,
        });
    }

    /// Returns the counts of a window.
    pub fn window(&self, window: Window) -> Option<&Counts> {
        self.places.get(&Place::Window(window))
    }

    /// Returns the names of the workspaces with sends in the windows.
    pub fn workspaces(&self, windows: impl Iterator<Item = Window>) -> Vec<Workspace> {
        let counts = windows.filter_map(|window| self.window(window));
        let mut names: Vec<Workspace> = counts.flat_map(Counts::keys).cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}

fn early(place: &Place) -> Option<u64> {
    match place {
        Place::Early(bucket) => Some(*bucket),
        Place::Window(_) => None,
    }
}
