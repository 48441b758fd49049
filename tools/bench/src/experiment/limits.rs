//! Rate and burst of a workspace over all VMs, under faults and moving demand.

pub mod checker;
pub mod fleet;
pub mod overlap;

use crate::agenda::Network;
use std::fmt::Write as _;
use std::time::Duration;
use steering::limits::{Allocation, Amount, Settings};

/// How the limit is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Split {
    /// An equal fixed allocation for each VM.
    Even,
    /// Floors, and elastic allocations that follow demand.
    Shares,
}

/// Configuration of one run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Limit of the workspace.
    pub limit: Allocation,
    /// Offered load as a fraction of the rate.
    pub load: f64,
    /// Simulated time.
    pub length: Duration,
    /// Time at the start that isn't counted, because buckets start empty.
    pub warm_up: Duration,
    /// Division of the limit.
    pub split: Split,
    /// Whether holders borrow.
    pub borrow: bool,
    /// How long a request waits for tokens.
    pub wait: Duration,
    /// Interval at which a VM checks its waiting requests.
    pub tick: Duration,
    /// Settings of holders and granter.
    pub settings: Settings,
    /// Loss, jitter and duplication; the delay follows from the data centres.
    pub network: Network,
    /// Drift of the clocks in parts per million, alternately fast and slow.
    pub drift: i64,
    /// Whether VMs are killed and paused, the store fails and data centres are cut off.
    pub faults: bool,
    /// Start and end of a time in which data centre [`fleet::CUT`] is cut off.
    pub cut: Option<(Duration, Duration)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            limit: Allocation::tokens(200, 40),
            load: 0.8,
            length: Duration::from_secs(600),
            warm_up: Duration::from_secs(10),
            split: Split::Shares,
            borrow: true,
            wait: Duration::from_millis(300),
            tick: Duration::from_millis(10),
            settings: Settings {
                floor_units: fleet::VMS as u64,
                ..Settings::default()
            },
            network: Network {
                loss: 0.01,
                ..Network::default()
            },
            drift: 0,
            faults: false,
            cut: None,
        }
    }
}

impl Plan {
    /// The even static split.
    pub fn even(self) -> Self {
        Self {
            split: Split::Even,
            ..self
        }
    }

    /// Shares that follow demand, without borrowing and without waiting.
    pub fn follow(self) -> Self {
        Self {
            borrow: false,
            wait: Duration::ZERO,
            ..self
        }
    }

    /// Shares that follow demand; requests wait for their own VM's refill only.
    pub fn follow_and_wait(self) -> Self {
        Self {
            borrow: false,
            ..self
        }
    }

    /// The run with faults: callers at 5 times the rate, drift, lost, doubled and reordered
    /// messages, kills, pauses, store outages and partitions.
    pub fn faulty(seed: u64) -> Self {
        Self {
            seed,
            load: 5.0,
            length: Duration::from_secs(300),
            network: Network {
                jitter: Duration::from_millis(60),
                loss: 0.05,
                duplication: 0.05,
                ..Network::default()
            },
            drift: 200,
            faults: true,
            ..Self::default()
        }
    }

    /// The run with one data centre cut off for an hour, callers at 5 times the rate.
    pub fn isolated(seed: u64) -> Self {
        Self {
            seed,
            limit: Allocation::tokens(50, 40),
            load: 5.0,
            length: Duration::from_secs(3670),
            tick: Duration::from_millis(50),
            cut: Some((Duration::from_secs(30), Duration::from_secs(3630))),
            ..Self::default()
        }
    }

    /// Runs the plan.
    pub fn run(self) -> Outcome {
        fleet::Fleet::new(self).run()
    }
}

/// Counts of one run, after the warm-up except where stated.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcome {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests that one shared bucket would admit.
    pub shared: u64,
    /// Requests refused although one shared bucket would admit the same request.
    pub refused: u64,
    /// Requests admitted by the data centre that is cut off, while it is.
    pub isolated: u64,
    /// Largest excess over the bound in any window of the whole run, in millionths of a token.
    pub excess: Amount,
    /// Smallest headroom below the bound, in millionths of a token.
    pub min_headroom: Amount,
    /// Kills, pauses, store outages and partitions.
    pub faults: [u32; 4],
}

impl Outcome {
    /// Share of the requests admitted by one shared bucket that was refused.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.shared.max(1) as f64
    }
}

/// Returns the tables of all runs.
pub fn report() -> Box<str> {
    let mut text = String::from(
        "refused of what one shared bucket admits\nload  even  follow  follow+wait  full\n",
    );
    for load in [0.8, 0.95] {
        let plan = Plan {
            load,
            ..Plan::default()
        };
        let arms = [plan.even(), plan.follow(), plan.follow_and_wait(), plan];
        let _ = write!(text, "{:.0}%", load * 100.0);
        for arm in arms {
            let _ = write!(text, "  {:.3}%", arm.run().refused_share() * 100.0);
        }
        text.push('\n');
    }
    text.push_str("faults: seed, kills/pauses/outages/partitions, admitted, excess, least room\n");
    for seed in 1..=4 {
        let outcome = Plan::faulty(seed).run();
        let _ = writeln!(
            text,
            "{seed}  {:?}  {}  {}  {} millionths",
            outcome.faults, outcome.admitted, outcome.excess, outcome.min_headroom
        );
    }
    let plan = Plan::isolated(1);
    let outcome = plan.run();
    let _ = writeln!(
        text,
        "cut off for an hour: {:.2}% of the rate admitted by 2 of 11 VMs, excess {}",
        outcome.isolated as f64 / 3600.0 / (plan.limit.rate as f64 / 1e6) * 100.0,
        outcome.excess
    );
    let _ = writeln!(
        text,
        "excess with and without margin: {}, {}; with and without reserved headroom: {}, {}",
        overlap::margin(Settings::default().margin),
        overlap::margin(Duration::ZERO),
        overlap::headroom(true),
        overlap::headroom(false),
    );
    text.into()
}
