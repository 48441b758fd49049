//! Byte share of one region-to-region link that this VM may spend.

use super::ServiceClass;
use base::id::Service;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Weight of a new sample in the learned answer size.
const WEIGHT: f64 = 0.05;
/// Longest time over which unspent bytes are kept.
const BURST: Duration = Duration::from_millis(200);
/// Time constant of the spending on cold caches.
const COLD_MEMORY: Duration = Duration::from_secs(1);
/// Time constant of the spending of prompt services.
///
/// The planner follows what they leave. With 1 s, the weights of deferrable services oscillated; the
/// bucket itself yields at once.
const PROMPT_MEMORY: Duration = Duration::from_secs(5);

/// Settings of a link share.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkSettings {
    /// Bytes per second that this VM may spend, requests and answers together.
    ///
    /// The shares of all VMs of both regions sum to at most the link's bandwidth, less what
    /// cache fills and other traffic need, so that neither direction can exceed it.
    pub bytes_per_second: f64,
    /// Answer size in bytes that is assumed before one was seen.
    pub assumed_answer: f64,
    /// Extra bytes per answer byte while the far cache is cold, for filling it.
    pub cold_cost: f64,
    /// Least time in which the far cache becomes warm.
    pub warm_up: Duration,
    /// Measured use of the links into the far region from which warming up makes no progress.
    pub hold: f64,
    /// Measured use of the links into the far region from which warming up goes back.
    ///
    /// Cache fills of all callers flow there. With a use of 0.7, what the warm-up adds within a lag
    /// of 3 s still fits.
    pub recede: f64,
    /// Age from which a measured use is ignored; warming up then follows time alone.
    pub stale: Duration,
    /// Time without a request after which the far cache counts as cold again.
    pub cools: Duration,
    /// Part of the share that the first requests to a cold cache may use.
    pub cold_floor: f64,
    /// Part of the burst that deferrable requests leave for prompt ones.
    pub reserve: f64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            bytes_per_second: 0.0,
            assumed_answer: 65536.0,
            cold_cost: 1.0,
            warm_up: Duration::from_secs(20),
            hold: 0.5,
            recede: 0.7,
            stale: Duration::from_secs(15),
            cools: Duration::from_secs(60),
            cold_floor: 0.2,
            reserve: 0.5,
        }
    }
}

base::value! {
    /// Bytes charged for one request, corrected when its answer has come.
    #[must_use]
    pub struct Charge {
        service: Service,
        answer: f64,
    }
}

#[derive(Debug, Clone, Copy)]
struct Warmth {
    /// Seconds by which the far cache has been warmed, up to the whole warm-up.
    progress: f64,
    last: Instant,
    /// Bytes per second spent lately.
    spending: f64,
}

/// Token bucket in bytes; filled at the VM's share of the link.
#[derive(Debug)]
pub struct LinkBudget {
    settings: LinkSettings,
    bytes: f64,
    filled: Instant,
    prompt: f64,
    sizes: IndexMap<Service, f64>,
    warmth: IndexMap<Service, Warmth>,
    measured: Option<(f64, Instant)>,
}

impl LinkBudget {
    /// Starts with an empty bucket.
    pub fn new(settings: LinkSettings, now: Instant) -> Self {
        Self {
            settings,
            bytes: 0.0,
            filled: now,
            prompt: 0.0,
            sizes: IndexMap::new(),
            warmth: IndexMap::new(),
            measured: None,
        }
    }

    /// Notes the use of the busiest link into the far region, from 0 to 1, as measured at `at`.
    ///
    /// The fill of a cold cache doesn't show in the bytes of the answers, so warming up slows
    /// down when the links that carry it are used.
    pub fn record_utilisation(&mut self, used: f64, at: Instant) {
        self.measured = Some((used, at));
    }

    /// Charges a request of `bytes` and its expected answer, or refuses it; it has not run then.
    ///
    /// Deferrable requests leave a reserve in the bucket, so they yield first.
    pub fn admit(
        &mut self,
        service: &str,
        class: ServiceClass,
        bytes: f64,
        now: Instant,
    ) -> Option<Charge> {
        self.fill(now);
        let answer = self.answer(service);
        let kept = match class {
            ServiceClass::Prompt => 0.0,
            ServiceClass::Deferrable => self.settings.reserve * self.burst(),
        };
        // Larger than the whole burst: admitted by a full bucket, which then owes the difference.
        let needed = (bytes + answer).min(self.burst() - kept);
        if self.bytes < needed + kept || self.settings.bytes_per_second <= 0.0 {
            return None;
        }
        let open = self.settings.bytes_per_second * self.ramped(service);
        let cold = self.cold_spending();
        let warmth = self.warmth.entry(service.into()).or_insert(Warmth {
            progress: 0.0,
            last: now,
            spending: 0.0,
        });
        warmth.last = now;
        if open < self.settings.bytes_per_second && cold > open {
            return None;
        }
        warmth.spending += (bytes + answer) / COLD_MEMORY.as_secs_f64();
        self.spend(class, bytes + answer);
        Some(Charge {
            service: service.into(),
            answer,
        })
    }

    /// Corrects a charge by the real size of the answer and learns from it.
    pub fn settle(&mut self, charge: &Charge, class: ServiceClass, answer: f64, now: Instant) {
        self.fill(now);
        let cost = answer * self.fill_factor(&charge.service);
        self.spend(class, cost - charge.answer);
        let size = self.sizes.entry(charge.service.clone()).or_insert(answer);
        *size += WEIGHT * (answer - *size);
    }

    /// Returns the requests per second of a service that fit, for the planner.
    ///
    /// For a deferrable service, what prompt services spend is left out.
    pub fn admissible_rate(&mut self, service: &str, class: ServiceClass, now: Instant) -> f64 {
        self.fill(now);
        let taken = match class {
            ServiceClass::Prompt => 0.0,
            ServiceClass::Deferrable => self.prompt,
        };
        let share = self.settings.bytes_per_second;
        let open = (share - taken).min(share * self.ramped(service));
        open.max(0.0) / self.answer(service)
    }

    fn spend(&mut self, class: ServiceClass, bytes: f64) {
        self.bytes -= bytes;
        if class == ServiceClass::Prompt {
            self.prompt += bytes / PROMPT_MEMORY.as_secs_f64();
        }
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled);
        self.prompt *= decay(elapsed, PROMPT_MEMORY);
        self.bytes =
            (self.bytes + elapsed.as_secs_f64() * self.settings.bytes_per_second).min(self.burst());
        self.filled = now;
        let settings = &self.settings;
        let pace = match self.measured {
            Some((_, at)) if now.saturating_duration_since(at) > settings.stale => 1.0,
            Some((used, _)) if used >= settings.recede => -1.0,
            Some((used, _)) if used >= settings.hold => 0.0,
            _ => 1.0,
        };
        (self.warmth)
            .retain(|_, warmth| now.saturating_duration_since(warmth.last) < settings.cools);
        for warmth in self.warmth.values_mut() {
            let progress = warmth.progress + pace * elapsed.as_secs_f64();
            warmth.progress = progress.clamp(0.0, settings.warm_up.as_secs_f64());
            warmth.spending *= decay(elapsed, COLD_MEMORY);
        }
    }

    /// Bytes per second lately spent on services whose far caches are cold.
    fn cold_spending(&self) -> f64 {
        let whole = self.settings.warm_up.as_secs_f64();
        let cold = |warmth: &&Warmth| warmth.progress < whole;
        (self.warmth.values().filter(cold))
            .map(|warmth| warmth.spending)
            .sum()
    }

    fn burst(&self) -> f64 {
        self.settings.bytes_per_second * BURST.as_secs_f64()
    }

    /// Expected bytes of an answer, cache fill included.
    fn answer(&self, service: &str) -> f64 {
        let known = self.sizes.get(service).copied();
        known.unwrap_or(self.settings.assumed_answer) * self.fill_factor(service)
    }

    fn fill_factor(&self, service: &str) -> f64 {
        1.0 + self.settings.cold_cost * (1.0 - self.warm(service))
    }

    /// Part of the share that is open to a service by the warmth of its far cache.
    fn ramped(&self, service: &str) -> f64 {
        let floor = self.settings.cold_floor;
        floor + (1.0 - floor) * self.warm(service)
    }

    fn warm(&self, service: &str) -> f64 {
        let whole = self.settings.warm_up.as_secs_f64();
        let progress = self
            .warmth
            .get(service)
            .map_or(0.0, |warmth| warmth.progress);
        if whole > 0.0 { progress / whole } else { 1.0 }
    }
}

fn decay(elapsed: Duration, memory: Duration) -> f64 {
    (-elapsed.as_secs_f64() / memory.as_secs_f64()).exp()
}
