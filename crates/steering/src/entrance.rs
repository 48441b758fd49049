//! Choice of the VMs that a look-up names.
//!
//! Load: callers spread evenly over the VMs that a look-up names, while VMs differ: a few have half
//! a core and 200 Mbit/s, most a tenth of a core and 10 Mbit/s. Each VM keeps its own connections to
//! all servers, so requests that enter by few VMs find open connections, and VMs that see more
//! requests know more of the servers. So callers get the VMs with wide links, as long as these are
//! several, carry most of what all together could, and keep up with their work.

use std::time::Duration;

/// Least share of the widest link that counts as wide.
const WIDE: f64 = 0.25;
/// Least number of VMs named before narrow ones are left out: two may be lost at once.
const LEAST: usize = 3;
/// Least share of all bandwidth that the wide links must hold.
const MOST_OF_ALL: f64 = 0.5;
/// Mean lateness of timers from which a VM counts as busy; callers notice it beside the shortest
/// latency objective (300 ms).
const BUSY: Duration = Duration::from_millis(30);
/// Weight of one timer in the mean; timers end every 50 to 250 ms, so it covers about 2 s.
const GAIN: f64 = 0.1;

base::message! {
    /// What a VM can take of callers; VMs report it.
    #[derive(Copy)]
    pub struct Candidate {
        /// Bandwidth of its link in Mbit/s.
        pub link_mbps: u32,
        /// Whether it does not keep up with its work.
        pub is_busy: bool,
    }
}

base::value! {
    /// How late the timers of a VM are, which shows whether it gets the processor in time.
    #[derive(Copy, Default)]
    pub struct TimerLag {
        mean_s: f64,
    }
}

impl TimerLag {
    /// Takes in by how much a timer was late.
    pub fn record(&mut self, late: Duration) {
        self.mean_s += GAIN * (late.as_secs_f64() - self.mean_s);
    }

    /// Returns whether the VM does not keep up with its work.
    pub fn is_busy(&self) -> bool {
        self.mean_s > BUSY.as_secs_f64()
    }
}

/// Returns whether each VM is named.
pub fn advertised(candidates: &[Candidate]) -> Vec<bool> {
    let links = || candidates.iter().map(|vm| f64::from(vm.link_mbps));
    let least = WIDE * links().fold(0.0, f64::max);
    let wide: Vec<&Candidate> = candidates
        .iter()
        .filter(|vm| f64::from(vm.link_mbps) >= least)
        .collect();
    let held: f64 = wide.iter().map(|vm| f64::from(vm.link_mbps)).sum();
    let is_enough = wide.len() >= LEAST
        && held >= MOST_OF_ALL * links().sum::<f64>()
        && !wide.iter().any(|vm| vm.is_busy);
    links().map(|link| !is_enough || link >= least).collect()
}
