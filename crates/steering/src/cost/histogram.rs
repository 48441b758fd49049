//! Decayed histogram over logarithmic buckets.

use std::time::Duration;

/// Number of buckets; a histogram takes 260 bytes.
const BUCKETS: usize = 64;
/// Buckets for each doubling: neighbouring bounds differ by 15%, as does the work of like requests.
const BUCKETS_PER_DOUBLING: f64 = 5.0;
/// Lower bound of the first bucket, in latency objectives; the last one ends at 71.
const LEAST: f64 = 0.01;
/// Weight at which all weights are halved, so that about the last 200 samples count.
const MAX_WEIGHT: f32 = 256.0;
/// Samples that are assumed to take longer than any seen, by [`LONGER`] of their age. They decide
/// about a request that outlasts all known ones.
const UNSEEN_SAMPLES: f64 = 0.25;
/// Residual time of a request that outlasts all known ones, as a share of its age.
const LONGER: f64 = 1.0;

/// Distribution of positive numbers, in which newer samples weigh more.
#[derive(Debug, Clone)]
pub struct Histogram {
    weights: [f32; BUCKETS],
    total: f32,
}

/// Returns the lower bound of a bucket.
fn bound(bucket: usize) -> f64 {
    LEAST * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
}

/// Returns the bucket of a number.
fn bucket(value: f64) -> usize {
    let position = (value.max(LEAST) / LEAST).log2() * BUCKETS_PER_DOUBLING;
    (position as usize).min(BUCKETS - 1)
}

impl Histogram {
    /// Creates a histogram of `samples` samples at one value.
    pub fn around(value: f64, samples: f32) -> Self {
        let mut weights = [0.0; BUCKETS];
        weights[bucket(value)] = samples;
        Self {
            weights,
            total: samples,
        }
    }

    /// Returns the same distribution as if it had `samples` samples.
    pub fn scaled_to(&self, samples: f32) -> Self {
        let factor = samples / self.total.max(f32::MIN_POSITIVE);
        Self {
            weights: self.weights.map(|weight| weight * factor),
            total: samples,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, value: f64) {
        self.weights[bucket(value)] += 1.0;
        self.total += 1.0;
        if self.total >= MAX_WEIGHT {
            *self = self.scaled_to(MAX_WEIGHT / 2.0);
        }
    }

    /// Returns the mean.
    pub fn mean(&self) -> f64 {
        let sum: f64 = self
            .filled()
            .map(|(low, high, w)| w * middle(low, high))
            .sum();
        sum / f64::from(self.total)
    }

    /// Returns the mean in units of `unit`.
    pub fn mean_duration(&self, unit: Duration) -> Duration {
        unit.mul_f64(self.mean())
    }

    /// Returns the number that this share of the samples, from 0 to 1, does not exceed.
    pub fn quantile(&self, share: f64) -> f64 {
        let mut left = share.clamp(0.0, 1.0) * f64::from(self.total);
        let mut last = LEAST;
        for (low, high, weight) in self.filled() {
            if left <= weight {
                return low + (high - low) * left / weight;
            }
            left -= weight;
            last = high;
        }
        last
    }

    /// Returns the mean of what is left beyond `age` of the samples that exceed it.
    pub fn residual(&self, age: f64) -> f64 {
        let unseen = (UNSEEN_SAMPLES * age * LONGER, UNSEEN_SAMPLES);
        let (sum, weight) = self
            .filled()
            .filter(|(_, high, _)| *high > age)
            .map(|(low, high, weight)| {
                // Samples are spread evenly over their bucket; those below the age have ended.
                let from = low.max(age);
                let weight = weight * (high - from) / (high - low);
                (weight * (middle(from, high) - age), weight)
            })
            .fold(unseen, |all, part| (all.0 + part.0, all.1 + part.1));
        sum / weight
    }

    /// Returns bounds and weight of the buckets that are not empty.
    fn filled(&self) -> impl Iterator<Item = (f64, f64, f64)> {
        let filled = self.weights.iter().enumerate().filter(|(_, w)| **w > 0.0);
        filled.map(|(index, weight)| (bound(index), bound(index + 1), f64::from(*weight)))
    }
}

fn middle(low: f64, high: f64) -> f64 {
    f64::midpoint(low, high)
}
