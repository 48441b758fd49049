//! Datagrams from one VM to all VMs of a data centre.
//!
//! The load to expect is a data centre of dozens of VMs that has lost its VMs with wide links: a
//! narrow one speaks for it, and the summaries of eight other data centres, passed on to each VM,
//! are three times what its link carries. Reports that are lost in a full link make VMs count as
//! down, which costs further reports. So a VM sends itself only what its link carries soon, and
//! has other VMs pass on the rest.

use rand::Rng;
use rand::seq::IteratorRandom;
use std::time::Duration;

base::value! {
    /// Settings of the ways of a datagram.
    #[derive(Copy)]
    pub struct Settings {
        /// Longest time for which one datagram, sent to each VM, occupies the link of its sender.
        pub max_time: Duration,
        /// Most VMs that pass on one datagram.
        pub max_relays: usize,
        /// Share of the link for the reports of a VM.
        pub share: f64,
        /// Longest time between two reports for that share; VMs that are silent for longer count as
        /// down.
        pub max_pause: Duration,
        /// Bandwidth of a link that is not known, in Mbit/s; the narrowest of the sites.
        pub default_mbps: u32,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_time: Duration::from_millis(25),
            max_relays: 3,
            share: 0.25,
            max_pause: Duration::from_millis(500),
            default_mbps: 10,
        }
    }
}

impl Settings {
    /// Returns the time that bytes take on a link of `mbps`, 0 if unknown.
    fn time(&self, bytes: usize, mbps: u32) -> Duration {
        let mbps = match mbps {
            0 => self.default_mbps,
            known => known,
        };
        Duration::from_secs_f64(bytes as f64 / (f64::from(mbps) * 125_000.0))
    }

    /// Returns whether a VM with a link of `mbps` sends so many bytes itself.
    pub fn is_carried(&self, bytes: usize, mbps: u32) -> bool {
        self.time(bytes, mbps) <= self.max_time
    }

    /// Returns the time from the begin of a round of reports with so many bytes to the next one.
    pub fn pause(&self, bytes: usize, mbps: u32) -> Duration {
        let pause = self.time(bytes, mbps).div_f64(self.share);
        pause.min(self.max_pause)
    }

    /// Returns the VMs through which a VM with a link of `mbps` passes a datagram on, each to a part
    /// of its data centre; none if it sends all `bytes` itself. Of VMs with a wide link one is enough.
    pub fn relays<T: Copy>(
        &self,
        bytes: usize,
        mbps: u32,
        others: &[(T, u32)],
        random: &mut impl Rng,
    ) -> Vec<T> {
        if self.is_carried(bytes, mbps) {
            return Vec::new();
        }
        let wide = others
            .iter()
            .filter(|(_, mbps)| self.is_carried(bytes, *mbps));
        match wide.choose(random) {
            Some((vm, _)) => vec![*vm],
            None => self.sample(others.iter().map(|(vm, _)| *vm), random),
        }
    }

    /// Returns some of the VMs, at most [`Settings::max_relays`], each equally likely.
    pub fn sample<T>(&self, vms: impl IntoIterator<Item = T>, random: &mut impl Rng) -> Vec<T> {
        vms.into_iter().sample(random, self.max_relays)
    }
}
