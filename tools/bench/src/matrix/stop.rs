//! Planned stop of a VM.

use super::{Fault, Injection, require};
use std::time::{Duration, Instant};
use steering::drain::{Stop, StopTimes};

pub const STEPS: [&str; 4] = ["withdraw", "wait-for-caches", "refuse", "finish"];

pub fn excludes(fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::ProcessDies | Fault::VmDies | Fault::DataCentreDies | Fault::RegionDies => {
            Some("a process that dies ends its planned stop")
        }
        Fault::KeyWithdrawn | Fault::BadVersion => Some("a stop carries neither key nor version"),
        Fault::OperatorRace => Some("a second stop of the same VM is the same stop"),
        Fault::MeasurementsStop => Some("a stop follows no measurement"),
        Fault::AnswerLost => Some("a stop writes nothing to the store"),
        Fault::CrashingRequest => Some("a request that ends, ends the wait for it as well"),
        _ => None,
    }
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let times = StopTimes::default();
    let begin = Instant::now();
    let mut now = begin;
    let mut stop = Stop::begin(now, times);
    // Without contact to the other VMs nobody confirms; the stop then waits for the spread time.
    let reachable = !injection.at(0, Fault::Partition) && !injection.no_store(0);
    let cached = loop {
        now += pause(0, injection);
        match stop.withdrawn(now, reachable) {
            Ok(next) => break next,
            Err(same) => stop = same,
        }
    };
    let spread = now;
    require(
        reachable || now >= begin + times.propagation,
        "unconfirmed look-ups get time to change",
    )?;
    let mut cached = cached;
    let refusing = loop {
        now += pause(1, injection);
        match cached.refuse(now) {
            Ok(next) => break next,
            Err(same) => cached = same,
        }
    };
    require(
        now >= spread + times.cache_ttl,
        "connections are accepted while callers may cache",
    )?;
    let refused = now;
    // One request is silent until its deadline if its connection went silent.
    let silent = (2..4).any(|step| injection.at(step, Fault::SilentConnection));
    let ends = refused
        + if silent {
            times.max_request
        } else {
            Duration::from_secs(2)
        };
    let mut refusing = refusing;
    loop {
        now += pause(2, injection) + pause(3, injection);
        let in_flight = u32::from(now < ends);
        match refusing.finish(now, in_flight) {
            Ok(_) => {
                let deadline = refused + times.max_request;
                return require(in_flight == 0 || now >= deadline, "a stop cuts no request");
            }
            Err(same) => refusing = same,
        }
    }
}

/// Time between two looks at a step; a paused process looks late.
fn pause(step: usize, injection: &Injection) -> Duration {
    if injection.at(step, Fault::HolderPaused) {
        Duration::from_secs(20)
    } else {
        Duration::from_millis(250)
    }
}
