//! Drain of a backend server, recognised by any of three signs on each VM.

use super::{Fault, Injection, require};
use std::time::{Duration, Instant};
use steering::config::{Mark, Replica};
use steering::drain::LeavingServers;

pub const STEPS: [&str; 4] = ["ask", "mark", "spread", "finish"];

/// Time after which a leaving server gets no new work.
const TARGET: Duration = Duration::from_secs(3);
const SERVER: &str = "booking-v1-01";
/// Period of gossip and of health probes.
const PERIOD: Duration = Duration::from_millis(500);

pub fn excludes(fault: Fault) -> Option<&'static str> {
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
    let (mut asked, mut in_flight) = (None, 2_u32);
    let periods = 16;
    for period in 0..periods {
        let now = start + PERIOD * period;
        // One step per period, then the faults stay for three more periods before they end.
        let step = usize::try_from(period).unwrap_or(0);
        if injection.dies(step) {
            vms[0] = Vm::new(now);
        }
        let ongoing = step >= injection.step && step < injection.step + 4;
        let cut = ongoing && injection.faults.contains(&Fault::Partition);
        let blind = ongoing
            && (injection.faults.contains(&Fault::MeasurementsStop)
                || injection.faults.contains(&Fault::SilentConnection));
        // An operator whose call was not confirmed asks again; a second operator may ask too.
        if step >= 1 && !vms[0].replica.marks.contains(&Mark::Drained(SERVER.into())) {
            vms[0].replica.marks.add(Mark::Drained(SERVER.into()));
            asked = asked.or(Some(now));
        }
        if injection.at(step, Fault::OperatorRace) {
            vms[1].replica.marks.add(Mark::Drained(SERVER.into()));
            asked = asked.or(Some(now));
        }
        gossip(&mut vms, cut);
        if asked.is_some() && !blind {
            // The server says in its health answer that it leaves, also where gossip is cut off.
            for vm in &mut vms {
                vm.leaving.record_health(SERVER, 1, now, now, true);
            }
        }
        if step >= 3 {
            in_flight = in_flight.saturating_sub(1);
        }
        if asked.is_some_and(|asked| now >= asked + TARGET) {
            let none = vms.iter().all(|vm| !vm.may_start());
            require(none, "a leaving server gets no new work after 3 s")?;
        }
    }
    require(
        asked.is_some() && in_flight == 0,
        "the drain finishes and cuts no request",
    )
}

fn gossip(vms: &mut [Vm; 3], cut: bool) {
    let pairs: &[(usize, usize)] = if cut {
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
