//! Load balancing: chooses the backend server for a call. See `docs/ADMISSION.md`.
//!
//! [`TwoChoicePicker`] compares two random members by the calls of this node;
//! [`LeastLoadedPicker`] compares up to four by the fraction of their slots in use.

mod health;
mod least_loaded;
mod member;
mod two_choice;

pub use least_loaded::LeastLoadedPicker;
pub use least_loaded::PickerMember;
pub use least_loaded::SendResult;
pub use two_choice::CallResult;
pub use two_choice::PickedServer;
pub use two_choice::TwoChoicePicker;
