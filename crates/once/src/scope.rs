//! Short numbers for the pairs of team and route that records belong to.

use std::collections::BTreeMap;

use model::idempotency::IdempotencyKey;
use model::ids::RouteName;
use model::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// Number of a pair of team and route; never used twice.
pub(crate) type ScopeId = u32;

/// A pair of team and route.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
struct OnceScope {
    team: TeamName,
    route: RouteName,
}

/// Numbers of all pairs seen, in the order in which they came.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ScopeTable {
    ids: BTreeMap<OnceScope, ScopeId>,
}

impl ScopeTable {
    /// Returns the number of a key's team and route, a new one if need be.
    pub(crate) fn id(&mut self, key: &IdempotencyKey) -> ScopeId {
        let scope = OnceScope {
            team: key.team.clone(),
            route: key.route.clone(),
        };
        let next = ScopeId::try_from(self.ids.len()).unwrap_or(ScopeId::MAX);
        *self.ids.entry(scope).or_insert(next)
    }

    /// Returns the number of a key's team and route, if they were seen.
    pub(crate) fn find(&self, key: &IdempotencyKey) -> Option<ScopeId> {
        let scope = OnceScope {
            team: key.team.clone(),
            route: key.route.clone(),
        };
        self.ids.get(&scope).copied()
    }

    /// Feeds all pairs to a hasher; there are few.
    pub(crate) fn hash_into(&self, hasher: &mut blake3::Hasher) {
        for (scope, id) in &self.ids {
            hasher.update(scope.team.as_bytes());
            hasher.update(&[0]);
            hasher.update(scope.route.as_bytes());
            hasher.update(&[0]);
            hasher.update(&id.to_le_bytes());
        }
    }
}
