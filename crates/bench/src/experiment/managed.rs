//! ragwortplank's own decisions, wired as the node wires them.

mod forward;
mod guard;
mod side;
mod tokens;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::SuspectBook;
use clock::VirtualClock;
use limit::TeamLimit;
use limit::TokenAllocator;
use model::context::ServerLoad;
use model::declaration::TeamSpec;
use model::exchange::CrashReport;
use model::exchange::MemberRecord;
use model::exchange::QuarantineNotice;
use model::exchange::ServerState;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::Fingerprint;
use model::ids::RouteName;
use model::ids::ServiceName;
use model::ids::TeamName;
use model::verdict::FailureCause;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::experiment::backend::AttemptId;
use crate::experiment::graph::CallGraph;
use crate::experiment::graph::ServerIndex;
use crate::experiment::managed::forward::EntrySide;
use crate::experiment::managed::forward::ForwardSide;
use crate::experiment::managed::forward::ReplySide;
use crate::experiment::managed::forward::SentSide;
use crate::experiment::managed::guard::RunSide;
use crate::experiment::managed::side::NodeSide;
use crate::experiment::policy::AttemptOutcome;
use crate::experiment::policy::CallDecision;
use crate::experiment::policy::CallInfo;
use crate::experiment::policy::ControlPolicy;
use crate::experiment::policy::EntryDecision;
use crate::experiment::policy::EntryId;
use crate::experiment::policy::EntryInfo;
use crate::experiment::policy::HopId;
use crate::experiment::policy::HopRules;
use crate::experiment::policy::PolicyAction;
use crate::experiment::policy::PolicyActions;
use crate::experiment::policy::PolicySetup;
use crate::experiment::policy::RunOutcome;
use crate::experiment::policy::ServerChange;

/// Period of the exchange between a node and control, in milliseconds.
const PERIOD_MS: u64 = 600;
/// Length of a node's lease as its token owners count it, in milliseconds.
const LEASE_MS: u64 = 2000;
/// Period in which waiting calls are checked, in milliseconds.
const TICK_MS: u64 = 10;
/// Time until a backend server that started calls itself ready, in milliseconds.
const STARTING_MS: u64 = 1000;
/// Factor by which a false hint exceeds the slots.
const FALSE_HINT: u32 = 4;

/// What the timers of this column carry.
pub enum ManagedTimer {
    /// The node exchanges with control.
    Period(ServerIndex),
    /// The node may exchange again.
    Spaced(ServerIndex),
    /// The node looks for calls that waited too long.
    Tick(ServerIndex),
    /// A message reached control.
    ControlReached(ControlRequest),
    /// An answer reached the node.
    NodeReached(ControlReply),
    /// A request waited too long for a token.
    TokenTimeout(EntryId),
    /// A backend server calls itself ready.
    Ready(ServerIndex),
}

/// What a node tells control.
pub struct ControlRequest {
    node: ServerIndex,
    sent: Instant,
    demands: Vec<TokenDemand>,
    crashes: Vec<CrashReport>,
    state: ServerState,
}

/// What control answers.
pub struct ControlReply {
    node: ServerIndex,
    sent: Instant,
    grants: Vec<TokenGrant>,
    notices: Vec<QuarantineNotice>,
    members: Vec<MemberRecord>,
}

/// Column with ragwortplank's decisions at every node.
pub struct ManagedPolicy {
    graph: CallGraph,
    clock: VirtualClock,
    random: StdRng,
    report_lag: Duration,
    services: Vec<ServiceName>,
    routes: Vec<RouteName>,
    teams: Vec<TeamName>,
    nodes: Vec<NodeSide>,
    entries: HashMap<EntryId, EntrySide>,
    forwards: HashMap<HopId, ForwardSide>,
    sent: HashMap<AttemptId, SentSide>,
    runs: HashMap<AttemptId, RunSide>,
    replies: HashMap<AttemptId, ReplySide>,
    owners: Vec<TokenAllocator<VirtualClock>>,
    suspects: SuspectBook<VirtualClock>,
    members: Vec<MemberRecord>,
}

type Actions = PolicyActions<ManagedTimer>;

impl ControlPolicy for ManagedPolicy {
    type Timer = ManagedTimer;

    const NAME: &'static str = "ragwortplank";

    fn new(setup: PolicySetup, actions: &mut Actions) -> Self {
        let mut managed = Self::build(&setup);
        for server in 0..setup.graph.server_count() {
            managed.hint(server, setup.false_slot_hints && server % 2 == 1);
            let spread_ms = (server as u64 * 37) % PERIOD_MS;
            let first = Duration::from_millis(spread_ms);
            actions.push(PolicyAction::Timer(first, ManagedTimer::Period(server)));
            actions.push(PolicyAction::Timer(first, ManagedTimer::Tick(server)));
        }
        managed
    }

    fn rules(&self) -> HopRules {
        HopRules {
            attempt_timeout: None,
            propagates_cancellation: true,
        }
    }

    fn admit_request(&mut self, entry: &EntryInfo, actions: &mut Actions) -> EntryDecision {
        self.enter_request(entry, actions)
    }

    fn choose(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause> {
        self.choose_server(call)
    }

    fn admit_call(&mut self, call: &CallInfo, actions: &mut Actions) -> CallDecision {
        self.offer_call(call, actions)
    }

    fn call_ended(&mut self, call: &CallInfo, end: RunOutcome, actions: &mut Actions) {
        self.end_run(call, end, actions);
    }

    fn reply_sent(&mut self, call: &CallInfo) {
        self.build_reply(call);
    }

    fn answer_received(
        &mut self,
        call: &CallInfo,
        answer: AttemptOutcome,
        latency: Duration,
    ) -> bool {
        self.learn_answer(call, answer, latency)
    }

    fn call_abandoned(&mut self, call: &CallInfo) {
        self.abandon(call);
    }

    fn handle_timer(&mut self, timer: ManagedTimer, actions: &mut Actions) {
        match timer {
            ManagedTimer::Period(node) => {
                let period = Duration::from_millis(PERIOD_MS);
                actions.push(PolicyAction::Timer(period, ManagedTimer::Period(node)));
                self.exchange(node, actions);
            }
            ManagedTimer::Spaced(node) => self.exchange_spaced(node, actions),
            ManagedTimer::Tick(node) => {
                let tick = Duration::from_millis(TICK_MS);
                actions.push(PolicyAction::Timer(tick, ManagedTimer::Tick(node)));
                let due = self.nodes[node].gate.expire();
                self.carry_out(node, due, actions);
            }
            ManagedTimer::ControlReached(request) => self.control_reached(&request, actions),
            ManagedTimer::NodeReached(reply) => self.node_reached(&reply, actions),
            ManagedTimer::TokenTimeout(entry) => self.token_timeout(entry, actions),
            ManagedTimer::Ready(node) => self.set_state(node, ServerState::Ready, actions),
        }
    }

    fn quarantined(&self) -> Vec<Fingerprint> {
        let notices = self.suspects.notices();
        notices.iter().map(|notice| notice.fingerprint).collect()
    }

    fn server_changed(&mut self, server: ServerIndex, change: ServerChange, actions: &mut Actions) {
        match change {
            ServerChange::Crashed => self.server_crashed(server, actions),
            ServerChange::Draining => self.set_state(server, ServerState::Draining, actions),
            ServerChange::Started => {
                self.set_state(server, ServerState::Starting, actions);
                let ready = Duration::from_millis(STARTING_MS);
                actions.push(PolicyAction::Timer(ready, ManagedTimer::Ready(server)));
            }
        }
    }
}

impl ManagedPolicy {
    fn build(setup: &PolicySetup) -> Self {
        let graph = &setup.graph;
        let clock = &setup.clock;
        let name = |name: &str| Arc::from(name);
        let services: Vec<ServiceName> = graph.services.iter().map(|s| name(s.name)).collect();
        let teams: Vec<TeamName> = graph.teams.iter().map(|team| name(team.name)).collect();
        let limits: Vec<TeamLimit> = setup.rates.iter().copied().map(TeamLimit::from).collect();
        let lease = Duration::from_millis(LEASE_MS);
        let owner = |limit: &TeamLimit| TokenAllocator::new(*limit, 1, lease, clock.clone());
        let specs: Vec<TeamSpec> = teams.iter().zip(&limits).map(team_spec).collect();
        let servers = 0..graph.server_count();
        let members: Vec<MemberRecord> = servers.clone().map(|s| member(graph, s)).collect();
        let side = |server: ServerIndex| {
            let service = services[graph.service_of(server)].clone();
            let mut side = NodeSide::new(clock, service, &teams);
            side.standings.update(&specs);
            let entry_nodes = u32::try_from(graph.server_count()).unwrap_or(u32::MAX);
            side.standings.set_entry_nodes(entry_nodes);
            side.update_members(clock, &members, &services, graph.data_centre_of(server));
            side
        };
        Self {
            nodes: servers.map(side).collect(),
            owners: limits.iter().map(owner).collect(),
            routes: graph.routes.iter().map(|route| name(route.name)).collect(),
            suspects: SuspectBook::new(clock.clone()),
            random: StdRng::seed_from_u64(setup.seed ^ 0xa11),
            report_lag: setup.report_lag,
            clock: clock.clone(),
            graph: graph.clone(),
            services,
            teams,
            entries: HashMap::new(),
            forwards: HashMap::new(),
            sent: HashMap::new(),
            runs: HashMap::new(),
            replies: HashMap::new(),
            members,
        }
    }

    /// Tells a node how many slots its backend server claims.
    fn hint(&mut self, server: ServerIndex, is_false: bool) {
        let slots = self.graph.services[self.graph.service_of(server)].slots;
        let slots = u32::try_from(slots).unwrap_or(u32::MAX);
        let claimed = if is_false { slots * FALSE_HINT } else { slots };
        self.nodes[server].gate.hint_slots(claimed);
    }
}

fn team_spec((name, limit): (&TeamName, &TeamLimit)) -> TeamSpec {
    TeamSpec {
        name: name.clone(),
        rate_milli: limit.rate_milli,
        burst_milli: limit.burst_milli,
    }
}

/// Describes a backend server as membership does; its node has the number after it.
fn member(graph: &CallGraph, server: ServerIndex) -> MemberRecord {
    let data_centre = format!("dc{}", graph.data_centre_of(server));
    MemberRecord {
        node: server as u64 + 1,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        data_centre: Arc::from(data_centre.as_str()),
        service: Arc::from(graph.services[graph.service_of(server)].name),
        state: ServerState::Ready,
        load: ServerLoad::default(),
    }
}
