//! Datagrams from one VM to all VMs of a data centre.
//!
//! The load to expect is a data centre of dozens of VMs that has lost its VMs with wide links: a
//! narrow one speaks for it, and the summaries of eight other data centres, passed on to each VM,
//! are three times what its link carries. Reports that are lost in a full link make VMs count as
//! down, which costs further reports. So a VM sends itself only what its link carries soon, and
//! has other VMs pass on the rest.

use rand::Rng;
use rand::seq::IteratorRandom;
use std::time::{Duration, Instant};

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
        /// Time by which urgent reports come ahead of that share.
        pub advance: Duration,
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
            advance: Duration::from_millis(250),
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

    /// Returns the time in which so many bytes are the share of a link of `mbps`.
    fn pause(&self, bytes: usize, mbps: u32) -> Duration {
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

/// Times of the reports of a VM, by what its link carries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    settings: Settings,
    mbps: u32,
    /// When the reports so far have had their share of the link.
    free_at: Instant,
    /// When the last round began, and its part of the share.
    last: (Instant, Duration),
}

impl Pace {
    /// Creates the pace of a VM with a link of `mbps`, 0 if unknown, that has sent nothing.
    pub fn new(settings: Settings, mbps: u32, now: Instant) -> Self {
        Self {
            settings,
            mbps,
            free_at: now,
            last: (now, Duration::ZERO),
        }
    }

    /// Records a round of reports.
    pub fn record(&mut self, bytes: usize, now: Instant) {
        let pause = self.settings.pause(bytes, self.mbps);
        self.free_at = self.free_at.max(now) + pause;
        self.last = (now, pause);
    }

    /// Returns the time of the next report that nothing asks for; the last one is `interval` ago then.
    pub fn next_at(&self, interval: Duration) -> Instant {
        let (at, pause) = self.last;
        at + interval.max(pause)
    }

    /// Returns the time from which a VM that was heard for the first time gets a report.
    pub fn greets_at(&self) -> Instant {
        self.free_at
    }

    /// Returns the time from which urgent news are reported.
    pub fn hurries_at(&self) -> Instant {
        self.free_at
            .checked_sub(self.settings.advance)
            .unwrap_or(self.free_at)
    }
}
