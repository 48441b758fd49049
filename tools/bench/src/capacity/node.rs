//! Cost of membership heartbeats and of the evidence of releases.

use super::{Point, Slope, wire_size};
use std::time::{Duration, Instant};
use steering::membership::{Identity, ListedVm, Settings, View};
use steering::release::{Evidence, Side};

/// Numbers of VMs in one data centre; 38 is the average of 5,400 VMs in 144 data centres.
const MEMBER_COUNTS: [usize; 3] = [10, 20, 38];

/// Number of data centres in the fleet.
const DATA_CENTRE_COUNT: usize = 144;

/// Numbers of VMs whose evidence one message holds.
const INCARNATION_COUNTS: [usize; 3] = [10, 20, 40];

/// Number of routes of a release.
const ROUTE_COUNT: usize = 4;
/// Number of steps of a release.
const STEP_COUNT: usize = 5;

/// Rounds per measurement.
const ROUND_COUNT: usize = 60;
/// Rounds at the start that are not measured, because their messages introduce new VMs.
const WARM_UP_ROUNDS: usize = 20;

pub fn measure() -> Vec<Slope> {
    [heartbeats(), evidence()].concat()
}

fn heartbeats() -> Vec<Slope> {
    let (mut bytes, mut micros) = (Vec::new(), Vec::new());
    for members in MEMBER_COUNTS {
        let start = Instant::now();
        let mut views = views(members, start);
        let (mut sent, mut seconds, mut messages) = (0.0, 0.0, 0);
        for round in 0..ROUND_COUNT {
            let now = start + Duration::from_secs(round as u64);
            for from in 0..members {
                let to = (from + 1 + round % (members - 1)) % members;
                let begin = Instant::now();
                let batch = views[from].next_batch(&[]);
                views[to].record_batch(&batch, now);
                if round >= WARM_UP_ROUNDS {
                    seconds += begin.elapsed().as_secs_f64();
                    sent += wire_size(&batch);
                    messages += 1;
                }
            }
        }
        let count = f64::from(messages.max(1));
        bytes.push(Point {
            size: members,
            value: sent / count,
        });
        micros.push(Point {
            size: members,
            value: seconds * 1e6 / count,
        });
    }
    let slope = |quantity, points| Slope {
        quantity,
        unit: "VM of the data centre",
        points,
    };
    vec![
        slope("heartbeat message, bytes", bytes),
        slope("heartbeat message, us", micros),
    ]
}

fn views(members: usize, now: Instant) -> Vec<View> {
    let listed = |vm: usize, centre: usize| ListedVm {
        vm: format!("vm-{centre}-{vm}").into(),
        data_centre: format!("dc-{centre}").into(),
        region: format!("region-{}", centre / 3).into(),
        leaving: false,
    };
    let own = (0..members).map(|vm| listed(vm, 0));
    let list: Vec<ListedVm> = own
        .chain((1..DATA_CENTRE_COUNT).map(|centre| listed(0, centre)))
        .collect();
    let view = |vm: usize| {
        let ListedVm {
            vm: name,
            data_centre,
            region,
            ..
        } = list[vm].clone();
        let identity = Identity {
            vm: name,
            data_centre,
            region,
            incarnation: vm as u64 + 1,
        };
        let mut view = View::new(identity, Settings::default());
        view.apply_list(&list, now);
        view
    };
    (0..members).map(view).collect()
}

fn evidence() -> Vec<Slope> {
    let (mut bytes, mut micros) = (Vec::new(), Vec::new());
    for incarnations in INCARNATION_COUNTS {
        let mut evidence = Evidence::default();
        for n in 0..incarnations * ROUTE_COUNT * STEP_COUNT {
            let at = (1 + (n % incarnations) as u64, n / incarnations % STEP_COUNT);
            let route = format!("route-{}", n / incarnations / STEP_COUNT);
            for side in [Side::Old, Side::New] {
                evidence.record(
                    at,
                    &route,
                    side,
                    false,
                    Duration::from_millis(n as u64 % 100),
                );
            }
        }
        let mut other = Evidence::default();
        let begin = Instant::now();
        other.merge(&evidence);
        micros.push(Point {
            size: incarnations,
            value: begin.elapsed().as_secs_f64() * 1e6,
        });
        bytes.push(Point {
            size: incarnations,
            value: wire_size(&evidence),
        });
    }
    let slope = |quantity, points| Slope {
        quantity,
        unit: "VM, at 4 routes and 5 steps",
        points,
    };
    vec![
        slope("evidence of a release, bytes", bytes),
        slope("merge of evidence, us", micros),
    ]
}
