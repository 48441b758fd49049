//! Memory for bodies of callers' requests, which are read whole so that they can be sent again.
//!
//! A body that finds no room is rejected as soon as that is known, since another VM may have room;
//! it does not wait. Large bodies leave a part for small ones.

use crate::answer_memory;
use base::sync::lock;
use std::sync::Mutex;

/// Largest body that may use the part that large ones leave.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Share of the memory for bodies that large ones leave.
const SMALL_SHARE: f64 = 0.1;
/// Share of a VM's memory that a process fills at most.
const FILLED_SHARE: f64 = 0.9;
/// Share of a VM's memory for bodies.
const BODY_SHARE: f64 = 0.3;
/// Bytes of a process without requests.
const IDLE_BYTES: usize = 45_000_000;

base::value! {
    /// Bounds in bytes.
    #[derive(Copy)]
    pub struct Settings {
        /// Most bytes of all bodies.
        pub bytes: usize,
    }
}

impl Settings {
    /// Returns the bounds for a VM with so many bytes of memory: what the process itself and answers
    /// leave of it, and no more than a share.
    pub fn of_memory(bytes: u64, answers: &answer_memory::Settings) -> Self {
        let share = |share: f64| (bytes as f64 * share) as usize;
        let others = IDLE_BYTES + answers.shared_bytes + answers.guaranteed_bytes;
        let left = share(FILLED_SHARE).saturating_sub(others);
        Self {
            bytes: left.min(share(BODY_SHARE)),
        }
    }
}

/// Memory of all bodies.
#[derive(Debug)]
pub struct BodyMemory {
    settings: Settings,
    held: Mutex<usize>,
}

impl BodyMemory {
    /// Creates the memory with these bounds.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            held: Mutex::default(),
        }
    }

    /// Returns the bytes that all bodies hold.
    pub fn held(&self) -> usize {
        *lock(&self.held)
    }

    /// Begins a body that holds nothing yet.
    pub fn begin(&self) -> HeldBody<'_> {
        HeldBody {
            memory: self,
            bytes: 0,
        }
    }
}

/// Memory of one body; freed when it is dropped.
#[derive(Debug)]
pub struct HeldBody<'a> {
    memory: &'a BodyMemory,
    bytes: usize,
}

impl HeldBody<'_> {
    /// Adds bytes; returns false, and adds none, if there is no room for them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let settings = &self.memory.settings;
        let own = self.bytes.saturating_add(bytes);
        let limit = match own <= SMALL_BYTES {
            true => settings.bytes,
            false => settings.bytes - (settings.bytes as f64 * SMALL_SHARE) as usize,
        };
        let mut held = lock(&self.memory.held);
        let all = held.saturating_add(bytes);
        if all > limit {
            return false;
        }
        *held = all;
        self.bytes = own;
        true
    }
}

impl Drop for HeldBody<'_> {
    fn drop(&mut self) {
        *lock(&self.memory.held) -= self.bytes;
    }
}
