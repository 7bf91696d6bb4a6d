//! How many calls one run on a route makes on each other route, learned from counts.

use std::collections::HashMap;

use model::entry::RouteCalls;
use model::entry::RouteExecutions;
use model::ids::RouteName;

/// Part of what was learned that a window of one backend server leaves.
const KEPT_PART: f64 = 0.995;
/// Runs after which a mean is believed.
const RUNS_MIN: f64 = 5.0;

/// Runs on one route, and the calls that they made.
#[derive(Clone, Debug, Default)]
struct RouteSums {
    runs: f64,
    calls: HashMap<RouteName, f64>,
}

/// Calls that one run makes, by the route that runs and the route that is called.
#[derive(Clone, Debug, Default)]
pub(super) struct CallCosts {
    by_run: HashMap<RouteName, RouteSums>,
}

impl CallCosts {
    /// Learns from one window of one backend server.
    pub(super) fn learn(&mut self, runs: &[RouteExecutions], calls: &[RouteCalls]) {
        for run in runs {
            let sums = self.by_run.entry(run.route.clone()).or_default();
            sums.runs = sums.runs * KEPT_PART + f64::from(run.started);
            for calls in sums.calls.values_mut() {
                *calls *= KEPT_PART;
            }
        }
        for call in calls {
            let sums = self.by_run.entry(call.parent.clone()).or_default();
            *sums.calls.entry(call.route.clone()).or_default() += f64::from(call.count);
        }
    }

    /// Returns the calls that one run on `route` makes.
    pub(super) fn of(&self, route: &RouteName) -> impl Iterator<Item = (&RouteName, f64)> {
        let sums = self.by_run.get(route);
        let sums = sums.filter(|sums| sums.runs >= RUNS_MIN);
        sums.into_iter().flat_map(|sums| {
            let calls = sums.calls.iter();
            calls.map(|(route, calls)| (route, calls / sums.runs))
        })
    }
}
