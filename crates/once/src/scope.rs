//! Short numeric ids for the pairs of team and route that records belong to.

use std::collections::BTreeMap;

use model::idempotency::IdempotencyKey;
use model::ids::RouteName;
use model::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// Id of a pair of team and route; never reused.
pub(crate) type ScopeId = u32;

/// A pair of team and route.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
struct RecordScope {
    team: TeamName,
    route: RouteName,
}

/// Ids of all pairs seen so far, assigned in the order of their first use.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ScopeTable {
    ids: BTreeMap<RecordScope, ScopeId>,
}

impl ScopeTable {
    /// Returns the id of a key's team and route; assigns one if there is none.
    pub(crate) fn id(&mut self, key: &IdempotencyKey) -> ScopeId {
        let scope = RecordScope {
            team: key.team.clone(),
            route: key.route.clone(),
        };
        let next = ScopeId::try_from(self.ids.len()).unwrap_or(ScopeId::MAX);
        *self.ids.entry(scope).or_insert(next)
    }

    /// Returns the id of a key's team and route if there is one.
    pub(crate) fn find(&self, key: &IdempotencyKey) -> Option<ScopeId> {
        let scope = RecordScope {
            team: key.team.clone(),
            route: key.route.clone(),
        };
        self.ids.get(&scope).copied()
    }

    /// Updates `hasher` with all pairs, which are few.
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
