//! Baseline methods with which steering is compared, as one VM runs them.

use super::Method;
use super::trace::SERVERS;
use rand::{Rng, RngExt};
use std::ops::Range;
use std::time::{Duration, Instant};

/// Weight of a new sample in the moving average.
const AVERAGE_WEIGHT: f64 = 0.3;
/// Moving average, as a multiple of the mean service time, above which a sample is bad.
const TRIP_THRESHOLD: f64 = 4.0;
/// Consecutive bad samples after which a server is taken out.
const TRIP_SAMPLES: u32 = 2;
/// Time for which a server is out before it is tried again.
const PROBE_INTERVAL: Duration = Duration::from_secs(15 * 60);

/// Own requests in flight and moving averages of latency, by server.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    outstanding: [u32; SERVERS],
    average: [f64; SERVERS],
    bad_samples: [u32; SERVERS],
    tripped_until: [Option<Instant>; SERVERS],
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

    /// Records a latency, as a multiple of the mean service time.
    pub fn record(&mut self, server: usize, relative_time: f64, now: Instant) {
        self.average[server] += AVERAGE_WEIGHT * (relative_time - self.average[server]);
        let bad = self.average[server] > TRIP_THRESHOLD;
        self.bad_samples[server] = if bad { self.bad_samples[server] + 1 } else { 0 };
        if self.bad_samples[server] >= TRIP_SAMPLES {
            self.tripped_until[server] = Some(now + PROBE_INTERVAL);
        }
    }

    /// Chooses a server of a region.
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
                let offset = draw();
                let uses_average = method == Method::MovingAverage;
                let usable =
                    |s: &usize| !uses_average || self.tripped_until[*s].is_none_or(|t| t <= now);
                let any_usable = region.clone().any(|s| usable(&s));
                (region.clone())
                    .filter(|s| usable(s) || !any_usable)
                    .min_by_key(|s| (self.outstanding[*s], (s + offset) % region.len()))
                    .unwrap_or(region.start)
            }
        }
    }
}
