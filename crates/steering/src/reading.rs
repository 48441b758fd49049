//! Turn in which a VM of a data centre begins to read the store for the others.
//!
//! The load to expect is a data centre of dozens of VMs that start together, or that lose the VM
//! which read the store: all of them lack its data at the same moment, and each call to the store
//! is paid for. They begin one after the other, in an order that all of them know, until one reads.

use std::time::{Duration, Instant};

base::value! {
    /// Settings of the turns.
    #[derive(Copy)]
    pub struct Settings {
        /// Time between the turns of two VMs: a read, and the report that it succeeded.
        pub step: Duration,
        /// Longest wait for a turn; the store may turn away the VMs whose turns come first.
        pub max_wait: Duration,
        /// Longest wait for the list of VMs, from which a VM learns its place.
        pub max_list_wait: Duration,
        /// Delay after a failed read of the first VMs.
        pub retry: Duration,
        /// Number of these VMs; those after as many more wait for so much longer, and so on.
        pub eager: usize,
        /// How many times wider the link of a VM is that takes the reading over.
        pub min_ratio: u32,
        /// Time after a failed read in which a VM leaves the reading to one with a narrower link.
        pub takeover_delay: Duration,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(150),
            max_wait: Duration::from_millis(900),
            max_list_wait: Duration::from_millis(1_000),
            retry: Duration::from_millis(250),
            eager: 4,
            min_ratio: 2,
            takeover_delay: Duration::from_millis(2_000),
        }
    }
}

base::value! {
    /// What a VM knows of its place in the order.
    #[derive(Copy)]
    pub enum Place {
        /// It has not read the list of VMs.
        Unlisted,
        /// So many VMs of the data centre come before it.
        After(usize),
    }
}

/// Returns the time from which a VM reads the store.
///
/// `started_at` is the start of its process, `lost_at` the time since which it knows of no VM that
/// reads.
pub fn begins_at(
    settings: &Settings,
    place: Place,
    started_at: Instant,
    lost_at: Instant,
) -> Instant {
    match place {
        Place::Unlisted => lost_at.max(started_at + settings.max_list_wait),
        Place::After(count) => {
            let steps = u32::try_from(count).unwrap_or(u32::MAX);
            lost_at + settings.step.saturating_mul(steps).min(settings.max_wait)
        }
    }
}

/// Returns how long a VM waits after a failed read.
///
/// While nobody can read the store, all VMs of a data centre try to. It suffices that a few of them
/// notice its return soon.
pub fn retry_delay(settings: &Settings, place: Place) -> Duration {
    let before = match place {
        Place::Unlisted => 0,
        Place::After(count) => count / settings.eager.max(1),
    };
    let times = u32::try_from(before).unwrap_or(u32::MAX).saturating_add(1);
    settings.retry.saturating_mul(times)
}

/// Returns whether a VM reads the store although another one of its data centre does, whose link is
/// much narrower; bandwidths in Mbit/s, 0 if unknown.
///
/// After an outage the VM that tries at the right moment reads first. Its link also carries the data to
/// all others.
pub fn takes_over(
    settings: &Settings,
    own_mbps: u32,
    reader_mbps: u32,
    failed_at: Option<Instant>,
    now: Instant,
) -> bool {
    let is_wider = reader_mbps > 0 && own_mbps / reader_mbps >= settings.min_ratio;
    is_wider && failed_at.is_none_or(|at| now >= at + settings.takeover_delay)
}
