//! Admission control and load shedding: request ranks, concurrency limits, rank thresholds,
//! admission plans and quarantine of requests that crash backend servers.
//!
//! Nothing here does I/O, and the time comes from a [`clock::Clock`] or an argument;
//! see `docs/ADMISSION.md`.

mod abandoned_calls;
mod adaptive_limiter;
mod cold_pacer;
mod completed_calls;
mod entry;
mod failure_meter;
mod quarantine;
mod ranker;
mod rate;
mod response_times;
mod slot_limiter;
mod stall_detector;
mod suspect_registry;
mod thresholds;

pub use abandoned_calls::AbandonReason;
pub use abandoned_calls::AbandonedCalls;
pub use adaptive_limiter::AdaptiveLimiter;
pub use adaptive_limiter::AdmitDecision;
pub use adaptive_limiter::CallOffer;
pub use adaptive_limiter::CallOutcome;
pub use adaptive_limiter::CrashedCalls;
pub use adaptive_limiter::LimiterStats;
pub use adaptive_limiter::OfferOutcome;
pub use adaptive_limiter::QueueAction;
pub use adaptive_limiter::QueueActions;
pub use cold_pacer::ColdPacer;
pub use cold_pacer::PaceLimit;
pub use completed_calls::CompletedCalls;
pub use entry::EntryAdmission;
pub use entry::EntryDecision;
pub use entry::EntryPlanner;
pub use entry::EntryRequest;
pub use entry::GateState;
pub use entry::PlanGate;
pub use entry::PlanInputs;
pub use failure_meter::FailureMeter;
pub use quarantine::CrashQuarantine;
pub use quarantine::QuarantineDecision;
pub use ranker::RankPolicy;
pub use ranker::RequestRanker;
pub use response_times::ResponseTimes;
pub use slot_limiter::DequeuedCalls;
pub use slot_limiter::SlotDecision;
pub use slot_limiter::SlotLimiter;
pub use stall_detector::StallDetector;
pub use stall_detector::StalledCall;
pub use suspect_registry::SuspectRegistry;
pub use thresholds::ThresholdList;
pub use thresholds::ThresholdTable;
pub use thresholds::merge_thresholds;
