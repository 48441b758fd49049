//! Selection of the VMs that a look-up advertises to callers.
//!
//! Callers spread evenly over the advertised VMs, while VMs differ: a few have half a core and 200
//! Mbit/s, most a tenth of a core and 10 Mbit/s. Each VM has its own connections to all servers, so
//! with few advertised VMs more requests find an open connection, and each VM knows more of the
//! servers. Only the VMs with fast links are advertised, as long as there are several of them, they
//! hold most of the bandwidth, and none of them is overloaded.

use std::time::Duration;

/// Minimum share of the fastest link's bandwidth from which a link counts as fast.
const MIN_FAST_SHARE: f64 = 0.25;
/// Minimum number of fast VMs for slow ones to be left out: two may fail at once.
const MIN_FAST_VMS: usize = 3;
/// Minimum share of all bandwidth that the fast links must hold.
const MIN_BANDWIDTH_SHARE: f64 = 0.5;
/// Mean timer lag from which a VM counts as busy: a tenth of the shortest latency objective, 300
/// ms.
const BUSY_LAG: Duration = Duration::from_millis(30);
/// Weight of one timer in the mean; timers fire every 50 to 250 ms, so it covers about 2 s.
const LAG_WEIGHT: f64 = 0.1;

base::message! {
    /// Capacity of a VM for callers, from its report.
    #[derive(Copy)]
    pub struct Candidate {
        /// Bandwidth of its link in Mbit/s.
        pub link_mbps: u32,
        /// Whether its processor is overloaded.
        pub is_busy: bool,
    }
}

base::value! {
    /// Mean lag of a VM's timers, which shows whether it gets enough processor time.
    #[derive(Copy, Default)]
    pub struct TimerLag {
        mean_s: f64,
    }
}

impl TimerLag {
    /// Records the lag of one timer.
    pub fn record(&mut self, lag: Duration) {
        self.mean_s += LAG_WEIGHT * (lag.as_secs_f64() - self.mean_s);
    }

    /// Returns whether the VM's processor is overloaded.
    pub fn is_busy(&self) -> bool {
        self.mean_s > BUSY_LAG.as_secs_f64()
    }
}

/// Returns for each VM whether it is advertised.
pub fn advertised(candidates: &[Candidate]) -> Vec<bool> {
    let links = || candidates.iter().map(|vm| f64::from(vm.link_mbps));
    let least = MIN_FAST_SHARE * links().fold(0.0, f64::max);
    let fast: Vec<&Candidate> = candidates
        .iter()
        .filter(|vm| f64::from(vm.link_mbps) >= least)
        .collect();
    let bandwidth: f64 = fast.iter().map(|vm| f64::from(vm.link_mbps)).sum();
    let is_enough = fast.len() >= MIN_FAST_VMS
        && bandwidth >= MIN_BANDWIDTH_SHARE * links().sum::<f64>()
        && !fast.iter().any(|vm| vm.is_busy);
    links().map(|link| !is_enough || link >= least).collect()
}
