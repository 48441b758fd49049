//! Events of a run, and crashes around them.

use steering::claims::table::{Answer, Write};

/// Events of a request around which a VM can be made to crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Point {
    /// A send reaches an entry.
    Arrive,
    /// A question about the id reaches the VM that it names.
    Settle,
    /// The request leaves the queue.
    Handoff,
    /// A backend server runs it.
    Execute,
    /// The answer reaches the entry.
    Answered,
    /// A write reaches the table.
    Store,
    /// The table's answer reaches the entry.
    Written,
    /// The entry reads a row back.
    ReadBack,
}

/// When the VMs crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crash {
    /// Twice, at random times.
    Random,
    /// The VM concerned crashes just before the nth event of this kind, counted from 0.
    Before(Point, u32),
    /// The VM concerned crashes just after the nth event of this kind.
    After(Point, u32),
}

/// What happens in a run.
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

/// Returns what happens in an event, and at which VM.
pub(super) fn point(event: &Event) -> Option<(Point, usize)> {
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
