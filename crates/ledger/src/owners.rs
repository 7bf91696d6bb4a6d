//! Which control instance issues the tokens of a team.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use model::ids::InstanceId;
use model::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// Asks that an instance owns a team's rate and burst from now on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamAssignment {
    /// The team.
    pub team: TeamName,
    /// The instance that takes it.
    pub instance: InstanceId,
    /// Start of that instance; a restarted one does not know what it granted.
    pub incarnation: u64,
    /// Epoch of the ownership that it replaces, 0 when there is none.
    pub replaces: u64,
}

/// The instance that owns a team's rate and burst.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamOwner {
    /// The team.
    pub team: TeamName,
    /// The instance that issues its tokens.
    pub instance: InstanceId,
    /// Start of that instance.
    pub incarnation: u64,
    /// Number of this ownership; never used twice, and each later one is larger.
    pub epoch: u64,
    /// Whether the team never had an owner before, so that no tokens can be out.
    pub first: bool,
}

/// Owners of all teams.
///
/// An assignment names the epoch that it replaces, so that of two instances
/// that take the same team one fails, and an instance that restarted and lost
/// its counts takes its own teams again under a new epoch.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct OwnerTable {
    last_epoch: u64,
    owners: BTreeMap<TeamName, TeamOwner>,
    /// Teams that ever had an owner, those that left included.
    known: BTreeSet<TeamName>,
}

impl OwnerTable {
    /// Returns the owner of a team.
    #[must_use]
    pub fn owner(&self, team: &str) -> Option<&TeamOwner> {
        self.owners.get(team)
    }

    /// Returns the owners of all teams, ordered by team.
    pub fn iter(&self) -> impl Iterator<Item = &TeamOwner> {
        self.owners.values()
    }

    /// Applies an assignment if it replaces the ownership in force.
    pub(crate) fn assign(&mut self, assignment: &TeamAssignment) {
        let epoch = self.owner(&assignment.team).map_or(0, |owner| owner.epoch);
        if epoch != assignment.replaces {
            return;
        }
        self.last_epoch += 1;
        let owner = TeamOwner {
            team: assignment.team.clone(),
            instance: assignment.instance,
            incarnation: assignment.incarnation,
            epoch: self.last_epoch,
            first: self.known.insert(assignment.team.clone()),
        };
        self.owners.insert(assignment.team.clone(), owner);
    }

    /// Drops the owners of teams that are not declared any more.
    pub(crate) fn retain(&mut self, declared: impl Fn(&str) -> bool) {
        self.owners.retain(|team, _| declared(team));
    }
}
