//! Callers that send requests and retry after failures.

use std::time::Duration;

use model::declaration::RefusalOrder;
use model::verdict::FailureCause;
use rand::Rng;

use crate::experiment::counters::RequestRecord;
use crate::experiment::graph::ClassIndex;
use crate::experiment::graph::TeamIndex;
use crate::experiment::harness::Harness;
use crate::experiment::harness::state::EntryState;
use crate::experiment::harness::state::HarnessEvent;
use crate::experiment::harness::state::RequestNumber;
use crate::experiment::harness::state::RequestState;
use crate::experiment::policy::ControlPolicy;
use crate::experiment::policy::EntryDecision;
use crate::experiment::policy::EntryId;
use crate::experiment::policy::EntryInfo;

/// Delay before the request that crashes backend servers is sent again, in milliseconds.
const POISON_PERIOD_MS: u64 = 200;

impl<P: ControlPolicy> Harness<P> {
    pub(super) fn start_callers(&mut self) {
        for class in 0..self.graph.classes.len() {
            for team in 0..self.graph.teams.len() {
                self.schedule_arrival(class, team);
            }
        }
    }

    fn schedule_arrival(&mut self, class: ClassIndex, team: TeamIndex) {
        let per_s = self.graph.classes[class].per_s * self.graph.teams[team].share;
        let rate = per_s * self.scenario.demand_factor(team, self.now());
        let uniform: f64 = self.arrivals.random_range(f64::EPSILON..1.0);
        let gap = Duration::from_secs_f64(-uniform.ln() / rate);
        self.queue
            .schedule_after(gap, HarnessEvent::Arrive { class, team });
    }

    pub(super) fn arrive(&mut self, class: ClassIndex, team: TeamIndex) {
        let fingerprint = self.arrivals.random();
        let request = self.create_request(class, team, fingerprint, false);
        self.caller_sends(request);
        self.schedule_arrival(class, team);
    }

    pub(super) fn create_request(
        &mut self,
        class: ClassIndex,
        team: TeamIndex,
        fingerprint: u64,
        poison: bool,
    ) -> RequestNumber {
        let id = self.arrivals.random();
        self.requests.push(RequestState {
            record: RequestRecord {
                team,
                class,
                first_sent_at: self.now(),
                completed_at: None,
                last_refusal: None,
                poison,
            },
            id,
            fingerprint,
            sends: 0,
        });
        self.requests.len() - 1
    }

    /// Sends a request to a random node.
    pub(super) fn caller_sends(&mut self, request: RequestNumber) {
        let node = self.random.random_range(0..self.graph.server_count());
        let fresh_id = self.random.random();
        let state = &mut self.requests[request];
        state.sends += 1;
        // Only callers of the class refused last send an idempotency key,
        // from which the entry node derives the same id each time.
        let keyed = self.graph.classes[state.record.class].refusal_order == RefusalOrder::Last;
        let info = EntryInfo {
            entry: self.entries.len(),
            node,
            request: if keyed { state.id } else { fresh_id },
            fingerprint: state.fingerprint,
            team: state.record.team,
            class: state.record.class,
        };
        self.entries.push(EntryState {
            request,
            info,
            deadline: Duration::MAX,
            open: true,
            success: false,
            root: None,
            within_rate: false,
            extra_attempts: 0,
            work_s: 0.0,
        });
        let reached = HarnessEvent::EntryReached(info.entry);
        self.queue.schedule_after(self.graph.caller_delay, reached);
    }

    pub(super) fn entry_reached(&mut self, entry: EntryId) {
        let now = self.now();
        let info = self.entries[entry].info;
        let deadline = now + self.graph.classes[info.class].deadline;
        self.entries[entry].deadline = deadline;
        self.queue
            .schedule_at(deadline, HarnessEvent::EntryDeadline(entry));
        let reference = &mut self.reference_buckets[info.team];
        self.entries[entry].within_rate = reference.take(now) && reference.is_within_rate(now);
        let mut actions = Vec::new();
        match self.policy.admit_request(&info, &mut actions) {
            EntryDecision::Admit => self.forward_entry(entry),
            EntryDecision::Wait => {}
            EntryDecision::Refuse(cause) => self.refuse_entry(entry, cause),
        }
        self.apply_actions(actions);
    }

    /// Starts the first call of a request that its entry node admitted.
    pub(super) fn forward_entry(&mut self, entry: EntryId) {
        if !self.entries[entry].open {
            return;
        }
        let info = self.entries[entry].info;
        let now = self.now();
        if !self.admitted_buckets[info.team].take(now) {
            self.counters.over_issued += 1;
        }
        let route = self.graph.classes[info.class].route;
        self.start_hop(entry, None, route, info.node);
    }

    pub(super) fn refuse_entry(&mut self, entry: EntryId, cause: FailureCause) {
        let state = &self.entries[entry];
        if cause == FailureCause::RateExceeded && state.open {
            self.counters.rate_refused += 1;
            self.counters.rate_refused_within_rate += u64::from(state.within_rate);
        }
        self.requests[state.request].record.last_refusal = Some(cause);
        self.close_entry(entry, false);
    }

    /// Sends the outcome of an entry to its caller.
    pub(super) fn close_entry(&mut self, entry: EntryId, success: bool) {
        if !std::mem::replace(&mut self.entries[entry].open, false) {
            return;
        }
        let answered = HarnessEvent::CallerAnswered { entry, success };
        self.queue.schedule_after(self.graph.caller_delay, answered);
    }

    pub(super) fn entry_deadline(&mut self, entry: EntryId) {
        if !self.entries[entry].open {
            return;
        }
        self.close_entry(entry, false);
        let root = self.entries[entry].root;
        if let Some(root) = root.filter(|_| self.rules.propagates_cancellation) {
            self.cancel_hop(root);
        }
    }

    pub(super) fn caller_answered(&mut self, entry: EntryId, success: bool) {
        let now = self.now();
        let request = self.entries[entry].request;
        let state = &mut self.requests[request];
        if success {
            state.record.completed_at = state.record.completed_at.or(Some(now));
            state.record.last_refusal = None;
            self.entries[entry].success = true;
            return;
        }
        if state.record.poison {
            let delay = Duration::from_millis(POISON_PERIOD_MS);
            self.queue
                .schedule_after(delay, HarnessEvent::CallerSends(request));
            return;
        }
        let habit = self.scenario.caller_retries;
        if state.sends < habit.max_sends {
            let delay = habit.delay.mul_f64(self.random.random_range(0.5..1.5));
            self.queue
                .schedule_after(delay, HarnessEvent::CallerSends(request));
        }
    }
}
