//! HTTP listeners with a graceful stop, and simple responses.

mod listener;
mod response;

pub use listener::DrainTimeoutError;
pub use listener::HeadLimits;
pub use listener::HttpListener;
pub use response::BufferedBody;
pub use response::json_response;
pub use response::text_response;
