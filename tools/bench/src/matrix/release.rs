//! Steps of a release by its owner, with a second VM that may take the release over.

use super::{Fault, Injection, require};
use base::clock::Millis;
use steering::release::{
    Cap, DecisionInput, HaltSet, Load, OwnedRelease, PendingWrite, Plan, Planned, Put, Reason,
    Record, RowReply, SOAK_MILLIS, State, Verdict, WriteOutcome,
};

pub const STEPS: [&str; 4] = ["judge", "write", "read-answer", "apply"];

/// Time between two steps of the run; longer than the soak time.
const STEP_INTERVAL: Millis = 120_000;
/// Deadline of the release.
const FINISH_BY: Millis = 40 * STEP_INTERVAL;

pub fn exclusion_reason(fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::KeyWithdrawn => Some("a release step carries no key"),
        _ => None,
    }
}

/// The row `release/r1` and the states that it went through.
struct Table {
    version: u64,
    operation: Box<str>,
    record: Record,
    history: Vec<State>,
}

impl Table {
    fn write(&mut self, put: &Put) {
        if put.expected == self.version {
            self.version += 1;
            self.operation = put.operation.clone();
            self.record = put.record.clone();
            self.history.push(put.record.state.clone());
        }
    }

    fn answer(&self) -> RowReply {
        RowReply::Row(self.version, self.operation.clone())
    }
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let mut table = Table {
        version: 1,
        operation: "planned".into(),
        record: record()?,
        history: Vec::new(),
    };
    let mut halt = HaltSet::default();
    let mut now = 0;
    let mut owner = acquire(&mut table, 1, now).ok_or("the first owner takes the release")?;
    let mut writes = 0;
    while now < 2 * FINISH_BY {
        now += STEP_INTERVAL;
        let ended = matches!(table.record.state, State::Complete | State::RolledBack(_));
        if ended {
            break;
        }
        // The faults occur at the second write, by which the release enters its second step.
        let injected = writes == 2;
        let hit = |step, fault| injected && injection.occurs_at(step, fault);
        let bad = injection.faults.contains(&Fault::BadVersion) && writes >= 2;
        if bad {
            halt.add(&table.record.id, &Reason::Failures("book".into()));
        }
        let no_measurements = hit(0, Fault::MeasurementsStop);
        let pending = match decide(owner, now, &halt, writes, no_measurements) {
            Decision::Write(pending) => pending,
            Decision::Wait(waiting) => {
                owner = waiting;
                writes += usize::from(injected);
                continue;
            }
            Decision::Ended => break,
        };
        writes += 1;
        let raced =
            (1..=2).any(|step| hit(step, Fault::OperatorRace) || hit(step, Fault::HolderPaused));
        let dies = injected && (0..4).any(|step| injection.process_dies(step));
        if raced || (dies && injection.step <= 1) {
            // Another VM takes over before the write of the paused or dead owner arrives.
            now += STEP_INTERVAL;
            owner = acquire(&mut table, 2, now).ok_or("another owner takes over")?;
            table.write(pending.put());
            let late = pending.resolve(&table.answer());
            require(
                matches!(late, WriteOutcome::Superseded),
                "a former owner's write has no effect",
            )?;
            continue;
        }
        owner = write_until_known(&mut table, pending, hit, now)?;
        if dies {
            now += STEP_INTERVAL;
            owner = acquire(&mut table, 2, now).ok_or("another owner takes over")?;
        }
    }
    check_invariants(&table, &halt, injection)
}

/// Repeats a write until its outcome is known.
fn write_until_known(
    table: &mut Table,
    mut pending: PendingWrite,
    hit: impl Fn(usize, Fault) -> bool,
    now: Millis,
) -> Result<OwnedRelease, Box<str>> {
    let down = hit(1, Fault::StoreDown) || hit(1, Fault::Partition);
    let lost = [1, 2].iter().any(|step| {
        hit(*step, Fault::StoreSlow)
            || hit(*step, Fault::AnswerLost)
            || hit(*step, Fault::StoreDown)
    });
    for attempt in 0..4 {
        if !(down && attempt == 0) {
            table.write(pending.put());
        }
        let unknown = attempt == 0 && (down || lost);
        let answer = if unknown {
            RowReply::Unknown
        } else {
            table.answer()
        };
        match pending.resolve(&answer) {
            WriteOutcome::Applied(owned) => return Ok(owned),
            WriteOutcome::Retry(same) => pending = same,
            WriteOutcome::Superseded => {
                return acquire(table, 3, now + STEP_INTERVAL).ok_or("a new owner".into());
            }
        }
    }
    Err("the outcome of a write is settled once the store answers".into())
}

/// Next action of an owner.
enum Decision {
    Write(PendingWrite),
    Wait(OwnedRelease),
    Ended,
}

/// Returns the owner's next action.
fn decide(
    owner: OwnedRelease,
    now: Millis,
    halt: &HaltSet,
    writes: usize,
    no_measurements: bool,
) -> Decision {
    let operation: Box<str> = format!("write-{writes}-{now}").into();
    let verdict = if no_measurements {
        Verdict::Undecided("no measurements".into())
    } else {
        Verdict::Good
    };
    let load = Load {
        measured: 10.0,
        expected: 10.0,
    };
    match owner {
        OwnedRelease::Planned(plan) => start(plan, now, halt, operation),
        OwnedRelease::Stepping(plan) => {
            let input = DecisionInput {
                now,
                verdict: &verdict,
                halt,
                load,
                confirmed: true,
            };
            match plan.decide(&input, operation) {
                steering::release::Decision::Write(pending) => Decision::Write(pending),
                steering::release::Decision::Wait(plan, _) => {
                    Decision::Wait(OwnedRelease::Stepping(plan))
                }
            }
        }
        OwnedRelease::Ended(_) => Decision::Ended,
    }
}

fn start(plan: Plan<Planned>, now: Millis, halt: &HaltSet, operation: Box<str>) -> Decision {
    match plan.start(now, halt, operation) {
        steering::release::Decision::Write(pending) => Decision::Write(pending),
        steering::release::Decision::Wait(plan, _) => Decision::Wait(OwnedRelease::Planned(plan)),
    }
}

/// Acquires the release for an incarnation once the former owner's lease has expired.
fn acquire(table: &mut Table, owner: u64, now: Millis) -> Option<OwnedRelease> {
    let at = now.max(table.record.leased_until);
    let operation = format!("take-{owner}-{at}").into();
    let pending = table
        .record
        .clone()
        .acquire(table.version, owner, at, operation);
    table.write(pending.put());
    match pending.resolve(&table.answer()) {
        WriteOutcome::Applied(owned) => Some(owned),
        _ => None,
    }
}

fn record() -> Result<Record, Box<str>> {
    let record = Record {
        id: "r1".into(),
        service: "booking".into(),
        old: "v1".into(),
        new: "v2".into(),
        start: 0,
        finish_by: FINISH_BY,
        soak: SOAK_MILLIS,
        steps: [1, 5, 25, 50, 100].map(Cap::from_percent).into(),
        owner: 0,
        leased_until: 0,
        state: State::Planned,
    };
    record
        .plan(12)
        .map_err(|refusal| format!("planned: {refusal:?}").into())
}

fn check_invariants(table: &Table, halt: &HaltSet, injection: &Injection) -> Result<(), Box<str>> {
    let final_states: Vec<&State> = table
        .history
        .iter()
        .filter(|state| matches!(state, State::Complete | State::RolledBack(_)))
        .collect();
    require(
        !final_states.is_empty(),
        "the release is completed or rolled back",
    )?;
    require(
        final_states.windows(2).all(|pair| pair[0] == pair[1]),
        "it ends in one way only",
    )?;
    let steps: Vec<usize> = table
        .history
        .iter()
        .filter_map(|state| match state {
            State::Stepping { step, .. } => Some(*step),
            _ => None,
        })
        .collect();
    let by_one = steps
        .windows(2)
        .all(|pair| pair[1] <= pair[0] + 1 && pair[1] >= pair[0]);
    require(by_one, "steps are taken one after the other")?;
    let bad = injection.faults.contains(&Fault::BadVersion);
    let rolled_back = matches!(final_states[0], State::RolledBack(_));
    require(!bad || rolled_back, "a bad version is rolled back")?;
    require(
        !bad || table.record.cap(halt) == Cap::NONE,
        "a halted version gets no request",
    )
}
