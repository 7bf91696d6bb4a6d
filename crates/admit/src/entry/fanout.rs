//! Fan-out of each route: the calls that one run makes on other routes, learned from counts.

use std::collections::HashMap;
use std::collections::HashSet;

use model::entry::RouteCalls;
use model::entry::RouteExecutions;
use model::ids::RouteName;

/// Factor by which earlier counts decay with each window of one backend server.
const WINDOW_DECAY: f64 = 0.995;
/// Number of runs below which a mean is not used.
const RUNS_MIN: f64 = 5.0;
/// Number of runs from which on a mean is kept while backend servers refuse calls.
const RUNS_SETTLED: f64 = 200.0;

/// Decayed counts of the runs on one route and of the calls that they made.
#[derive(Clone, Debug, Default)]
struct FanoutCounts {
    runs: f64,
    calls: HashMap<RouteName, f64>,
}

/// Calls that one run makes, by the calling route and the called route.
#[derive(Clone, Debug, Default)]
pub(super) struct CallFanout {
    by_caller: HashMap<RouteName, FanoutCounts>,
}

impl CallFanout {
    /// Adds one window of one backend server.
    ///
    /// With `keep_settled`, routes whose means rest on enough runs are left out: while servers
    /// refuse calls, runs end early and make fewer calls than they need.
    pub(super) fn add_window(
        &mut self,
        runs: &[RouteExecutions],
        calls: &[RouteCalls],
        keep_settled: bool,
    ) {
        let settled: HashSet<&RouteName> = runs
            .iter()
            .map(|run| &run.route)
            .chain(calls.iter().map(|call| &call.parent))
            .filter(|route| keep_settled && self.is_settled(route))
            .collect();
        for run in runs.iter().filter(|run| !settled.contains(&run.route)) {
            let counts = self.by_caller.entry(run.route.clone()).or_default();
            counts.runs = counts.runs * WINDOW_DECAY + f64::from(run.started);
            for calls in counts.calls.values_mut() {
                *calls *= WINDOW_DECAY;
            }
        }
        for call in calls.iter().filter(|call| !settled.contains(&call.parent)) {
            let counts = self.by_caller.entry(call.parent.clone()).or_default();
            *counts.calls.entry(call.route.clone()).or_default() += f64::from(call.count);
        }
    }

    fn is_settled(&self, route: &RouteName) -> bool {
        let counts = self.by_caller.get(route);
        counts.is_some_and(|counts| counts.runs >= RUNS_SETTLED)
    }

    /// Returns the mean number of calls that one run on `route` makes on each other route.
    pub(super) fn calls_per_run(
        &self,
        route: &RouteName,
    ) -> impl Iterator<Item = (&RouteName, f64)> {
        let counts = self.by_caller.get(route);
        let counts = counts.filter(|counts| counts.runs >= RUNS_MIN);
        counts.into_iter().flat_map(|counts| {
            let calls = counts.calls.iter();
            calls.map(|(route, calls)| (route, calls / counts.runs))
        })
    }
}
