//! Memory for answers of servers that are being read.
//!
//! Reading of an answer pauses while there is no memory for it, so that flow control of the
//! connection slows its server down. A part of an answer gets memory only if afterwards all answers
//! in memory could still be completed one after the other, each at its maximum length (the banker's
//! algorithm, E. W. Dijkstra, EWD 108). So at least one answer can always be read on, and partly
//! read answers never deadlock.

use base::sync::lock;
use indexmap::IndexMap;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// Largest answer that is passed on, in bytes; an answer is read completely before its first byte
/// is sent to the caller.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Most bytes that all answers together hold beyond the first [`GUARANTEED_BYTES`] of each. The
/// smallest VMs have 160 MB for everything, which endless answers would fill.
pub const MAX_SHARED_BYTES: usize = 48 * 1024 * 1024;
/// Bytes of each answer that get memory whatever other answers need, as far as all of these
/// together stay below [`Settings::guaranteed_bytes`].
pub const GUARANTEED_BYTES: usize = 256 * 1024;
/// Bytes of each answer that always get memory, so that common answers, of 5 kB on average, pass
/// beside any number of endless ones.
pub const FLOOR_BYTES: usize = 16 * 1024;
/// Bytes of an answer that are read before its turn on its connection; the rest is read at its turn.
/// They count as guaranteed, so that an answer that waits for its turn never holds shared memory,
/// which the answers in front of it may need.
pub const AHEAD_BYTES: usize = 64 * 1024;
/// Share of the guaranteed bytes for answers that wait for their turn.
const AHEAD_SHARE: f64 = 0.25;
/// Share of a VM's memory for the guaranteed bytes; with the shared bytes, half of it is left for
/// everything else.
const GUARANTEED_SHARE: f64 = 0.2;
/// Share of a VM's memory for the shared bytes.
const SHARED_SHARE: f64 = 0.3;

base::value! {
    /// Bounds in bytes.
    #[derive(Copy)]
    pub struct Settings {
        /// Largest answer that is passed on.
        pub answer_bytes: usize,
        /// Most bytes of all answers beyond their guaranteed bytes.
        pub shared_bytes: usize,
        /// Most guaranteed bytes of all answers together, beyond [`FLOOR_BYTES`] of each.
        pub guaranteed_bytes: usize,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            answer_bytes: MAX_ANSWER_BYTES,
            shared_bytes: MAX_SHARED_BYTES,
            guaranteed_bytes: 32 * 1024 * 1024,
        }
    }
}

impl Settings {
    /// Returns the bounds for a VM with so many bytes of memory, which are at most the default.
    pub fn of_memory(bytes: u64) -> Self {
        let default = Self::default();
        let share = |share: f64| (bytes as f64 * share) as usize;
        let shared_bytes = default.shared_bytes.min(share(SHARED_SHARE));
        Self {
            answer_bytes: default.answer_bytes.min(shared_bytes),
            shared_bytes,
            guaranteed_bytes: default.guaranteed_bytes.min(share(GUARANTEED_SHARE)),
        }
    }
}

/// Why an answer gets no memory for more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationError {
    /// It is larger than [`MAX_ANSWER_BYTES`].
    TooLarge,
    /// There is no memory until another answer ends.
    Full,
}

/// Shared memory of one answer, without its guaranteed bytes.
#[derive(Debug, Clone, Copy)]
struct Claim {
    held: usize,
    /// Bytes until its maximum length.
    remaining: usize,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    held: usize,
    /// Guaranteed bytes of all answers beyond [`FLOOR_BYTES`] of each.
    guaranteed: usize,
    /// Part of the guaranteed bytes that is held for answers before their turn.
    ahead: usize,
    last_id: u64,
    /// Answers longer than their guaranteed bytes, by id.
    claims: IndexMap<u64, Claim>,
}

impl State {
    /// Whether all answers with shared memory can be completed one after the other.
    fn is_safe(&self) -> bool {
        let mut claims: Vec<Claim> = self.claims.values().copied().collect();
        claims.sort_unstable_by_key(|claim| claim.remaining);
        let held = claims.iter().map(|claim| claim.held).sum();
        let Some(mut free) = self.settings.shared_bytes.checked_sub(held) else {
            return false;
        };
        claims.iter().all(|claim| {
            let fits = claim.remaining <= free;
            free += claim.held;
            fits
        })
    }
}

/// Memory of all answers that are being read.
#[derive(Debug, Default)]
pub struct AnswerMemory {
    state: Mutex<State>,
    freed: Notify,
}

impl AnswerMemory {
    /// Creates the memory with these bounds.
    pub fn new(settings: Settings) -> Self {
        let state = State {
            settings,
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            freed: Notify::new(),
        }
    }

    /// Creates the reservation of an answer, without memory yet, of this length if that is known.
    ///
    /// # Errors
    ///
    /// Fails if the answer is [`ReservationError::TooLarge`].
    pub fn reserve(&self, length: Option<u64>) -> Result<Reservation<'_>, ReservationError> {
        self.reserve_beyond(FLOOR_BYTES, length)
    }

    /// Creates the reservation of an answer for which [`hold_ahead`](Self::hold_ahead) holds memory.
    ///
    /// # Errors
    ///
    /// Fails if the answer is [`ReservationError::TooLarge`].
    pub fn reserve_ahead(&self, length: Option<u64>) -> Result<Reservation<'_>, ReservationError> {
        self.reserve_beyond(AHEAD_BYTES, length)
    }

    fn reserve_beyond(
        &self,
        floor: usize,
        length: Option<u64>,
    ) -> Result<Reservation<'_>, ReservationError> {
        let mut state = lock(&self.state);
        let limit = state.settings.answer_bytes;
        let max_length = length.map_or(Ok(limit), usize::try_from);
        let max_length = max_length.ok().filter(|length| *length <= limit);
        let max_length = max_length.ok_or(ReservationError::TooLarge)?;
        state.last_id += 1;
        Ok(Reservation {
            memory: self,
            id: state.last_id,
            held: 0,
            floor,
            guaranteed: floor,
            answer_bytes: limit,
            max_length,
        })
    }

    /// Holds [`AHEAD_BYTES`] for an answer before its turn; none if there is no room for more.
    pub fn hold_ahead(self: &Arc<Self>) -> Option<HeldAhead> {
        let mut state = lock(&self.state);
        let bound = state.settings.guaranteed_bytes;
        let ahead = state.ahead + AHEAD_BYTES;
        let guaranteed = state.guaranteed + AHEAD_BYTES;
        if guaranteed > bound || ahead > (bound as f64 * AHEAD_SHARE) as usize {
            return None;
        }
        (state.ahead, state.guaranteed) = (ahead, guaranteed);
        Some(HeldAhead(self.clone()))
    }

    /// Returns the bytes that all answers hold.
    pub fn held(&self) -> usize {
        lock(&self.state).held
    }
}

/// Memory of an answer before its turn; freed when it is dropped.
#[derive(Debug)]
pub struct HeldAhead(Arc<AnswerMemory>);

impl Drop for HeldAhead {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.ahead -= AHEAD_BYTES;
        state.guaranteed -= AHEAD_BYTES;
    }
}

/// Memory of one answer; freed when it is dropped.
#[derive(Debug)]
pub struct Reservation<'a> {
    memory: &'a AnswerMemory,
    id: u64,
    held: usize,
    /// Guaranteed bytes from the start.
    floor: usize,
    /// Bytes that need no shared memory.
    guaranteed: usize,
    /// Length from which the answer is too large.
    answer_bytes: usize,
    max_length: usize,
}

impl Reservation<'_> {
    /// Adds bytes if there is memory for them now.
    ///
    /// # Errors
    ///
    /// Fails with the reason if there is none; the reservation is unchanged then.
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), ReservationError> {
        let held = self.held.saturating_add(bytes);
        if held > self.answer_bytes {
            return Err(ReservationError::TooLarge);
        }
        let mut state = lock(&self.memory.state);
        // More is guaranteed only before the answer has shared memory, so that a claim never shrinks.
        if !state.claims.contains_key(&self.id) {
            let wanted = held.min(GUARANTEED_BYTES).saturating_sub(self.guaranteed);
            let free = state.settings.guaranteed_bytes - state.guaranteed;
            let added = wanted.min(free);
            state.guaranteed += added;
            self.guaranteed += added;
        }
        if held > self.guaranteed {
            let claim = Claim {
                held: held - self.guaranteed,
                remaining: self.max_length.saturating_sub(held),
            };
            let previous = state.claims.insert(self.id, claim);
            if !state.is_safe() {
                match previous {
                    Some(previous) => state.claims.insert(self.id, previous),
                    None => state.claims.swap_remove(&self.id),
                };
                return Err(ReservationError::Full);
            }
        }
        state.held += bytes;
        self.held = held;
        Ok(())
    }

    /// Adds bytes as soon as there is memory for them; `on_wait` is called before each wait.
    ///
    /// # Errors
    ///
    /// Fails if the answer is [`ReservationError::TooLarge`].
    pub async fn grow(&mut self, bytes: usize, on_wait: impl Fn()) -> Result<(), ReservationError> {
        loop {
            let mut freed = std::pin::pin!(self.memory.freed.notified());
            freed.as_mut().enable();
            match self.try_grow(bytes) {
                Err(ReservationError::Full) => {
                    on_wait();
                    freed.await;
                }
                result => return result,
            }
        }
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.memory.state);
        state.held -= self.held;
        state.guaranteed -= self.guaranteed - self.floor;
        let had_claim = state.claims.swap_remove(&self.id).is_some();
        drop(state);
        if had_claim {
            self.memory.freed.notify_waiters();
        }
    }
}
