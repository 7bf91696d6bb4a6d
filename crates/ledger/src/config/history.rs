//! Results of changes, kept so that a resubmission gets the original result.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use model::ids::ChangeHash;
use model::ids::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;

/// Most recent results of one kind; the oldest are evicted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ResultHistory {
    capacity: usize,
    order: VecDeque<ChangeHash>,
    versions: BTreeMap<ChangeHash, ConfigVersion>,
}

impl ResultHistory {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            order: VecDeque::new(),
            versions: BTreeMap::new(),
        }
    }

    pub(crate) fn get(&self, hash: &ChangeHash) -> Option<ConfigVersion> {
        self.versions.get(hash).copied()
    }

    /// Adds a result, and evicts the oldest one if the history is full.
    pub(crate) fn insert(&mut self, hash: ChangeHash, version: ConfigVersion) {
        if self.versions.insert(hash, version).is_none() {
            self.order.push_back(hash);
        }
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.versions.remove(&oldest);
        }
    }
}
