//! The policy of ragwortplank: the libraries that make its decisions, connected as in the node.

mod admission;
mod forward;
mod node;
mod tokens;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::SuspectRegistry;
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
use crate::experiment::managed::admission::ReceivedCall;
use crate::experiment::managed::forward::ForwardState;
use crate::experiment::managed::forward::ManagedEntry;
use crate::experiment::managed::forward::ReplyMetadata;
use crate::experiment::managed::forward::SentAttempt;
use crate::experiment::managed::node::NodeState;
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
/// Duration of a node's lease as its token allocators count it, in milliseconds.
const LEASE_MS: u64 = 2000;
/// Interval at which queued calls are checked for expiry, in milliseconds.
const TICK_MS: u64 = 10;
/// Time from the start of a backend server until it reports itself ready, in milliseconds.
const STARTING_MS: u64 = 1000;
/// Factor by which a false claim exceeds the real slots.
const FALSE_SLOT_FACTOR: u32 = 4;

/// Payload of the timers of this policy.
pub enum ManagedTimer {
    /// The periodic exchange of a node with control is due.
    ExchangeDue(ServerIndex),
    /// The minimum time between two exchanges of a node has passed.
    SpacingOver(ServerIndex),
    /// The node removes expired calls from its queue.
    Tick(ServerIndex),
    /// A message reached control.
    ControlReached(ControlRequest),
    /// The reply of control reached the node.
    NodeReached(ControlReply),
    /// A request waited too long for a token.
    TokenTimeout(EntryId),
    /// A backend server reports itself ready.
    Ready(ServerIndex),
}

/// Message of a node to control.
pub struct ControlRequest {
    node: ServerIndex,
    sent: Instant,
    demands: Vec<TokenDemand>,
    crashes: Vec<CrashReport>,
    state: ServerState,
}

/// Reply of control.
pub struct ControlReply {
    node: ServerIndex,
    sent: Instant,
    grants: Vec<TokenGrant>,
    notices: Vec<QuarantineNotice>,
    members: Vec<MemberRecord>,
}

/// Policy with the decisions of ragwortplank at every node.
pub struct ManagedPolicy {
    graph: CallGraph,
    clock: VirtualClock,
    random: StdRng,
    report_lag: Duration,
    services: Vec<ServiceName>,
    routes: Vec<RouteName>,
    teams: Vec<TeamName>,
    nodes: Vec<NodeState>,
    entries: HashMap<EntryId, ManagedEntry>,
    forwards: HashMap<HopId, ForwardState>,
    sent: HashMap<AttemptId, SentAttempt>,
    runs: HashMap<AttemptId, ReceivedCall>,
    replies: HashMap<AttemptId, ReplyMetadata>,
    token_allocators: Vec<TokenAllocator<VirtualClock>>,
    suspects: SuspectRegistry<VirtualClock>,
    members: Vec<MemberRecord>,
}

type ManagedActions = PolicyActions<ManagedTimer>;

impl ControlPolicy for ManagedPolicy {
    type Timer = ManagedTimer;

    const NAME: &'static str = "ragwortplank";

    fn new(setup: PolicySetup, actions: &mut ManagedActions) -> Self {
        let mut managed = Self::build(&setup);
        for server in 0..setup.graph.server_count() {
            managed.set_claimed_slots(server, setup.false_slot_hints && server % 2 == 1);
            let offset_ms = (server as u64 * 37) % PERIOD_MS;
            let first = Duration::from_millis(offset_ms);
            actions.push(PolicyAction::Timer(
                first,
                ManagedTimer::ExchangeDue(server),
            ));
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

    fn admit_request(&mut self, entry: &EntryInfo, actions: &mut ManagedActions) -> EntryDecision {
        self.take_entry_token(entry, actions)
    }

    fn choose(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause> {
        self.choose_server(call)
    }

    fn admit_call(&mut self, call: &CallInfo, actions: &mut ManagedActions) -> CallDecision {
        self.offer_call(call, actions)
    }

    fn call_ended(&mut self, call: &CallInfo, end: RunOutcome, actions: &mut ManagedActions) {
        self.end_run(call, end, actions);
    }

    fn reply_sent(&mut self, call: &CallInfo) {
        self.build_reply(call);
    }

    fn response_received(
        &mut self,
        call: &CallInfo,
        outcome: AttemptOutcome,
        latency: Duration,
    ) -> bool {
        self.record_response(call, outcome, latency)
    }

    fn call_abandoned(&mut self, call: &CallInfo) {
        self.abandon(call);
    }

    fn handle_timer(&mut self, timer: ManagedTimer, actions: &mut ManagedActions) {
        match timer {
            ManagedTimer::ExchangeDue(node) => {
                let period = Duration::from_millis(PERIOD_MS);
                actions.push(PolicyAction::Timer(period, ManagedTimer::ExchangeDue(node)));
                self.exchange(node, actions);
            }
            ManagedTimer::SpacingOver(node) => self.spacing_over(node, actions),
            ManagedTimer::Tick(node) => {
                let tick = Duration::from_millis(TICK_MS);
                actions.push(PolicyAction::Timer(tick, ManagedTimer::Tick(node)));
                let due = self.nodes[node].limiter.expire();
                self.apply_queue_actions(node, due, actions);
            }
            ManagedTimer::ControlReached(request) => self.control_reached(&request, actions),
            ManagedTimer::NodeReached(reply) => self.node_reached(&reply, actions),
            ManagedTimer::TokenTimeout(entry) => self.token_timeout(entry, actions),
            ManagedTimer::Ready(node) => self.set_server_state(node, ServerState::Ready, actions),
        }
    }

    fn quarantined(&self) -> Vec<Fingerprint> {
        let notices = self.suspects.notices();
        notices.iter().map(|notice| notice.fingerprint).collect()
    }

    fn server_changed(
        &mut self,
        server: ServerIndex,
        change: ServerChange,
        actions: &mut ManagedActions,
    ) {
        match change {
            ServerChange::Crashed => self.server_crashed(server, actions),
            ServerChange::Draining => self.set_server_state(server, ServerState::Draining, actions),
            ServerChange::Started => {
                self.set_server_state(server, ServerState::Starting, actions);
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
        let allocator = |limit: &TeamLimit| TokenAllocator::new(*limit, 1, lease, clock.clone());
        let specs: Vec<TeamSpec> = teams.iter().zip(&limits).map(team_spec).collect();
        let servers = 0..graph.server_count();
        let members: Vec<MemberRecord> = servers.clone().map(|s| member(graph, s)).collect();
        let state = |server: ServerIndex| {
            let service = services[graph.service_of(server)].clone();
            let mut state = NodeState::new(clock, service, &teams);
            state.ranker.update(&specs);
            let entry_nodes = u32::try_from(graph.server_count()).unwrap_or(u32::MAX);
            state.ranker.set_entry_nodes(entry_nodes);
            state.update_members(clock, &members, &services, graph.data_centre_of(server));
            state
        };
        Self {
            nodes: servers.map(state).collect(),
            token_allocators: limits.iter().map(allocator).collect(),
            routes: graph.routes.iter().map(|route| name(route.name)).collect(),
            suspects: SuspectRegistry::new(clock.clone()),
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

    /// Sets the number of slots that a backend server claims at its node.
    fn set_claimed_slots(&mut self, server: ServerIndex, is_false: bool) {
        let slots = self.graph.services[self.graph.service_of(server)].slots;
        let slots = u32::try_from(slots).unwrap_or(u32::MAX);
        let claimed = if is_false {
            slots * FALSE_SLOT_FACTOR
        } else {
            slots
        };
        self.nodes[server].limiter.hint_slots(claimed);
    }
}

fn team_spec((name, limit): (&TeamName, &TeamLimit)) -> TeamSpec {
    TeamSpec {
        name: name.clone(),
        rate_milli: limit.rate_milli,
        burst_milli: limit.burst_milli,
    }
}

/// Returns the membership record of a backend server; its node has the index plus one as its id.
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
