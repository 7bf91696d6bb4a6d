//! What one node keeps.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::AdmitGate;
use admit::CutBook;
use admit::StandingBook;
use admit::TrialBook;
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

/// Window in which re-sends of a request are counted, in seconds.
const RESEND_WINDOW_S: u64 = 60;
/// Re-sends of a request by its caller that one node takes.
const CALLER_RESENDS: u16 = 3;
/// Requests remembered for that.
const RESEND_CAPACITY: usize = 65_536;
/// A load report that waits until it has the age that the scenario asks for.
struct LoadSample {
    at: Instant,
    load: ServerLoad,
}

/// One node with its books.
pub(super) struct NodeSide {
    pub(super) gate: AdmitGate<VirtualClock>,
    pub(super) cuts: CutBook<VirtualClock>,
    pub(super) standings: StandingBook<VirtualClock>,
    pub(super) pickers: Vec<TwoChoicePicker<VirtualClock>>,
    pub(super) holders: Vec<TokenHolder<VirtualClock>>,
    pub(super) trials: TrialBook<VirtualClock>,
    pub(super) resends: ResendTracker<VirtualClock>,
    /// Requests that wait for a token.
    pub(super) thirsty: VecDeque<EntryInfo>,
    /// Calls that wait at the gate.
    pub(super) waiting: HashSet<AttemptId>,
    pub(super) reports: Vec<CrashReport>,
    pub(super) crash_count: u32,
    pub(super) state: ServerState,
    /// Whether an exchange is under way or was just made.
    pub(super) busy: bool,
    /// Whether another exchange is wanted as soon as possible.
    pub(super) wanted: bool,
    pub(super) budget: RetryBudget,
    samples: VecDeque<LoadSample>,
}

impl NodeSide {
    pub(super) fn new(clock: &VirtualClock, service: ServiceName, teams: &[TeamName]) -> Self {
        let ahead = Duration::from_millis(2 * PERIOD_MS);
        let holder = |team: &TeamName| TokenHolder::new(team.clone(), ahead, clock.clone());
        let window = Duration::from_secs(RESEND_WINDOW_S);
        Self {
            gate: AdmitGate::new(clock.clone()),
            cuts: CutBook::new(clock.clone()),
            standings: StandingBook::new(clock.clone()),
            pickers: Vec::new(),
            holders: teams.iter().map(holder).collect(),
            trials: TrialBook::new(clock.clone(), service),
            resends: ResendTracker::new(window, CALLER_RESENDS, RESEND_CAPACITY, clock.clone()),
            thirsty: VecDeque::new(),
            waiting: HashSet::new(),
            reports: Vec::new(),
            crash_count: 0,
            state: ServerState::Ready,
            busy: false,
            wanted: false,
            budget: RetryBudget::default(),
            samples: VecDeque::new(),
        }
    }

    /// Takes over the members of all services.
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

    /// Returns the load to report, which is as old as `lag`.
    pub(super) fn reported_load(&mut self, clock: &VirtualClock, lag: Duration) -> ServerLoad {
        let load = self.gate.load();
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
