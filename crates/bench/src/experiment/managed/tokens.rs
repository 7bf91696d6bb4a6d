//! Rate-limit tokens, and the exchange with control that carries them.

use std::time::Duration;

use clock::Clock;
use limit::GrantOutcome;
use limit::ResendVerdict;
use limit::RetryAllowance;
use limit::TakeOutcome;
use limit::TokenHolder;
use model::exchange::ServerState;
use model::verdict::FailureCause;

use crate::experiment::graph::ServerIndex;
use crate::experiment::managed::ControlReply;
use crate::experiment::managed::ControlRequest;
use crate::experiment::managed::LEASE_MS;
use crate::experiment::managed::ManagedActions;
use crate::experiment::managed::ManagedPolicy;
use crate::experiment::managed::ManagedTimer;
use crate::experiment::managed::forward::ManagedEntry;
use crate::experiment::policy::EntryDecision;
use crate::experiment::policy::EntryId;
use crate::experiment::policy::EntryInfo;
use crate::experiment::policy::PolicyAction;

/// Shortest time between two exchanges of a node, in milliseconds.
const SPACING_MS: u64 = 25;
/// Longest time that a request waits for a token, in milliseconds.
const TOKEN_WAIT_MS: u64 = 400;

impl ManagedPolicy {
    pub(super) fn take_entry_token(
        &mut self,
        entry: &EntryInfo,
        actions: &mut ManagedActions,
    ) -> EntryDecision {
        let node = &mut self.nodes[entry.node];
        if node.resends.check_request(entry.request) == ResendVerdict::Refused {
            return EntryDecision::Refuse(FailureCause::AllowanceSpent);
        }
        match node.holders[entry.team].take() {
            TakeOutcome::Taken => {
                self.rank_request(entry);
                EntryDecision::Admit
            }
            TakeOutcome::NoToken { retry_after, .. } if !retry_after.is_zero() => {
                EntryDecision::Refuse(FailureCause::RateExceeded)
            }
            TakeOutcome::NoToken { ask_now, .. } => {
                node.waiting_for_token.push_back(*entry);
                let wait = Duration::from_millis(TOKEN_WAIT_MS);
                let timeout = ManagedTimer::TokenTimeout(entry.entry);
                actions.push(PolicyAction::Timer(wait, timeout));
                if ask_now {
                    self.exchange_soon(entry.node, actions);
                }
                EntryDecision::Wait
            }
        }
    }

    /// Sets the rank and retry allowance of a request that has its token.
    fn rank_request(&mut self, entry: &EntryInfo) {
        let node = &mut self.nodes[entry.node];
        let refused = self.graph.classes[entry.class].refusal_order;
        let team = &self.teams[entry.team];
        let rank = node.ranker.rank(Some(team), refused, entry.request);
        let allowance = RetryAllowance::new(node.retry_budget.reserve());
        let state = ManagedEntry {
            rank,
            allowance: Some(allowance),
        };
        self.entries.insert(entry.entry, state);
    }

    pub(super) fn token_timeout(&mut self, entry: EntryId, actions: &mut ManagedActions) {
        for node in &mut self.nodes {
            if let Some(position) = node
                .waiting_for_token
                .iter()
                .position(|info| info.entry == entry)
            {
                node.waiting_for_token.remove(position);
                let cause = FailureCause::RateExceeded;
                actions.push(PolicyAction::RefuseEntry(entry, cause));
                return;
            }
        }
    }

    /// Starts an exchange now, or as soon as the minimum time has passed.
    pub(super) fn exchange_soon(&mut self, node: ServerIndex, actions: &mut ManagedActions) {
        if self.nodes[node].exchange_in_progress {
            self.nodes[node].exchange_wanted = true;
        } else {
            self.exchange(node, actions);
        }
    }

    pub(super) fn spacing_over(&mut self, node: ServerIndex, actions: &mut ManagedActions) {
        self.nodes[node].exchange_in_progress = false;
        if std::mem::take(&mut self.nodes[node].exchange_wanted) {
            self.exchange(node, actions);
        }
    }

    pub(super) fn exchange(&mut self, node: ServerIndex, actions: &mut ManagedActions) {
        let state = &mut self.nodes[node];
        if state.exchange_in_progress {
            state.exchange_wanted = true;
            return;
        }
        state.exchange_in_progress = true;
        let holders = state.holders.iter_mut();
        let request = ControlRequest {
            node,
            sent: self.clock.now(),
            demands: holders.filter_map(TokenHolder::demand).collect(),
            crashes: std::mem::take(&mut state.reports),
            state: state.state,
        };
        let reached = ManagedTimer::ControlReached(request);
        actions.push(PolicyAction::Timer(self.graph.inter_centre_delay, reached));
    }

    pub(super) fn control_reached(
        &mut self,
        request: &ControlRequest,
        actions: &mut ManagedActions,
    ) {
        let mut grants = Vec::with_capacity(request.demands.len());
        for demand in &request.demands {
            let team = self.teams.iter().position(|team| *team == demand.team);
            if let Some(team) = team {
                grants.push(self.token_allocators[team].grant(request.node as u64, demand));
            }
        }
        for crash in &request.crashes {
            self.suspects.record_crash(crash);
        }
        self.members[request.node].state = request.state;
        let reply = ControlReply {
            node: request.node,
            sent: request.sent,
            grants,
            notices: self.suspects.notices(),
            members: self.members.clone(),
        };
        let reached = ManagedTimer::NodeReached(reply);
        actions.push(PolicyAction::Timer(self.graph.inter_centre_delay, reached));
    }

    pub(super) fn node_reached(&mut self, reply: &ControlReply, actions: &mut ManagedActions) {
        let node = reply.node;
        let lease_end = reply.sent + Duration::from_millis(LEASE_MS);
        let state = &mut self.nodes[node];
        let mut ask_now = false;
        for grant in &reply.grants {
            let team = self.teams.iter().position(|team| *team == grant.team);
            let Some(team) = team else { continue };
            let effect = state.holders[team].accept(grant, lease_end);
            ask_now |= matches!(effect, GrantOutcome::Accepted { ask_now: true });
        }
        state.quarantine.update(&reply.notices);
        let data_centre = self.graph.data_centre_of(node);
        state.update_members(&self.clock, &reply.members, &self.services, data_centre);
        let spacing = Duration::from_millis(SPACING_MS);
        actions.push(PolicyAction::Timer(
            spacing,
            ManagedTimer::SpacingOver(node),
        ));
        self.retry_waiting(node, actions);
        if ask_now {
            self.nodes[node].exchange_wanted = true;
        }
    }

    /// Retries the requests that wait for a token.
    fn retry_waiting(&mut self, node: ServerIndex, actions: &mut ManagedActions) {
        for _ in 0..self.nodes[node].waiting_for_token.len() {
            let Some(entry) = self.nodes[node].waiting_for_token.pop_front() else {
                return;
            };
            match self.nodes[node].holders[entry.team].retry_take() {
                TakeOutcome::Taken => {
                    self.rank_request(&entry);
                    actions.push(PolicyAction::AdmitEntry(entry.entry));
                }
                TakeOutcome::NoToken { retry_after, .. } if !retry_after.is_zero() => {
                    let cause = FailureCause::RateExceeded;
                    actions.push(PolicyAction::RefuseEntry(entry.entry, cause));
                }
                TakeOutcome::NoToken { ask_now, .. } => {
                    self.nodes[node].waiting_for_token.push_back(entry);
                    self.nodes[node].exchange_wanted |= ask_now;
                }
            }
        }
    }

    /// Sets the state of the backend server and reports it to control at once.
    pub(super) fn set_server_state(
        &mut self,
        node: ServerIndex,
        state: ServerState,
        actions: &mut ManagedActions,
    ) {
        self.nodes[node].state = state;
        let due = self.nodes[node].limiter.set_state(state);
        self.apply_queue_actions(node, due, actions);
        self.exchange_soon(node, actions);
    }
}
