//! Control instances and nodes as processes, each at a loopback address of its own.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use tempfile::TempDir;

use crate::http;
use crate::http::PlainAnswer;
use crate::server::StandinServer;

/// Time that the slowest machine may take for any step.
const PATIENCE: Duration = Duration::from_mins(1);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Ports that a deployment uses, the same at each address.
const PORT_COUNT: u16 = 8;
/// Control instances of a deployment that bears the loss of two disks.
const CONTROL_COUNT: u8 = 5;

/// A running deployment; its processes end with it.
pub(crate) struct TestDeployment {
    folder: TempDir,
    /// Second and third byte of all addresses, so that tests do not meet.
    net: (u8, u8),
    port: u16,
    control: Vec<Option<Child>>,
    nodes: Vec<Option<Child>>,
    pub(crate) servers: Vec<StandinServer>,
}

impl TestDeployment {
    /// Starts control and one node beside a stand-in for each service.
    pub(crate) fn start(services: &[&str]) -> Self {
        let net = (rand::random::<u8>() | 1, rand::random());
        let mut deployment = Self {
            folder: TempDir::new().unwrap(),
            net,
            port: free_ports(net),
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
            let address = deployment.node(number, 4);
            deployment
                .servers
                .push(StandinServer::start(&name, address));
        }
        deployment.announce(services, "ready", 1);
        deployment
    }

    /// Announces all stand-ins until their nodes acknowledge it.
    pub(crate) fn announce(&self, services: &[&str], phase: &str, sequence: u64) {
        for ((number, service), server) in (0_u8..).zip(services).zip(&self.servers) {
            let node = self.node(number, 2);
            eventually("an announcement is acknowledged", || {
                server.announce(node, service, phase, sequence) == 200
            });
        }
    }

    pub(crate) fn start_control(&mut self, number: u8, first_start: bool) {
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.control_at(seed, 0)))
            .collect();
        let settings = format!(
            "role = \"group\"\nprocess = \"control-{number}\"\ndata-centre = \"a\"\nseeds = [{}]\nports = [{}, {}]\ndata = \"{}\"\nfirst-start = {first_start}\n[listen]\naddress = \"{}\"\noperators = \"{}\"\nmetrics = \"{}\"\n{BOUNDS}",
            seeds.join(", "),
            self.port + 5,
            self.port + 6,
            self.data(number).display(),
            self.control_at(number, 0).ip(),
            self.control_at(number, 0),
            self.control_at(number, 1),
        );
        let child = self.spawn(&format!("control-{number}"), &settings);
        self.control[usize::from(number)] = Some(child);
    }

    fn start_node(&mut self, number: u8, service: &str) {
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.control_at(seed, 0)))
            .collect();
        let settings = format!(
            "role = \"proxy\"\nprocess = \"node-{number}\"\ndata-centre = \"a\"\nservice = \"{service}\"\nserver = \"{}\"\ncontrol = [{}]\nports = [{}, {}]\nmemory-mb = 160\n[listen]\naddress = \"{}\"\ncallers = \"{}\"\nservers = \"{}\"\nready = \"{}\"\nmetrics = \"{}\"\n{BOUNDS}",
            self.node(number, 4),
            seeds.join(", "),
            self.port + 5,
            self.port + 6,
            self.node(number, 0).ip(),
            self.node(number, 0),
            self.node(number, 2),
            self.node(number, 3),
            self.node(number, 7),
        );
        let child = self.spawn(&format!("node-{number}"), &settings);
        self.nodes[usize::from(number)] = Some(child);
    }

    fn spawn(&self, name: &str, settings: &str) -> Child {
        let path = self.folder.path().join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap();
        let log = fs::File::create(self.folder.path().join(format!("{name}.log"))).unwrap();
        Command::new(env!("CARGO_BIN_EXE_ragwortplankd"))
            .arg("--config")
            .arg(path)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap()
    }

    /// Kills a control instance at once.
    pub(crate) fn kill_control(&mut self, number: u8) {
        kill(&mut self.control[usize::from(number)]);
    }

    /// Sends a signal to all processes.
    pub(crate) fn signal_all(&mut self, signal: Signal) {
        for child in self.control.iter_mut().chain(&mut self.nodes).flatten() {
            rustix::process::kill_process(Pid::from_child(child), signal).unwrap();
        }
    }

    /// Returns whether all processes run.
    pub(crate) fn all_run(&mut self) -> bool {
        let mut all = self.control.iter_mut().chain(&mut self.nodes).flatten();
        all.all(|child| child.try_wait().unwrap().is_none())
    }

    /// Loses the disk of a control instance that does not run.
    pub(crate) fn wipe_control(&self, number: u8) {
        fs::remove_dir_all(self.data(number)).unwrap();
    }

    fn data(&self, number: u8) -> PathBuf {
        self.folder.path().join(format!("data-{number}"))
    }

    /// Returns an address of a control instance; port 0 is that for operators.
    pub(crate) fn control_at(&self, number: u8, port: u16) -> SocketAddr {
        self.address(10 + number, port)
    }

    /// Returns an address of a node; port 0 is that for callers.
    pub(crate) fn node(&self, number: u8, port: u16) -> SocketAddr {
        self.address(100 + number, port)
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        let (second, third) = self.net;
        let ip = Ipv4Addr::new(127, second, third, last);
        SocketAddr::new(IpAddr::V4(ip), self.port + port)
    }

    /// Sends a configuration to one instance after another until one has a clear answer.
    pub(crate) fn put_config(&self, document: &str) -> PlainAnswer {
        let mut clear = None;
        eventually("a configuration gets a clear answer", || {
            clear = (0..CONTROL_COUNT).find_map(|number| {
                let to = self.control_at(number, 0);
                let answer = http::send(to, "PUT /v1/config", &[("Host", "control")], document);
                let answer = answer.ok()?;
                (answer.status < 500 && answer.status != 307).then_some(answer)
            });
            clear.is_some()
        });
        clear.unwrap()
    }

    /// Reads the configuration at one instance.
    pub(crate) fn get_config(&self, number: u8) -> Option<PlainAnswer> {
        let to = self.control_at(number, 0);
        http::send(to, "GET /v1/config", &[("Host", "control")], "").ok()
    }

    /// Sends a request of a caller to a node.
    pub(crate) fn call(&self, node: u8, start: &str, id: &str, key: &str) -> PlainAnswer {
        let bearer = format!("Bearer {key}");
        let headers = [
            ("Host", "shop.example"),
            ("X-Ragwortplank-Request-Id", id),
            ("X-Ragwortplank-Deadline-Ms", "3000"),
            ("X-Ragwortplank-Tenant-Id", "forged"),
            ("Authorization", &bearer),
        ];
        http::send(self.node(node, 0), start, &headers, "").unwrap()
    }

    /// Waits until a node says that it takes callers.
    pub(crate) fn await_ready(&self, node: u8) {
        let ready = self.node(node, 3);
        eventually("a node takes callers", || {
            let answer = http::send(ready, "GET /v1/ready", &[("Host", "node")], "");
            answer.is_ok_and(|answer| answer.status == 200)
        });
    }
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        let all = self.control.iter_mut().chain(&mut self.nodes);
        all.for_each(kill);
    }
}

/// Promises that all processes of a deployment are told.
const BOUNDS: &str = "[bounds]\ntolerated-losses = 2\nlease-ms = 5000\ndrain-ms = 2000\ngrace-s = 6\ncontact-ms = 3000\nattempt-window-s = 10\nattempt-ratio = 0.2\nattempt-slack = 49\nquota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n";

fn kill(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Waits until something holds; only a machine that stands still fails here.
pub(crate) fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "not in time: {what}");
        thread::sleep(LOOK);
    }
}

/// Returns the first of some ports that are free at the addresses of a test.
fn free_ports(net: (u8, u8)) -> u16 {
    let ip = Ipv4Addr::new(127, net.0, net.1, 1);
    loop {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let first = listener.local_addr().unwrap().port();
        if first < u16::MAX - PORT_COUNT {
            return first;
        }
    }
}
