//! Limits of workspaces over all VMs, from reports that arrive late.

use base::id::{Vm, Workspace};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::{Duration, Instant};
use steering::spending::{Coverage, Ledger, Limit, Source, workspace_digest};

const VMS: usize = 11;
/// Time between two reports, and their time on the way.
const PERIOD: u64 = 500;
const DELAY: u64 = 40;
/// Window, overage and slack of the operator's bound.
const WINDOW: u64 = 5_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

struct Fleet {
    vms: Vec<Vm>,
    ledgers: Vec<Ledger>,
    workspace: Workspace,
    start: Instant,
    admitted: Vec<u64>,
    refused: u32,
    /// Share of admitted requests that no server has room for.
    unplaced: f64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            vms: (0..VMS).map(|index| format!("vm-{index}").into()).collect(),
            ledgers: vec![Ledger::default(); VMS],
            workspace: "cooperative".into(),
            start: Instant::now(),
            admitted: Vec::new(),
            refused: 0,
            unplaced: 0.0,
        }
    }

    /// Plays requests at `per_second(ms)`, from callers that change their VM each time; `hears`
    /// says which VMs hear each other.
    fn play(
        &mut self,
        limit: &Limit,
        millis: u64,
        per_second: impl Fn(u64) -> f64,
        hears: impl Fn(usize, usize) -> bool,
        rng: &mut StdRng,
    ) {
        let mut on_the_way: Vec<(u64, usize, steering::spending::Total)> = Vec::new();
        let workspace = self.workspace.clone();
        for ledger in &mut self.ledgers {
            ledger.open(&workspace, self.start);
        }
        for ms in 0..millis {
            let now = self.start + Duration::from_millis(ms);
            for from in 0..VMS {
                if (ms + from as u64 * 37).is_multiple_of(PERIOD) {
                    let totals: Vec<_> = self.ledgers[from].totals().collect();
                    on_the_way.extend(totals.iter().map(|(_, t)| (ms + DELAY, from, *t)));
                }
            }
            let (due, rest) = on_the_way.into_iter().partition(|(at, _, _)| *at <= ms);
            on_the_way = rest;
            let due: Vec<(u64, usize, steering::spending::Total)> = due;
            for (_, from, total) in due {
                for to in (0..VMS).filter(|to| *to != from && hears(from, *to)) {
                    let source = Source {
                        vm: &self.vms[from],
                        incarnation: 1,
                        is_local: false,
                    };
                    self.ledgers[to].record_report(
                        source,
                        workspace_digest(&workspace),
                        total,
                        now,
                    );
                }
            }
            if rng.random::<f64>() < per_second(ms) / 1_000.0 {
                let vm = rng.random_range(0..VMS);
                let reporting = (0..VMS)
                    .filter(|other| *other == vm || hears(*other, vm))
                    .count();
                let coverage = Coverage {
                    members: VMS,
                    reporting,
                };
                match self.ledgers[vm].admit(&workspace, limit, &coverage, now) {
                    Ok(()) if rng.random::<f64>() < self.unplaced => {
                        self.ledgers[vm].refund(&workspace);
                    }
                    Ok(()) => self.admitted.push(ms),
                    Err(_) => self.refused += 1,
                }
            }
        }
    }

    fn most_in_a_window(&self) -> usize {
        let windows = self.admitted.iter().enumerate().map(|(index, begin)| {
            let inside = self.admitted[index..].iter();
            inside.take_while(|at| **at < begin + WINDOW).count()
        });
        windows.max().unwrap_or_default()
    }
}

fn bound(limit: &Limit) -> f64 {
    (limit.rate * WINDOW as f64 / 1_000.0 + limit.burst) * (1.0 + OVERAGE) + SLACK
}

/// Guards against a workspace that gets more than its limit by sending to all VMs at once, and
/// against one that gets less than its rate.
#[rstest]
#[case::small(13.0, 60.0, 1)]
#[case::medium(69.0, 320.0, 2)]
#[case::sudden(69.0, 500.0, 3)]
fn hot_workspace_gets_its_rate_and_no_more(
    #[case] rate: f64,
    #[case] offered: f64,
    #[case] seed: u64,
) {
    let limit = Limit { rate, burst: rate };
    let mut fleet = Fleet::new();
    let usual = rate / 1.6;
    let load = |ms| if ms < 8_000 { usual } else { offered };
    let mut rng = StdRng::seed_from_u64(seed);
    fleet.play(&limit, 20_000, load, |_, _| true, &mut rng);
    let most = fleet.most_in_a_window() as f64;
    assert!(most <= bound(&limit), "{most} of {}", bound(&limit));
    let late = fleet.admitted.iter().filter(|at| **at >= 14_000).count() as f64;
    assert!(late >= 0.9 * rate * 6.0, "{late} in 6 s at {rate} a second");
}

/// Guards against a workspace that pays for requests which no server had room for: of its rate, the
/// share that was refused as overload was lost (scale-2 of permis-parcs: 596 of 822 requests in 5 s).
/// Requests that run still get nine tenths of the rate, and no more than the bound.
#[rstest]
#[case(69.0, 500.0, 1)]
#[case(137.0, 600.0, 2)]
fn requests_that_did_not_run_are_not_charged(
    #[case] rate: f64,
    #[case] offered: f64,
    #[case] seed: u64,
) {
    let limit = Limit { rate, burst: rate };
    let mut fleet = Fleet {
        unplaced: 0.3,
        ..Fleet::new()
    };
    let mut rng = StdRng::seed_from_u64(seed);
    let usual = rate / 1.6;
    let load = |ms| if ms < 8_000 { usual } else { offered };
    fleet.play(&limit, 20_000, load, |_, _| true, &mut rng);
    let most = fleet.most_in_a_window() as f64;
    assert!(most <= bound(&limit), "{most} of {}", bound(&limit));
    let late = fleet.admitted.iter().filter(|at| **at >= 14_000).count() as f64;
    assert!(late >= 0.9 * rate * 6.0, "{late} in 6 s at {rate} a second");
}

/// Guards against refusals of a workspace that stays inside its limit: VMs get uneven parts of
/// its requests by chance.
#[rstest]
#[case(13.0, 1)]
#[case(29.0, 2)]
#[case(137.0, 3)]
fn workspace_inside_its_limit_is_rarely_refused(#[case] rate: f64, #[case] seed: u64) {
    let limit = Limit { rate, burst: rate };
    let mut fleet = Fleet::new();
    let mut rng = StdRng::seed_from_u64(seed);
    fleet.play(&limit, 30_000, |_| rate / 1.6, |_, _| true, &mut rng);
    let asked = fleet.admitted.len() as f64 + f64::from(fleet.refused);
    let refused = f64::from(fleet.refused) / asked;
    // Target of docs/design.md for 95% of the rate; here it is 62%.
    assert!(refused <= 0.02, "refused {refused}");
}

/// Guards against a limit that doubles while VMs are cut into two sides.
#[test]
fn cut_does_not_double_a_limit() {
    let limit = Limit {
        rate: 69.0,
        burst: 69.0,
    };
    let mut fleet = Fleet::new();
    let mut rng = StdRng::seed_from_u64(4);
    let hears = |a: usize, b: usize| (a < 4) == (b < 4);
    fleet.play(&limit, 20_000, |_| 320.0, hears, &mut rng);
    let most = fleet.most_in_a_window() as f64;
    assert!(most <= bound(&limit), "{most} of {}", bound(&limit));
}
