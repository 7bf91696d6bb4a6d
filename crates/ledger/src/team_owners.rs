//! Assignment of teams to the control instances that issue their tokens.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use model::ids::InstanceId;
use model::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// Request to make an instance the owner of a team.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamAssignment {
    /// Name of the team.
    pub team: TeamName,
    /// Instance that becomes the owner.
    pub instance: InstanceId,
    /// Incarnation of that instance: a random number that differs after each restart, because
    /// a restarted instance does not know which tokens it issued before.
    pub incarnation: u64,
    /// Epoch of the ownership that the assignment replaces, 0 if the team has no owner.
    pub replaces_epoch: u64,
}

/// Owner of a team: the control instance that issues tokens within the team's rate and burst.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamOwner {
    /// Name of the team.
    pub team: TeamName,
    /// Instance that issues the tokens.
    pub instance: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: u64,
    /// Number of the ownership; increases with each assignment of any team and is never reused.
    pub epoch: u64,
    /// Whether the team never had an owner before, so that no node can hold tokens of it.
    pub is_first: bool,
}

/// Owners of all teams.
///
/// An assignment names the epoch that it replaces, so that only one of two concurrent
/// assignments of a team succeeds. An instance that lost its token counts in a restart assigns
/// its teams to itself again, under new epochs.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamOwnerTable {
    last_epoch: u64,
    owners: BTreeMap<TeamName, TeamOwner>,
    /// Teams that ever had an owner, including those that are no longer declared.
    ever_owned: BTreeSet<TeamName>,
}

impl TeamOwnerTable {
    /// Returns the owner of a team.
    #[must_use]
    pub fn owner(&self, team: &str) -> Option<&TeamOwner> {
        self.owners.get(team)
    }

    /// Returns the owners of all teams, sorted by team name.
    pub fn iter(&self) -> impl Iterator<Item = &TeamOwner> {
        self.owners.values()
    }

    /// Applies an assignment if the epoch that it replaces is the current one.
    pub(crate) fn assign(&mut self, assignment: &TeamAssignment) {
        let epoch = self.owner(&assignment.team).map_or(0, |owner| owner.epoch);
        if epoch != assignment.replaces_epoch {
            return;
        }
        self.last_epoch += 1;
        let owner = TeamOwner {
            team: assignment.team.clone(),
            instance: assignment.instance,
            incarnation: assignment.incarnation,
            epoch: self.last_epoch,
            is_first: self.ever_owned.insert(assignment.team.clone()),
        };
        self.owners.insert(assignment.team.clone(), owner);
    }

    /// Removes the owners of teams that are no longer declared.
    pub(crate) fn retain(&mut self, declared: impl Fn(&str) -> bool) {
        self.owners.retain(|team, _| declared(team));
    }
}
