//! Event queue on virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

use clock::VirtualClock;

/// An event with the time at which it is due.
#[derive(Debug)]
struct DueEvent<E> {
    due: Duration,
    number: u64,
    event: E,
}

impl<E> PartialEq for DueEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for DueEvent<E> {}

impl<E> PartialOrd for DueEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for DueEvent<E> {
    /// Reverses the order, because the heap returns the greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        let due = other.due.cmp(&self.due);
        due.then(other.number.cmp(&self.number))
    }
}

/// Events in the order of their due times; equal times keep the order of scheduling.
#[derive(Debug)]
pub struct EventQueue<E> {
    clock: VirtualClock,
    events: BinaryHeap<DueEvent<E>>,
    next_number: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue that drives `clock`.
    #[must_use]
    pub fn new(clock: VirtualClock) -> Self {
        Self {
            clock,
            events: BinaryHeap::new(),
            next_number: 0,
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule_at(self.now() + delay, event);
    }

    /// Schedules an event at a time since the start.
    pub fn schedule_at(&mut self, due: Duration, event: E) {
        let number = self.next_number;
        self.next_number += 1;
        self.events.push(DueEvent { due, number, event });
    }

    /// Moves the clock to the next event and returns it, unless it is due after `end`.
    pub fn pop_until(&mut self, end: Duration) -> Option<E> {
        if self.events.peek()?.due > end {
            return None;
        }
        let next = self.events.pop()?;
        self.clock.set_elapsed(next.due);
        Some(next.event)
    }
}
