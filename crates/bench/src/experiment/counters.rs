//! Counters that the harness updates during a run.

use std::time::Duration;

use model::declaration::RefusalOrder;
use model::verdict::FailureCause;

use crate::experiment::graph::CallGraph;
use crate::experiment::graph::ClassIndex;
use crate::experiment::graph::TeamIndex;

/// Length of one step of the time series, in milliseconds.
pub const STEP_MS: u64 = 100;

/// One request of a caller, over all the times it was sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Team of the caller.
    pub team: TeamIndex,
    /// Class of the request.
    pub class: ClassIndex,
    /// When it was first sent.
    pub first_sent_at: Duration,
    /// When the complete response arrived, if it did.
    pub completed_at: Option<Duration>,
    /// Cause of the last refusal at the entry node, if any.
    pub last_refusal: Option<FailureCause>,
    /// Whether it crashes the backend servers that run it.
    pub poison: bool,
}

/// Starts and refusals at one service in one time step.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceStep {
    /// Calls of the class refused last that were refused because of overload.
    pub last_refused: u32,
    /// Calls of other classes that were started.
    pub lower_started: u32,
}

/// All counters of one run.
#[derive(Clone, Debug)]
pub struct RunCounters {
    /// Requests, in the order in which they were first sent.
    pub requests: Vec<RequestRecord>,
    /// Calls sent, counting every attempt.
    pub attempts: u64,
    /// Calls sent, counting only the first attempt of each hop.
    pub first_attempts: u64,
    /// Largest number of retries inside the system that one send of a request caused.
    pub extra_attempts_max: u32,
    /// Requests refused because of their team's rate limit.
    pub rate_refused: u64,
    /// Requests among [`Self::rate_refused`] whose team was within its rate.
    pub rate_refused_within_rate: u64,
    /// Requests admitted beyond what a central token bucket allows.
    pub over_issued: u64,
    /// Crashes of backend servers.
    pub crashes: u32,
    /// Work of backend servers on sends that failed, in seconds.
    pub wasted_work_s: f64,
    /// All work of backend servers, in seconds.
    pub work_s: f64,
    /// When the draining backend server last received a call.
    pub last_call_to_draining: Option<Duration>,
    /// Responses that said "not run" although the backend server had worked on the call.
    pub false_not_run: u64,
    /// Work of the bottleneck service during the disturbance, in slot-seconds.
    pub bottleneck_work_s: f64,
    /// Requests that crash nothing but are in quarantine at the end of the run.
    pub innocent_quarantined: u64,
    services: Vec<Vec<ServiceStep>>,
}

impl RunCounters {
    /// Creates zeroed counters for a run of length `total`.
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

    /// Counts a call that started at a service.
    pub fn record_start(&mut self, service: usize, order: RefusalOrder, now: Duration) {
        if order != RefusalOrder::Last {
            self.services[service][step_of(now)].lower_started += 1;
        }
    }

    /// Counts a call that a service refused because of overload.
    pub fn record_refusal(&mut self, service: usize, order: RefusalOrder, now: Duration) {
        if order == RefusalOrder::Last {
            self.services[service][step_of(now)].last_refused += 1;
        }
    }

    /// Counts calls of the class refused last that were refused while calls of
    /// other classes started at the same service, in the same and the previous step.
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

/// Returns the step of the time series that contains `time`.
#[must_use]
pub fn step_of(time: Duration) -> usize {
    usize::try_from(time.as_millis() / u128::from(STEP_MS)).unwrap_or(usize::MAX)
}
