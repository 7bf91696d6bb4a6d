//! One control instance and a few nodes as processes, each node beside a server of the test.

use std::fs;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;

use tempfile::TempDir;

use crate::addresses::ReservedSubnet;
use crate::http;
use crate::http::HttpResponse;
use crate::raw_server::RawServer;
use crate::wait::eventually;

/// Memory limit in the settings of a node, in MiB.
pub(crate) const NODE_MEMORY_MIB: u64 = 160;
/// Deadline of a request that is to be served, in milliseconds, long enough for a slow machine.
const DEADLINE_MS: &str = "60000";
/// Key of the only team.
const KEY: &str = "key-1";
/// Guarantees in the settings of all processes.
const BOUNDS: &str = "[bounds]\ntolerated-losses = 0\nlease-ms = 5000\ndrain-ms = 2000\ngrace-s = 6\ncontact-ms = 3000\nattempt-window-s = 10\nattempt-ratio = 0.2\nattempt-slack = 49\nquota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n";

/// A running cluster; dropping it kills its processes.
pub(crate) struct TestCluster {
    directory: TempDir,
    subnet: ReservedSubnet,
    services: Vec<String>,
    children: Vec<(String, Child)>,
    pub(crate) servers: Vec<RawServer>,
    announcements: u64,
}

impl TestCluster {
    /// Starts the control instance, and a node with a server for each service, and waits until
    /// every node can reach every server.
    pub(crate) fn start(services: &[&str]) -> Self {
        let memory = vec![NODE_MEMORY_MIB; services.len()];
        Self::start_with_memory(services, &memory)
    }

    /// Starts a cluster whose nodes have different memory limits, in MiB.
    pub(crate) fn start_with_memory(services: &[&str], memory_mib: &[u64]) -> Self {
        let mut cluster = Self {
            directory: TempDir::new().unwrap(),
            subnet: ReservedSubnet::take(),
            services: services.iter().map(|name| (*name).to_owned()).collect(),
            children: Vec::new(),
            servers: Vec::new(),
            announcements: 0,
        };
        cluster.start_control();
        for (number, memory) in (0_u8..).zip(memory_mib) {
            cluster.start_node(number, *memory);
            let name = format!("i-{number}");
            let server = RawServer::start(&name, cluster.node_address(number, 4));
            cluster.servers.push(server);
        }
        cluster.announce_anew();
        cluster.put_config();
        cluster.await_serving();
        cluster
    }

    fn start_control(&mut self) {
        let settings = format!(
            "role = \"group\"\nprocess = \"control\"\ndata-centre = \"a\"\nseeds = [\"{seed}\"]\nports = [{}, {}]\ndata = \"{}\"\nfirst-start = true\n[listen]\naddress = \"{}\"\noperators = \"{seed}\"\nmetrics = \"{}\"\n{BOUNDS}",
            self.subnet.port(5),
            self.subnet.port(6),
            self.directory.path().join("data").display(),
            self.control_address(0).ip(),
            self.control_address(1),
            seed = self.control_address(0),
        );
        self.spawn("control", &settings);
    }

    fn start_node(&mut self, number: u8, memory_mib: u64) {
        let settings = format!(
            "role = \"proxy\"\nprocess = \"node-{number}\"\ndata-centre = \"a\"\nservice = \"{}\"\nserver = \"{}\"\ncontrol = [\"{}\"]\nports = [{}, {}]\nmemory-mb = {memory_mib}\n[listen]\naddress = \"{}\"\ncallers = \"{}\"\nservers = \"{}\"\nready = \"{}\"\nmetrics = \"{}\"\n{BOUNDS}",
            self.services[usize::from(number)],
            self.node_address(number, 4),
            self.control_address(0),
            self.subnet.port(5),
            self.subnet.port(6),
            self.node_address(number, 0).ip(),
            self.node_address(number, 0),
            self.node_address(number, 2),
            self.node_address(number, 3),
            self.node_address(number, 7),
        );
        self.spawn(&format!("node-{number}"), &settings);
    }

    fn spawn(&mut self, name: &str, settings: &str) {
        let path = self.directory.path().join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap();
        let log = fs::File::create(self.directory.path().join(format!("{name}.log"))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_ragwortplankd"))
            .arg("--config")
            .arg(path)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        self.children.push((name.to_owned(), child));
    }

    /// Announces all servers as started anew, so that their nodes close all idle connections.
    pub(crate) fn announce_anew(&mut self) {
        self.announcements += 1;
        for (number, (server, service)) in
            (0_u8..).zip(self.servers.iter().zip(self.services.clone()))
        {
            let body = announcement(&service, server.address, self.announcements);
            eventually("an announcement is acknowledged", || {
                self.announce(number, &server.name, body.as_bytes()) == Some(200)
            });
        }
    }

    /// Sends an announcement to a node; returns the status of the answer.
    pub(crate) fn announce(&self, node: u8, server: &str, body: &[u8]) -> Option<u16> {
        let to = self.node_address(node, 2);
        let line = format!("PUT /v1/instances/{server}");
        let response = http::send(to, &line, &[("Host", "node")], body);
        response.ok().map(|response| response.status)
    }

    fn put_config(&self) {
        let document = include_str!("config.json");
        eventually("the configuration is acknowledged", || {
            self.put_document(document.as_bytes()) == Some(200)
        });
    }

    /// Sends a configuration; returns the status of the answer.
    pub(crate) fn put_document(&self, document: &[u8]) -> Option<u16> {
        let to = self.control_address(0);
        let response = http::send(to, "PUT /v1/config", &[("Host", "control")], document);
        response.ok().map(|response| response.status)
    }

    /// Waits until every node serves calls to every service at all of its servers.
    pub(crate) fn await_serving(&self) {
        let services: std::collections::BTreeSet<&String> = self.services.iter().collect();
        for node in 0..self.nodes() {
            for service in &services {
                let mut served = 0;
                eventually("a node serves calls", || {
                    let id = format!("{:016x}", rand::random::<u64>());
                    let response = self.call(node, &format!("GET /safe/{service}/1"), &id);
                    served += u32::from(response.is_ok_and(|response| response.status == 200));
                    served >= 3
                });
            }
        }
    }

    fn nodes(&self) -> u8 {
        u8::try_from(self.services.len()).unwrap()
    }

    pub(crate) fn control_address(&self, port: u16) -> SocketAddr {
        self.address(10, port)
    }

    /// Returns an address of a node; port offset 0 is the caller listener.
    pub(crate) fn node_address(&self, number: u8, port: u16) -> SocketAddr {
        self.address(100 + number, port)
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        self.subnet.address(last, port)
    }

    /// Sends a caller's request without a body to a node.
    pub(crate) fn call(
        &self,
        node: u8,
        method_and_path: &str,
        id: &str,
    ) -> std::io::Result<HttpResponse> {
        self.post(node, method_and_path, id, b"")
    }

    /// Sends a caller's request with a body to a node.
    pub(crate) fn post(
        &self,
        node: u8,
        method_and_path: &str,
        id: &str,
        body: &[u8],
    ) -> std::io::Result<HttpResponse> {
        let deadline = [("X-Ragwortplank-Deadline-Ms", DEADLINE_MS)];
        self.send(node, method_and_path, id, &deadline, body)
    }

    /// Sends a caller's request with its own headers to a node.
    pub(crate) fn call_with(
        &self,
        node: u8,
        method_and_path: &str,
        id: &str,
        more: &[(&str, &str)],
    ) -> std::io::Result<HttpResponse> {
        self.send(node, method_and_path, id, more, b"")
    }

    /// Sends a caller's request with its own headers and a body to a node.
    pub(crate) fn send(
        &self,
        node: u8,
        method_and_path: &str,
        id: &str,
        more: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<HttpResponse> {
        let bearer = format!("Bearer {KEY}");
        let mut headers = vec![
            ("Host", "shop.example"),
            ("X-Ragwortplank-Request-Id", id),
            ("Authorization", bearer.as_str()),
        ];
        headers.extend_from_slice(more);
        http::send(self.node_address(node, 0), method_and_path, &headers, body)
    }

    /// Returns how often a request ran, at all servers together.
    pub(crate) fn executions(&self, id: &str) -> usize {
        self.servers
            .iter()
            .map(|server| server.executions(id))
            .sum()
    }

    /// Asserts that every process still runs.
    pub(crate) fn assert_running(&mut self) {
        for (name, child) in &mut self.children {
            assert_eq!(child.try_wait().unwrap(), None, "{name} has ended");
        }
    }

    /// Returns the largest resident size that a node has had, in MiB.
    pub(crate) fn peak_memory_mib(&self, node: u8) -> u64 {
        self.memory_kib(node, "VmHWM:") / 1024
    }

    /// Returns a figure of a node's memory that the kernel keeps, in KiB.
    pub(crate) fn memory_kib(&self, node: u8, field: &str) -> u64 {
        let name = format!("node-{node}");
        let (_, child) = self
            .children
            .iter()
            .find(|(known, _)| *known == name)
            .unwrap();
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with(field)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Returns what a process has logged.
    pub(crate) fn log(&self, process: &str) -> String {
        let path = self.directory.path().join(format!("{process}.log"));
        String::from_utf8_lossy(&fs::read(path).unwrap()).into_owned()
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for (name, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
            if thread::panicking() {
                let path = self.directory.path().join(format!("{name}.log"));
                let log = fs::read_to_string(path).unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                let last = &lines[lines.len().saturating_sub(30)..];
                eprintln!("--- {name}\n{}", last.join("\n"));
            }
        }
    }
}

/// Returns the body of a sound announcement of a server's `start`-th start.
pub(crate) fn announcement(service: &str, address: SocketAddr, start: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"a","version":"v1","slots":64,"phase":"ready","coldRemaining":0,"sequence":1,"born":{start}}}"#
    )
}
