//! A plain static limit at each backend server, with deadlines passed on.

use std::time::Duration;

use model::verdict::FailureCause;

use crate::experiment::control::CallAnswer;
use crate::experiment::control::CallControl;
use crate::experiment::control::CallInfo;
use crate::experiment::control::ControlActions;
use crate::experiment::control::ControlSetup;
use crate::experiment::control::EntryDecision;
use crate::experiment::control::EntryInfo;
use crate::experiment::control::HopRules;
use crate::experiment::control::OfferDecision;
use crate::experiment::control::RunEnd;
use crate::experiment::control::ServerChange;
use crate::experiment::graph::ServerIndex;
use crate::experiment::plain::RandomChoice;

/// Attempts of each layer, as a refused call may find room at another backend server.
const ATTEMPTS: u32 = 2;

/// Column with as many calls at each backend server as it has slots.
#[derive(Debug)]
pub struct FixedLimit {
    choice: RandomChoice,
    limits: Vec<usize>,
    in_flight: Vec<usize>,
}

impl CallControl for FixedLimit {
    type Timer = ();

    const NAME: &'static str = "static-limit";

    fn new(setup: ControlSetup, _actions: &mut ControlActions<()>) -> Self {
        let graph = &setup.graph;
        let servers = 0..graph.server_count();
        let slots = |server| graph.services[graph.service_of(server)].slots;
        Self {
            limits: servers.map(slots).collect(),
            in_flight: vec![0; graph.server_count()],
            choice: RandomChoice::new(&setup),
        }
    }

    fn rules(&self) -> HopRules {
        HopRules {
            attempt_timeout: None,
            cancels: true,
        }
    }

    fn enter(&mut self, _entry: &EntryInfo, _actions: &mut ControlActions<()>) -> EntryDecision {
        EntryDecision::Enter
    }

    fn choose(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause> {
        self.choice.choose(call)
    }

    fn offer(&mut self, call: &CallInfo, _actions: &mut ControlActions<()>) -> OfferDecision {
        let server = call.receiver;
        if self.in_flight[server] >= self.limits[server] {
            return OfferDecision::Refuse(FailureCause::Overloaded);
        }
        self.in_flight[server] += 1;
        OfferDecision::Run
    }

    fn ended(&mut self, call: &CallInfo, _end: RunEnd, _actions: &mut ControlActions<()>) {
        self.in_flight[call.receiver] -= 1;
    }

    fn reply(&mut self, _call: &CallInfo) {}

    fn answered(&mut self, call: &CallInfo, answer: CallAnswer, _latency: Duration) -> bool {
        let refused = matches!(answer, CallAnswer::Failure { not_run: true, .. });
        refused && call.earlier_attempts + 1 < ATTEMPTS
    }

    fn abandoned(&mut self, _call: &CallInfo) {}

    fn timer(&mut self, _timer: (), _actions: &mut ControlActions<()>) {}

    fn server_changed(
        &mut self,
        server: ServerIndex,
        change: ServerChange,
        _actions: &mut ControlActions<()>,
    ) {
        self.choice.changed(server, change);
    }
}
