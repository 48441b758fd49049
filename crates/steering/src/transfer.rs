//! Bulk data between VMs: how much a VM sends to the others, and which VM one asks.
//!
//! The load to expect is a data centre of dozens of VMs that need the same data at the same moment,
//! since the VM that read it for them was lost, from one with a narrow link. If all are answered at
//! once, none is before it gives up, and all ask again. So a VM answers as many as its link carries
//! soon and tells the others when to come back; those that were answered serve them too.

use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

base::value! {
    /// Settings of an [`Allowance`].
    #[derive(Copy)]
    pub struct Settings {
        /// Share of the link for bulk data; the rest is for callers, servers and reports.
        pub share: f64,
        /// Time in which the data that is sent at once passes the link at this share. VMs give up a
        /// request after 0.7 s.
        pub burst: Duration,
        /// Bandwidth of a link that is not known, in Mbit/s; the narrowest of the sites.
        pub default_mbps: u32,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: 0.5,
            burst: Duration::from_millis(400),
            default_mbps: 10,
        }
    }
}

/// Bytes that a VM may send to others now.
#[derive(Debug, Clone, PartialEq)]
pub struct Allowance {
    bytes_per_s: f64,
    most: f64,
    /// Bytes left at `counted_at`; below 0 while the last answer is still on the link.
    left: f64,
    counted_at: Instant,
}

impl Allowance {
    /// Creates the whole allowance of a link with a bandwidth in Mbit/s, 0 if unknown.
    pub fn new(settings: &Settings, link_mbps: u32, now: Instant) -> Self {
        let mbps = match link_mbps {
            0 => settings.default_mbps,
            known => known,
        };
        let bytes_per_s = f64::from(mbps) * 125_000.0 * settings.share;
        let most = bytes_per_s * settings.burst.as_secs_f64();
        Self {
            bytes_per_s,
            most,
            left: most,
            counted_at: now,
        }
    }

    /// Takes the bytes of an answer.
    ///
    /// # Errors
    ///
    /// Fails with the time after which an answer may be taken, if none is left now. An answer that
    /// is larger than the allowance is taken when any is left, and later ones wait for it.
    pub fn take(&mut self, bytes: usize, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.counted_at);
        self.left = (self.left + passed.as_secs_f64() * self.bytes_per_s).min(self.most);
        self.counted_at = self.counted_at.max(now);
        if self.left <= 0.0 {
            return Err(Duration::from_secs_f64(
                (1.0 - self.left) / self.bytes_per_s,
            ));
        }
        self.left -= bytes as f64;
        Ok(())
    }
}

/// Returns one of the VMs that hold the wanted data, so that those that need it spread over them.
pub fn choose_holder<T>(holders: impl IntoIterator<Item = T>, random: &mut impl Rng) -> Option<T> {
    let mut chosen = None;
    for (count, holder) in (1_u32..).zip(holders) {
        if random.random_range(0..count) == 0 {
            chosen = Some(holder);
        }
    }
    chosen
}

/// Returns how long a VM waits that was told to come back after `told`: up to half of it longer, so
/// that VMs that were told together don't return together.
pub fn return_delay(told: Duration, random: &mut impl Rng) -> Duration {
    told.mul_f64(1.0 + random.random_range(0.0..0.5))
}
