//! The operator: sends changes until they have a clear answer, and reads the last one back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::eventually;
use crate::history::SoakHistory;
use crate::history::lock;
use crate::http;

/// Timeout of one answer, and of the search for the leader at one instance.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const LEADER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a change is sent again until it has a clear answer.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// What became of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChangeOutcome {
    Acknowledged,
    Refused,
    Unclear,
}

#[derive(Debug, Default)]
struct ChangeLog {
    current: u64,
    sent: Vec<(u64, ChangeOutcome)>,
}

/// An operator; clones share its changes.
#[derive(Clone, Debug)]
pub(crate) struct SoakOperator {
    control: Vec<SocketAddr>,
    log: Arc<Mutex<ChangeLog>>,
    history: Arc<SoakHistory>,
}

impl SoakOperator {
    pub(crate) fn new(control: Vec<SocketAddr>, history: Arc<SoakHistory>) -> Self {
        Self {
            control,
            log: Arc::default(),
            history,
        }
    }

    /// Sends changes to these versions above the current one, all at once on the same base.
    pub(crate) fn change(&self, steps: &[u64]) {
        let mut log = lock(&self.log);
        let base = log.current;
        let outcomes: Vec<_> = thread::scope(|scope| {
            let send = |step: &u64| {
                let version = base + step;
                scope.spawn(move || (version, self.send(version, base)))
            };
            let senders: Vec<_> = steps.iter().map(send).collect();
            let join = |sender: thread::ScopedJoinHandle<'_, _>| sender.join().unwrap();
            senders.into_iter().map(join).collect()
        });
        let is_acknowledged = |(_, outcome): &&(u64, _)| *outcome == ChangeOutcome::Acknowledged;
        let acknowledged: Vec<_> = outcomes.iter().filter(is_acknowledged).collect();
        if acknowledged.len() > 1 {
            let fault = format!("CHANGES: both acknowledged on base {base}: {acknowledged:?}");
            self.history.faults().push(fault);
        }
        match acknowledged.last() {
            Some((version, _)) => log.current = *version,
            None => log.current = self.read_all().unwrap_or(base),
        }
        log.sent.extend(outcomes);
    }

    /// Sends a change until it has a clear answer.
    fn send(&self, version: u64, base: u64) -> ChangeOutcome {
        let document = document(version, base);
        let start = Instant::now();
        while start.elapsed() < CHANGE_TIMEOUT {
            for control in &self.control {
                let answer = http::call(*control, "PUT /v1/config", &document, ANSWER_TIMEOUT);
                match answer.map(|answer| answer.status()) {
                    Ok(200) => return ChangeOutcome::Acknowledged,
                    Ok(400 | 412) => return ChangeOutcome::Refused,
                    Ok(_) | Err(_) => {}
                }
            }
            thread::sleep(RETRY_INTERVAL);
        }
        ChangeOutcome::Unclear
    }

    fn read(control: SocketAddr) -> Option<u64> {
        let answer = http::call(control, "GET /v1/config", "", ANSWER_TIMEOUT).ok()?;
        let body = String::from_utf8(answer.body).ok()?;
        let numbers: Vec<u64> = body
            .split([':', ','])
            .filter_map(|part| part.parse().ok())
            .collect();
        let (version, base) = (*numbers.first()?, *numbers.get(1)?);
        (answer.head.contains(" 200 ") && body == document(version, base)).then_some(version)
    }

    fn read_all(&self) -> Option<u64> {
        self.control.iter().copied().filter_map(Self::read).max()
    }

    /// Returns the instance that leads, as the others say.
    pub(crate) fn leader(&self) -> Option<u8> {
        let find = |control: &SocketAddr| {
            let first = document(1, 0);
            let answer = http::call(*control, "PUT /v1/config", &first, LEADER_TIMEOUT).ok()?;
            let location = answer.header("location")?.to_owned();
            let names = |other: &SocketAddr| location.contains(&format!("//{other}/"));
            self.control.iter().position(names)
        };
        let leader = self.control.iter().find_map(find)?;
        u8::try_from(leader).ok()
    }

    /// Checks that every instance reads back the newest change, or one that may have been taken.
    pub(crate) fn check_read_back(&self) {
        let log = lock(&self.log);
        let acknowledged = |(_, outcome): &&(u64, _)| *outcome == ChangeOutcome::Acknowledged;
        let newest = log
            .sent
            .iter()
            .filter(acknowledged)
            .map(|(version, _)| *version)
            .max();
        let newest = newest.unwrap_or(0);
        for control in &self.control {
            let mut found = None;
            eventually(|| {
                found = Self::read(*control);
                found.is_some()
            });
            let version = found.unwrap_or_default();
            let is_allowed = |(sent, outcome): &(u64, ChangeOutcome)| {
                *sent == version && *outcome != ChangeOutcome::Refused
            };
            if version < newest || !log.sent.iter().any(is_allowed) {
                let fault = format!("CHANGES: {version} read back, {newest} acknowledged last");
                self.history.faults().push(fault);
            }
        }
    }

    /// Returns how many changes were sent.
    pub(crate) fn count(&self) -> usize {
        lock(&self.log).sent.len()
    }
}

/// Returns the configuration with this version; all of them allow the same requests.
fn document(version: u64, base: u64) -> String {
    let route = |name: &str, kind: &str, priority: u8| {
        let aim = 1500 + version;
        format!(
            r#"{{"name":"{name}","host":"soak","pathPrefix":"/{name}/","routeType":"{kind}","timeout":7000,"aim":{aim},"priority":{priority},"service":"{name}","maxAttempts":2,"allowAnonymous":false}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"baseVersion":{base},"routes":[{},{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":3000,"idleTimeout":15000}},"tenants":[{{"name":"north","apiKeys":["key-1"],"priority":0,"ratePerS":5000,"burst":5000}}]}}"#,
        route("orders", "unsafe", 0),
        route("stock", "safe", 1),
        service("orders"),
        service("stock"),
    )
}
