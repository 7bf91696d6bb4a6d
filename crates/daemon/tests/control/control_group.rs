//! Control instances as processes, each with its own loopback address and data directory.

use std::fs;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use tempfile::TempDir;

use crate::addresses::ReservedSubnet;
use crate::http;
use crate::wait::eventually;

/// Instances whose addresses the settings name at first.
const FIRST_SEEDS: [u8; 3] = [0, 1, 2];
/// Guarantees in the settings of all instances.
const BOUNDS: &str = "[bounds]\ntolerated-losses = 2\nlease-ms = 5000\ndrain-ms = 2000\ngrace-s = 6\ncontact-ms = 3000\nattempt-window-s = 10\nattempt-ratio = 0.2\nattempt-slack = 49\nquota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n";

/// Processes and data directories of a group; dropping it kills its processes.
pub(crate) struct ControlGroup {
    directory: TempDir,
    subnet: ReservedSubnet,
    instances: Vec<Option<Child>>,
    /// Instances whose addresses the settings of the next start name.
    pub(crate) seeds: [u8; 3],
}

impl ControlGroup {
    /// Starts the instances below `started` of a group of `size` for the first time.
    pub(crate) fn start(size: u8, started: u8) -> Self {
        let mut group = Self {
            directory: TempDir::new().unwrap(),
            subnet: ReservedSubnet::take(),
            instances: (0..size).map(|_| None).collect(),
            seeds: FIRST_SEEDS,
        };
        for number in 0..started {
            group.start_instance(number, true);
        }
        group
    }

    pub(crate) fn start_instance(&mut self, number: u8, first_start: bool) {
        let seeds: Vec<String> = self
            .seeds
            .into_iter()
            .map(|seed| format!("\"{}\"", self.address(seed, 0)))
            .collect();
        let settings = format!(
            "role = \"group\"\nprocess = \"control-{number}\"\ndata-centre = \"a\"\nseeds = [{}]\nports = [{}, {}]\ndata = \"{}\"\nfirst-start = {first_start}\n[listen]\naddress = \"{}\"\noperators = \"{}\"\nmetrics = \"{}\"\n{BOUNDS}",
            seeds.join(", "),
            self.subnet.port(5),
            self.subnet.port(6),
            self.data(number).display(),
            self.address(number, 0).ip(),
            self.address(number, 0),
            self.address(number, 1),
        );
        let path = self.directory.path().join(format!("control-{number}.toml"));
        fs::write(&path, settings).unwrap();
        let log = OpenOptions::new()
            .append(true)
            .create(true)
            .open(self.log_path(number))
            .unwrap();
        // The shell becomes the instance, which then gets an error for a write beyond the limit of
        // `fill_disk`, and no signal.
        let child = Command::new("sh")
            .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
            .arg(env!("CARGO_BIN_EXE_ragwortplankd"))
            .arg("--config")
            .arg(path)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        self.instances[usize::from(number)] = Some(child);
    }

    /// Starts all instances that do not run, with the disks that they have.
    pub(crate) fn start_missing(&mut self) {
        for number in self.numbers() {
            if self.instances[usize::from(number)].is_none() {
                self.start_instance(number, false);
            }
        }
    }

    pub(crate) fn kill(&mut self, number: u8) {
        kill(&mut self.instances[usize::from(number)]);
    }

    pub(crate) fn kill_all(&mut self) {
        self.instances.iter_mut().for_each(kill);
    }

    /// Returns the instance that acknowledges `document`, which is in force, once more.
    pub(crate) fn leader(&self, document: &str) -> u8 {
        let mut leader = None;
        eventually("a leader acknowledges a change again", || {
            let mut numbers = self.numbers();
            leader = numbers.find(|&number| offer(&[self.address(number, 0)], document));
            leader.is_some()
        });
        leader.unwrap()
    }

    /// Suspends an instance until [`Self::thaw`].
    pub(crate) fn freeze(&self, number: u8) {
        self.signal(number, Signal::STOP);
    }

    /// Resumes a suspended instance.
    pub(crate) fn thaw(&self, number: u8) {
        self.signal(number, Signal::CONT);
    }

    fn signal(&self, number: u8, signal: Signal) {
        if let Some(child) = &self.instances[usize::from(number)] {
            rustix::process::kill_process(Pid::from_child(child), signal).unwrap();
        }
    }

    /// Asks an instance to stop.
    pub(crate) fn terminate(&self, number: u8) {
        self.signal(number, Signal::TERM);
    }

    /// Waits until an instance that was asked to stop has ended.
    pub(crate) fn await_end(&mut self, number: u8) {
        if let Some(mut child) = self.instances[usize::from(number)].take() {
            child.wait().unwrap();
        }
    }

    /// Asks all instances to stop at once, and waits until they have.
    pub(crate) fn terminate_all(&mut self) {
        for child in self.instances.iter().flatten() {
            rustix::process::kill_process(Pid::from_child(child), Signal::TERM).unwrap();
        }
        for instance in &mut self.instances {
            if let Some(mut child) = instance.take() {
                child.wait().unwrap();
            }
        }
    }

    /// Loses the disk of an instance that does not run.
    pub(crate) fn wipe(&self, number: u8) {
        fs::remove_dir_all(self.data(number)).unwrap();
    }

    /// Lets no file of an instance grow beyond a length, its log included: on a full disk, what is
    /// written last may be torn.
    pub(crate) fn fill_disk(&self, number: u8, length: u64) {
        self.limit_files(number, Some(length));
    }

    /// Ends [`Self::fill_disk`].
    pub(crate) fn free_disk(&self, number: u8) {
        self.limit_files(number, None);
    }

    fn limit_files(&self, number: u8, length: Option<u64>) {
        let instance = self.instances[usize::from(number)].as_ref().unwrap();
        let limit = Rlimit {
            current: length,
            maximum: None,
        };
        rustix::process::prlimit(Some(Pid::from_child(instance)), Resource::Fsize, limit).unwrap();
    }

    pub(crate) fn numbers(&self) -> std::ops::Range<u8> {
        0..u8::try_from(self.instances.len()).unwrap()
    }

    pub(crate) fn data(&self, number: u8) -> PathBuf {
        self.directory.path().join(format!("data-{number}"))
    }

    fn log_path(&self, number: u8) -> PathBuf {
        self.directory.path().join(format!("control-{number}.log"))
    }

    /// Returns the lines that all instances have logged so far and that contain all `words`.
    pub(crate) fn logged(&self, words: &[&str]) -> Vec<String> {
        let numbers = self.numbers();
        numbers
            .flat_map(|number| self.logged_by(number, words))
            .collect()
    }

    /// Returns the lines that an instance has logged so far and that contain all `words`.
    pub(crate) fn logged_by(&self, number: u8, words: &[&str]) -> Vec<String> {
        let log = fs::read_to_string(self.log_path(number)).unwrap_or_default();
        log.lines()
            .filter(|line| words.iter().all(|word| line.contains(word)))
            .map(str::to_owned)
            .collect()
    }

    /// Returns an address of an instance; port offset 0 is the operator listener.
    pub(crate) fn address(&self, number: u8, port: u16) -> SocketAddr {
        self.subnet.address(10 + number, port)
    }

    /// Returns the addresses at which the instances listen for operators.
    pub(crate) fn operators(&self) -> Vec<SocketAddr> {
        let numbers = self.numbers();
        numbers.map(|number| self.address(number, 0)).collect()
    }

    /// Sends a configuration to each instance once; returns whether one acknowledged it.
    pub(crate) fn offer(&self, document: &str) -> bool {
        offer(&self.operators(), document)
    }

    /// Sends a configuration until an instance acknowledges it.
    pub(crate) fn put(&self, document: &str) {
        eventually("a change is acknowledged", || self.offer(document));
    }

    /// Reads the configuration from an instance, until it returns one that a quorum confirmed.
    pub(crate) fn read(&self, number: u8) -> String {
        let to = self.address(number, 0);
        let mut document = None;
        eventually("every instance reads back what was acknowledged", || {
            let response = http::send(to, "GET /v1/config", &[("Host", "control")], "");
            let response = response.ok().filter(|response| response.status == 200);
            document = response.map(|response| response.body);
            document.is_some()
        });
        document.unwrap()
    }

    /// Checks that every instance returns `document` as the configuration.
    pub(crate) fn await_everywhere(&self, document: &str) {
        for number in self.numbers() {
            assert_eq!(self.read(number), document);
        }
    }
}

impl Drop for ControlGroup {
    fn drop(&mut self) {
        if thread::panicking() {
            for line in self.logged(&["event="]) {
                println!("{line}");
            }
        }
        self.kill_all();
    }
}

/// Returns a configuration with a version that replaces the one with the version `base`.
pub(crate) fn document(version: u64, base: u64) -> String {
    include_str!("../fleet/config.json")
        .replace("VERSION", &version.to_string())
        .replace("BASE", &base.to_string())
        .replace("KEY", "key-1")
}

/// Sends a configuration to each address once; returns whether one acknowledged it.
pub(crate) fn offer(operators: &[SocketAddr], document: &str) -> bool {
    operators.iter().any(|&to| {
        let response = http::send(to, "PUT /v1/config", &[("Host", "control")], document);
        response.is_ok_and(|response| {
            let status = response.status;
            let is_redirect = status == 307 && response.head.contains("location: ");
            assert!(
                status == 200 || is_redirect || status >= 500,
                "{response:?}"
            );
            status == 200
        })
    })
}

fn kill(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}
