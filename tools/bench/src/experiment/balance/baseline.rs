//! The methods that steering is compared with, as kept by one VM.

use super::Method;
use super::trace::SERVERS;
use rand::{Rng, RngExt};
use std::ops::Range;
use std::time::{Duration, Instant};

const ALPHA: f64 = 0.3;
/// Trip threshold of the moving average against the mean work.
const TRIP: f64 = 4.0;
/// Consecutive bad samples that trip.
const BAD_SAMPLES: u32 = 2;
const PROBE: Duration = Duration::from_secs(15 * 60);

/// Own requests in flight and moving averages, by server.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    outstanding: [u32; SERVERS],
    average: [f64; SERVERS],
    bad: [u32; SERVERS],
    tripped: [Option<Instant>; SERVERS],
}

impl Baseline {
    /// Counts a request to a server.
    pub fn begin(&mut self, server: usize) {
        self.outstanding[server] += 1;
    }

    /// Counts the end of a request.
    pub fn end(&mut self, server: usize) {
        self.outstanding[server] -= 1;
    }

    /// Notes a latency, as a multiple of the mean work.
    pub fn record(&mut self, server: usize, took: f64, now: Instant) {
        self.average[server] += ALPHA * (took - self.average[server]);
        let bad = self.average[server] > TRIP;
        self.bad[server] = if bad { self.bad[server] + 1 } else { 0 };
        if self.bad[server] >= BAD_SAMPLES {
            self.tripped[server] = Some(now + PROBE);
        }
    }

    /// Chooses among the servers of a region.
    pub fn choose(
        &self,
        method: Method,
        region: Range<usize>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> usize {
        let mut draw = || rng.random_range(region.clone());
        match method {
            Method::Random => draw(),
            Method::TwoChoices => [draw(), draw()]
                .into_iter()
                .min_by_key(|s| self.outstanding[*s])
                .unwrap_or(region.start),
            _ => {
                let shift = draw();
                let average = method == Method::MovingAverage;
                let open = |s: &usize| !average || self.tripped[*s].is_none_or(|t| t <= now);
                let any = region.clone().any(|s| open(&s));
                (region.clone())
                    .filter(|s| open(s) || !any)
                    .min_by_key(|s| (self.outstanding[*s], (s + shift) % region.len()))
                    .unwrap_or(region.start)
            }
        }
    }
}
