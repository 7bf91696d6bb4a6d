//! Data centres to whose backend servers nothing may be sent, as operators ordered.

use std::collections::BTreeSet;

use model::ids::DataCentreName;
use serde::Deserialize;
use serde::Serialize;

/// Version of the evacuated data centres: the log index of their last change; 0 before the first.
pub type EvacuationVersion = u64;

/// The evacuated data centres.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Increases with every change of the set.
    pub version: EvacuationVersion,
    /// The data centres.
    pub data_centres: BTreeSet<DataCentreName>,
}

impl EvacuationList {
    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Applies an order that was stored at `version`.
    ///
    /// An order that is sent again changes nothing, so the version stays.
    pub(crate) fn apply(
        &mut self,
        data_centre: DataCentreName,
        active: bool,
        version: EvacuationVersion,
    ) {
        let is_changed = if active {
            self.data_centres.insert(data_centre)
        } else {
            self.data_centres.remove(&data_centre)
        };
        if is_changed {
            self.version = version;
        }
    }
}
