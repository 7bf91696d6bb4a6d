//! A request that crashes the backend servers that run it, and comes again and again.

use std::time::Duration;

use crate::deployment::TestDeployment;
use crate::deployment::document;
use crate::server::CRASHING_PATH;
use crate::server::FakeServer;
use crate::wait::eventually;

const SERVICES: [&str; 4] = ["orders", "orders", "orders", "stock"];
const NODES: u8 = 4;
const CONTROL_COUNT: u8 = 5;
const GRACE: Duration = Duration::from_secs(6);
/// Crashes after which the request must be refused everywhere.
const CRASHES_MAX: usize = 3;
/// Times that the request comes once it is refused.
const COMINGS: u8 = 8;

struct CrashingRequest {
    deployment: TestDeployment,
    /// Number of the start of each server.
    starts: Vec<u64>,
    sent: u32,
}

impl CrashingRequest {
    fn start() -> Self {
        let paths = [("/orders/", 3), ("/stock/", 1)];
        let document = document(3, 0, "key-1");
        let deployment = TestDeployment::start_serving(&SERVICES, GRACE, &document, &paths);
        Self {
            deployment,
            starts: vec![1; SERVICES.len()],
            sent: 0,
        }
    }

    /// Sends the request with an id of its own; returns the status.
    fn send(&mut self, node: u8) -> u16 {
        self.sent += 1;
        let line = format!("POST /orders{CRASHING_PATH}");
        let id = format!("id-crash-{}", self.sent);
        self.deployment.call(node, &line, &id, "key-1").status
    }

    /// Returns how often the request began to run.
    fn runs(&self) -> usize {
        let servers = self.deployment.servers.iter();
        let executed = servers.flat_map(FakeServer::executed);
        executed.filter(|head| head.contains(CRASHING_PATH)).count()
    }

    /// Starts crashed servers again, under the same name, once their nodes have noticed the crash.
    fn restart_servers(&mut self, crashes_before: &[usize]) {
        for number in 0..NODES {
            let position = usize::from(number);
            let server = &self.deployment.servers[position];
            if !server.has_crashed() {
                continue;
            }
            eventually("the crash is noticed", || {
                self.crash_count(number) > crashes_before[position]
            });
            server.listen();
            self.starts[position] += 1;
            let node = self.deployment.node_address(number, 2);
            eventually("the new start is acknowledged", || {
                let start = self.starts[position];
                server.announce_start(node, SERVICES[position], start) == 200
            });
        }
    }

    fn crash_count(&self, node: u8) -> usize {
        let log = self.deployment.node_log(node);
        log.matches("event=server-crashed").count()
    }

    fn crash_counts(&self) -> Vec<usize> {
        (0..NODES).map(|node| self.crash_count(node)).collect()
    }

    /// Sends the request until it has crashed as many servers as it may, and waits until all nodes
    /// refuse it.
    fn await_quarantine(&mut self) {
        let mut node = 0;
        while self.runs() < CRASHES_MAX && !self.is_quarantined(0) {
            let before = self.crash_counts();
            self.send(node % NODES);
            self.restart_servers(&before);
            node += 1;
        }
        eventually("all nodes know the quarantine", || {
            (0..NODES).all(|node| self.is_quarantined(node))
        });
    }

    fn is_quarantined(&self, node: u8) -> bool {
        let log = self.deployment.node_log(node);
        log.lines()
            .any(|line| line.contains("quarantine-known") && line.contains("requests=1"))
    }

    fn assert_refused(&mut self, context: &str) {
        let before = self.runs();
        for node in (0..COMINGS).map(|number| number % NODES) {
            let status = self.send(node);
            assert_eq!(status, 503, "{context}, at node {node}");
        }
        assert_eq!(self.runs(), before, "{context}");
        for number in 0..10 {
            let id = format!("id-{context}-{number}");
            let response = self.deployment.call(3, "POST /orders/1", &id, "key-1");
            assert_eq!(response.status, 200, "{context}: {response:?}");
        }
    }

    /// Kills all processes at once and starts them again.
    fn restart_all(&mut self) {
        for number in 0..CONTROL_COUNT {
            self.deployment.kill_control(number);
        }
        for number in 0..NODES {
            self.deployment.kill_node(number);
        }
        for number in 0..CONTROL_COUNT {
            self.deployment.start_control(number, false);
        }
        for (number, service) in (0..NODES).zip(SERVICES) {
            self.deployment.start_node(number, service);
            let start = self.starts[usize::from(number)];
            let server = &self.deployment.servers[usize::from(number)];
            let node = self.deployment.node_address(number, 2);
            eventually("an announcement is acknowledged", || {
                server.announce_start(node, service, start) == 200
            });
        }
        for number in 0..NODES {
            self.deployment.await_ready(number);
        }
        let mut served = 0;
        eventually("the servers are known again", || {
            served += 1;
            let id = format!("id-again-{served}");
            let response = self.deployment.call(3, "POST /orders/1", &id, "key-1");
            response.status == 200
        });
    }
}

/// Guards against a request that is passed on without end though it crashes servers (BUDGET).
#[test]
fn a_request_that_crashes_servers_is_refused_after_the_third() {
    let mut request = CrashingRequest::start();
    request.await_quarantine();
    assert!(request.runs() <= CRASHES_MAX, "{}", request.runs());
    request.assert_refused("quarantined");
}

#[test]
fn the_quarantine_outlives_all_processes() {
    let mut request = CrashingRequest::start();
    request.await_quarantine();
    request.restart_all();
    request.assert_refused("restarted");
}
