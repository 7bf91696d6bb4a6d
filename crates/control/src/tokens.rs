//! Tokens of the teams that this instance owns.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
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
pub struct TokenAllocators<C> {
    own: InstanceId,
    incarnation: u64,
    lease: Duration,
    clock: C,
    escrows: Mutex<BTreeMap<TeamName, EscrowOwner<C>>>,
}

impl<C: Clock> TokenAllocators<C> {
    /// Creates a bank that owns nothing.
    ///
    /// `incarnation` must be drawn at random when the process starts, and
    /// `lease` must include the allowance for clock drift.
    pub fn new(own: InstanceId, incarnation: u64, lease: Duration, clock: C) -> Self {
        Self {
            own,
            incarnation,
            lease,
            clock,
            escrows: Mutex::default(),
        }
    }

    /// Returns the teams that an earlier start of this instance owned, to be taken again.
    #[must_use]
    pub fn teams_to_reclaim(&self, state: &LedgerState) -> Vec<TeamAssignment> {
        let owners = state.owners().iter();
        let earlier = owners.filter(|owner| owner.instance == self.own && !self.owns(owner));
        let again = earlier.map(|owner| TeamAssignment {
            team: owner.team.clone(),
            instance: self.own,
            incarnation: self.incarnation,
            replaces: owner.epoch,
        });
        again.collect()
    }

    /// Takes over what the log assigns and the declaration says, and drops the rest.
    pub fn update_from(&self, state: &LedgerState) {
        let mut escrows = self.lock();
        escrows.retain(|team, escrow| {
            let owner = state.owners().owner(team);
            owner.is_some_and(|owner| self.owns(owner) && owner.epoch == escrow.term())
        });
        for owner in state.owners().iter().filter(|owner| self.owns(owner)) {
            let Some(limit) = team_limit(state, &owner.team) else {
                continue;
            };
            match escrows.entry(owner.team.clone()) {
                Entry::Occupied(mut held) => held.get_mut().declare(limit),
                Entry::Vacant(place) => {
                    place.insert(self.escrow(owner, limit));
                }
            }
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
            let mut escrows = self.lock();
            let granted = demands.iter().filter_map(|demand| {
                let owner = state.owners().owner(&demand.team)?;
                let escrow = escrows.get_mut(&demand.team)?;
                let current = self.owns(owner) && owner.epoch == escrow.term();
                current.then(|| escrow.grant(node, demand))
            });
            granted.collect()
        })
    }

    fn owns(&self, owner: &TeamOwner) -> bool {
        owner.instance == self.own && owner.incarnation == self.incarnation
    }

    fn escrow(&self, owner: &TeamOwner, limit: TeamLimit) -> EscrowOwner<C> {
        let clock = self.clock.clone();
        if owner.first {
            return EscrowOwner::new(limit, owner.epoch, self.lease, clock);
        }
        EscrowOwner::take_over(limit, owner.epoch, self.lease, 0, clock)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<TeamName, EscrowOwner<C>>> {
        self.escrows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn team_limit(state: &LedgerState, team: &TeamName) -> Option<TeamLimit> {
    let mut teams = state.config().declaration().teams.iter();
    let spec = teams.find(|spec| spec.name == *team)?;
    Some(TeamLimit::from(spec))
}
