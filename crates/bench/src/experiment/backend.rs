//! Simulated backend server with slots, a backlog, a speed and crashes.

use std::collections::VecDeque;

/// Identifies an attempt of a call in one run of the harness.
pub type AttemptId = usize;

/// Where a backend server placed a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// The call runs now.
    Slot,
    /// The call waits for a slot.
    Backlog,
    /// Refused: all connections are in use, or the backend server is down.
    Refused,
}

/// A backend server that runs as many calls as it has slots.
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
    /// Creates a running backend server at full speed.
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

    /// Accepts a call into a slot or the backlog, or refuses it.
    pub fn accept(&mut self, call: AttemptId) -> Placement {
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

    /// Removes a call from its slot or the backlog; returns the call that gets the freed slot.
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

    /// Crashes the process; returns the calls that it lost.
    pub fn crash(&mut self) -> Vec<AttemptId> {
        self.is_up = false;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.backlog));
        lost
    }

    /// Returns the number of calls in slots and in the backlog.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.backlog.len()
    }
}
