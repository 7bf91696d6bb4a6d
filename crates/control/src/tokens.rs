//! Tokens of the teams that this instance owns.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use clock::Clock;
use ledger::LedgerState;
use ledger::TeamAssignment;
use ledger::TeamOwner;
use limit::EscrowOwner;
use limit::TeamLimit;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::InstanceId;
use model::ids::NodeId;
use model::ids::TeamName;

use crate::log::ControlLog;

/// Grants tokens of the teams that the log assigned to this instance since its start.
///
/// What an earlier start of the instance granted is not known, so its teams
/// are taken again under a new epoch. See `docs/EXCHANGE.md`, "Tokens".
#[derive(Debug)]
pub struct TokenBank<C> {
    own: InstanceId,
    lease: Duration,
    clock: C,
    state: Mutex<BankState<C>>,
}

#[derive(Debug)]
struct BankState<C> {
    /// Last epoch of the time before this start, once it is known.
    stale_epoch: Option<u64>,
    escrows: BTreeMap<TeamName, EscrowOwner<C>>,
}

impl<C: Clock> TokenBank<C> {
    /// Creates a bank that owns nothing; `lease` must include the allowance for clock drift.
    pub fn new(own: InstanceId, lease: Duration, clock: C) -> Self {
        let state = BankState {
            stale_epoch: None,
            escrows: BTreeMap::new(),
        };
        Self {
            own,
            lease,
            clock,
            state: Mutex::new(state),
        }
    }

    /// Starts to own teams; `state` must be confirmed after the start of this instance.
    ///
    /// Every epoch in it is taken for one of the time before.
    pub fn open(&self, state: &LedgerState) {
        let last = state.owners().iter().map(|owner| owner.epoch).max();
        self.lock().stale_epoch.get_or_insert(last.unwrap_or(0));
    }

    /// Returns the teams that an earlier start of this instance owned, to be taken again.
    #[must_use]
    pub fn stale_teams(&self, state: &LedgerState) -> Vec<TeamAssignment> {
        let Some(stale_epoch) = self.lock().stale_epoch else {
            return Vec::new();
        };
        let owners = state.owners().iter();
        let earlier =
            owners.filter(|owner| owner.instance == self.own && owner.epoch <= stale_epoch);
        let again = earlier.map(|owner| TeamAssignment {
            team: owner.team.clone(),
            instance: self.own,
            replaces: owner.epoch,
        });
        again.collect()
    }

    /// Takes over what the log assigns and the declaration says, and drops the rest.
    pub fn refresh(&self, state: &LedgerState) {
        let mut bank = self.lock();
        let Some(stale_epoch) = bank.stale_epoch else {
            return;
        };
        let owns = |owner: &TeamOwner| owner.instance == self.own && owner.epoch > stale_epoch;
        bank.escrows.retain(|team, escrow| {
            let owner = state.owners().owner(team);
            owner.is_some_and(|owner| owns(owner) && owner.epoch == escrow.term())
        });
        for owner in state.owners().iter().filter(|owner| owns(owner)) {
            let Some(limit) = team_limit(state, &owner.team) else {
                continue;
            };
            if let Some(escrow) = bank.escrows.get_mut(&owner.team) {
                escrow.declare(limit);
                continue;
            }
            let first = state.owners().is_first(&owner.team);
            let escrow = self.escrow(owner, limit, first);
            bank.escrows.insert(owner.team.clone(), escrow);
        }
    }

    /// Answers a node's demands for the teams owned here.
    ///
    /// The caller must have confirmed the log after the demands arrived.
    pub fn grant(
        &self,
        log: &impl ControlLog,
        node: NodeId,
        demands: &[TokenDemand],
    ) -> Vec<TokenGrant> {
        if demands.is_empty() {
            return Vec::new();
        }
        log.read(|state| {
            let mut bank = self.lock();
            let granted = demands.iter().filter_map(|demand| {
                let owner = state.owners().owner(&demand.team)?;
                let escrow = bank.escrows.get_mut(&demand.team)?;
                let current = owner.instance == self.own && owner.epoch == escrow.term();
                current.then(|| escrow.grant(node, demand))
            });
            granted.collect()
        })
    }

    fn escrow(&self, owner: &TeamOwner, limit: TeamLimit, first: bool) -> EscrowOwner<C> {
        let clock = self.clock.clone();
        if first {
            return EscrowOwner::new(limit, owner.epoch, self.lease, clock);
        }
        EscrowOwner::take_over(limit, owner.epoch, self.lease, 0, clock)
    }

    fn lock(&self) -> MutexGuard<'_, BankState<C>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn team_limit(state: &LedgerState, team: &TeamName) -> Option<TeamLimit> {
    let mut teams = state.config().declaration().teams.iter();
    let spec = teams.find(|spec| spec.name == *team)?;
    Some(TeamLimit::from(spec))
}
