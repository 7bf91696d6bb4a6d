//! Load balancing: chooses the backend server for a call. See `docs/ADMISSION.md`.

mod health;
mod member;
mod picker;
mod spread;

pub use picker::CallResult;
pub use picker::PickedServer;
pub use picker::ServerPicker;
pub use spread::SendResult;
pub use spread::SpreadMember;
pub use spread::SpreadPicker;
