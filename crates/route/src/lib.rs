//! Load balancing: chooses the backend server for a call. See `docs/ADMISSION.md`.

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
