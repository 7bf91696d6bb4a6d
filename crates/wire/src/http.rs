//! HTTP listeners that stop without cutting a call.

mod listener;
mod response;

pub use listener::DrainTimeoutError;
pub use listener::HeadLimits;
pub use listener::HttpListener;
pub use response::BufferedBody;
pub use response::json_response;
pub use response::text_response;
