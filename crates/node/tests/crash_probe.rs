//! When a backend server that lost a connection counts as crashed.

use std::cell::RefCell;
use std::time::Duration;

use tokio::io::DuplexStream;
use tokio::time::sleep;

/// Time after which the listening socket of a process that died closes.
const LISTENER_CLOSES_AFTER: Duration = Duration::from_millis(300);

/// Returns a connection that the other side closes after a time.
fn closing_connection(closes_after: Duration) -> DuplexStream {
    let (near, far) = tokio::io::duplex(1);
    tokio::spawn(async move {
        sleep(closes_after).await;
        drop(far);
    });
    near
}

/// Guards against a crash that is missed, and whose suspects run on the next backend server, since
/// the process that died keeps its listening socket for a while after its connections.
#[tokio::test(start_paused = true)]
async fn a_server_whose_listener_closes_after_its_connections_has_crashed() {
    let late = LISTENER_CLOSES_AFTER;
    for closing_after in [vec![], vec![late], vec![late, Duration::ZERO]] {
        let closing = RefCell::new(closing_after.into_iter());
        let connect = || {
            let closes_after = closing.borrow_mut().next();
            async move { closes_after.map(closing_connection) }
        };
        assert!(!node::is_running(connect).await);
    }
}

#[tokio::test(start_paused = true)]
async fn a_server_that_keeps_a_connection_open_or_accepts_all_runs() {
    for closes_after in [Duration::from_hours(1), Duration::ZERO] {
        let connect = || async move { Some(closing_connection(closes_after)) };
        assert!(node::is_running(connect).await);
    }
}
