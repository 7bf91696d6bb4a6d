//! Baseline without overload control: three attempts per hop, no deadline
//! propagation, no limit.

use std::time::Duration;

use model::verdict::FailureCause;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::experiment::graph::CallGraph;
use crate::experiment::graph::ServerIndex;
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

/// Attempts per hop.
const ATTEMPTS: u32 = 3;
/// Timeout of one attempt, in milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 500;

/// Random load balancing over the backend servers that accept new work, for the
/// policies without health checks of their own.
#[derive(Debug)]
pub struct RandomPicker {
    graph: CallGraph,
    accepting: Vec<bool>,
    random: StdRng,
}

impl RandomPicker {
    /// Creates a picker over all backend servers.
    #[must_use]
    pub fn new(setup: &PolicySetup) -> Self {
        Self {
            accepting: vec![true; setup.graph.server_count()],
            graph: setup.graph.clone(),
            random: StdRng::seed_from_u64(setup.seed),
        }
    }

    /// Picks a backend server at random.
    ///
    /// # Errors
    ///
    /// Fails when none accepts new work.
    pub fn choose(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause> {
        let servers = self.graph.servers(call.service);
        let open: Vec<_> = servers.filter(|server| self.accepting[*server]).collect();
        if open.is_empty() {
            return Err(FailureCause::NoBackend);
        }
        Ok(open[self.random.random_range(0..open.len())])
    }

    /// Records whether a backend server accepts new work.
    pub fn record_change(&mut self, server: ServerIndex, change: ServerChange) {
        self.accepting[server] = change == ServerChange::Started;
    }
}

/// Policy without overload control.
#[derive(Debug)]
pub struct NoControlPolicy {
    picker: RandomPicker,
}

impl ControlPolicy for NoControlPolicy {
    type Timer = ();

    const NAME: &'static str = "no-control";

    fn new(setup: PolicySetup, _actions: &mut PolicyActions<()>) -> Self {
        Self {
            picker: RandomPicker::new(&setup),
        }
    }

    fn rules(&self) -> HopRules {
        HopRules {
            attempt_timeout: Some(Duration::from_millis(ATTEMPT_TIMEOUT_MS)),
            propagates_cancellation: false,
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

    fn admit_call(&mut self, _call: &CallInfo, _actions: &mut PolicyActions<()>) -> CallDecision {
        CallDecision::Run
    }

    fn call_ended(&mut self, _call: &CallInfo, _end: RunOutcome, _actions: &mut PolicyActions<()>) {
    }

    fn reply_sent(&mut self, _call: &CallInfo) {}

    fn response_received(
        &mut self,
        call: &CallInfo,
        outcome: AttemptOutcome,
        _latency: Duration,
    ) -> bool {
        outcome != AttemptOutcome::Success && call.earlier_attempts + 1 < ATTEMPTS
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
