//! Simulated time: a time-ordered queue of events, and message loss, delay and duplication.

use rand::{Rng, RngExt};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Events in the order of their times; events of the same time keep the order of insertion.
#[derive(Debug)]
pub struct Agenda<E> {
    queue: BinaryHeap<Reverse<(Instant, u64, Slot<E>)>>,
    inserted: u64,
    now: Instant,
}

/// Wrapper that takes no part in the order of the queue.
#[derive(Debug)]
struct Slot<E>(E);

impl<E> PartialEq for Slot<E> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl<E> Eq for Slot<E> {}
impl<E> PartialOrd for Slot<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Slot<E> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<E> Agenda<E> {
    /// Starts an empty agenda at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            queue: BinaryHeap::new(),
            inserted: 0,
            now: start,
        }
    }

    /// Returns the time of the last event taken.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Adds an event at `at`, or now if that has passed.
    pub fn at(&mut self, at: Instant, event: E) {
        self.inserted += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.inserted, Slot(event))));
    }

    /// Adds an event after `delay`.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.at(self.now + delay, event);
    }

    /// Takes the next event and moves time to it.
    pub fn take(&mut self) -> Option<(Instant, E)> {
        let Reverse((at, _, Slot(event))) = self.queue.pop()?;
        self.now = at;
        Some((at, event))
    }
}

/// How a network treats messages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Network {
    /// One-way delay.
    pub delay: Duration,
    /// Largest extra delay, spread evenly, by which messages overtake each other.
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
    /// Returns the delays after which copies of one message arrive; none if it is lost.
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
