//! Capacity of a backend server for the entry plan.

use fleet::EvacuationList;
use fleet::NodeRecord;
use model::entry::ServerCapacity;

/// Returns the capacity of the backend server of a record; it has no slots if it accepts no calls
/// or its data centre is evacuated.
#[must_use]
pub fn server_capacity(record: &NodeRecord, evacuations: &EvacuationList) -> ServerCapacity {
    let is_evacuated = evacuations.contains(&record.data_centre);
    let is_used = record.accepts_calls && !is_evacuated;
    ServerCapacity {
        service: record.service.clone(),
        slots: if is_used { record.slots } else { 0 },
        pace: record.load.pace,
    }
}
