//! Event queue for simulated time, and a network with message delay, loss and duplication.

use rand::{Rng, RngExt};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Event queue ordered by time; events of the same time keep their insertion order.
#[derive(Debug)]
pub struct Agenda<E> {
    queue: BinaryHeap<Reverse<(Instant, u64, Unordered<E>)>>,
    inserted: u64,
    now: Instant,
}

/// Wrapper whose values all compare equal, so that events don't affect the order of the queue.
#[derive(Debug)]
struct Unordered<E>(E);

impl<E> PartialEq for Unordered<E> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl<E> Eq for Unordered<E> {}
impl<E> PartialOrd for Unordered<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Unordered<E> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<E> Agenda<E> {
    /// Creates an empty queue whose clock stands at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            queue: BinaryHeap::new(),
            inserted: 0,
            now: start,
        }
    }

    /// Returns the simulated time, which is the time of the event taken last.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Schedules an event at `at`, or at the current simulated time if `at` has passed.
    pub fn at(&mut self, at: Instant, event: E) {
        self.inserted += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.inserted, Unordered(event))));
    }

    /// Schedules an event `delay` from the current simulated time.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.at(self.now + delay, event);
    }

    /// Removes the next event and advances the simulated time to it.
    pub fn take(&mut self) -> Option<(Instant, E)> {
        let Reverse((at, _, Unordered(event))) = self.queue.pop()?;
        self.now = at;
        Some((at, event))
    }
}

/// Delay, loss and duplication of messages in a simulated network.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Network {
    /// One-way delay.
    pub delay: Duration,
    /// Upper bound of the uniformly distributed extra delay, which reorders messages.
    pub jitter: Duration,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message arrives twice.
    pub duplication: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            delay: Duration::from_micros(500),
            jitter: Duration::ZERO,
            loss: 0.0,
            duplication: 0.0,
        }
    }
}

impl Network {
    /// Returns the delay of each delivered copy of one message; empty if the message is lost.
    pub fn deliveries(&self, rng: &mut impl Rng) -> Vec<Duration> {
        let copies = match rng.random::<f64>() {
            draw if draw < self.loss => 0,
            draw if draw < self.loss + self.duplication => 2,
            _ => 1,
        };
        (0..copies)
            .map(|_| self.delay + self.jitter.mul_f64(rng.random::<f64>()))
            .collect()
    }
}
