//! A server that falls silent on one connection while it serves all others.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::cluster::TestCluster;
use crate::raw_server::RawServer;
use crate::raw_server::ReceivedRequest;
use crate::wait::eventually;

/// Beginnings of the ids of requests on whose connection the first server falls silent. All but a
/// few calls go to it, since the node that sends them is beside it.
const READ: &str = "aaaaaaaa";
const WRITE: &str = "bbbbbbbb";
const READ_PATH: &str = "GET /safe/orders/1";
const WRITE_PATH: &str = "POST /unsafe/orders/1";

/// Whether the write may be answered.
static IS_RELEASED: AtomicBool = AtomicBool::new(false);
/// Whether the callers that keep the servers busy end.
static IS_OVER: AtomicBool = AtomicBool::new(false);

fn answer(server: &RawServer, stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
    let is_silent = server.name == "i-0";
    if is_silent && request.id.starts_with(READ) {
        server.execute(request);
        return server.fall_silent(stream);
    }
    let is_held = is_silent && request.id.starts_with(WRITE);
    while is_held && !IS_RELEASED.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(10));
    }
    server.answer_soundly(stream, request)
}

fn new_id(beginning: &str) -> String {
    format!("{beginning}{:08x}", rand::random::<u32>())
}

struct EndOnDrop;

impl Drop for EndOnDrop {
    fn drop(&mut self) {
        IS_OVER.store(true, Ordering::Relaxed);
    }
}

/// Guards against a stalled connection that is noticed only at the deadline of a minute: the read
/// would get 504. The write must not be sent again, and its late answer must be delivered.
#[test]
fn a_read_on_a_stalled_connection_is_served_elsewhere_and_a_write_waits() {
    let cluster = TestCluster::start(&["orders", "orders"]);
    cluster.servers[0].set_script(|_, stream, request| {
        let refusal = "HTTP/1.1 503 Refused\r\nX-Ragwortplank-Not-Executed: 1\r\nContent-Length: 0";
        let id = &request.id;
        write!(
            stream,
            "{refusal}\r\nX-Ragwortplank-Request-Id: {id}\r\n\r\n"
        )
        .is_ok()
    });
    eventually("the node knows the other server", || {
        let response = cluster.call(0, READ_PATH, &new_id("cccccccc"));
        response.is_ok_and(|response| response.status == 200)
    });
    for server in &cluster.servers {
        server.set_script(answer);
    }
    let has_logged = |route: &str| {
        let line = format!("event=connection-stalled route={route}");
        let logs = ["node-0", "node-1"].map(|node| cluster.log(node));
        logs.iter().any(|log| log.contains(&line))
    };
    thread::scope(|scope| {
        let _end = EndOnDrop;
        for path in [READ_PATH, WRITE_PATH, READ_PATH, WRITE_PATH] {
            let cluster = &cluster;
            scope.spawn(move || {
                while !IS_OVER.load(Ordering::Relaxed) {
                    let _ = cluster.call(0, path, &new_id("cccccccc"));
                }
            });
        }
        eventually("a read on a stalled connection is served", || {
            let id = new_id(READ);
            let response = cluster.call(0, READ_PATH, &id).unwrap();
            assert_eq!(response.status, 200);
            cluster.executions(&id) == 2
        });
        let write = scope.spawn(|| {
            loop {
                let id = new_id(WRITE);
                let response = cluster.call(0, WRITE_PATH, &id).unwrap();
                if cluster.servers[0].executions(&id) > 0 {
                    return (response.status, cluster.executions(&id));
                }
            }
        });
        eventually("the write's connection is stalled", || {
            has_logged("unsafe-orders")
        });
        IS_RELEASED.store(true, Ordering::Relaxed);
        assert_eq!(write.join().unwrap(), (200, 1));
    });
    eventually("the silent connection is closed", || {
        cluster.servers.iter().any(RawServer::has_closed_silent)
    });
}
