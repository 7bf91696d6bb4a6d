//! Requests are served again after the leading control instance is killed under load.

use std::collections::HashSet;
use std::thread;
use std::time::Duration;

use crate::deployment::TestDeployment;
use crate::deployment::document;
use crate::wait::eventually;

const SERVICES: [&str; 3] = ["orders", "stock", "stock"];
const CONTROL_COUNT: u8 = 5;
const NODES: u8 = 3;
const GRACE: Duration = Duration::from_secs(6);
/// Pause between two requests, which keeps the team at half of its rate at most.
const PAUSE: Duration = Duration::from_millis(100);
/// Requests that must be served one after another.
const SERVED_IN_A_ROW: usize = 20;

/// The requests of one team, which go to all nodes in turn.
struct SteadyCaller {
    deployment: TestDeployment,
    sent: usize,
    served: HashSet<String>,
    /// Requests in a row that were served.
    served_in_a_row: usize,
}

impl SteadyCaller {
    /// Sends a request; asserts that it is served, or refused for another reason than a limit or an
    /// entry plan.
    fn send(&mut self) {
        thread::sleep(PAUSE);
        let number = self.sent;
        self.sent += 1;
        let id = format!("id-steady-{number}");
        let node = u8::try_from(number % usize::from(NODES)).unwrap();
        let response = self
            .deployment
            .call_once(node, "POST /orders/1", &id, "key-1");
        let is_served = response.status == 200;
        let is_limited = response.status != 503 || response.body.contains("turned-away");
        assert!(is_served || !is_limited, "{id}: {response:?}");
        self.served_in_a_row = if is_served {
            self.served_in_a_row + 1
        } else {
            0
        };
        if is_served {
            self.served.insert(id);
        }
    }

    fn await_served(&mut self) {
        self.served_in_a_row = 0;
        eventually("requests are served one after another", || {
            self.send();
            self.served_in_a_row >= SERVED_IN_A_ROW
        });
    }

    /// Kills the leading instance, and sends requests until another one has issued an entry plan;
    /// returns the instance that was killed.
    fn kill_leader(&mut self, configuration: &str) -> u8 {
        let (leader, response) = self.deployment.order("PUT /v1/config", configuration);
        assert_eq!(response.status, 200, "{response:?}");
        let plans_before: usize = self.plan_count(leader);
        self.deployment.kill_control(leader);
        eventually("the next leader has issued an entry plan", || {
            self.send();
            self.plan_count(leader) > plans_before
        });
        leader
    }

    /// Returns how often the instances other than `leader` have begun to issue entry plans.
    fn plan_count(&self, leader: u8) -> usize {
        let others = (0..CONTROL_COUNT).filter(|&number| number != leader);
        let logs = others.map(|number| self.deployment.control_log(number));
        logs.map(|log| log.matches("event=entry-plan-begun").count())
            .sum()
    }

    /// Asserts that each request ran once if it was served, and never if it was refused.
    fn assert_runs(&self) {
        let executed = self.deployment.servers[0].executed();
        for number in 0..self.sent {
            let id = format!("id-steady-{number}");
            let line = format!("x-ragwortplank-request-id: {id}");
            let has_id = |head: &&String| head.lines().any(|other| other == line);
            let runs = executed.iter().filter(has_id).count();
            assert_eq!(runs, usize::from(self.served.contains(&id)), "{id}");
        }
    }
}

/// Guards against a new leader that refuses requests within a limit, lends no tokens or issues no
/// entry plan, and against a refused request that runs.
#[test]
fn a_team_within_its_limit_is_served_again_after_the_leader_is_killed() {
    // With this rate nodes get no useful shares, so that nearly all requests borrow a token.
    let configuration = document(3, 0, "key-1")
        .replace("\"ratePerS\":500", "\"ratePerS\":20")
        .replace("\"burst\":500", "\"burst\":20");
    let paths = [("/orders/", 1), ("/stock/", 2)];
    let deployment = TestDeployment::start_serving(&SERVICES, GRACE, &configuration, &paths);
    let mut caller = SteadyCaller {
        deployment,
        sent: 0,
        served: HashSet::new(),
        served_in_a_row: 0,
    };
    caller.await_served();
    for _ in 0..2 {
        let killed = caller.kill_leader(&configuration);
        caller.await_served();
        caller.deployment.start_control(killed, false);
    }
    caller.assert_runs();
}
