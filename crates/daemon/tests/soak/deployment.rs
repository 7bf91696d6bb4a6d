//! The processes of a deployment: starts, signals and ends, each recorded.

use std::fs;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use tempfile::TempDir;

use crate::addresses::ReservedSubnet;
use crate::history::ProcessEvent;
use crate::history::ProcessName;
use crate::history::SoakHistory;
use crate::http;
use crate::random::SeededRandom;
use crate::server::BackendServer;

/// Number of control instances, enough to tolerate the loss of two.
pub(crate) const CONTROL_COUNT: u8 = 5;
/// Service of each node's backend server.
const SERVICES: [&str; 5] = ["orders", "stock", "orders", "stock", "stock"];
pub(crate) const NODE_COUNT: u8 = 5;
/// Time that a process has to stop.
pub(crate) const GRACE: Duration = Duration::from_secs(6);
/// Last bytes of the addresses of control instances and of nodes.
const CONTROL_BYTE: u8 = 10;
const NODE_BYTE: u8 = 100;
/// Timeout for any step, long enough for a slow machine.
const STEP_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a readiness check.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Guarantees in the settings of all processes.
const BOUNDS: &str = "[bounds]\ntolerated-losses = 2\nlease-ms = 5000\ndrain-ms = 2000\ngrace-s = 6\ncontact-ms = 3000\nattempt-window-s = 10\nattempt-ratio = 0.2\nattempt-slack = 49\nquota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n";

#[derive(Debug)]
pub(crate) struct SoakProcess {
    child: Option<Child>,
    /// Size of its log when it was started.
    log_size: u64,
    /// Set by SIGTERM, for this start.
    pub(crate) terminated: Option<Instant>,
    pub(crate) is_frozen: bool,
}

/// A running deployment; dropping it kills its processes.
#[derive(Debug)]
pub(crate) struct SoakDeployment {
    directory: TempDir,
    subnet: ReservedSubnet,
    history: Arc<SoakHistory>,
    control: Vec<SoakProcess>,
    nodes: Vec<SoakProcess>,
    pub(crate) servers: Vec<BackendServer>,
}

impl SoakDeployment {
    /// Starts all processes and backend servers.
    pub(crate) fn start(random: &mut SeededRandom, history: Arc<SoakHistory>) -> Self {
        let absent = || SoakProcess {
            child: None,
            log_size: 0,
            terminated: None,
            is_frozen: false,
        };
        let mut deployment = Self {
            directory: TempDir::with_prefix("ragwortplank-soak-").unwrap(),
            subnet: ReservedSubnet::take(),
            history,
            control: (0..CONTROL_COUNT).map(|_| absent()).collect(),
            nodes: (0..NODE_COUNT).map(|_| absent()).collect(),
            servers: Vec::new(),
        };
        (0..CONTROL_COUNT).for_each(|number| deployment.launch(ProcessName::Control(number), true));
        for (number, service) in (0..NODE_COUNT).zip(SERVICES) {
            let address = deployment.node_address(number, 4);
            let node = deployment.node_address(number, 2);
            // Few slots make calls wait for one.
            let slots = random.between(2, 12);
            let history = deployment.history.clone();
            let server = BackendServer::start(number, service, address, node, slots, history);
            deployment.servers.push(server);
            deployment.launch(ProcessName::Node(number), true);
        }
        deployment
    }

    /// Returns the names of all processes.
    pub(crate) fn names() -> impl Iterator<Item = ProcessName> {
        let control = (0..CONTROL_COUNT).map(ProcessName::Control);
        control.chain((0..NODE_COUNT).map(ProcessName::Node))
    }

    pub(crate) fn control_addresses(&self) -> Vec<SocketAddr> {
        let address = |number| self.subnet.address(CONTROL_BYTE + number, 0);
        (0..CONTROL_COUNT).map(address).collect()
    }

    /// Returns an address of a node; port offset 0 is the caller listener.
    pub(crate) fn node_address(&self, number: u8, port: u16) -> SocketAddr {
        self.subnet.address(NODE_BYTE + number, port)
    }

    /// Returns the state of a process.
    pub(crate) fn process(&mut self, name: ProcessName) -> &mut SoakProcess {
        match name {
            ProcessName::Control(number) => &mut self.control[usize::from(number)],
            ProcessName::Node(number) => &mut self.nodes[usize::from(number)],
        }
    }

    /// Returns whether the process is there, stopping or frozen though it may be.
    pub(crate) fn exists(&mut self, name: ProcessName) -> bool {
        self.process(name).child.is_some()
    }

    /// Returns the number of control instances that are absent, stopping or frozen.
    pub(crate) fn disturbed_control(&self) -> usize {
        let is_disturbed = |process: &&SoakProcess| {
            process.child.is_none() || process.terminated.is_some() || process.is_frozen
        };
        self.control.iter().filter(is_disturbed).count()
    }

    /// Starts a process that is not there.
    pub(crate) fn launch(&mut self, name: ProcessName, first_start: bool) {
        let settings = self.settings(name, first_start);
        let path = self.directory.path().join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap();
        let log = self.log(name);
        let log_size = self.log_size(name);
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_ragwortplankd"))
            .arg("--config")
            .arg(path)
            .stdout(log.try_clone().unwrap())
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap();
        *self.process(name) = SoakProcess {
            child: Some(child),
            log_size,
            terminated: None,
            is_frozen: false,
        };
        self.history.record(name, ProcessEvent::Started);
    }

    fn settings(&self, name: ProcessName, first_start: bool) -> String {
        let seeds = self.control_addresses().into_iter().take(3);
        let seeds: Vec<_> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(", ");
        match name {
            ProcessName::Control(number) => {
                let address = |port| self.subnet.address(CONTROL_BYTE + number, port);
                format!(
                    "role = \"group\"\nprocess = \"{name}\"\ndata-centre = \"a\"\nseeds = [{seeds}]\nports = [{}, {}]\ndata = \"{}\"\nfirst-start = {first_start}\n[listen]\naddress = \"{}\"\noperators = \"{}\"\nmetrics = \"{}\"\n{BOUNDS}",
                    address(5).port(),
                    address(6).port(),
                    self.directory
                        .path()
                        .join(format!("data-{number}"))
                        .display(),
                    address(0).ip(),
                    address(0),
                    address(1),
                )
            }
            ProcessName::Node(number) => {
                let address = |port| self.node_address(number, port);
                format!(
                    "role = \"proxy\"\nprocess = \"{name}\"\ndata-centre = \"a\"\nservice = \"{}\"\nserver = \"{}\"\ncontrol = [{seeds}]\nports = [{}, {}]\nmemory-mb = 160\n[listen]\naddress = \"{}\"\ncallers = \"{}\"\nservers = \"{}\"\nready = \"{}\"\nmetrics = \"{}\"\n{BOUNDS}",
                    SERVICES[usize::from(number)],
                    address(4),
                    address(5).port(),
                    address(6).port(),
                    address(0).ip(),
                    address(0),
                    address(2),
                    address(3),
                    address(7),
                )
            }
        }
    }

    fn log(&self, name: ProcessName) -> PathBuf {
        self.directory.path().join(format!("{name}.log"))
    }

    fn log_size(&self, name: ProcessName) -> u64 {
        fs::metadata(self.log(name)).map_or(0, |log| log.len())
    }

    /// Records an event and sends the signal that goes with it, if the process is there.
    pub(crate) fn signal(&mut self, name: ProcessName, event: ProcessEvent) {
        let signal = match event {
            ProcessEvent::Terminated => Signal::TERM,
            ProcessEvent::Killed | ProcessEvent::GraceEnded => Signal::KILL,
            ProcessEvent::Frozen => Signal::STOP,
            ProcessEvent::Thawed => Signal::CONT,
            ProcessEvent::HungUp => Signal::HUP,
            ProcessEvent::Started | ProcessEvent::Exited => return,
        };
        self.history.record(name, event);
        let process = self.process(name);
        let Some(child) = &process.child else {
            return;
        };
        // It is a child that was not waited for, so the id is still its own.
        rustix::process::kill_process(Pid::from_child(child), signal).unwrap();
        match event {
            ProcessEvent::Terminated => {
                process.terminated.get_or_insert_with(Instant::now);
            }
            ProcessEvent::Frozen => process.is_frozen = true,
            ProcessEvent::Thawed => process.is_frozen = false,
            ProcessEvent::Killed | ProcessEvent::GraceEnded => self.bury(name),
            _ => {}
        }
    }

    fn bury(&mut self, name: ProcessName) {
        if let Some(mut child) = self.process(name).child.take() {
            // Its status says no more than that it was killed.
            let _ = child.wait();
            self.history.record(name, ProcessEvent::Exited);
        }
    }

    /// Returns the processes that have ended since the last call; one that was not to end, or
    /// ended with a failure, is a fault.
    pub(crate) fn take_ended(&mut self) -> Vec<ProcessName> {
        let mut ended = Vec::new();
        for name in Self::names() {
            let process = self.process(name);
            let Some(child) = &mut process.child else {
                continue;
            };
            let Some(status) = child.try_wait().unwrap() else {
                continue;
            };
            let was_asked = process.terminated.is_some() && status.success();
            let log_size = process.log_size;
            process.child = None;
            self.history.record(name, ProcessEvent::Exited);
            // Before a process handles signals, which it does before it logs, they end it.
            let ends = [Signal::TERM, Signal::HUP].map(|signal| Some(signal.as_raw()));
            let was_early = ends.contains(&status.signal()) && self.log_size(name) == log_size;
            if !(was_asked || was_early) {
                let fault = format!("ENDED: {name} ended by itself or failed: {status}");
                self.history.faults().push(fault);
            }
            ended.push(name);
        }
        ended
    }

    /// Returns whether a node says that it takes callers.
    pub(crate) fn is_ready(&self, node: u8) -> bool {
        let ready = self.node_address(node, 3);
        let response = http::call(ready, "GET /v1/ready", "", READY_TIMEOUT);
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Keeps settings and logs, and returns where they are.
    pub(crate) fn keep_directory(&mut self) -> PathBuf {
        self.directory.disable_cleanup(true);
        self.directory.path().to_owned()
    }
}

impl Drop for SoakDeployment {
    fn drop(&mut self) {
        self.servers.iter().for_each(BackendServer::stop);
        for process in self.control.iter_mut().chain(&mut self.nodes) {
            if let Some(mut child) = process.child.take() {
                // It may have ended already.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if thread::panicking() {
            self.directory.disable_cleanup(true);
        }
    }
}

/// Waits until a condition holds; returns whether it did in a time that only a stalled machine
/// exceeds.
pub(crate) fn eventually(mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < STEP_TIMEOUT {
        if holds() {
            return true;
        }
        thread::sleep(POLL_INTERVAL);
    }
    false
}
