//! Order of the answers on a connection whose caller sends requests ahead; no I/O.

use std::collections::VecDeque;

/// Requests of one connection that may be under way or answered but not written at the same time.
const REQUESTS_MAX: usize = 8;

/// Names a request that has begun on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTicket(u64);

/// An answer whose turn it is.
#[derive(Debug, Eq, PartialEq)]
pub struct ReadyAnswer<T> {
    /// The answer to the oldest request without one.
    pub answer: T,
    /// Whether the connection closes after it.
    pub closes: bool,
}

#[derive(Debug)]
struct RequestSlot<T> {
    is_repeatable: bool,
    answer: Option<T>,
}

/// Requests that have begun on one connection, in the order in which they must be answered.
///
/// Requests that may be repeated run beside each other. Any other runs alone, since its caller
/// sends it again when an answer before it closes the connection. Whatever has begun is answered
/// before the connection closes, and nothing begins behind an answer that closes it.
#[derive(Debug)]
pub struct AnswerQueue<T> {
    slots: VecDeque<RequestSlot<T>>,
    /// Ticket of the first slot.
    first: u64,
    is_closing: bool,
}

impl<T> Default for AnswerQueue<T> {
    fn default() -> Self {
        Self {
            slots: VecDeque::new(),
            first: 0,
            is_closing: false,
        }
    }
}

impl<T> AnswerQueue<T> {
    /// Returns whether the next request may begin now.
    #[must_use]
    pub fn may_begin(&self, is_repeatable: bool) -> bool {
        if self.is_closing {
            return false;
        }
        let may_join = is_repeatable && self.slots.iter().all(|slot| slot.is_repeatable);
        self.slots.is_empty() || (may_join && self.slots.len() < REQUESTS_MAX)
    }

    /// Begins a request, which must be allowed to.
    pub fn begin(&mut self, is_repeatable: bool) -> RequestTicket {
        debug_assert!(self.may_begin(is_repeatable), "a request has to wait");
        let ticket = RequestTicket(self.first + self.slots.len() as u64);
        self.slots.push_back(RequestSlot {
            is_repeatable,
            answer: None,
        });
        ticket
    }

    /// Notes the answer to a request; another one to the same request is dropped.
    pub fn answer(&mut self, ticket: RequestTicket, answer: T) {
        let position = ticket.0.checked_sub(self.first);
        let position = position.and_then(|position| usize::try_from(position).ok());
        let slot = position.and_then(|position| self.slots.get_mut(position));
        if let Some(slot) = slot
            && slot.answer.is_none()
        {
            slot.answer = Some(answer);
        }
    }

    /// Takes the answer that is next in order, if it is there.
    pub fn pop_ready(&mut self) -> Option<ReadyAnswer<T>> {
        let answer = self.slots.front_mut()?.answer.take()?;
        self.slots.pop_front();
        self.first += 1;
        Some(ReadyAnswer {
            answer,
            closes: self.is_closing && self.slots.is_empty(),
        })
    }

    /// Begins no request any more; the last answer closes the connection.
    pub const fn close(&mut self) {
        self.is_closing = true;
    }

    /// Returns whether the connection closes after the requests that have begun.
    #[must_use]
    pub const fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Returns whether every request that has begun has been answered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
