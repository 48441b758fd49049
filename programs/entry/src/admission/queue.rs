//! Fair queue of one service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use steering::attempt::Refusal;
use steering::fairness::{Charge, Next, Queue, Request, Settings, Ticket};
use tokio::sync::oneshot;

/// Largest part of the time left, as a divisor, that a request is expected to need. The expected run
/// time follows runs that ended; without a bound, a service whose runs once took longer than all
/// deadlines would never be tried again.
const NEEDS_DIVISOR: u32 = 4;

/// Message that starts a request or refuses it.
type Turn = Result<Slot, Refusal>;

/// Queue of a service and its slots in use.
#[derive(Debug)]
pub struct ServiceQueue {
    queue: Mutex<Queue<oneshot::Sender<Turn>>>,
}

impl Default for ServiceQueue {
    fn default() -> Self {
        Self {
            queue: Mutex::new(Queue::new(Settings::default())),
        }
    }
}

/// A slot in use; reports the run time and is free when dropped.
#[derive(Debug)]
pub struct Slot {
    line: Arc<ServiceQueue>,
    charge: Charge,
    started: Instant,
}

/// A queued request, which leaves the queue when dropped.
struct Queued<'a> {
    line: &'a Arc<ServiceQueue>,
    ticket: Ticket,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = Instant::now();
        let ran = now.saturating_duration_since(self.started);
        self.line.queue().finish(&self.charge, ran, now);
        self.line.pump();
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        // The sender is dropped after the lock is released.
        let _left = self.line.queue().cancel(&self.ticket);
    }
}

impl ServiceQueue {
    fn queue(&self) -> MutexGuard<'_, Queue<oneshot::Sender<Turn>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for one of `slots`; a caller that leaves drops the future and thereby its place.
    ///
    /// # Errors
    ///
    /// [`Refusal::Overloaded`] if the request can't finish in time or its workspace has too many
    /// queued; [`Refusal::DeadlinePassed`] if its deadline is over.
    pub async fn acquire(
        self: &Arc<Self>,
        workspace: &str,
        key: Box<str>,
        slots: usize,
        deadline: Instant,
    ) -> Turn {
        let now = Instant::now();
        if now >= deadline {
            return Err(Refusal::DeadlinePassed);
        }
        let (sender, receiver) = oneshot::channel();
        let (ticket, latest) = {
            let mut queue = self.queue();
            queue.set_slots(slots);
            let left = deadline.saturating_duration_since(now);
            let needs = queue.expected(workspace).min(left / NEEDS_DIVISOR);
            let request = Request {
                item: sender,
                key,
                min_run_time: needs,
                transfer: Duration::ZERO,
                deadline,
            };
            let pushed = queue.push(workspace, request, now);
            let ticket = pushed.map_err(|_| Refusal::Overloaded)?;
            (ticket, now + left.saturating_sub(needs))
        };
        let _queued = Queued { line: self, ticket };
        self.pump();
        let latest = tokio::time::Instant::from_std(latest);
        match tokio::time::timeout_at(latest, receiver).await {
            Ok(Ok(turn)) => turn,
            _ => Err(Refusal::Overloaded),
        }
    }

    /// Starts and refuses what is due.
    fn pump(self: &Arc<Self>) {
        loop {
            let now = Instant::now();
            // The lock is released before the message is sent: a message to a caller that has left
            // comes back, and dropping its slot takes the lock.
            let next = self.queue().next(now);
            let sent = match next {
                None => return,
                Some(Next::Late(sender)) => sender.send(Err(Refusal::Overloaded)),
                Some(Next::Run(sender, charge)) => sender.send(Ok(Slot {
                    line: self.clone(),
                    charge,
                    started: now,
                })),
            };
            drop(sent);
        }
    }

    /// Drops what is known of workspaces that are no longer configured.
    pub fn retain(&self, configured: impl Fn(&str) -> bool) {
        self.queue().retain(configured);
    }
}
