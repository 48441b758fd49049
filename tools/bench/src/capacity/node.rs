//! Membership and the evidence of releases.

use super::{Point, Slope, wire_size};
use std::time::{Duration, Instant};
use steering::membership::{Identity, ListedVm, Settings, View};
use steering::release::{Evidence, Side};

/// VMs of one data centre; 38 is the average of 5,400 VMs in 144 data centres.
const MEMBERS: [usize; 3] = [10, 20, 38];

/// Data centres of the fleet.
const DATA_CENTRES: usize = 144;

/// VMs whose evidence one message holds.
const INCARNATIONS: [usize; 3] = [10, 20, 40];

/// Routes and steps of a release.
const ROUTES: usize = 4;
const STEPS: usize = 5;

/// Rounds per measurement; the first ones name new VMs and are left out.
const ROUNDS: usize = 60;
const WARM_UP: usize = 20;

pub fn measure() -> Vec<Slope> {
    [heartbeats(), evidence()].concat()
}

fn heartbeats() -> Vec<Slope> {
    let (mut bytes, mut micros) = (Vec::new(), Vec::new());
    for members in MEMBERS {
        let start = Instant::now();
        let mut views = views(members, start);
        let (mut sent, mut seconds, mut messages) = (0.0, 0.0, 0);
        for round in 0..ROUNDS {
            let now = start + Duration::from_secs(round as u64);
            for from in 0..members {
                let to = (from + 1 + round % (members - 1)) % members;
                let begin = Instant::now();
                let pulse = views[from].next_batch(&[]);
                views[to].record_batch(&pulse, now);
                if round >= WARM_UP {
                    seconds += begin.elapsed().as_secs_f64();
                    sent += wire_size(&pulse);
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
    let slope = |what, points| Slope {
        what,
        per: "VM of the data centre",
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
        .chain((1..DATA_CENTRES).map(|centre| listed(0, centre)))
        .collect();
    let view = |vm: usize| {
        let ListedVm {
            vm: name,
            data_centre,
            region,
            ..
        } = list[vm].clone();
        let place = Identity {
            vm: name,
            data_centre,
            region,
            incarnation: vm as u64 + 1,
        };
        let mut view = View::new(place, Settings::default());
        view.apply_list(&list, now);
        view
    };
    (0..members).map(view).collect()
}

fn evidence() -> Vec<Slope> {
    let (mut bytes, mut micros) = (Vec::new(), Vec::new());
    for incarnations in INCARNATIONS {
        let mut evidence = Evidence::default();
        for n in 0..incarnations * ROUTES * STEPS {
            let at = (1 + (n % incarnations) as u64, n / incarnations % STEPS);
            let route = format!("route-{}", n / incarnations / STEPS);
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
    let slope = |what, points| Slope {
        what,
        per: "VM, at 4 routes and 5 steps",
        points,
    };
    vec![
        slope("evidence of a release, bytes", bytes),
        slope("merge of evidence, us", micros),
    ]
}
