//! Ring buffer of recent events.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use clock::Clock;
use serde::Deserialize;
use serde::Serialize;

use crate::HybridLogicalClock;
use crate::HybridTimestamp;

/// One event of one process.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Hybrid logical timestamp of the event.
    pub stamp: HybridTimestamp,
    /// Name of the process, from its settings.
    pub process: Arc<str>,
    /// Kind of event, a stable kebab-case name.
    pub kind: String,
    /// Id of the related request in hexadecimal, if any.
    pub request: Option<String>,
    /// Hash of the related configuration change in hexadecimal, if any.
    pub change: Option<String>,
    /// Further `key=value` pairs, in order.
    pub fields: Vec<EventField>,
}

/// One `key=value` pair of an event.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EventField {
    /// Name of the field.
    pub key: String,
    /// Value as text.
    pub value: String,
}

impl EventRecord {
    /// Creates an event without fields; [`EventRingBuffer::push`] sets its timestamp and process.
    #[must_use]
    pub fn new(kind: &str) -> Self {
        Self {
            stamp: HybridTimestamp::default(),
            process: Arc::from(""),
            kind: kind.to_owned(),
            request: None,
            change: None,
            fields: Vec::new(),
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn field(mut self, key: &str, value: &impl ToString) -> Self {
        self.fields.push(EventField {
            key: key.to_owned(),
            value: value.to_string(),
        });
        self
    }

    /// Sets the id of the related request.
    #[must_use]
    pub fn request(mut self, request: u128) -> Self {
        self.request = Some(format!("{request:032x}"));
        self
    }

    /// Sets the hash of the related configuration change.
    #[must_use]
    pub fn change(mut self, change: &impl ToString) -> Self {
        self.change = Some(change.to_string());
        self
    }
}

/// The last events of this process; clones share the buffer.
#[derive(Clone, Debug)]
pub struct EventRingBuffer<C> {
    process: Arc<str>,
    capacity: usize,
    clock: HybridLogicalClock<C>,
    events: Arc<Mutex<VecDeque<EventRecord>>>,
}

impl<C: Clock> EventRingBuffer<C> {
    /// Creates a buffer that keeps the last `capacity` events of `process`.
    #[must_use]
    pub fn new(process: &str, capacity: usize, clock: HybridLogicalClock<C>) -> Self {
        Self {
            process: Arc::from(process),
            capacity,
            clock,
            events: Arc::new(Mutex::new(VecDeque::with_capacity(capacity))),
        }
    }

    /// Timestamps and stores an event, and drops the oldest one when the buffer is full.
    pub fn push(&self, mut event: EventRecord) {
        event.stamp = self.clock.next_timestamp();
        event.process = Arc::clone(&self.process);
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() == self.capacity {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the stored events later than `since`, oldest first.
    #[must_use]
    pub fn since(&self, since: HybridTimestamp) -> Vec<EventRecord> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let later = events.iter().filter(|event| event.stamp > since);
        later.cloned().collect()
    }

    /// Returns the clock of the events, which also timestamps messages to other processes.
    #[must_use]
    pub fn clock(&self) -> &HybridLogicalClock<C> {
        &self.clock
    }
}
