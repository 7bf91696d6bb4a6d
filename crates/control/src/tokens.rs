//! Tokens of the teams that this instance owns.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use clock::Clock;
use limit::EscrowOwner;
use limit::TeamLimit;
use model::declaration::Declaration;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::InstanceId;
use model::ids::NodeId;
use model::ids::TeamName;

use crate::log::ControlLog;
use crate::log::TeamOwner;

/// Grants tokens of the teams that the log assigns to this start of the instance.
///
/// See `docs/EXCHANGE.md`, "Tokens".
#[derive(Debug)]
pub struct TokenBank<C> {
    own: InstanceId,
    incarnation: u64,
    lease: Duration,
    clock: C,
    escrows: Mutex<HashMap<TeamName, EscrowOwner<C>>>,
}

impl<C: Clock> TokenBank<C> {
    /// Creates a bank that owns nothing; `lease` must include the allowance for clock drift.
    pub fn new(own: InstanceId, incarnation: u64, lease: Duration, clock: C) -> Self {
        Self {
            own,
            incarnation,
            lease,
            clock,
            escrows: Mutex::default(),
        }
    }

    /// Returns whether the log assigns a team to this start of the instance.
    pub fn owns(&self, owner: &TeamOwner) -> bool {
        owner.instance == self.own && owner.incarnation == self.incarnation
    }

    /// Takes over what the log assigns and the declaration says, and drops the rest.
    pub fn refresh(&self, owners: &[TeamOwner], declaration: &Declaration) {
        let mut escrows = self.lock();
        escrows.retain(|team, escrow| {
            let mut kept = owners.iter().filter(|owner| owner.team == *team);
            kept.any(|owner| self.owns(owner) && owner.term == escrow.term())
        });
        for owner in owners.iter().filter(|owner| self.owns(owner)) {
            let Some(limit) = team_limit(declaration, &owner.team) else {
                // Kept, since its tokens are still out if the team is declared again.
                continue;
            };
            match escrows.get_mut(&owner.team) {
                Some(escrow) => escrow.declare(limit),
                None => {
                    escrows.insert(owner.team.clone(), self.escrow(owner, limit));
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
        let mut escrows = self.lock();
        let granted = demands.iter().filter_map(|demand| {
            let owner = log.owner(&demand.team)?;
            let escrow = escrows.get_mut(&demand.team)?;
            let current = self.owns(&owner) && owner.term == escrow.term();
            current.then(|| escrow.grant(node, demand))
        });
        granted.collect()
    }

    fn escrow(&self, owner: &TeamOwner, limit: TeamLimit) -> EscrowOwner<C> {
        let clock = self.clock.clone();
        if owner.first {
            return EscrowOwner::new(limit, owner.term, self.lease, clock);
        }
        EscrowOwner::take_over(limit, owner.term, self.lease, 0, clock)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TeamName, EscrowOwner<C>>> {
        self.escrows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn team_limit(declaration: &Declaration, team: &TeamName) -> Option<TeamLimit> {
    let mut teams = declaration.teams.iter();
    let spec = teams.find(|spec| spec.name == *team)?;
    Some(TeamLimit::from(spec))
}
