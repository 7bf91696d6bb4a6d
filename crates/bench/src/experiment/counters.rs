//! Counts that the harness takes while it runs.

use std::time::Duration;

use model::declaration::RefusalOrder;
use model::verdict::FailureCause;

use crate::experiment::graph::CallGraph;
use crate::experiment::graph::ClassIndex;
use crate::experiment::graph::TeamIndex;

/// Length of one step of the time series, in milliseconds.
pub const STEP_MS: u64 = 100;

/// One request of a caller over all its sendings.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Team of the caller.
    pub team: TeamIndex,
    /// Class of the request.
    pub class: ClassIndex,
    /// When it was sent first.
    pub first_sent_at: Duration,
    /// When its whole answer came, if it did.
    pub completed_at: Option<Duration>,
    /// Why it was refused last, if it was refused at the entry node.
    pub last_refusal: Option<FailureCause>,
    /// Whether it kills backend servers.
    pub poison: bool,
}

/// Starts and refusals of one backend service in one step of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceStep {
    /// Calls of the class refused last that were refused for load.
    pub last_refused: u32,
    /// Calls of other classes that were started.
    pub lower_started: u32,
}

/// All counts of one run.
#[derive(Clone, Debug)]
pub struct RunCounters {
    /// Requests, in the order of their first sending.
    pub requests: Vec<RequestRecord>,
    /// Calls sent, every attempt counted.
    pub attempts: u64,
    /// Calls sent, attempts of the same call counted once.
    pub first_attempts: u64,
    /// Most extra attempts that one sending of a request led to.
    pub extra_attempts_max: u32,
    /// Requests refused for their team's rate.
    pub rate_refused: u64,
    /// Those of them whose team was within its rate.
    pub rate_refused_within_rate: u64,
    /// Requests sent on beyond what a central bucket allows.
    pub over_issued: u64,
    /// Backend servers that died.
    pub crashes: u32,
    /// Work done by backend servers for sendings that failed, in seconds.
    pub wasted_work_s: f64,
    /// All work done by backend servers, in seconds.
    pub work_s: f64,
    /// When a draining backend server was given a call last.
    pub last_call_to_draining: Option<Duration>,
    /// Refusals said to be "not run" of calls whose backend server worked on them.
    pub false_not_run: u64,
    /// Work done at the deep service while the cause lasted, in seconds of one slot.
    pub bottleneck_work_s: f64,
    /// Requests that kill nothing and are in quarantine at the end.
    pub innocent_quarantined: u64,
    services: Vec<Vec<ServiceStep>>,
}

impl RunCounters {
    /// Creates a tally for a run of length `total`.
    #[must_use]
    pub fn new(graph: &CallGraph, total: Duration) -> Self {
        let steps = step_of(total) + 1;
        Self {
            requests: Vec::new(),
            attempts: 0,
            first_attempts: 0,
            extra_attempts_max: 0,
            rate_refused: 0,
            rate_refused_within_rate: 0,
            over_issued: 0,
            crashes: 0,
            wasted_work_s: 0.0,
            work_s: 0.0,
            last_call_to_draining: None,
            false_not_run: 0,
            bottleneck_work_s: 0.0,
            innocent_quarantined: 0,
            services: vec![vec![ServiceStep::default(); steps]; graph.services.len()],
        }
    }

    /// Counts a call that was started at a service.
    pub fn record_start(&mut self, service: usize, order: RefusalOrder, now: Duration) {
        if order != RefusalOrder::Last {
            self.services[service][step_of(now)].lower_started += 1;
        }
    }

    /// Counts a call that was refused for load at a service.
    pub fn record_refusal(&mut self, service: usize, order: RefusalOrder, now: Duration) {
        if order == RefusalOrder::Last {
            self.services[service][step_of(now)].last_refused += 1;
        }
    }

    /// Counts calls of the class refused last that were refused while lower
    /// ones were started at the same service, in this step and the one before.
    #[must_use]
    pub fn priority_inversions(&self) -> u64 {
        let inverted = |step: &ServiceStep| step.last_refused > 0 && step.lower_started > 0;
        let of_service = |steps: &Vec<ServiceStep>| -> u64 {
            let pairs = steps.windows(2);
            pairs
                .filter(|pair| inverted(&pair[0]) && inverted(&pair[1]))
                .map(|pair| u64::from(pair[1].last_refused))
                .sum()
        };
        self.services.iter().map(of_service).sum()
    }
}

/// Returns the step of the time series that a time falls into.
#[must_use]
pub fn step_of(time: Duration) -> usize {
    usize::try_from(time.as_millis() / u128::from(STEP_MS)).unwrap_or(usize::MAX)
}
