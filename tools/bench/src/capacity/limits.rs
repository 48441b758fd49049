//! Cost of workspaces, keys and the allocations of their limits.

use super::{Point, Slope, memory, wire_size};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::hint::black_box;
use std::time::{Duration, Instant};
use steering::keys::{Key, Pepper, Ring, Withdrawn};
use steering::limits::{Allocation, Granter, Holder, Identity, Settings, TOKEN};

/// Numbers of workspaces on one VM.
const WORKSPACE_COUNTS: [usize; 3] = [20_000, 40_000, 80_000];

/// Numbers of holders of one workspace's limit.
const HOLDER_COUNTS: [usize; 3] = [10, 20, 40];

/// Numbers of keys.
const KEY_COUNTS: [usize; 3] = [10_000, 20_000, 40_000];

/// Operations per measurement.
const OPERATION_COUNT: usize = 100_000;

fn identity(n: usize, incarnation: u64) -> Identity {
    let (workspace, vm) = (
        format!("workspace-{n}").into(),
        format!("vm-{incarnation}").into(),
    );
    Identity {
        workspace,
        vm,
        incarnation,
    }
}

pub fn measure_holders() -> Vec<Slope> {
    let now = Instant::now();
    let (mut bytes, mut nanos) = (Vec::new(), Vec::new());
    let mut all = Vec::new();
    let mut resident = 0.0;
    for size in WORKSPACE_COUNTS {
        let (_, grown) = memory::growth(|| {
            for n in all.len()..size {
                let mut holder = Holder::new(Settings::default(), identity(n, 1), now);
                holder.set_floor(Allocation::tokens(1_000_000, 1_000_000), 1, now);
                all.push(holder);
            }
        });
        resident += grown;
        bytes.push(Point {
            size,
            value: resident / 1e3,
        });
        nanos.push(Point {
            size,
            value: spend_nanos(&mut all, now + Duration::from_secs(60)),
        });
    }
    vec![
        Slope {
            quantity: "holder of shares, resident KB",
            unit: "workspace",
            points: bytes,
        },
        Slope {
            quantity: "offer and spend of one token, ns",
            unit: "workspace",
            points: nanos,
        },
    ]
}

fn spend_nanos(holders: &mut [Holder], now: Instant) -> f64 {
    let begin = Instant::now();
    for n in 0..OPERATION_COUNT {
        let index = n * 7_919 % holders.len();
        holders[index].record_demand(TOKEN, now);
        black_box(holders[index].spend(TOKEN, now));
    }
    begin.elapsed().as_secs_f64() * 1e9 / OPERATION_COUNT as f64
}

pub fn measure_granter() -> Vec<Slope> {
    let settings = Settings::default();
    let (mut micros, mut bytes) = (Vec::new(), Vec::new());
    for size in HOLDER_COUNTS {
        let mut now = Instant::now();
        let limit = Allocation::tokens(10_000, 10_000);
        let until = now + Duration::from_secs(3_600);
        let mut granter = Granter::new(settings, limit, 1, until, now);
        let mut holders: Vec<Holder> = (0..size)
            .map(|n| Holder::new(settings, identity(0, n as u64), now))
            .collect();
        let (mut seconds, mut renewals, mut sent) = (0.0, 0, 0.0);
        for _ in 0..200 {
            now += settings.term / 2;
            for holder in &mut holders {
                holder.record_demand(TOKEN, now);
                let Some(renew) = holder.renew(now) else {
                    continue;
                };
                sent += wire_size(&renew);
                let begin = Instant::now();
                let grant = granter.renew(&renew, now);
                seconds += begin.elapsed().as_secs_f64();
                renewals += 1;
                if let Some(grant) = grant {
                    sent += wire_size(&grant);
                    holder.apply_grant(&grant, now);
                }
            }
        }
        let count = f64::from(renewals.max(1));
        micros.push(Point {
            size,
            value: seconds * 1e6 / count,
        });
        bytes.push(Point {
            size,
            value: sent / count,
        });
    }
    vec![
        Slope {
            quantity: "renewal at the granter, us",
            unit: "holder",
            points: micros,
        },
        Slope {
            quantity: "renewal and grant, bytes",
            unit: "holder",
            points: bytes,
        },
    ]
}

pub fn measure_keys() -> Vec<Slope> {
    let pepper = Pepper::derive("capacity-measurement");
    let mut rng = StdRng::seed_from_u64(1);
    let withdrawn = Withdrawn::default();
    let (mut bytes, mut nanos) = (Vec::new(), Vec::new());
    let (mut ring, mut keys, mut resident) = (Ring::default(), Vec::new(), 0.0);
    for size in KEY_COUNTS {
        let fresh: Vec<Key> = (keys.len()..size)
            .map(|_| Key::generate(&mut rng))
            .collect();
        let (_, grown) = memory::growth(|| {
            for (n, key) in fresh.iter().enumerate() {
                ring.issue(format!("workspace-{}", n % 1_000), key.digest(&pepper));
            }
        });
        keys.extend(fresh);
        resident += grown;
        bytes.push(Point {
            size,
            value: resident / 1e3,
        });
        let begin = Instant::now();
        for n in 0..OPERATION_COUNT {
            let digest = keys[n * 7_919 % keys.len()].digest(&pepper);
            let _ = black_box(ring.authorise(&digest, &withdrawn, 0));
        }
        let value = begin.elapsed().as_secs_f64() * 1e9 / OPERATION_COUNT as f64;
        nanos.push(Point { size, value });
    }
    vec![
        Slope {
            quantity: "key ring, resident KB",
            unit: "key",
            points: bytes,
        },
        Slope {
            quantity: "digest and authorisation of a key, ns",
            unit: "key",
            points: nanos,
        },
    ]
}
