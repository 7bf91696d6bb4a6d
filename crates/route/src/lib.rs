//! Choice of the backend server for a call; see `docs/ADMISSION.md`.

mod health;
mod member;
mod picker;

pub use picker::CallResult;
pub use picker::PickedServer;
pub use picker::ServerPicker;
