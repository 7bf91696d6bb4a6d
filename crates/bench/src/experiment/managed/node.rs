//! State of one node.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::AdaptiveLimiter;
use admit::CrashQuarantine;
use admit::RequestRanker;
use admit::ThresholdTable;
use clock::Clock;
use clock::VirtualClock;
use limit::ResendTracker;
use limit::RetryBudget;
use limit::TokenHolder;
use model::context::ServerLoad;
use model::exchange::CrashReport;
use model::exchange::MemberRecord;
use model::exchange::ServerState;
use model::ids::ServiceName;
use model::ids::TeamName;
use route::TwoChoicePicker;

use crate::experiment::backend::AttemptId;
use crate::experiment::managed::PERIOD_MS;
use crate::experiment::policy::EntryInfo;

/// Window in which repeated sends of a request are counted, in seconds.
const RESEND_WINDOW_S: u64 = 60;
/// Repeated sends of a request by its caller that one node accepts.
const CALLER_RESENDS: u16 = 3;
/// Number of requests whose repeated sends are counted.
const RESEND_CAPACITY: usize = 65_536;

/// A load report, kept until it has the age that the scenario requires.
struct LoadSample {
    at: Instant,
    load: ServerLoad,
}

/// State of one node.
pub(super) struct NodeState {
    pub(super) limiter: AdaptiveLimiter<VirtualClock>,
    pub(super) thresholds: ThresholdTable<VirtualClock>,
    pub(super) ranker: RequestRanker<VirtualClock>,
    pub(super) pickers: Vec<TwoChoicePicker<VirtualClock>>,
    pub(super) holders: Vec<TokenHolder<VirtualClock>>,
    pub(super) quarantine: CrashQuarantine<VirtualClock>,
    pub(super) resends: ResendTracker<VirtualClock>,
    /// Requests that wait for a token.
    pub(super) waiting_for_token: VecDeque<EntryInfo>,
    /// Calls in the queue of the limiter.
    pub(super) waiting: HashSet<AttemptId>,
    pub(super) reports: Vec<CrashReport>,
    pub(super) crash_count: u32,
    pub(super) state: ServerState,
    /// Whether an exchange is in progress, or the minimum time after the last one has not passed.
    pub(super) exchange_in_progress: bool,
    /// Whether another exchange must follow as soon as possible.
    pub(super) exchange_wanted: bool,
    pub(super) retry_budget: RetryBudget,
    samples: VecDeque<LoadSample>,
}

impl NodeState {
    pub(super) fn new(clock: &VirtualClock, service: ServiceName, teams: &[TeamName]) -> Self {
        let prefetch = Duration::from_millis(2 * PERIOD_MS);
        let holder = |team: &TeamName| TokenHolder::new(team.clone(), prefetch, clock.clone());
        let window = Duration::from_secs(RESEND_WINDOW_S);
        Self {
            limiter: AdaptiveLimiter::new(clock.clone()),
            thresholds: ThresholdTable::new(clock.clone()),
            ranker: RequestRanker::new(clock.clone()),
            pickers: Vec::new(),
            holders: teams.iter().map(holder).collect(),
            quarantine: CrashQuarantine::new(clock.clone(), service),
            resends: ResendTracker::new(window, CALLER_RESENDS, RESEND_CAPACITY, clock.clone()),
            waiting_for_token: VecDeque::new(),
            waiting: HashSet::new(),
            reports: Vec::new(),
            crash_count: 0,
            state: ServerState::Ready,
            exchange_in_progress: false,
            exchange_wanted: false,
            retry_budget: RetryBudget::default(),
            samples: VecDeque::new(),
        }
    }

    /// Updates the load balancers with the members of all services.
    pub(super) fn update_members(
        &mut self,
        clock: &VirtualClock,
        members: &[MemberRecord],
        services: &[ServiceName],
        data_centre: usize,
    ) {
        if self.pickers.is_empty() {
            let name: Arc<str> = Arc::from(format!("dc{data_centre}").as_str());
            let picker = |_| TwoChoicePicker::new(clock.clone(), name.clone());
            self.pickers = services.iter().map(picker).collect();
        }
        for (picker, service) in self.pickers.iter_mut().zip(services) {
            let of_service = members.iter().filter(|member| member.service == *service);
            let records: Vec<_> = of_service.cloned().collect();
            picker.update(&records);
        }
    }

    /// Returns the load report that is `lag` old.
    pub(super) fn reported_load(&mut self, clock: &VirtualClock, lag: Duration) -> ServerLoad {
        let load = self.limiter.load();
        if lag.is_zero() {
            return load;
        }
        let at = clock.now();
        self.samples.push_back(LoadSample { at, load });
        while self.samples.len() > 1 && self.samples[1].at + lag <= at {
            self.samples.pop_front();
        }
        self.samples.front().map_or(load, |sample| sample.load)
    }
}
