//! Share of the requests that one VM starts on the new version.

use super::Stage;
use crate::affinity::Digest;
use crate::release::Cap;
use std::time::Duration;

/// Part of the slack used while sampling, so that services with few requests are sampled, too. The
/// rest is for the last seconds before the deadline.
const SAMPLING_SLACK: f64 = 0.6;
/// Time after which sampling moves on to other servers. Within it a server gets several requests at
/// once, and several servers are sampled before the deadline.
const ROTATION: Duration = Duration::from_secs(1);

base::value! {
    /// What one VM may start on the new version.
    #[derive(Copy)]
    pub struct ExposureLimits {
        /// Share of starts while the version is sampled.
        pub share: Cap,
        /// The same in the last seconds before the takeover, whose evidence counts most.
        pub final_share: Cap,
        /// Time before the deadline from which the late share applies.
        pub final_window: Duration,
        /// Largest share of starts until the version has taken over.
        pub cap: Cap,
        /// Starts that are allowed beyond the cap.
        pub slack: f64,
        /// Time from the order to its deadline.
        pub term: Duration,
        /// Digest of the order, the same on all VMs.
        pub order: Digest,
        /// Digest of this VM.
        pub vm: Digest,
    }

    /// Version of the next start.
    #[derive(Copy)]
    pub enum VersionChoice {
        /// The old version.
        Old,
        /// The new version, on the server that the digest selects.
        Sample(Digest),
        /// The new version, on any server.
        New,
    }

    /// Starts of one service on this VM during a takeover.
    ///
    /// A small share spread over all servers of the new version would test none of them under load.
    /// So VMs sample only as many servers at a time as correspond to the share; these get about the
    /// load that they will have after the takeover. Each VM enforces the cap on its own starts.
    pub struct Exposure {
        limits: ExposureLimits,
        all: u64,
        new: u64,
        /// Starts on the new version that sampling has allowed so far, used or not.
        sampling_quota: f64,
    }
}

impl Exposure {
    /// Creates an exposure without starts.
    pub fn new(limits: ExposureLimits) -> Self {
        // The random phase makes VMs begin to sample at different times. On average it uses at most
        // half of the slack.
        let phase = limits.vm as f64 / Digest::MAX as f64;
        Self {
            limits,
            all: 0,
            new: 0,
            sampling_quota: phase * limits.slack.min(1.0),
        }
    }

    /// Returns the version that the next start may use. `left` is the time until the deadline,
    /// `servers` the number of servers of the new version.
    pub fn select(&self, stage: Stage, left: Duration, servers: usize) -> VersionChoice {
        let limits = &self.limits;
        match stage {
            Stage::Completed => VersionChoice::New,
            Stage::RolledBack => VersionChoice::Old,
            Stage::Moving => {
                let limit = limits.cap.fraction() * self.all as f64 + limits.slack;
                match (self.new as f64) < limit {
                    true => VersionChoice::New,
                    false => VersionChoice::Old,
                }
            }
            Stage::Sampling
                if (self.new + 1) as f64 <= self.sampling_quota + self.due_slack(left) =>
            {
                let sampled_servers = self.share(left).fraction() * servers as f64;
                let group = limits.vm % sampled_servers.ceil().max(1.0) as u64;
                let rotation = (left.as_millis() / ROTATION.as_millis()) as u64;
                VersionChoice::Sample(limits.order ^ (rotation << 32 | group))
            }
            Stage::Sampling => VersionChoice::Old,
        }
    }

    /// Returns the slack that sampling may use with `left` until the deadline; it grows evenly over
    /// the term.
    fn due_slack(&self, left: Duration) -> f64 {
        let term = self.limits.term.as_secs_f64().max(0.001);
        let passed = 1.0 - left.as_secs_f64() / term;
        self.limits.slack * SAMPLING_SLACK * passed.clamp(0.0, 1.0)
    }

    fn share(&self, left: Duration) -> Cap {
        match left < self.limits.final_window {
            true => self.limits.final_share,
            false => self.limits.share,
        }
    }

    /// Counts a request sent to a server of the old or the new version, with `left` until the
    /// deadline.
    pub fn record_send(&mut self, is_new: bool, left: Duration) {
        self.all += 1;
        self.new += u64::from(is_new);
        // Unused quota is limited to one start, so that it can't cause a burst later.
        let limit = self.new as f64 + 1.0;
        self.sampling_quota = (self.sampling_quota + self.share(left).fraction()).min(limit);
    }
}
