//! HTTP listeners that stop without cutting a call.

mod answer;
mod listener;

pub use answer::JsonBody;
pub use answer::json;
pub use answer::text;
pub use listener::HeadLimits;
pub use listener::HttpListener;
pub use listener::ServeError;
