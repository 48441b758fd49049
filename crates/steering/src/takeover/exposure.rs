//! Share of the requests that one VM starts on the new version.

use super::Stage;
use crate::affinity::Digest;
use crate::release::Cap;
use std::time::Duration;

/// Part of the slack that samples the version, so that a service with few requests is seen, too. The
/// rest is for the last seconds before the deadline.
const SAMPLED_SLACK: f64 = 0.6;
/// Time for which requests that sample a version go to the same servers: a server then answers
/// several requests at once, and several servers are seen before the deadline.
const TURN: Duration = Duration::from_secs(1);

base::value! {
    /// What one VM may start on the new version.
    #[derive(Copy)]
    pub struct Allowance {
        /// Share of starts while the version is sampled.
        pub share: Cap,
        /// The same in the last seconds before the takeover: the latest evidence is worth most.
        pub late_share: Cap,
        /// Time before the deadline from which the late share holds.
        pub late: Duration,
        /// Share of starts until the version has taken over.
        pub cap: Cap,
        /// Starts beyond the cap.
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
    pub enum Start {
        /// The old version.
        Old,
        /// The new version; starts with the same digest go to the same server.
        Sample(Digest),
        /// The new version.
        New,
    }

    /// Starts of one service on this VM during a takeover.
    ///
    /// A small share that is spread over all servers of the new version shows none of them under
    /// load. So at a time VMs sample only as many servers as correspond to the share, which then
    /// get about the load that they will have. Every VM keeps the cap by counting its own starts.
    pub struct Exposure {
        allowance: Allowance,
        all: u64,
        new: u64,
        /// Starts that may sample the version, those made included.
        sampled: f64,
    }
}

impl Exposure {
    /// Starts a count.
    pub fn new(allowance: Allowance) -> Self {
        // VMs begin at different times; the sum of these parts is at most half of the slack of all VMs.
        let phase = allowance.vm as f64 / Digest::MAX as f64;
        Self {
            allowance,
            all: 0,
            new: 0,
            sampled: phase * allowance.slack.min(1.0),
        }
    }

    /// Returns the version that the next start may use, with `left` until the deadline; the new
    /// version has so many `servers`.
    pub fn next(&self, stage: Stage, left: Duration, servers: usize) -> Start {
        let allowance = &self.allowance;
        match stage {
            Stage::Completed => Start::New,
            Stage::RolledBack => Start::Old,
            Stage::Moving => {
                let most = allowance.cap.fraction() * self.all as f64 + allowance.slack;
                match (self.new as f64) < most {
                    true => Start::New,
                    false => Start::Old,
                }
            }
            Stage::Sampling if (self.new + 1) as f64 <= self.sampled + self.extra(left) => {
                let at_once = self.share(left).fraction() * servers as f64;
                let group = allowance.vm % at_once.ceil().max(1.0) as u64;
                let turn = (left.as_millis() / TURN.as_millis()) as u64;
                Start::Sample(allowance.order ^ (turn << 32 | group))
            }
            Stage::Sampling => Start::Old,
        }
    }

    /// Returns the part of the slack that is due with `left` until the deadline.
    fn extra(&self, left: Duration) -> f64 {
        let term = self.allowance.term.as_secs_f64().max(0.001);
        let passed = 1.0 - left.as_secs_f64() / term;
        self.allowance.slack * SAMPLED_SLACK * passed.clamp(0.0, 1.0)
    }

    fn share(&self, left: Duration) -> Cap {
        match left < self.allowance.late {
            true => self.allowance.late_share,
            false => self.allowance.share,
        }
    }

    /// Counts a request that was sent to a server of the new version, or of the old one, with
    /// `left` until the deadline.
    pub fn sent(&mut self, is_new: bool, left: Duration) {
        self.all += 1;
        self.new += u64::from(is_new);
        // Shares that could not be used are not made up for by a burst.
        let most = self.new as f64 + 1.0;
        self.sampled = (self.sampled + self.share(left).fraction()).min(most);
    }
}
