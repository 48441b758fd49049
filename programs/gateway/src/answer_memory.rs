//! Memory that answers of servers hold until they are whole.
//!
//! An answer that finds no room isn't read until others have ended, so that its server is held back
//! by the connection. A part of an answer gets room only if afterwards all that are being read could
//! still become whole one after the other, each as long as it may become (the banker's algorithm,
//! E. W. Dijkstra, EWD 108). So one of them always may go on, and half-read answers never wait for
//! each other for ever.

use base::sync::lock;
use indexmap::IndexMap;
use std::sync::Mutex;
use tokio::sync::Notify;

/// Largest answer that is passed on, in bytes; an answer is whole before its first byte is sent.
pub const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Most bytes beyond the first [`SHORT_BYTES`] of each answer that are held at once. The smallest VMs
/// have 160 MB for everything; answers without end would fill it.
pub const ALL_BYTES: usize = 48 * 1024 * 1024;
/// Answers up to this length, in bytes, are held whatever others need.
pub const SHORT_BYTES: usize = 256 * 1024;

/// Why an answer may not hold more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It is larger than the largest that is passed on.
    TooLarge,
    /// There is no room until another answer has ended.
    Full,
}

/// Bytes of one answer beyond the first [`SHORT_BYTES`].
#[derive(Debug, Clone, Copy)]
struct Claim {
    held: usize,
    /// Bytes until it is as long as it may become.
    missing: usize,
}

#[derive(Debug, Default)]
struct State {
    held: usize,
    shares: u64,
    /// Answers beyond [`SHORT_BYTES`], by number.
    long: IndexMap<u64, Claim>,
}

impl State {
    /// Whether all long answers can become whole one after the other.
    fn is_safe(&self) -> bool {
        let mut claims: Vec<Claim> = self.long.values().copied().collect();
        claims.sort_unstable_by_key(|claim| claim.missing);
        let held = claims.iter().map(|claim| claim.held).sum();
        let Some(mut free) = ALL_BYTES.checked_sub(held) else {
            return false;
        };
        claims.iter().all(|claim| {
            let fits = claim.missing <= free;
            free += claim.held;
            fits
        })
    }
}

/// Bytes of all answers that are held.
#[derive(Debug, Default)]
pub struct AnswerMemory {
    state: Mutex<State>,
    room: Notify,
}

impl AnswerMemory {
    /// Starts with an answer that holds nothing, of this length if that is known.
    ///
    /// # Errors
    ///
    /// Fails if the answer is [`Refused::TooLarge`].
    pub fn share(&self, length: Option<u64>) -> Result<Share<'_>, Refused> {
        let most = length.map_or(Ok(ANSWER_BYTES), usize::try_from);
        let most = most.ok().filter(|most| *most <= ANSWER_BYTES);
        let most = most.ok_or(Refused::TooLarge)?;
        let mut state = lock(&self.state);
        state.shares += 1;
        Ok(Share {
            budget: self,
            number: state.shares,
            held: 0,
            most,
        })
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        lock(&self.state).held
    }
}

/// Bytes of one answer; given back when it is dropped.
#[derive(Debug)]
pub struct Share<'a> {
    budget: &'a AnswerMemory,
    number: u64,
    held: usize,
    most: usize,
}

impl Share<'_> {
    /// Adds bytes, if the answer may hold them now.
    ///
    /// # Errors
    ///
    /// Says why it may not; the share is unchanged then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Refused> {
        let held = self.held.saturating_add(bytes);
        if held > ANSWER_BYTES {
            return Err(Refused::TooLarge);
        }
        let mut state = lock(&self.budget.state);
        if held > SHORT_BYTES {
            let claim = Claim {
                held: held - SHORT_BYTES,
                missing: self.most.saturating_sub(held),
            };
            let before = state.long.insert(self.number, claim);
            if !state.is_safe() {
                match before {
                    Some(before) => state.long.insert(self.number, before),
                    None => state.long.swap_remove(&self.number),
                };
                return Err(Refused::Full);
            }
        }
        state.held += bytes;
        self.held = held;
        Ok(())
    }

    /// Adds bytes as soon as the answer may hold them; `wait` is called before it waits for room.
    ///
    /// # Errors
    ///
    /// Fails if the answer is [`Refused::TooLarge`].
    pub async fn hold(&mut self, bytes: usize, wait: impl Fn()) -> Result<(), Refused> {
        loop {
            let mut room = std::pin::pin!(self.budget.room.notified());
            room.as_mut().enable();
            match self.grow(bytes) {
                Err(Refused::Full) => {
                    wait();
                    room.await;
                }
                result => return result,
            }
        }
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.budget.state);
        state.held -= self.held;
        let was_long = state.long.swap_remove(&self.number).is_some();
        drop(state);
        if was_long {
            self.budget.room.notify_waiters();
        }
    }
}
