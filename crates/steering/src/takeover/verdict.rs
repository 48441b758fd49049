//! Sequential test of the new version against the old one.

use super::{Evidence, Tally};

base::value! {
    /// Test of the hypothesis that the new version fails no more than is tolerated, against the one
    /// that it fails more (a sequential probability ratio test).
    ///
    /// Under both, each server may be faulty by itself, with any share of bad requests: one slow
    /// server does not condemn its version, while a fault of the version shows on all its servers.
    #[derive(Copy)]
    pub struct SequentialTest {
        /// Least bad share that is tolerated, whatever the old version does.
        pub least: f64,
        /// Largest bad share that is tolerated. While the old version fails more, the conditions
        /// would hide a bad version.
        pub most: f64,
        /// Ratio of the old version's bad share that is tolerated.
        pub ratio: f64,
        /// Least bad share of a bad version beyond the tolerated one.
        pub excess: f64,
        /// Probability that a server is faulty by itself.
        pub faulty: f64,
        /// Logarithm of the likelihood ratio from which the version is bad.
        pub reject: f64,
        /// The same up to which the version is good.
        pub accept: f64,
        /// The same up to which the latest evidence does not speak against a good version.
        pub doubt: f64,
        /// Least ended requests of a good version.
        pub needed: u64,
        /// Least servers on which the verdict of a bad version rests.
        pub servers: usize,
        /// Bad requests from which fewer servers suffice, if they fail most requests: fewer than the
        /// 50 after which the sites allow a bad version 5 s more.
        pub most_bad: u64,
    }

    /// What the evidence says.
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

/// Bad shares of versions that fail most of their requests, beside the least one of a bad version.
const BAD_SHARES: [f64; 2] = [0.5, 0.95];

impl Default for SequentialTest {
    fn default() -> Self {
        Self {
            least: 0.03,
            most: 0.25,
            ratio: 1.25,
            excess: 0.15,
            faulty: 0.03,
            reject: 10.0,
            accept: -0.5,
            doubt: 1.5,
            needed: 8,
            servers: 3,
            most_bad: 40,
        }
    }
}

/// Requests that are compared. Each kind is compared alone, too: slow servers of the old version must
/// not excuse failures of the new one.
#[derive(Debug, Clone, Copy)]
enum Kind {
    /// All that speak against a version.
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
    /// Judges all evidence and that of the last seconds.
    pub fn evaluate(&self, evidence: &Evidence, recent: &Evidence) -> Verdict {
        let most = |evidence: &Evidence| {
            let ratios = Kind::ALL.map(|kind| self.log_ratio(evidence, kind));
            ratios.into_iter().fold(f64::NEG_INFINITY, f64::max)
        };
        let (all, latest) = (most(evidence), most(recent));
        let new = evidence.new_total();
        let is_enough = new.finished() >= self.needed;
        let is_broad = evidence.new.len() >= self.servers;
        let is_bad = match is_broad {
            true => all.max(latest) >= self.reject,
            false => new.bad() >= self.most_bad && new.bad_share() >= BAD_SHARES[0],
        };
        if is_bad {
            Verdict::Bad
        } else if is_enough && all <= self.accept && latest <= self.doubt {
            Verdict::Good
        } else {
            Verdict::Undecided
        }
    }

    /// Returns the logarithm of the likelihood of the new version's ends if it is bad, over the one
    /// if it is good.
    fn log_ratio(&self, evidence: &Evidence, kind: Kind) -> f64 {
        let old = &evidence.old;
        let share = kind.count(old) as f64 / old.finished().max(1) as f64;
        let good = (share * self.ratio).clamp(self.least, self.most);
        let shares = [good + self.excess, BAD_SHARES[0], BAD_SHARES[1]];
        let log = |share: f64| -> f64 {
            let tallies = evidence.new.values();
            tallies
                .map(|tally| self.log_likelihood(tally, kind, share))
                .sum()
        };
        let bad = shares.map(log).into_iter().fold(f64::NEG_INFINITY, log_add);
        bad - (shares.len() as f64).ln() - log(good)
    }

    /// Returns the logarithm of the likelihood of one server's ends if the version has this bad
    /// share, without the number of their orders, which is the same for each share.
    fn log_likelihood(&self, tally: &Tally, kind: Kind, share: f64) -> f64 {
        let count = kind.count(tally);
        let others = tally.finished() - count;
        let (bad, good) = (count as f64, others as f64);
        let of_version = bad * share.ln() + good * (1.0 - share).ln();
        let of_server = log_uniform(count, others);
        log_add(
            (1.0 - self.faulty).ln() + of_version,
            self.faulty.ln() + of_server,
        )
    }
}

/// Returns the logarithm of the mean of `share^bad * (1 - share)^good` over all shares from 0 to 1,
/// the Beta function of `bad + 1` and `good + 1`.
fn log_uniform(bad: u64, good: u64) -> f64 {
    let (least, most) = (bad.min(good), bad.max(good));
    let orders = (1..=least).map(|i| (i as f64 / (most + i) as f64).ln());
    orders.sum::<f64>() - ((bad + good + 1) as f64).ln()
}

/// Returns the logarithm of the sum of two numbers that are given by their logarithms.
fn log_add(a: f64, b: f64) -> f64 {
    let most = a.max(b);
    match most.is_finite() {
        true => most + ((a - most).exp() + (b - most).exp()).ln(),
        false => most,
    }
}
