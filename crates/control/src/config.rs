//! Ways from older declarations to the one in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use model::declaration::Declaration;
use model::declaration::DeclarationDelta;
use model::exchange::ConfigUpdate;
use model::ids::ConfigVersion;

/// Versions from which a delta is offered; older nodes get the whole declaration.
const RECENT_VERSIONS: usize = 64;

/// The last declarations; each delta is worked out once for all nodes.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    state: Mutex<HistoryState>,
}

#[derive(Debug, Default)]
struct HistoryState {
    recent: BTreeMap<ConfigVersion, Arc<Declaration>>,
    deltas: BTreeMap<ConfigVersion, Arc<DeclarationDelta>>,
}

impl ConfigHistory {
    /// Returns the way from version `applied` to `current`.
    #[must_use]
    pub fn update(&self, applied: ConfigVersion, current: &Arc<Declaration>) -> ConfigUpdate {
        if applied >= current.version {
            return ConfigUpdate::Current;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.remember(current);
        match state.delta(applied, current) {
            Some(delta) => ConfigUpdate::Delta(Box::new((*delta).clone())),
            None => ConfigUpdate::Full(Box::new((**current).clone())),
        }
    }

    /// Remembers a version, so that later ones can be told as deltas from it.
    pub fn remember(&self, current: &Arc<Declaration>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.remember(current);
    }
}

impl HistoryState {
    fn remember(&mut self, current: &Arc<Declaration>) {
        if self.recent.contains_key(&current.version) {
            return;
        }
        self.recent.insert(current.version, Arc::clone(current));
        self.deltas.clear();
        while self.recent.len() > RECENT_VERSIONS {
            self.recent.pop_first();
        }
    }

    fn delta(
        &mut self,
        applied: ConfigVersion,
        current: &Declaration,
    ) -> Option<Arc<DeclarationDelta>> {
        let older = self.recent.get(&applied)?;
        let delta = self
            .deltas
            .entry(applied)
            .or_insert_with(|| Arc::new(Declaration::diff(older, current)));
        (delta.to == current.version).then(|| Arc::clone(delta))
    }
}
