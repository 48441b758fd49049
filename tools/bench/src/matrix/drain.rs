//! Drain of a backend server, which each VM recognises by any one of three signs.

use super::{Fault, Injection, require};
use std::time::{Duration, Instant};
use steering::config::{Mark, Replica};
use steering::drain::LeavingServers;

pub const STEPS: [&str; 4] = ["ask", "mark", "spread", "finish"];

/// Time after the request for a drain from which the server gets no new work.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(3);
/// Server that is drained.
const SERVER: &str = "booking-v1-01";
/// Time between two rounds of gossip and health probes.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

pub fn exclusion_reason(fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::KeyWithdrawn => Some("a drain carries no key"),
        Fault::BadVersion => Some("the version of the server does not matter"),
        Fault::HolderPaused => Some("a drain needs no lease"),
        Fault::CrashingRequest => Some("a server that crashes is gone"),
        _ => None,
    }
}

struct Vm {
    replica: Replica,
    leaving: LeavingServers,
}

impl Vm {
    fn new(now: Instant) -> Self {
        Self {
            replica: Replica::new([], now),
            leaving: LeavingServers::default(),
        }
    }

    fn may_start(&self) -> bool {
        let drained = self.replica.marks.contains(&Mark::Drained(SERVER.into()));
        !drained && self.leaving.may_start(SERVER)
    }
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let start = Instant::now();
    let mut vms = [(); 3].map(|()| Vm::new(start));
    let (mut requested_at, mut in_flight) = (None, 2_u32);
    let rounds = 16;
    for round in 0..rounds {
        let now = start + GOSSIP_INTERVAL * round;
        // Each of the first rounds is one step; faults last for three more rounds.
        let step = usize::try_from(round).unwrap_or(0);
        if injection.process_dies(step) {
            vms[0] = Vm::new(now);
        }
        let ongoing = step >= injection.step && step < injection.step + 4;
        let partitioned = ongoing && injection.faults.contains(&Fault::Partition);
        let no_health = ongoing
            && (injection.faults.contains(&Fault::MeasurementsStop)
                || injection.faults.contains(&Fault::SilentConnection));
        // The operator repeats an unconfirmed call; a second operator may call too.
        if step >= 1 && !vms[0].replica.marks.contains(&Mark::Drained(SERVER.into())) {
            vms[0].replica.marks.add(Mark::Drained(SERVER.into()));
            requested_at = requested_at.or(Some(now));
        }
        if injection.occurs_at(step, Fault::OperatorRace) {
            vms[1].replica.marks.add(Mark::Drained(SERVER.into()));
            requested_at = requested_at.or(Some(now));
        }
        gossip(&mut vms, partitioned);
        if requested_at.is_some() && !no_health {
            // The server reports in its health answer that it leaves, which works without gossip.
            for vm in &mut vms {
                vm.leaving.record_health(SERVER, 1, now, now, true);
            }
        }
        if step >= 3 {
            in_flight = in_flight.saturating_sub(1);
        }
        if requested_at.is_some_and(|requested_at| now >= requested_at + MAX_SPREAD_TIME) {
            let none = vms.iter().all(|vm| !vm.may_start());
            require(none, "a leaving server gets no new work after 3 s")?;
        }
    }
    require(
        requested_at.is_some() && in_flight == 0,
        "the drain finishes and cuts no request",
    )
}

fn gossip(vms: &mut [Vm; 3], partitioned: bool) {
    let pairs: &[(usize, usize)] = if partitioned {
        &[(0, 1)]
    } else {
        &[(0, 1), (0, 2), (1, 2)]
    };
    for (one, two) in pairs {
        for (from, to) in [(*one, *two), (*two, *one)] {
            let delta = vms[from].replica.delta_for(&vms[to].replica.digest());
            vms[to].replica.apply("peer", delta);
        }
    }
}
