//! One soak: starts a deployment and its callers, plays the schedule and checks the promises.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::caller::CallerHabit;
use crate::caller::SoakCaller;
use crate::checks::PromiseChecker;
use crate::deployment::NODE_COUNT;
use crate::deployment::SoakDeployment;
use crate::deployment::eventually;
use crate::driver::ScheduleDriver;
use crate::history::SoakHistory;
use crate::http;
use crate::http::HttpConnection;
use crate::operator::SoakOperator;
use crate::random::SeededRandom;
use crate::schedule::ScheduleBuilder;

/// Callers of each node.
const HABITS: [CallerHabit; 8] = [
    CallerHabit::Steady,
    CallerHabit::Steady,
    CallerHabit::Steady,
    CallerHabit::Pausing,
    CallerHabit::Pausing,
    CallerHabit::Pausing,
    CallerHabit::Pausing,
    CallerHabit::Fresh,
];
/// Interval at which a thread looks whether this process runs, and a pause that is noted.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const NOTED_STALL: Duration = Duration::from_millis(30);
/// Timeout of a request that asks whether a node serves.
const SERVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Lines that are printed of one soak.
const PRINTED_FAULTS_MAX: usize = 12;

/// Plays the schedule of a seed; prints and returns the broken promises.
pub(crate) fn run_soak(seed: u64) -> Vec<String> {
    let mut random = SeededRandom::new(seed);
    let history = Arc::new(SoakHistory::default());
    let mut deployment = SoakDeployment::start(&mut random, history.clone());
    let operator = SoakOperator::new(deployment.control_addresses(), history.clone());
    operator.change(&[1]);
    await_service(&deployment, &history);
    let is_over = Arc::new(AtomicBool::new(false));
    let stalls = watch_stalls(is_over.clone());
    let callers = start_callers(&deployment, &history, &mut random, &is_over);
    let schedule = ScheduleBuilder::build(random.fork());
    ScheduleDriver::new(&mut deployment, operator.clone(), random.fork()).play(schedule);
    await_service(&deployment, &history);
    operator.check_read_back();
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().unwrap();
    }
    deployment.take_ended();
    let checker = PromiseChecker::new(&history, stalls.join().unwrap());
    let mut faults = checker.broken_promises();
    faults.append(&mut history.faults());
    let changes = operator.count();
    let mut report = vec![format!("{}, {changes} changes", checker.summary())];
    report.extend(faults.iter().take(PRINTED_FAULTS_MAX).cloned());
    if !faults.is_empty() {
        let (count, logs) = (faults.len(), deployment.keep_directory());
        report.push(format!(
            "{count} broken promises, logs in {}",
            logs.display()
        ));
    }
    for line in report {
        println!("seed {seed}: {line}");
    }
    faults
}

/// Waits until every node takes callers and serves them; one that does not is a fault.
fn await_service(deployment: &SoakDeployment, history: &SoakHistory) {
    for node in 0..NODE_COUNT {
        let serves = eventually(|| {
            deployment.is_ready(node)
                && is_served(deployment, node, "POST /orders")
                && is_served(deployment, node, "GET /stock")
        });
        if !serves {
            let fault = format!("SERVES: node-{node} does not serve");
            history.faults().push(fault);
        }
    }
}

fn is_served(deployment: &SoakDeployment, node: u8, line: &str) -> bool {
    let id = format!("probe-{:x}", rand::random::<u64>());
    let request = format!(
        "{line}/0/1 HTTP/1.1\r\nHost: soak\r\nX-Ragwortplank-Request-Id: {id}\r\nX-Ragwortplank-Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    let connection = HttpConnection::connect(deployment.node_address(node, 0));
    let answer = connection.and_then(|mut connection| {
        connection.send(request.as_bytes())?;
        connection.read(Instant::now() + SERVE_TIMEOUT)
    });
    answer.is_ok_and(|answer| answer.body == http::body_of(&id, 1))
}

fn start_callers(
    deployment: &SoakDeployment,
    history: &Arc<SoakHistory>,
    random: &mut SeededRandom,
    is_over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let mut callers = Vec::new();
    for node in 0..NODE_COUNT {
        for (number, habit) in HABITS.into_iter().enumerate() {
            let caller = SoakCaller {
                name: format!("c{node}-{number}"),
                node,
                address: deployment.node_address(node, 0),
                habit,
                random: random.fork(),
                history: history.clone(),
                is_over: is_over.clone(),
            };
            callers.push(thread::spawn(move || caller.run()));
        }
    }
    callers
}

/// Notes when this process did not get to run, and for how long.
fn watch_stalls(is_over: Arc<AtomicBool>) -> JoinHandle<Vec<(Instant, Duration)>> {
    thread::spawn(move || {
        let mut stalls = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let start = Instant::now();
            thread::sleep(STALL_CHECK_INTERVAL);
            let late = start.elapsed().saturating_sub(STALL_CHECK_INTERVAL);
            if late >= NOTED_STALL {
                stalls.push((Instant::now(), late));
            }
        }
        stalls
    })
}
