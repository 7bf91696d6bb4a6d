//! Load balancing: chooses the backend server for a call. See `docs/ADMISSION.md`.

mod health;
mod member;
mod spread;
mod two_choice;

pub use spread::SendResult;
pub use spread::SpreadMember;
pub use spread::SpreadPicker;
pub use two_choice::CallResult;
pub use two_choice::PickedServer;
pub use two_choice::TwoChoicePicker;
