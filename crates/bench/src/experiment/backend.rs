//! Fake of a backend server: slots, a backlog, speed, crashes.

use std::collections::VecDeque;

/// Number of a call in one run of the harness.
pub type AttemptId = usize;

/// Where a backend server put a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// It works on it now.
    Slot,
    /// It waits for a slot.
    Backlog,
    /// All connections are taken, or the backend server is down.
    Refused,
}

/// A backend server that works on as many calls as it has slots.
#[derive(Clone, Debug)]
pub struct SimulatedServer {
    slots: usize,
    connections: usize,
    running: Vec<AttemptId>,
    backlog: VecDeque<AttemptId>,
    /// Factor on the time that work takes.
    pub slowdown: f64,
    /// Whether the process runs.
    pub is_up: bool,
}

impl SimulatedServer {
    /// Creates a warm backend server.
    #[must_use]
    pub fn new(slots: usize, connections: usize) -> Self {
        Self {
            slots,
            connections,
            running: Vec::with_capacity(slots),
            backlog: VecDeque::new(),
            slowdown: 1.0,
            is_up: true,
        }
    }

    /// Takes a call.
    pub fn place(&mut self, call: AttemptId) -> Placement {
        if !self.is_up || self.running.len() + self.backlog.len() >= self.connections {
            return Placement::Refused;
        }
        if self.running.len() < self.slots {
            self.running.push(call);
            return Placement::Slot;
        }
        self.backlog.push_back(call);
        Placement::Backlog
    }

    /// Ends a call that holds a slot or waits; returns the call that gets the slot.
    pub fn release(&mut self, call: AttemptId) -> Option<AttemptId> {
        let Some(slot) = self.running.iter().position(|other| *other == call) else {
            self.backlog.retain(|other| *other != call);
            return None;
        };
        self.running.swap_remove(slot);
        let next = self.backlog.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Kills the process; returns all calls that were there.
    pub fn crash(&mut self) -> Vec<AttemptId> {
        self.is_up = false;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.backlog));
        lost
    }

    /// Calls in slots and in the backlog.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.backlog.len()
    }
}
