//! Admission control and load shedding: request ranks, concurrency limits, rank thresholds,
//! admission plans and quarantine of requests that crash backend servers.
//!
//! Nothing here does I/O, and the time comes from a [`clock::Clock`] or an argument;
//! see `docs/ADMISSION.md`.

mod entry;
mod gate;
mod rate;
mod slots;
mod standing;
mod suspect;
mod thresholds;
mod trial;

pub use entry::EntryAdmission;
pub use entry::EntryDecision;
pub use entry::EntryPlanner;
pub use entry::EntryRequest;
pub use gate::AdmitDecision;
pub use gate::AdmitGate;
pub use gate::CallOffer;
pub use gate::CallOutcome;
pub use gate::CrashedCalls;
pub use gate::GateAction;
pub use gate::GateActions;
pub use gate::GateStats;
pub use gate::OfferOutcome;
pub use slots::SlotChanges;
pub use slots::SlotDecision;
pub use slots::SlotGate;
pub use standing::RankPolicy;
pub use standing::StandingBook;
pub use suspect::SuspectBook;
pub use thresholds::ThresholdList;
pub use thresholds::ThresholdTable;
pub use thresholds::merge_thresholds;
pub use trial::TrialBook;
pub use trial::TrialDecision;
