//! Simulated events, and VM crashes before or after them.

use steering::claims::table::{Answer, Write};

/// Kinds of events before or after which a VM can crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Point {
    /// A send reaches an entry VM.
    Arrive,
    /// A query for the outcome reaches the VM that the id names.
    Settle,
    /// The request leaves the queue.
    Handoff,
    /// A backend server executes the request.
    Execute,
    /// The backend server's answer reaches the entry VM.
    Answered,
    /// A write reaches the table.
    Store,
    /// The table's answer reaches the entry VM.
    Written,
    /// The entry VM reads a row back.
    ReadBack,
}

/// When VMs crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crash {
    /// Twice, at random times.
    Random,
    /// The VM concerned crashes just before the nth event of this kind, counted from 0.
    Before(Point, u32),
    /// The VM concerned crashes just after the nth event of this kind, counted from 0.
    After(Point, u32),
}

/// Simulated event.
#[derive(Debug, Clone)]
pub(super) enum Event {
    Send(u32),
    Arrive(usize, u32),
    Settle(usize, u64, u32),
    Unreachable(u32),
    Handoff(usize, u64, u32),
    Execute(usize, u64, u32),
    Answered(usize, u64, u32),
    Crash(usize),
    Store(usize, u64, Write),
    Written(usize, u64, Box<str>, Answer),
    ReadBack(usize, u64),
}

/// Returns the kind of an event and the VM at which it occurs, if a VM can crash around it.
pub(super) fn crash_point(event: &Event) -> Option<(Point, usize)> {
    match event {
        Event::Arrive(vm, _) => Some((Point::Arrive, *vm)),
        Event::Settle(vm, ..) => Some((Point::Settle, *vm)),
        Event::Handoff(vm, ..) => Some((Point::Handoff, *vm)),
        Event::Execute(vm, ..) => Some((Point::Execute, *vm)),
        Event::Answered(vm, ..) => Some((Point::Answered, *vm)),
        Event::Store(vm, ..) => Some((Point::Store, *vm)),
        Event::Written(vm, ..) => Some((Point::Written, *vm)),
        Event::ReadBack(vm, _) => Some((Point::ReadBack, *vm)),
        Event::Send(_) | Event::Unreachable(_) | Event::Crash(_) => None,
    }
}
