//! Sequential test of the new version against the old one, which serves at the same time.

use super::{Cap, Evidence, LATENCY_EDGES_MS, Reason, RequestCounts, VersionCounts};
use base::id::Route;
use std::time::{Duration, Instant};

/// Ratios of event rates that are tested as alternative hypotheses.
const ALTERNATIVE_RATIOS: [f64; 4] = [2.0, 4.0, 16.0, 256.0];

/// Tolerated ratio of the failure rates.
const TOLERATED_FAILURE_RATIO: f64 = 1.25;

/// Tolerated ratio of the shares of requests above a latency edge. A version that is 5% slower
/// exceeds an edge in the far tail of a log-normal distribution 1.3 to 1.5 times as often.
const TOLERATED_LATENCY_RATIO: f64 = 1.5;

/// Kinds of events: failures, and latencies above each edge.
const KINDS: usize = LATENCY_EDGES_MS.len() + 1;

/// Weight of failures in the average over event kinds; the latency edges share the rest.
const FAILURE_WEIGHT: f64 = 0.5;

/// Weight of each latency edge.
const LATENCY_WEIGHT: f64 = (1.0 - FAILURE_WEIGHT) / LATENCY_EDGES_MS.len() as f64;

base::value! {
    /// Settings of the test.
    #[derive(Copy)]
    pub struct Settings {
        /// Probability that a good version is rejected, over all steps, routes and observers.
        pub false_rejection_rate: f64,
        /// Number of VMs that run the test, each on its own copy of the evidence. The copies
        /// differ, so each VM gets an equal part of `false_rejection_rate`.
        pub observers: u32,
        /// Interval at which a further test starts with new evidence only, to find late faults.
        pub restart_every: Duration,
        /// Requests on the new version that each route needs before a step to 100%; a lower next
        /// cap needs proportionally fewer.
        pub min_requests: u64,
        /// Test value above which the verdict is not good. At a given moment, a good version
        /// exceeds it with a probability of at most its inverse.
        pub max_good_value: f64,
        /// Excess of the failure rate that must be ruled out before a step to 100%; a lower next
        /// cap allows a proportionally larger one. While a dependency of both versions fails, the
        /// failures that it causes hide those of the new version.
        pub max_excess: f64,
    }

    /// Result of the test.
    pub enum Verdict {
        /// Each route has enough evidence, and none exceeds the limits of a good version.
        Good,
        /// The new version is worse.
        Bad(Reason),
        /// This route lacks evidence or exceeds the limits of a good version.
        Undecided(Route),
    }

    /// Test of one release on one VM.
    ///
    /// Given an event (a failure, or a latency above an edge), the probability that it happened
    /// on the new version follows from the new version's share of the requests and the ratio of
    /// the event rates. The likelihood ratio of a larger rate ratio against the tolerated one is a
    /// nonnegative supermartingale for each version within the tolerance, and so is an average
    /// over event kinds, rate ratios and starting times. By Ville's inequality the probability that
    /// it ever reaches `n / false_rejection_rate` is at most `false_rejection_rate / n`, however
    /// often it is evaluated. With `n` the product of the numbers of steps, routes and observers,
    /// the probability over all of them is at most `false_rejection_rate`.
    pub struct SequentialTest {
        settings: Settings,
        routes: Box<[Route]>,
        steps: usize,
        step: usize,
        starts: Vec<Box<[VersionCounts]>>,
        restart_at: Option<Instant>,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            false_rejection_rate: 0.005,
            observers: 11,
            restart_every: Duration::from_secs(10),
            min_requests: 400,
            max_good_value: 20.0,
            max_excess: 0.02,
        }
    }
}

impl Settings {
    /// Returns the requests on the new version that each route needs before a step to `next`.
    pub fn required_requests(&self, next: Cap) -> u64 {
        (self.min_requests as f64 * next.fraction()).ceil() as u64
    }
}

impl SequentialTest {
    /// Creates the test of a release with this number of evaluated steps and these routes.
    pub fn new(settings: Settings, steps: usize, routes: impl IntoIterator<Item = Route>) -> Self {
        Self {
            settings,
            routes: routes.into_iter().collect(),
            steps: steps.max(1),
            step: usize::MAX,
            starts: Vec::new(),
            restart_at: None,
        }
    }

    /// Returns the verdict on the evidence of `step`, after which the cap becomes `next`.
    pub fn evaluate(
        &mut self,
        now: Instant,
        (step, next): (usize, Cap),
        evidence: &Evidence,
    ) -> Verdict {
        let totals: Box<[VersionCounts]> = self
            .routes
            .iter()
            .map(|route| evidence.total(route, step))
            .collect();
        self.restart(now, step, &totals);
        let tests = self.steps as f64 * self.routes.len().max(1) as f64;
        let limit =
            tests * f64::from(self.settings.observers.max(1)) / self.settings.false_rejection_rate;
        let needed = self.settings.required_requests(next);
        let mut lacking = None;
        for (index, route) in self.routes.iter().enumerate() {
            let (value, kind) = self.value(index, &totals[index]);
            if value >= limit {
                return Verdict::Bad(match kind {
                    0 => Reason::Failures(route.clone()),
                    edge => Reason::Latency(route.clone(), LATENCY_EDGES_MS[edge - 1]),
                });
            }
            let is_good = totals[index].new.requests >= needed
                && value <= self.settings.max_good_value
                && upper_excess(&totals[index]) * next.fraction() <= self.settings.max_excess;
            if !is_good {
                lacking.get_or_insert(route);
            }
        }
        lacking.map_or(Verdict::Good, |route| Verdict::Undecided(route.clone()))
    }

    fn restart(&mut self, now: Instant, step: usize, totals: &[VersionCounts]) {
        if step != self.step {
            // The first start counts all evidence of the step, also that from before this VM
            // learned of the step.
            self.step = step;
            self.starts = vec![vec![VersionCounts::default(); totals.len()].into()];
            self.restart_at = Some(now + self.settings.restart_every);
        } else if self.restart_at.is_some_and(|at| at <= now) {
            self.starts.push(totals.into());
            self.restart_at = Some(now + self.settings.restart_every);
        }
    }

    /// Returns the test value of a route and the event kind that contributes most to it.
    fn value(&self, route: usize, total: &VersionCounts) -> (f64, usize) {
        let mut by_kind = [0.0; KINDS];
        for (index, start) in self.starts.iter().enumerate() {
            // The sum of these weights is below one for any number of starts.
            let weight = 1.0 / ((index + 1) * (index + 2)) as f64;
            add_ratios(&mut by_kind, weight, &total.since(&start[route]));
        }
        let kind = (0..KINDS)
            .max_by(|a, b| by_kind[*a].total_cmp(&by_kind[*b]))
            .unwrap_or(0);
        (by_kind.iter().sum(), kind)
    }
}

/// Returns the measured excess of the new version's failure rate plus its standard error.
fn upper_excess(pair: &VersionCounts) -> f64 {
    let (new, old) = (pair.new.requests as f64, pair.old.requests as f64);
    let (on_new, on_old) = (pair.new.failures as f64, pair.old.failures as f64);
    if new == 0.0 || old == 0.0 {
        return 1.0;
    }
    let rate = (on_new + on_old) / (new + old);
    let error = (rate * (1.0 - rate) * (1.0 / new + 1.0 / old)).sqrt();
    on_new / new - on_old / old + error
}

/// Adds the weighted likelihood ratios of each event kind.
fn add_ratios(by_kind: &mut [f64; KINDS], weight: f64, pair: &VersionCounts) {
    let (new, old) = (pair.new.requests as f64, pair.old.requests as f64);
    if new == 0.0 || old == 0.0 {
        return;
    }
    // One more request on the new version keeps the first few requests from inflating the test
    // value.
    let share = (new + 1.0) / (new + old + 1.0);
    let failures = log_ratios(share, TOLERATED_FAILURE_RATIO);
    let latencies = log_ratios(share, TOLERATED_LATENCY_RATIO);
    let events = counts(&pair.new).into_iter().zip(counts(&pair.old));
    for (kind, (on_new, on_old)) in events.enumerate() {
        let (tolerated, logs, part) = match kind {
            0 => (TOLERATED_FAILURE_RATIO, &failures, FAILURE_WEIGHT),
            _ => (TOLERATED_LATENCY_RATIO, &latencies, LATENCY_WEIGHT),
        };
        // Leaving out the kinds within the tolerance only lowers the test value.
        if on_new * old <= tolerated * on_old * new {
            continue;
        }
        let ratios: f64 = logs
            .iter()
            .map(|(log_new, log_old)| (on_new * log_new + on_old * log_old).exp())
            .sum();
        by_kind[kind] += weight * part * ratios / ALTERNATIVE_RATIOS.len() as f64;
    }
}

/// Returns the log-likelihood ratios of an event on the new and on the old version.
fn log_ratios(share: f64, tolerated: f64) -> [(f64, f64); ALTERNATIVE_RATIOS.len()] {
    let norm = |ratio: f64| (ratio * share + 1.0 - share).ln();
    ALTERNATIVE_RATIOS.map(|ratio| {
        let gain = norm(ratio) - norm(tolerated);
        ((ratio / tolerated).ln() - gain, -gain)
    })
}

/// Returns the number of events of each kind: failures, then latencies above each edge.
fn counts(requests: &RequestCounts) -> [f64; KINDS] {
    let mut counts = [0.0; KINDS];
    let mut above = 0;
    for edge in (0..LATENCY_EDGES_MS.len()).rev() {
        above += requests.latency[edge + 1];
        counts[edge + 1] = above as f64;
    }
    counts[0] = requests.failures as f64;
    counts
}
