//! Byte budget of this VM on one region-to-region link.

use super::ServiceClass;
use base::id::Service;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Weight of a new sample in the average answer size.
const SIZE_WEIGHT: f64 = 0.05;
/// Maximum time over which unspent bytes accumulate.
const BURST: Duration = Duration::from_millis(200);
/// Time constant of the average spending on cold caches.
const COLD_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time constant of the average spending of prompt services.
///
/// The planner gives deferrable services the rest. With 1 s, their weights oscillated; the bucket
/// itself gives way to prompt requests at once.
const PROMPT_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Settings of a link budget.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkSettings {
    /// Bytes per second that this VM may spend, requests and answers together.
    ///
    /// The budgets of all VMs of both regions sum to at most the link's bandwidth, less what
    /// cache fills and other traffic need, so that neither direction can exceed it.
    pub bytes_per_second: f64,
    /// Answer size in bytes that is assumed before the first answer.
    pub assumed_answer: f64,
    /// Extra bytes per answer byte while the remote cache is cold, for filling it.
    pub cold_cost: f64,
    /// Minimum time in which the remote cache becomes warm.
    pub warm_up: Duration,
    /// Utilisation of the links into the remote region from which the warm-up makes no progress.
    pub hold_utilisation: f64,
    /// Utilisation of the links into the remote region from which the warm-up is reversed.
    ///
    /// They carry the cache fills of all callers. At a utilisation of 0.7, what the warm-up adds
    /// within a lag of 3 s still fits.
    pub reverse_utilisation: f64,
    /// Age from which a measured utilisation is ignored; the warm-up then depends on time only.
    pub max_age: Duration,
    /// Time without a request after which the remote cache counts as cold again.
    pub cold_after: Duration,
    /// Share of the budget that the first requests to a cold cache may use.
    pub cold_floor: f64,
    /// Share of the burst that deferrable requests leave for prompt ones.
    pub reserve: f64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            bytes_per_second: 0.0,
            assumed_answer: 65536.0,
            cold_cost: 1.0,
            warm_up: Duration::from_secs(20),
            hold_utilisation: 0.5,
            reverse_utilisation: 0.7,
            max_age: Duration::from_secs(15),
            cold_after: Duration::from_secs(60),
            cold_floor: 0.2,
            reserve: 0.5,
        }
    }
}

base::value! {
    /// Bytes charged for one request; corrected when its answer has arrived.
    #[must_use]
    pub struct Charge {
        service: Service,
        answer: f64,
    }
}

#[derive(Debug, Clone, Copy)]
struct WarmUp {
    /// Progress of the remote cache's warm-up, in seconds.
    progress: f64,
    last_request: Instant,
    /// Average spending in bytes per second.
    spending: f64,
}

/// Token bucket in bytes, refilled at this VM's budget on the link.
#[derive(Debug)]
pub struct LinkBudget {
    settings: LinkSettings,
    bytes: f64,
    filled_at: Instant,
    /// Average spending of prompt services in bytes per second.
    prompt: f64,
    /// Average answer size by service.
    sizes: IndexMap<Service, f64>,
    warm_ups: IndexMap<Service, WarmUp>,
    utilisation: Option<(f64, Instant)>,
}

impl LinkBudget {
    /// Creates an empty bucket.
    pub fn new(settings: LinkSettings, now: Instant) -> Self {
        Self {
            settings,
            bytes: 0.0,
            filled_at: now,
            prompt: 0.0,
            sizes: IndexMap::new(),
            warm_ups: IndexMap::new(),
            utilisation: None,
        }
    }

    /// Records the utilisation of the busiest link into the remote region, from 0 to 1, as measured
    /// at `at`.
    ///
    /// Cache fills don't show in the bytes of the answers, so the warm-up depends on the
    /// utilisation of the links that carry them.
    pub fn record_utilisation(&mut self, used: f64, at: Instant) {
        self.utilisation = Some((used, at));
    }

    /// Charges a request of `bytes` and its expected answer, or returns `None` if it doesn't fit.
    ///
    /// Deferrable requests leave a reserve in the bucket, so they are refused first.
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
        // A request larger than the burst is admitted by a full bucket, which becomes negative.
        let needed = (bytes + answer).min(self.burst() - kept);
        if self.bytes < needed + kept || self.settings.bytes_per_second <= 0.0 {
            return None;
        }
        let open = self.settings.bytes_per_second * self.ramped(service);
        let cold = self.cold_spending();
        let warm_up = self.warm_ups.entry(service.into()).or_insert(WarmUp {
            progress: 0.0,
            last_request: now,
            spending: 0.0,
        });
        warm_up.last_request = now;
        if open < self.settings.bytes_per_second && cold > open {
            return None;
        }
        warm_up.spending += (bytes + answer) / COLD_TIME_CONSTANT.as_secs_f64();
        self.spend(class, bytes + answer);
        Some(Charge {
            service: service.into(),
            answer,
        })
    }

    /// Corrects a charge by the actual size of the answer, and updates the average size.
    pub fn settle(&mut self, charge: &Charge, class: ServiceClass, answer: f64, now: Instant) {
        self.fill(now);
        let cost = answer * self.fill_factor(&charge.service);
        self.spend(class, cost - charge.answer);
        let size = self.sizes.entry(charge.service.clone()).or_insert(answer);
        *size += SIZE_WEIGHT * (answer - *size);
    }

    /// Returns the requests per second of a service that fit on the link.
    ///
    /// A deferrable service gets only what prompt services leave.
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
            self.prompt += bytes / PROMPT_TIME_CONSTANT.as_secs_f64();
        }
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.prompt *= decay(elapsed, PROMPT_TIME_CONSTANT);
        self.bytes =
            (self.bytes + elapsed.as_secs_f64() * self.settings.bytes_per_second).min(self.burst());
        self.filled_at = now;
        let settings = &self.settings;
        let pace = match self.utilisation {
            Some((_, at)) if now.saturating_duration_since(at) > settings.max_age => 1.0,
            Some((used, _)) if used >= settings.reverse_utilisation => -1.0,
            Some((used, _)) if used >= settings.hold_utilisation => 0.0,
            _ => 1.0,
        };
        (self.warm_ups).retain(|_, warm_up| {
            now.saturating_duration_since(warm_up.last_request) < settings.cold_after
        });
        for warm_up in self.warm_ups.values_mut() {
            let progress = warm_up.progress + pace * elapsed.as_secs_f64();
            warm_up.progress = progress.clamp(0.0, settings.warm_up.as_secs_f64());
            warm_up.spending *= decay(elapsed, COLD_TIME_CONSTANT);
        }
    }

    /// Returns the average bytes per second spent on services whose remote caches are cold.
    fn cold_spending(&self) -> f64 {
        let whole = self.settings.warm_up.as_secs_f64();
        let cold = |warm_up: &&WarmUp| warm_up.progress < whole;
        (self.warm_ups.values().filter(cold))
            .map(|warm_up| warm_up.spending)
            .sum()
    }

    fn burst(&self) -> f64 {
        self.settings.bytes_per_second * BURST.as_secs_f64()
    }

    /// Returns the expected bytes of an answer, cache fill included.
    fn answer(&self, service: &str) -> f64 {
        let known = self.sizes.get(service).copied();
        known.unwrap_or(self.settings.assumed_answer) * self.fill_factor(service)
    }

    fn fill_factor(&self, service: &str) -> f64 {
        1.0 + self.settings.cold_cost * (1.0 - self.warm(service))
    }

    /// Returns the share of the budget that a service may use by the warm-up of its remote cache.
    fn ramped(&self, service: &str) -> f64 {
        let floor = self.settings.cold_floor;
        floor + (1.0 - floor) * self.warm(service)
    }

    fn warm(&self, service: &str) -> f64 {
        let whole = self.settings.warm_up.as_secs_f64();
        let progress = self
            .warm_ups
            .get(service)
            .map_or(0.0, |warm_up| warm_up.progress);
        if whole > 0.0 { progress / whole } else { 1.0 }
    }
}

fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
