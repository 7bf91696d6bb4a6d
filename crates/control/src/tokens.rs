//! Rate limit tokens of the teams that this instance owns.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use clock::Clock;
use ledger::ControlState;
use ledger::TeamAssignment;
use ledger::TeamOwner;
use limit::TeamLimit;
use limit::TokenAllocator;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::InstanceId;
use model::ids::NodeId;
use model::ids::TeamName;

use crate::log::ControlLog;

/// Token allocators of the teams that the log has assigned to this incarnation of the instance.
///
/// The grants of an earlier incarnation are not known, so its teams are
/// reclaimed under a new epoch. See `docs/EXCHANGE.md`, "Tokens".
#[derive(Debug)]
pub struct TokenAllocators<C> {
    instance: InstanceId,
    incarnation: u64,
    lease: Duration,
    clock: C,
    allocators: Mutex<BTreeMap<TeamName, TokenAllocator<C>>>,
}

impl<C: Clock> TokenAllocators<C> {
    /// Creates allocators for `instance`, without any team.
    ///
    /// `incarnation` must be chosen at random when the process starts, and
    /// `lease` must include the allowance for clock drift.
    pub fn new(instance: InstanceId, incarnation: u64, lease: Duration, clock: C) -> Self {
        Self {
            instance,
            incarnation,
            lease,
            clock,
            allocators: Mutex::default(),
        }
    }

    /// Returns the assignments that reclaim the teams of an earlier incarnation.
    #[must_use]
    pub fn teams_to_reclaim(&self, state: &ControlState) -> Vec<TeamAssignment> {
        let owners = state.team_owners().iter();
        let earlier = owners.filter(|owner| owner.instance == self.instance && !self.owns(owner));
        let again = earlier.map(|owner| TeamAssignment {
            team: owner.team.clone(),
            instance: self.instance,
            incarnation: self.incarnation,
            replaces_epoch: owner.epoch,
        });
        again.collect()
    }

    /// Applies the assignments of the log and the limits of the declaration; removes all
    /// other allocators.
    pub fn update_from(&self, state: &ControlState) {
        let mut allocators = self.lock();
        allocators.retain(|team, allocator| {
            let owner = state.team_owners().owner(team);
            owner.is_some_and(|owner| self.owns(owner) && owner.epoch == allocator.term())
        });
        for owner in state.team_owners().iter().filter(|owner| self.owns(owner)) {
            let Some(limit) = team_limit(state, &owner.team) else {
                continue;
            };
            match allocators.entry(owner.team.clone()) {
                Entry::Occupied(mut held) => held.get_mut().set_limit(limit),
                Entry::Vacant(place) => {
                    place.insert(self.new_allocator(owner, limit));
                }
            }
        }
    }

    /// Grants a node's demands for the teams owned here.
    ///
    /// The caller must have confirmed the leader after the demands arrived.
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
            let mut allocators = self.lock();
            let granted = demands.iter().filter_map(|demand| {
                let owner = state.team_owners().owner(&demand.team)?;
                let allocator = allocators.get_mut(&demand.team)?;
                let current = self.owns(owner) && owner.epoch == allocator.term();
                current.then(|| allocator.grant(node, demand))
            });
            granted.collect()
        })
    }

    fn owns(&self, owner: &TeamOwner) -> bool {
        owner.instance == self.instance && owner.incarnation == self.incarnation
    }

    fn new_allocator(&self, owner: &TeamOwner, limit: TeamLimit) -> TokenAllocator<C> {
        let clock = self.clock.clone();
        if owner.is_first {
            return TokenAllocator::new(limit, owner.epoch, self.lease, clock);
        }
        TokenAllocator::take_over(limit, owner.epoch, self.lease, 0, clock)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<TeamName, TokenAllocator<C>>> {
        self.allocators
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn team_limit(state: &ControlState, team: &TeamName) -> Option<TeamLimit> {
    let mut teams = state.config().declaration().teams.iter();
    let spec = teams.find(|spec| spec.name == *team)?;
    Some(TeamLimit::from(spec))
}
