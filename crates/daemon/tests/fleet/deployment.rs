//! A deployment of control instances and nodes as processes, each with its own loopback address.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use tempfile::TempDir;

use crate::addresses::ReservedSubnet;
use crate::http;
use crate::http::HttpResponse;
use crate::server::FakeServer;
use crate::wait::eventually;

/// Number of control instances, enough to tolerate the loss of two disks.
const CONTROL_COUNT: u8 = 5;

/// Number of log lines of each process that are printed when a test fails.
const LOG_LINES_MAX: usize = 80;

/// Data centre of the control instances, and of the nodes that are started in no other.
pub(crate) const DATA_CENTRE: &str = "a";

/// A running deployment; dropping it kills its processes.
pub(crate) struct TestDeployment {
    directory: TempDir,
    subnet: ReservedSubnet,
    /// Data centre of each node.
    data_centres: Vec<String>,
    /// Time from SIGTERM to SIGKILL, in the settings of all processes.
    grace: Duration,
    control: Vec<Option<Child>>,
    nodes: Vec<Option<Child>>,
    pub(crate) servers: Vec<FakeServer>,
}

impl TestDeployment {
    /// Starts the control instances, and a node with a fake server for each service.
    pub(crate) fn start(services: &[&str], grace: Duration) -> Self {
        let data_centres = vec![DATA_CENTRE; services.len()];
        Self::start_in(services, &data_centres, grace)
    }

    /// Starts a deployment with each node in its own one of `data_centres`.
    pub(crate) fn start_in(services: &[&str], data_centres: &[&str], grace: Duration) -> Self {
        let mut deployment = Self {
            directory: TempDir::new().unwrap(),
            subnet: ReservedSubnet::take(),
            data_centres: data_centres.iter().map(|&name| name.to_owned()).collect(),
            grace,
            control: (0..CONTROL_COUNT).map(|_| None).collect(),
            nodes: services.iter().map(|_| None).collect(),
            servers: Vec::new(),
        };
        for number in 0..CONTROL_COUNT {
            deployment.start_control(number, true);
        }
        for (number, service) in (0_u8..).zip(services) {
            deployment.start_node(number, service);
            let name = format!("i-{number}");
            let address = deployment.node_address(number, 4);
            deployment.servers.push(FakeServer::start(&name, address));
        }
        deployment.announce(services, "ready", 1);
        deployment
    }

    /// Starts a deployment, sets its configuration, and waits until all of its nodes serve.
    ///
    /// `paths` names, for each prefix in the configuration, how many backend servers serve it.
    pub(crate) fn start_serving(
        services: &[&str],
        grace: Duration,
        document: &str,
        paths: &[(&str, u32)],
    ) -> Self {
        let deployment = Self::start(services, grace);
        deployment.await_serving(document, paths);
        deployment
    }

    /// Sets the configuration, and waits until all nodes serve, as [`Self::start_serving`] does.
    pub(crate) fn await_serving(&self, document: &str, paths: &[(&str, u32)]) {
        let response = self.put_config(document);
        assert_eq!(response.status, 200, "{response:?}");
        for (node, _) in (0..).zip(&self.nodes) {
            self.await_ready(node);
        }
        for (path, servers) in paths {
            let mut served = 0;
            eventually("the nodes know each other's backend servers", || {
                let id = format!("first-{path}-{served}");
                let response = self.call(0, &format!("GET {path}first"), &id, "key-1");
                served += u32::from(response.status == 200);
                served >= *servers
            });
        }
    }

    /// Announces all fake servers until their nodes acknowledge it.
    pub(crate) fn announce(&self, services: &[&str], phase: &str, sequence: u64) {
        for ((number, service), server) in (0_u8..).zip(services).zip(&self.servers) {
            let node = self.node_address(number, 2);
            eventually("an announcement is acknowledged", || {
                server.announce(node, service, phase, sequence) == 200
            });
        }
    }

    pub(crate) fn start_control(&mut self, number: u8, first_start: bool) {
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.control_address(seed, 0)))
            .collect();
        let settings = format!(
            "role = \"group\"\nprocess = \"control-{number}\"\ndata-centre = \"a\"\nseeds = [{}]\nports = [{}, {}]\ndata = \"{}\"\nfirst-start = {first_start}\n[listen]\naddress = \"{}\"\noperators = \"{}\"\nmetrics = \"{}\"\n{BOUNDS}grace-s = {}\n",
            seeds.join(", "),
            self.subnet.port(5),
            self.subnet.port(6),
            self.data(number).display(),
            self.control_address(number, 0).ip(),
            self.control_address(number, 0),
            self.control_address(number, 1),
            self.grace.as_secs_f64(),
        );
        let child = self.spawn(&format!("control-{number}"), &settings);
        self.control[usize::from(number)] = Some(child);
    }

    pub(crate) fn start_node(&mut self, number: u8, service: &str) {
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.control_address(seed, 0)))
            .collect();
        let settings = format!(
            "role = \"proxy\"\nprocess = \"node-{number}\"\ndata-centre = \"{}\"\nservice = \"{service}\"\nserver = \"{}\"\ncontrol = [{}]\nports = [{}, {}]\nmemory-mb = 160\n[listen]\naddress = \"{}\"\ncallers = \"{}\"\nservers = \"{}\"\nready = \"{}\"\nmetrics = \"{}\"\n{BOUNDS}grace-s = {}\n",
            self.data_centres[usize::from(number)],
            self.node_address(number, 4),
            seeds.join(", "),
            self.subnet.port(5),
            self.subnet.port(6),
            self.node_address(number, 0).ip(),
            self.node_address(number, 0),
            self.node_address(number, 2),
            self.node_address(number, 3),
            self.node_address(number, 7),
            self.grace.as_secs_f64(),
        );
        let child = self.spawn(&format!("node-{number}"), &settings);
        self.nodes[usize::from(number)] = Some(child);
    }

    fn spawn(&self, name: &str, settings: &str) -> Child {
        let path = self.directory.path().join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap();
        let log = fs::File::create(self.log_path(name)).unwrap();
        Command::new(env!("CARGO_BIN_EXE_ragwortplankd"))
            .arg("--config")
            .arg(path)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap()
    }

    /// Kills a node without a graceful stop.
    pub(crate) fn kill_node(&mut self, number: u8) {
        kill(&mut self.nodes[usize::from(number)]);
    }

    /// Kills a control instance without a graceful stop.
    pub(crate) fn kill_control(&mut self, number: u8) {
        kill(&mut self.control[usize::from(number)]);
    }

    /// Sends a signal to all processes.
    pub(crate) fn signal_all(&mut self, signal: Signal) {
        for child in self.control.iter_mut().chain(&mut self.nodes).flatten() {
            rustix::process::kill_process(Pid::from_child(child), signal).unwrap();
        }
    }

    /// Sends a signal to a node that runs.
    pub(crate) fn signal_node(&self, number: u8, signal: Signal) {
        send_signal(&self.nodes, number, signal);
    }

    /// Sends a signal to a control instance that runs.
    pub(crate) fn signal_control(&self, number: u8, signal: Signal) {
        send_signal(&self.control, number, signal);
    }

    /// Waits until a node ends by itself.
    pub(crate) fn await_exit(&mut self, number: u8) -> ExitStatus {
        let node = self.nodes[usize::from(number)].as_mut().unwrap();
        let mut status = None;
        eventually("a stopped node ends", || {
            status = node.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Waits until a node no longer reports that it accepts callers.
    pub(crate) fn await_not_ready(&self, node: u8) {
        let ready = self.node_address(node, 3);
        eventually("a stopping node is not ready", || {
            let response = http::send(ready, "GET /v1/ready", &[("Host", "node")], "");
            response.is_ok_and(|response| response.status == 503)
        });
    }

    /// Waits until a node that stops takes no new connections of callers.
    pub(crate) fn await_listener_closed(&self, node: u8) {
        let address = self.node_address(node, 0);
        eventually("a stopping node closes its listener", || {
            TcpStream::connect(address).is_err()
        });
    }

    /// Waits until a node that stops takes nothing new but calls of its own backend server.
    pub(crate) fn await_finishing(&self, node: u8) {
        eventually("a stopping node finishes", || {
            self.node_log(node).contains("phase=finishing")
        });
    }

    /// Returns the log lines of a node.
    pub(crate) fn node_log(&self, number: u8) -> String {
        fs::read_to_string(self.log_path(&format!("node-{number}"))).unwrap()
    }

    /// Returns the log lines of a control instance.
    pub(crate) fn control_log(&self, number: u8) -> String {
        fs::read_to_string(self.log_path(&format!("control-{number}"))).unwrap()
    }

    fn log_path(&self, process: &str) -> PathBuf {
        self.directory.path().join(format!("{process}.log"))
    }

    /// Prints the last log lines of all processes, which are deleted with the deployment.
    fn print_logs(&self) {
        let control = (0..self.control.len()).map(|number| format!("control-{number}"));
        let nodes = (0..self.nodes.len()).map(|number| format!("node-{number}"));
        for process in control.chain(nodes) {
            let log = fs::read_to_string(self.log_path(&process)).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let begin = lines.len().saturating_sub(LOG_LINES_MAX);
            println!("{process}:\n{}", lines[begin..].join("\n"));
        }
    }

    /// Returns whether all processes run.
    pub(crate) fn all_running(&mut self) -> bool {
        let mut all = self.control.iter_mut().chain(&mut self.nodes).flatten();
        all.all(|child| child.try_wait().unwrap().is_none())
    }

    /// Deletes the data directory of a control instance that does not run.
    pub(crate) fn delete_control_data(&self, number: u8) {
        fs::remove_dir_all(self.data(number)).unwrap();
    }

    fn data(&self, number: u8) -> PathBuf {
        self.directory.path().join(format!("data-{number}"))
    }

    /// Returns an address of a control instance; port offset 0 is the operator listener.
    pub(crate) fn control_address(&self, number: u8, port: u16) -> SocketAddr {
        self.address(10 + number, port)
    }

    /// Returns an address of a node; port offset 0 is the caller listener.
    pub(crate) fn node_address(&self, number: u8, port: u16) -> SocketAddr {
        self.address(100 + number, port)
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        self.subnet.address(last, port)
    }

    /// Sends a configuration to one instance after another until one gives a definite response.
    ///
    /// Server errors and redirects are not definite.
    pub(crate) fn put_config(&self, document: &str) -> HttpResponse {
        self.order("PUT /v1/config", document).1
    }

    /// Sends an order of an operator to one instance after another until one gives a definite
    /// response; returns that instance, which leads, and the response.
    ///
    /// Server errors and redirects are not definite.
    pub(crate) fn order(&self, method_and_path: &str, body: &str) -> (u8, HttpResponse) {
        let mut definite = None;
        eventually("an order gets a definite response", || {
            definite = (0..CONTROL_COUNT).find_map(|number| {
                let to = self.control_address(number, 0);
                let response = http::send(to, method_and_path, &[("Host", "control")], body);
                let response = response.ok()?;
                let is_definite = response.status < 500 && response.status != 307;
                is_definite.then_some((number, response))
            });
            definite.is_some()
        });
        definite.unwrap()
    }

    /// Reads the configuration from one instance.
    pub(crate) fn get_config(&self, number: u8) -> Option<HttpResponse> {
        let to = self.control_address(number, 0);
        http::send(to, "GET /v1/config", &[("Host", "control")], "").ok()
    }

    /// Sends a caller's request to a node, again for as long as it is refused for lack of a token;
    /// a request that is refused must not run.
    pub(crate) fn call(
        &self,
        node: u8,
        method_and_path: &str,
        id: &str,
        key: &str,
    ) -> HttpResponse {
        let is_run = || self.servers.iter().any(|server| server.has_run(id));
        let ran_before = is_run();
        let mut answer = None;
        eventually("a request gets a token", || {
            let response = self.call_once(node, method_and_path, id, key);
            let is_refused = lacks_token(&response);
            assert!(!is_refused || ran_before || !is_run(), "{id}: {response:?}");
            answer = Some(response);
            !is_refused
        });
        answer.unwrap()
    }

    /// Sends a caller's request to a node once.
    pub(crate) fn call_once(
        &self,
        node: u8,
        method_and_path: &str,
        id: &str,
        key: &str,
    ) -> HttpResponse {
        let bearer = format!("Bearer {key}");
        let headers = [
            ("Host", "shop.example"),
            ("X-Ragwortplank-Request-Id", id),
            ("X-Ragwortplank-Deadline-Ms", "3000"),
            ("X-Ragwortplank-Tenant-Id", "forged"),
            ("Authorization", &bearer),
        ];
        http::send(self.node_address(node, 0), method_and_path, &headers, "").unwrap()
    }

    /// Waits until a node reports that it accepts callers.
    pub(crate) fn await_ready(&self, node: u8) {
        let ready = self.node_address(node, 3);
        eventually("a node takes callers", || {
            let response = http::send(ready, "GET /v1/ready", &[("Host", "node")], "");
            response.is_ok_and(|response| response.status == 200)
        });
    }
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_logs();
        }
        let all = self.control.iter_mut().chain(&mut self.nodes);
        all.for_each(kill);
    }
}

/// Guarantees in the settings of all processes of a deployment, without the grace period.
const BOUNDS: &str = "[bounds]\ntolerated-losses = 2\nlease-ms = 5000\ndrain-ms = 2000\ncontact-ms = 3000\nattempt-window-s = 10\nattempt-ratio = 0.2\nattempt-slack = 49\nquota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n";

/// Returns a configuration on top of version `base`, with one team that has this key.
pub(crate) fn document(version: u64, base: u64, key: &str) -> String {
    include_str!("config.json")
        .replace("VERSION", &version.to_string())
        .replace("BASE", &base.to_string())
        .replace("KEY", key)
}

/// Returns whether a request was refused since no leader lent a token for it in time.
///
/// A node waits a tenth of a second for a token. That is too short for the leader's answer while the
/// machine is busy or the leader changes; callers send such a request again.
pub(crate) fn lacks_token(response: &HttpResponse) -> bool {
    response.status == 503 && response.body.contains("\"no-token\"")
}

fn send_signal(children: &[Option<Child>], number: u8, signal: Signal) {
    let child = children[usize::from(number)].as_ref().unwrap();
    rustix::process::kill_process(Pid::from_child(child), signal).unwrap();
}

fn kill(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}
