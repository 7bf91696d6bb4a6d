//! Baseline with a static concurrency limit per backend server and deadline propagation.

use std::time::Duration;

use model::verdict::FailureCause;

use crate::experiment::graph::ServerIndex;
use crate::experiment::no_control::RandomPicker;
use crate::experiment::policy::AttemptOutcome;
use crate::experiment::policy::CallDecision;
use crate::experiment::policy::CallInfo;
use crate::experiment::policy::ControlPolicy;
use crate::experiment::policy::EntryDecision;
use crate::experiment::policy::EntryInfo;
use crate::experiment::policy::HopRules;
use crate::experiment::policy::PolicyActions;
use crate::experiment::policy::PolicySetup;
use crate::experiment::policy::RunOutcome;
use crate::experiment::policy::ServerChange;

/// Attempts per hop: a second backend server may have room for a refused call.
const ATTEMPTS: u32 = 2;

/// Policy that limits the calls at each backend server to its slots.
#[derive(Debug)]
pub struct StaticLimitPolicy {
    picker: RandomPicker,
    limits: Vec<usize>,
    in_flight: Vec<usize>,
}

impl ControlPolicy for StaticLimitPolicy {
    type Timer = ();

    const NAME: &'static str = "static-limit";

    fn new(setup: PolicySetup, _actions: &mut PolicyActions<()>) -> Self {
        let graph = &setup.graph;
        let servers = 0..graph.server_count();
        let slots = |server| graph.services[graph.service_of(server)].slots;
        Self {
            limits: servers.map(slots).collect(),
            in_flight: vec![0; graph.server_count()],
            picker: RandomPicker::new(&setup),
        }
    }

    fn rules(&self) -> HopRules {
        HopRules {
            attempt_timeout: None,
            propagates_cancellation: true,
        }
    }

    fn admit_request(
        &mut self,
        _entry: &EntryInfo,
        _actions: &mut PolicyActions<()>,
    ) -> EntryDecision {
        EntryDecision::Admit
    }

    fn choose(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause> {
        self.picker.choose(call)
    }

    fn admit_call(&mut self, call: &CallInfo, _actions: &mut PolicyActions<()>) -> CallDecision {
        let server = call.receiver;
        if self.in_flight[server] >= self.limits[server] {
            return CallDecision::Refuse(FailureCause::Overloaded);
        }
        self.in_flight[server] += 1;
        CallDecision::Run
    }

    fn call_ended(&mut self, call: &CallInfo, _end: RunOutcome, _actions: &mut PolicyActions<()>) {
        self.in_flight[call.receiver] -= 1;
    }

    fn reply_sent(&mut self, _call: &CallInfo) {}

    fn response_received(
        &mut self,
        call: &CallInfo,
        outcome: AttemptOutcome,
        _latency: Duration,
    ) -> bool {
        let refused = matches!(outcome, AttemptOutcome::Failure { not_run: true, .. });
        refused && call.earlier_attempts + 1 < ATTEMPTS
    }

    fn call_abandoned(&mut self, _call: &CallInfo) {}

    fn handle_timer(&mut self, _timer: (), _actions: &mut PolicyActions<()>) {}

    fn server_changed(
        &mut self,
        server: ServerIndex,
        change: ServerChange,
        _actions: &mut PolicyActions<()>,
    ) {
        self.picker.record_change(server, change);
    }
}
