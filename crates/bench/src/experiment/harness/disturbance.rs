//! Disturbances: slow, cold, crashing and draining backend servers.

use std::time::Duration;

use model::verdict::FailureCause;

use crate::experiment::graph::ServerIndex;
use crate::experiment::harness::Harness;
use crate::experiment::harness::POISON_FINGERPRINT;
use crate::experiment::harness::state::HarnessEvent;
use crate::experiment::policy::AttemptOutcome;
use crate::experiment::policy::ControlPolicy;
use crate::experiment::policy::RunOutcome;
use crate::experiment::policy::ServerChange;

/// Factor on the duration of work at a backend server that just started.
const COLD_SLOWDOWN: f64 = 4.0;
/// Time until a backend server reaches full speed after a start, in seconds.
const WARM_UP_S: f64 = 10.0;
/// Time from a crash of a backend server to its restart, in milliseconds.
const RESTART_MS: u64 = 2000;
/// Class and team of the request that crashes backend servers.
const POISON_CLASS: usize = 1;
const POISON_TEAM: usize = 0;

impl<P: ControlPolicy> Harness<P> {
    pub(super) fn schedule_disturbance(&mut self) {
        let (begin, end) = (self.scenario.begin, self.scenario.end);
        self.queue
            .schedule_at(begin, HarnessEvent::DisturbanceStarts);
        self.queue.schedule_at(end, HarnessEvent::DisturbanceEnds);
    }

    pub(super) fn start_disturbance(&mut self) {
        let bottleneck = self.graph.servers(self.graph.bottleneck);
        for server in bottleneck.clone() {
            self.backends[server].slowdown = self.scenario.bottleneck_slowdown;
        }
        if self.scenario.cold_start {
            for server in (0..self.graph.server_count()).step_by(2) {
                self.cold_since[server] = Some(self.now());
                self.change(server, ServerChange::Started);
            }
        }
        if self.scenario.drain {
            self.drained = Some(bottleneck.start);
            self.change(bottleneck.start, ServerChange::Draining);
        }
        if self.scenario.poison {
            let poison = self.create_request(POISON_CLASS, POISON_TEAM, POISON_FINGERPRINT, true);
            self.caller_sends(poison);
        }
    }

    pub(super) fn end_disturbance(&mut self) {
        for server in self.graph.servers(self.graph.bottleneck) {
            self.backends[server].slowdown = 1.0;
        }
    }

    /// Part of work starting now that falls into the disturbance, in seconds.
    pub(super) fn seconds_in_disturbance(&self, work: Duration) -> f64 {
        let begin = self.now().max(self.scenario.begin);
        let end = (self.now() + work).min(self.scenario.end);
        end.saturating_sub(begin).as_secs_f64()
    }

    /// Current factor on the duration of work at a backend server.
    pub(super) fn slowdown(&self, server: ServerIndex) -> f64 {
        let cold = self.cold_since[server].map_or(1.0, |since| {
            let age_s = self.now().saturating_sub(since).as_secs_f64();
            let left = (1.0 - age_s / WARM_UP_S).max(0.0);
            1.0 + (COLD_SLOWDOWN - 1.0) * left
        });
        self.backends[server].slowdown * cold
    }

    pub(super) fn crash(&mut self, server: ServerIndex) {
        if !self.backends[server].is_up {
            return;
        }
        self.counters.crashes += 1;
        let lost = self.backends[server].crash();
        self.change(server, ServerChange::Crashed);
        for call in lost {
            let child = self.calls[call].child.take();
            let outcome = AttemptOutcome::Failure {
                cause: FailureCause::ConnectionLost,
                not_run: false,
            };
            self.end_call(call, RunOutcome::ServerCrashed, Some(outcome));
            if let Some(child) = child.filter(|_| self.rules.propagates_cancellation) {
                self.cancel_hop(child);
            }
        }
        let restart = HarnessEvent::Restart(server);
        self.queue
            .schedule_after(Duration::from_millis(RESTART_MS), restart);
    }

    pub(super) fn restart(&mut self, server: ServerIndex) {
        self.backends[server].is_up = true;
        self.change(server, ServerChange::Started);
    }

    fn change(&mut self, server: ServerIndex, change: ServerChange) {
        let mut actions = Vec::new();
        self.policy.server_changed(server, change, &mut actions);
        self.apply_actions(actions);
    }
}
