//! Answers on a connection whose caller sends ahead: their order, and what may run beside what.

use std::collections::VecDeque;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use proxy::AnswerQueue;
use proxy::RequestTicket;

/// A request as its caller sees it.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    number: usize,
    is_repeatable: bool,
}

/// A connection on which requests arrive, run, are answered and closed in any order.
#[derive(Debug, Default)]
struct ConnectionModel {
    queue: AnswerQueue<usize>,
    arrived: VecDeque<SentRequest>,
    sent: usize,
    running: Vec<(RequestTicket, SentRequest)>,
    /// Begun and not written, in order.
    unwritten: VecDeque<SentRequest>,
    written: usize,
    has_closed: bool,
}

impl ConnectionModel {
    fn run_event(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        match choices.int_in_range(0..=9)? {
            0..=2 => {
                let is_repeatable = choices.ratio(3, 4)?;
                let number = self.sent;
                self.sent += 1;
                self.arrived.push_back(SentRequest {
                    number,
                    is_repeatable,
                });
            }
            3..=5 => self.begin(),
            6..=7 if !self.running.is_empty() => {
                let position = choices.choose_index(self.running.len())?;
                let (ticket, request) = self.running.swap_remove(position);
                self.queue.answer(ticket, request.number);
            }
            8 => self.write(),
            9 if choices.ratio(1, 8)? => self.queue.close(),
            _ => {}
        }
        Ok(())
    }

    fn begin(&mut self) {
        let Some(&request) = self.arrived.front() else {
            return;
        };
        if !self.queue.may_begin(request.is_repeatable) {
            return;
        }
        assert!(!self.queue.is_closing(), "begun on a closing connection");
        let runs_alone = self.unwritten.is_empty();
        let all_repeatable = self.unwritten.iter().all(|other| other.is_repeatable);
        assert!(
            runs_alone || request.is_repeatable && all_repeatable,
            "{self:?}"
        );
        self.arrived.pop_front();
        let ticket = self.queue.begin(request.is_repeatable);
        self.running.push((ticket, request));
        self.unwritten.push_back(request);
    }

    fn write(&mut self) {
        let Some(ready) = self.queue.pop_ready() else {
            return;
        };
        assert!(!self.has_closed, "an answer after the close: {self:?}");
        assert_eq!(ready.answer, self.written, "out of order");
        let request = self.unwritten.pop_front().expect("begun");
        assert_eq!(request.number, ready.answer);
        self.written += 1;
        self.has_closed = ready.closes;
        assert!(!ready.closes || self.unwritten.is_empty(), "{self:?}");
    }

    /// Answers and writes everything that has begun.
    fn drain(&mut self) {
        for (ticket, request) in std::mem::take(&mut self.running) {
            self.queue.answer(ticket, request.number);
        }
        while !self.queue.is_empty() {
            self.write();
        }
        assert!(self.unwritten.is_empty());
    }
}

#[test]
fn answers_keep_the_order_of_requests_and_none_begins_behind_a_close() {
    arbtest(|choices| {
        let mut model = ConnectionModel::default();
        while !choices.is_empty() {
            model.run_event(choices)?;
        }
        model.drain();
        Ok(())
    })
    .budget_ms(1_000);
}

#[test]
fn a_bounded_number_of_requests_of_one_connection_is_under_way() {
    let mut queue = AnswerQueue::default();
    let mut tickets = Vec::new();
    while queue.may_begin(true) {
        tickets.push(queue.begin(true));
        assert!(tickets.len() <= 64, "no bound");
    }
    // An answer that waits for its turn still takes its place.
    queue.answer(tickets[1], 1);
    assert!(!queue.may_begin(true));
    queue.answer(tickets[0], 0);
    assert_eq!(queue.pop_ready().map(|ready| ready.answer), Some(0));
    assert!(queue.may_begin(true));
}

#[test]
fn the_last_of_the_answers_closes_the_connection() {
    let mut queue = AnswerQueue::default();
    let tickets = [queue.begin(true), queue.begin(true)];
    queue.close();
    queue.answer(tickets[1], 1);
    queue.answer(tickets[0], 0);
    let closes: Vec<bool> = std::iter::from_fn(|| queue.pop_ready())
        .map(|ready| ready.closes)
        .collect();
    assert_eq!(closes, [false, true]);
}

#[test]
fn a_second_answer_to_one_request_is_dropped() {
    let mut queue = AnswerQueue::default();
    let ticket = queue.begin(true);
    let next = queue.begin(true);
    queue.answer(ticket, 0);
    queue.answer(ticket, 7);
    assert_eq!(queue.pop_ready().map(|ready| ready.answer), Some(0));
    queue.answer(ticket, 7);
    queue.answer(next, 1);
    assert_eq!(queue.pop_ready().map(|ready| ready.answer), Some(1));
}
