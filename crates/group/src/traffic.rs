//! The leader's plan of traffic between data centres, with its log lines and metrics.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use fleet::FleetConfig;
use fleet::NodeAddresses;
use fleet::NodeRecord;
use metrics::ProcessMetrics;
use model::entry::WorkReport;
use model::traffic::TrafficShare;
use route::NodePlace;
use route::TrafficCosts;
use route::TrafficPlanner;
use settings::TrafficSettings;

use crate::registry::NodeRegistry;

/// Longest time for which a new leader waits for the nodes that it knows from the log before it
/// issues a plan, in milliseconds.
const NODES_WAIT_MS: u64 = 1_500;
/// Factor from a fraction to thousandths.
const MILLI: f64 = 1000.0;

/// Plan of traffic between data centres, while the deployment calls for one.
#[derive(Debug)]
pub(crate) struct TrafficState {
    settings: Option<TrafficSettings>,
    metrics: ProcessMetrics,
    active: Option<ActivePlan>,
}

#[derive(Debug)]
struct ActivePlan {
    planner: TrafficPlanner,
    gauges: ShareGauges,
}

impl TrafficState {
    /// Creates the state of a new leader that does not know the configuration yet.
    pub(crate) fn new(settings: Option<TrafficSettings>, metrics: ProcessMetrics) -> Self {
        let mut state = Self {
            settings,
            metrics,
            active: None,
        };
        state.configure(None);
        state
    }

    /// Starts or stops planning, as the settings and the configuration in force call for.
    pub(crate) fn configure(&mut self, config: Option<&FleetConfig>) {
        let mut routes = config.into_iter().flat_map(|config| &config.routes);
        let is_needed = self.settings.is_some() || routes.any(|route| route.large_bodies);
        if !is_needed {
            self.active = None;
        } else if self.active.is_none() {
            let settings = self.settings.clone().unwrap_or_default();
            self.active = Some(ActivePlan {
                planner: TrafficPlanner::new(TrafficCosts {
                    leave_cost: settings.leave_cost,
                    network_delay: settings.network_delay,
                }),
                gauges: ShareGauges::new(self.metrics.clone()),
            });
        }
    }

    /// Adds a node's report of its last window.
    ///
    /// `slots` is the room of its backend server: 0 if that may get no calls.
    pub(crate) fn add_report(
        &mut self,
        record: &NodeRecord,
        slots: u32,
        work: &WorkReport,
        now: Instant,
    ) {
        let Some(active) = &mut self.active else {
            return;
        };
        let place = NodePlace {
            data_centre: record.data_centre.clone(),
            service: record.service.clone(),
            slots,
        };
        active.planner.add_report(record.node, place, work, now);
    }

    /// Returns the shares for the nodes of the data centre `origin`; `None` where no traffic is
    /// planned, or while too few nodes have reported to a new leader.
    pub(crate) fn shares_of(
        &mut self,
        origin: &str,
        registry: &NodeRegistry,
        node_addresses: &NodeAddresses,
        now: Instant,
    ) -> Option<Vec<TrafficShare>> {
        let active = self.active.as_mut()?;
        let wait = Duration::from_millis(NODES_WAIT_MS);
        if !registry.has_waited_for(node_addresses, wait, now) {
            return None;
        }
        if active.planner.update(now) {
            active.log_changes();
            active.gauges.show(&active.planner);
        }
        Some(active.planner.shares_of(origin))
    }
}

impl ActivePlan {
    fn log_changes(&mut self) {
        for (service, plan) in self.planner.describe_changes() {
            tracing::info!(event = "traffic-planned", service = %service, plan = %plan);
        }
    }
}

/// Gauges of the planned shares, in thousandths; 0 once a share is no longer planned here.
#[derive(Debug)]
struct ShareGauges {
    metrics: ProcessMetrics,
    /// Names of the gauges above 0.
    shown: BTreeSet<String>,
}

impl ShareGauges {
    const fn new(metrics: ProcessMetrics) -> Self {
        Self {
            metrics,
            shown: BTreeSet::new(),
        }
    }

    fn show(&mut self, planner: &TrafficPlanner) {
        let mut showing = BTreeSet::new();
        for share in planner.shares() {
            let (service, origin) = (&share.service, &share.origin);
            let gauge = format!("traffic-share:{service}:{origin}:{}", share.destination);
            self.metrics.set(&gauge, to_milli(share.share));
            showing.insert(gauge);
        }
        for gauge in self.shown.difference(&showing) {
            self.metrics.set(gauge, 0);
        }
        self.shown = showing;
    }
}

impl Drop for ShareGauges {
    fn drop(&mut self) {
        for gauge in &self.shown {
            self.metrics.set(gauge, 0);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a fraction lies between 0 and 1"
)]
fn to_milli(fraction: f64) -> u64 {
    (fraction * MILLI).round() as u64
}
