//! Sequential test of the new version against the old one.

use super::{Evidence, Tally};

base::value! {
    /// Sequential probability ratio test of two hypotheses: the new version's share of bad requests
    /// is within the tolerance, or it exceeds it.
    ///
    /// Under both, each server may have a fault of its own, with any share of bad requests. So one
    /// slow server doesn't reject its version, while a fault of the version shows on all its
    /// servers.
    #[derive(Copy)]
    pub struct SequentialTest {
        /// Smallest tolerated bad share, however good the old version is.
        pub min_tolerated: f64,
        /// Largest tolerated bad share. If the old version exceeds it, its failures would hide a
        /// bad new version.
        pub max_tolerated: f64,
        /// Tolerated ratio of the new version's bad share to the old version's.
        pub tolerated_ratio: f64,
        /// Smallest excess of a bad version's bad share over the tolerated one.
        pub min_excess: f64,
        /// Probability that a server has a fault of its own.
        pub server_fault_probability: f64,
        /// Logarithm of the likelihood ratio from which the version is bad.
        pub reject_from: f64,
        /// Logarithm of the likelihood ratio up to which the version is good.
        pub accept_up_to: f64,
        /// The same for the recent evidence alone, which a good version must satisfy, too.
        pub recent_accept_up_to: f64,
        /// Smallest number of finished requests of a good version.
        pub min_requests: u64,
        /// Smallest number of servers for the usual verdict that a version is bad.
        pub min_servers: usize,
        /// Bad requests from which fewer servers suffice if most of their requests are bad. It is
        /// below the 50 bad requests after which a bad version must stop within 5 s.
        pub few_servers_min_bad: u64,
    }

    /// Result of the test.
    #[derive(Copy)]
    pub enum Verdict {
        /// The new version is as good as the old one.
        Good,
        /// The new version is worse.
        Bad,
        /// There is too little evidence.
        Undecided,
    }
}

/// Bad shares of versions that fail most of their requests. The hypothesis of a bad version
/// averages over them and the smallest bad share.
const HIGH_BAD_SHARES: [f64; 2] = [0.5, 0.95];

impl Default for SequentialTest {
    fn default() -> Self {
        Self {
            min_tolerated: 0.03,
            max_tolerated: 0.25,
            tolerated_ratio: 1.25,
            min_excess: 0.15,
            server_fault_probability: 0.03,
            reject_from: 10.0,
            accept_up_to: -0.5,
            recent_accept_up_to: 1.5,
            min_requests: 8,
            min_servers: 3,
            few_servers_min_bad: 40,
        }
    }
}

/// Kinds of bad requests that are compared. Failed and slow requests are also compared by
/// themselves, so that slow servers of the old version don't excuse failures of the new one.
#[derive(Debug, Clone, Copy)]
enum Kind {
    /// All bad requests.
    Bad,
    /// Failures.
    Failed,
    /// Late requests and those without an answer.
    Slow,
}

impl Kind {
    const ALL: [Self; 3] = [Self::Bad, Self::Failed, Self::Slow];

    fn count(self, tally: &Tally) -> u64 {
        match self {
            Self::Bad => tally.bad(),
            Self::Failed => tally.failed,
            Self::Slow => tally.late + tally.unanswered,
        }
    }
}

impl SequentialTest {
    /// Returns the verdict on all evidence and on the recent one.
    pub fn evaluate(&self, evidence: &Evidence, recent: &Evidence) -> Verdict {
        let max_ratio = |evidence: &Evidence| {
            let ratios = Kind::ALL.map(|kind| self.log_ratio(evidence, kind));
            ratios.into_iter().fold(f64::NEG_INFINITY, f64::max)
        };
        let (all, latest) = (max_ratio(evidence), max_ratio(recent));
        let new = evidence.new_total();
        let has_requests = new.finished() >= self.min_requests;
        let has_servers = evidence.new.len() >= self.min_servers;
        let is_bad = match has_servers {
            true => all.max(latest) >= self.reject_from,
            false => new.bad() >= self.few_servers_min_bad && new.bad_share() >= HIGH_BAD_SHARES[0],
        };
        if is_bad {
            Verdict::Bad
        } else if has_requests && all <= self.accept_up_to && latest <= self.recent_accept_up_to {
            Verdict::Good
        } else {
            Verdict::Undecided
        }
    }

    /// Returns the log-likelihood ratio of the new version's outcomes if it is bad against those if
    /// it is good.
    fn log_ratio(&self, evidence: &Evidence, kind: Kind) -> f64 {
        let old = &evidence.old;
        let share = kind.count(old) as f64 / old.finished().max(1) as f64;
        let tolerated =
            (share * self.tolerated_ratio).clamp(self.min_tolerated, self.max_tolerated);
        let bad_shares = [
            tolerated + self.min_excess,
            HIGH_BAD_SHARES[0],
            HIGH_BAD_SHARES[1],
        ];
        let log = |share: f64| -> f64 {
            let tallies = evidence.new.values();
            tallies
                .map(|tally| self.log_likelihood(tally, kind, share))
                .sum()
        };
        let bad = bad_shares
            .map(log)
            .into_iter()
            .fold(f64::NEG_INFINITY, log_add);
        bad - (bad_shares.len() as f64).ln() - log(tolerated)
    }

    /// Returns the log-likelihood of one server's outcomes if the version has this bad share. The
    /// binomial coefficient is left out because it is the same for each share.
    fn log_likelihood(&self, tally: &Tally, kind: Kind, share: f64) -> f64 {
        let count = kind.count(tally);
        let others = tally.finished() - count;
        let (bad, good) = (count as f64, others as f64);
        let healthy = bad * share.ln() + good * (1.0 - share).ln();
        let faulty = log_beta(count, others);
        log_add(
            (1.0 - self.server_fault_probability).ln() + healthy,
            self.server_fault_probability.ln() + faulty,
        )
    }
}

/// Returns the logarithm of the mean of `share^bad * (1 - share)^good` over all shares from 0 to 1,
/// the Beta function of `bad + 1` and `good + 1`.
fn log_beta(bad: u64, good: u64) -> f64 {
    let (smaller, larger) = (bad.min(good), bad.max(good));
    let factors = (1..=smaller).map(|i| (i as f64 / (larger + i) as f64).ln());
    factors.sum::<f64>() - ((bad + good + 1) as f64).ln()
}

/// Returns `ln(exp(a) + exp(b))`.
fn log_add(a: f64, b: f64) -> f64 {
    let max = a.max(b);
    match max.is_finite() {
        true => max + ((a - max).exp() + (b - max).exp()).ln(),
        false => max,
    }
}
