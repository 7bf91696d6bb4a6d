//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Environment variable that selects what is logged.
const FILTER_VARIABLE: &str = "RAGWORTPLANK_LOG";
/// What is logged unless the environment says otherwise.
const DEFAULT_FILTER: &str = "info,quinn=warn,tarpc=warn,rustls=warn,hyper=warn";

/// Starts logging.
pub(crate) fn init() {
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE);
    let filter = filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let layer = tracing_logfmt::builder()
        .with_target(true)
        .with_span_path(false)
        .layer()
        .with_writer(std::io::stderr);
    tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .init();
}
