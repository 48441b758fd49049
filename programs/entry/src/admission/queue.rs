//! Fair queue of one service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use steering::attempt::Refusal;
use steering::fairness::{Charge, Next, Queue, Request, Settings, Ticket};
use tokio::sync::oneshot;

/// Divisor of the time left that bounds the expected run time of a request.
///
/// The expected run time is learned from finished runs. Without a bound, a service whose runs once
/// took longer than all deadlines would get no requests again.
const RUN_TIME_DIVISOR: u32 = 4;

/// Slot of a request that may start, or the reason why it is refused.
type SlotResult = Result<Slot, Refusal>;

/// Queue of the requests of a service, with its slots in use.
#[derive(Debug)]
pub struct ServiceQueue {
    queue: Mutex<Queue<oneshot::Sender<SlotResult>>>,
}

impl Default for ServiceQueue {
    fn default() -> Self {
        Self {
            queue: Mutex::new(Queue::new(Settings::default())),
        }
    }
}

/// A slot in use; dropping it records the run time and frees it.
#[derive(Debug)]
pub struct Slot {
    service_queue: Arc<ServiceQueue>,
    charge: Charge,
    started: Instant,
}

/// A queued request; it leaves the queue when dropped.
struct QueueEntry<'a> {
    service_queue: &'a Arc<ServiceQueue>,
    ticket: Ticket,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = Instant::now();
        let run_time = now.saturating_duration_since(self.started);
        self.service_queue
            .queue()
            .finish(&self.charge, run_time, now);
        self.service_queue.dispatch();
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        // The sender is dropped after the lock is released.
        let _cancelled = self.service_queue.queue().cancel(&self.ticket);
    }
}

impl ServiceQueue {
    fn queue(&self) -> MutexGuard<'_, Queue<oneshot::Sender<SlotResult>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for one of `slots`; dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// [`Refusal::Overloaded`] if the request can't finish in time or its workspace has too many
    /// queued requests; [`Refusal::DeadlinePassed`] if its deadline has passed.
    pub async fn acquire(
        self: &Arc<Self>,
        workspace: &str,
        key: Box<str>,
        slots: usize,
        deadline: Instant,
    ) -> SlotResult {
        let now = Instant::now();
        if now >= deadline {
            return Err(Refusal::DeadlinePassed);
        }
        let (sender, receiver) = oneshot::channel();
        let (ticket, latest_start) = {
            let mut queue = self.queue();
            queue.set_slots(slots);
            let time_left = deadline.saturating_duration_since(now);
            let run_time = queue.expected(workspace).min(time_left / RUN_TIME_DIVISOR);
            let request = Request {
                item: sender,
                key,
                min_run_time: run_time,
                transfer: Duration::ZERO,
                deadline,
            };
            let pushed = queue.push(workspace, request, now);
            let ticket = pushed.map_err(|_| Refusal::Overloaded)?;
            (ticket, now + time_left.saturating_sub(run_time))
        };
        let _entry = QueueEntry {
            service_queue: self,
            ticket,
        };
        self.dispatch();
        let latest_start = tokio::time::Instant::from_std(latest_start);
        match tokio::time::timeout_at(latest_start, receiver).await {
            Ok(Ok(result)) => result,
            _ => Err(Refusal::Overloaded),
        }
    }

    /// Starts requests while slots are free and refuses those that are too late.
    fn dispatch(self: &Arc<Self>) {
        loop {
            let now = Instant::now();
            // The lock is released before the result is sent: if the caller has left, the send
            // returns the slot, and dropping it takes the lock.
            let next = self.queue().next(now);
            let sent = match next {
                None => return,
                Some(Next::Late(sender)) => sender.send(Err(Refusal::Overloaded)),
                Some(Next::Run(sender, charge)) => sender.send(Ok(Slot {
                    service_queue: self.clone(),
                    charge,
                    started: now,
                })),
            };
            drop(sent);
        }
    }

    /// Drops the state of workspaces that are no longer configured.
    pub fn retain(&self, configured: impl Fn(&str) -> bool) {
        self.queue().retain(configured);
    }
}
