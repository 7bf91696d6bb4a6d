//! Load balancing: chooses the backend server for a call. See `docs/ADMISSION.md`.
//!
//! [`TwoChoicePicker`] compares two random members by the calls of this node;
//! [`LeastLoadedPicker`] compares up to five by the fraction of their slots in use. Where traffic
//! between data centres is planned, [`TrafficPlanner`] decides at the leader how much leaves each of
//! them, and [`TrafficPlan`] draws the data centre of a call at a node.

mod failure_penalty;
mod health;
mod least_loaded;
mod member;
mod server_speed;
mod traffic;
mod two_choice;

pub use least_loaded::LeastLoadedPicker;
pub use least_loaded::PickerMember;
pub use least_loaded::SendResult;
pub use server_speed::ServerSpeed;
pub use traffic::NodePlace;
pub use traffic::PlannedShare;
pub use traffic::TrafficCosts;
pub use traffic::TrafficPlan;
pub use traffic::TrafficPlanner;
pub use two_choice::CallResult;
pub use two_choice::PickedServer;
pub use two_choice::TwoChoicePicker;
