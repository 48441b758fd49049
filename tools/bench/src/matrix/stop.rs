//! Planned stop of a VM.

use super::{Fault, Injection, require};
use std::time::{Duration, Instant};
use steering::drain::{Stop, StopTimes};

pub const STEPS: [&str; 4] = ["withdraw", "wait-for-caches", "refuse", "finish"];

pub fn exclusion_reason(fault: Fault) -> Option<&'static str> {
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
    // If the other VMs can't be reached, nothing confirms the withdrawal, and the stop waits for
    // the propagation time.
    let reachable = !injection.occurs_at(0, Fault::Partition) && !injection.store_unreachable(0);
    let cached = loop {
        now += poll_delay(0, injection);
        match stop.withdrawn(now, reachable) {
            Ok(next) => break next,
            Err(same) => stop = same,
        }
    };
    let withdrawn_at = now;
    require(
        reachable || now >= begin + times.propagation,
        "unconfirmed look-ups get time to change",
    )?;
    let mut cached = cached;
    let refusing = loop {
        now += poll_delay(1, injection);
        match cached.refuse(now) {
            Ok(next) => break next,
            Err(same) => cached = same,
        }
    };
    require(
        now >= withdrawn_at + times.cache_ttl,
        "connections are accepted while callers may cache",
    )?;
    let refusing_since = now;
    // A request on a silent connection stays in flight until its deadline.
    let silent = (2..4).any(|step| injection.occurs_at(step, Fault::SilentConnection));
    let last_answer_at = refusing_since
        + if silent {
            times.max_request
        } else {
            Duration::from_secs(2)
        };
    let mut refusing = refusing;
    loop {
        now += poll_delay(2, injection) + poll_delay(3, injection);
        let in_flight = u32::from(now < last_answer_at);
        match refusing.finish(now, in_flight) {
            Ok(_) => {
                let deadline = refusing_since + times.max_request;
                return require(in_flight == 0 || now >= deadline, "a stop cuts no request");
            }
            Err(same) => refusing = same,
        }
    }
}

/// Time between two polls of a step; longer for a paused process.
fn poll_delay(step: usize, injection: &Injection) -> Duration {
    if injection.occurs_at(step, Fault::HolderPaused) {
        Duration::from_secs(20)
    } else {
        Duration::from_millis(250)
    }
}
