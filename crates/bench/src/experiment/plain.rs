//! No control: three attempts per layer, no deadline passed on, no limit.

use std::time::Duration;

use model::verdict::FailureCause;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

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
use crate::experiment::graph::UserGraph;

/// Attempts of each layer.
const ATTEMPTS: u32 = 3;
/// Timeout of one attempt, in milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 500;

/// Backend servers that take new work, for columns without health checks of their own.
#[derive(Debug)]
pub struct RandomChoice {
    graph: UserGraph,
    taking: Vec<bool>,
    random: StdRng,
}

impl RandomChoice {
    /// Creates a choice among all backend servers.
    #[must_use]
    pub fn new(setup: &ControlSetup) -> Self {
        Self {
            taking: vec![true; setup.graph.server_count()],
            graph: setup.graph.clone(),
            random: StdRng::seed_from_u64(setup.seed),
        }
    }

    /// Chooses one at random.
    ///
    /// # Errors
    ///
    /// Fails when none takes new work.
    pub fn choose(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause> {
        let servers = self.graph.servers(call.service);
        let open: Vec<_> = servers.filter(|server| self.taking[*server]).collect();
        if open.is_empty() {
            return Err(FailureCause::NoBackend);
        }
        Ok(open[self.random.random_range(0..open.len())])
    }

    /// Notes whether a backend server takes new work.
    pub fn changed(&mut self, server: ServerIndex, change: ServerChange) {
        self.taking[server] = change == ServerChange::Started;
    }
}

/// Column without any control.
#[derive(Debug)]
pub struct NoControl {
    choice: RandomChoice,
}

impl CallControl for NoControl {
    type Timer = ();

    const NAME: &'static str = "no-control";

    fn new(setup: ControlSetup, _actions: &mut ControlActions<()>) -> Self {
        Self {
            choice: RandomChoice::new(&setup),
        }
    }

    fn rules(&self) -> HopRules {
        HopRules {
            attempt_timeout: Some(Duration::from_millis(ATTEMPT_TIMEOUT_MS)),
            cancels: false,
        }
    }

    fn enter(&mut self, _entry: &EntryInfo, _actions: &mut ControlActions<()>) -> EntryDecision {
        EntryDecision::Enter
    }

    fn choose(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause> {
        self.choice.choose(call)
    }

    fn offer(&mut self, _call: &CallInfo, _actions: &mut ControlActions<()>) -> OfferDecision {
        OfferDecision::Run
    }

    fn ended(&mut self, _call: &CallInfo, _end: RunEnd, _actions: &mut ControlActions<()>) {}

    fn reply(&mut self, _call: &CallInfo) {}

    fn answered(&mut self, call: &CallInfo, answer: CallAnswer, _latency: Duration) -> bool {
        answer != CallAnswer::Success && call.earlier_attempts + 1 < ATTEMPTS
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
