//! Accepting connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause after a connection could not be accepted, in milliseconds.
///
/// A process that is out of descriptors gets the same error again at once, and would spend its
/// processor time on that instead of on the requests that free some.
const RETRY_DELAY_MS: u64 = 20;

/// Accepts the next connection on `listener`, which `name` names in the log; goes on after errors.
pub async fn accept(listener: &TcpListener, name: &'static str) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                tracing::warn!(event = "accept-failed", listener = name, %error);
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}
