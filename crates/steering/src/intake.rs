//! Requests that a backend server takes a second from all VMs together, by its own word.
//!
//! A server in need names this limit in its answers for as long as it holds. Only the holders of the
//! limit send requests to it: the first VMs in an order that all VMs agree on, one for each request a
//! second. Each holder waits between two requests for as long as its part says, so in any time all
//! together send what the limit allows and one and a half requests each, whatever the number of VMs.
//! A VM that becomes a holder waits until the former one has noticed ([`Holders`]); a VM that hears
//! from a minority holds nothing, as the other side of a partition has holders of its own.
//!
//! VMs pass on what they are told. A VM that holds nothing and has heard nothing of the limit for long
//! sends a single request to learn whether it still holds: all VMs together less than a third of the
//! limit.
//!
//! The load to expect is servers that take 1.4 requests a second from a fleet of up to 300 VMs, each
//! of which would send them more than that.

mod holders;

pub use holders::{Candidate, Holders, Place};

use crate::notice::Origin;
use crate::warmth::ShortDigest;
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Lowest rate that is used; a server that takes nothing would never be asked whether that still
/// holds.
const MIN_RATE: f64 = 0.2;
/// Shortest time without a word on the limit after which a VM that holds nothing sends a request.
const MIN_SILENCE: Duration = Duration::from_secs(5);
/// Part of a request that a holder may save for later, while none comes to it.
const MAX_SAVED: f64 = 0.5;
/// Difference up to which two words with the same limit count as one.
const SAME_WORD: Duration = Duration::from_millis(300);

base::message! {
    /// Word on one run of a server, for other VMs: how many requests a second it takes.
    #[derive(Copy)]
    pub struct Word {
        /// Short digest of the server.
        pub server: ShortDigest,
        /// Start of the run, in milliseconds since the Unix epoch.
        pub born: u64,
        /// Requests a second; none if the server names no limit any more.
        pub rate: Option<f64>,
        /// Age of the word in milliseconds.
        pub age_ms: u32,
    }
}

/// What one run of a server has said of its limit, and when this VM may send to it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Intake {
    /// Requests a second; none without a limit.
    rate: Option<f64>,
    /// Time of the word that counts, and from whom this VM has it; none before the first limit.
    word: Option<(Instant, Origin)>,
    /// Time from which this VM, while it is a holder, waits for its next request; the wait depends on
    /// the limit at that time.
    paced_from: Option<Instant>,
    /// Last request of this VM while it was no holder.
    probed_at: Option<Instant>,
    /// Factor from 1 to 2 by which this VM waits longer before such a request than the shortest
    /// time, so that VMs don't send theirs together.
    spread: f64,
}

impl Intake {
    /// Records a limit, or that there is none, as of `said_at`; returns whether the limit changed.
    ///
    /// A word that the server names no limit has the time at which its request was sent: the answer
    /// is no older.
    pub fn record(
        &mut self,
        rate: Option<f64>,
        said_at: Instant,
        origin: Origin,
        random: &mut impl Rng,
    ) -> bool {
        if rate.is_none() && self.word.is_none() {
            return false;
        }
        let rate = rate.map(|rate| rate.max(MIN_RATE));
        let is_changed = rate != self.rate;
        let is_older = |(at, _): (Instant, Origin)| match is_changed || origin == Origin::Answer {
            true => said_at <= at,
            false => said_at <= at + SAME_WORD,
        };
        if self.word.is_some_and(is_older) {
            return false;
        }
        self.word = Some((said_at, origin));
        if is_changed {
            self.rate = rate;
            self.spread = random.random_range(1.0..2.0);
        }
        is_changed
    }

    /// Returns the limit in requests a second; none without one.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Returns the word that counts: the limit, its time, and from whom this VM has it.
    pub fn word(&self) -> Option<(Option<f64>, Instant, Origin)> {
        self.word.map(|(at, origin)| (self.rate, at, origin))
    }

    /// Returns whether this VM may send a request now.
    pub fn allows(&self, place: &Place, now: Instant) -> bool {
        let (Some(rate), Some((said_at, _))) = (self.rate, self.word) else {
            return true;
        };
        if place.share(rate).is_some() {
            return self.turn_at(place).is_none_or(|turn| now >= turn);
        }
        let last = self.probed_at.map_or(said_at, |at| at.max(said_at));
        let fleet = Duration::from_secs_f64(2.0 * place.members as f64 / rate);
        now >= last + fleet.max(MIN_SILENCE).mul_f64(self.spread)
    }

    /// Returns when this VM may send the next request within its part; none if it has no part, or has
    /// not sent any.
    pub fn turn_at(&self, place: &Place) -> Option<Instant> {
        let share = place.share(self.rate?)?;
        Some(self.paced_from? + gap(share))
    }

    /// Records a request of this VM.
    pub fn record_send(&mut self, place: &Place, now: Instant, random: &mut impl Rng) {
        let Some(rate) = self.rate else {
            return;
        };
        match place.share(rate) {
            Some(share) => {
                let saved = now.checked_sub(gap(share).mul_f64(MAX_SAVED));
                let saved = saved.unwrap_or(now);
                let turn = self.turn_at(place).map_or(now, |turn| turn.max(saved));
                self.paced_from = Some(turn);
            }
            None => {
                self.probed_at = Some(now);
                self.spread = random.random_range(1.0..2.0);
            }
        }
    }
}

/// Returns the time between two requests of a VM whose part is `share` requests a second.
fn gap(share: f64) -> Duration {
    Duration::from_secs_f64(1.0 / share)
}
