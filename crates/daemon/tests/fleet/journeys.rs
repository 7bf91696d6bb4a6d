//! Behaviour of a whole deployment towards callers, backend servers and operators.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use crate::deployment::TestDeployment;
use crate::deployment::document;
use crate::deployment::lacks_token;
use crate::kept_connection;
use crate::kept_connection::KeptConnection;
use crate::server::ServerBehaviour;
use crate::wait::eventually;

/// Service of each backend server: one for orders, two for stock.
const SERVICES: [&str; 3] = ["orders", "stock", "stock"];

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

fn deployment() -> TestDeployment {
    let paths = [("/orders/", 1), ("/stock/", 2)];
    TestDeployment::start_serving(&SERVICES, GRACE, &document(3, 0, "key-1"), &paths)
}

#[test]
fn requests_are_forwarded_with_id_and_team_but_without_api_key() {
    let deployment = deployment();
    let response = deployment.call(1, "POST /orders/7?x=1", "id-1", "key-1");
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.head.contains("x-ragwortplank-request-id: id-1"));
    assert!(response.head.contains("x-ragwortplank-server-stamp: i-0"));
    assert_eq!(response.body, "ok");
    let executed = deployment.servers[0].executed();
    let head = executed.last().unwrap();
    assert!(head.starts_with("post /orders/7?x=1 http/1.1"), "{head}");
    assert!(head.contains("x-ragwortplank-tenant-id: north"), "{head}");
    assert!(
        head.contains("x-ragwortplank-caller-service: stock"),
        "{head}"
    );
    assert!(
        head.contains("x-ragwortplank-expect-instance: i-0"),
        "{head}"
    );
    assert!(
        !head.contains("key-1") && !head.contains("forged"),
        "{head}"
    );
}

#[test]
fn requests_with_unknown_key_or_route_do_not_run() {
    let deployment = deployment();
    let before = deployment.servers[0].executed().len();
    assert_eq!(
        deployment.call(1, "GET /orders/1", "id-1", "other").status,
        401
    );
    assert_eq!(
        deployment.call(1, "GET /nowhere/1", "id-2", "key-1").status,
        404
    );
    assert_eq!(deployment.servers[0].executed().len(), before);
}

#[test]
fn an_unsafe_request_without_a_valid_response_is_not_retried_and_gets_502() {
    let deployment = deployment();
    for behaviour in [
        ServerBehaviour::DropsResponse,
        ServerBehaviour::WrongRequestId,
        ServerBehaviour::TruncatesResponse,
    ] {
        deployment.servers[0].set_behaviour(behaviour);
        let before = deployment.servers[0].executed().len();
        let response = deployment.call(1, "POST /orders/1", "id-lost", "key-1");
        assert_eq!(response.status, 502, "{behaviour:?}: {response:?}");
        assert_eq!(
            deployment.servers[0].executed().len(),
            before + 1,
            "{behaviour:?}"
        );
    }
}

#[test]
fn a_shed_request_does_not_run_and_gets_503_with_retry_after() {
    let deployment = deployment();
    deployment.servers[0].set_behaviour(ServerBehaviour::Sheds);
    let before = deployment.servers[0].executed().len();
    let response = deployment.call(1, "POST /orders/1", "id-shed", "key-1");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.head.contains("retry-after: "), "{response:?}");
    assert_eq!(deployment.servers[0].executed().len(), before);
}

#[test]
fn a_safe_request_is_retried_at_another_server() {
    let deployment = deployment();
    deployment.servers[1].set_behaviour(ServerBehaviour::DropsResponse);
    for number in 0..4 {
        let id = format!("id-safe-{number}");
        let response = deployment.call(1, "GET /stock/1", &id, "key-1");
        assert_eq!(response.status, 200, "{response:?}");
    }
}

#[test]
fn a_server_error_response_is_returned_without_a_retry() {
    let deployment = deployment();
    for server in &deployment.servers {
        server.set_behaviour(ServerBehaviour::RespondsWithError);
    }
    let executed = || -> usize {
        deployment
            .servers
            .iter()
            .map(|server| server.executed().len())
            .sum()
    };
    let before = executed();
    let response = deployment.call(1, "GET /stock/1", "id-fails", "key-1");
    assert_eq!(response.status, 500, "{response:?}");
    assert_eq!(executed(), before + 1);
}

#[test]
fn a_draining_server_receives_no_more_calls() {
    let deployment = deployment();
    deployment.announce(&SERVICES[..1], "draining", 2);
    eventually("calls to the drained server are refused", || {
        deployment
            .call(1, "POST /orders/1", "id-drain", "key-1")
            .status
            == 503
    });
    let before = deployment.servers[0].executed().len();
    for _ in 0..5 {
        assert_eq!(
            deployment
                .call(1, "POST /orders/1", "id-late", "key-1")
                .status,
            503
        );
    }
    assert_eq!(deployment.servers[0].executed().len(), before);
}

#[test]
fn a_removed_key_is_rejected_and_a_repeated_change_is_acknowledged_again() {
    let deployment = deployment();
    let second = document(9, 3, "key-2");
    assert_eq!(deployment.put_config(&second).status, 200);
    assert_eq!(deployment.put_config(&second).status, 200);
    assert_eq!(deployment.put_config(&document(3, 0, "key-1")).status, 200);
    let rival = document(11, 3, "key-3");
    assert_eq!(deployment.put_config(&rival).status, 412);
    eventually("the new key is in force", || {
        deployment.call(1, "GET /stock/1", "id-new", "key-2").status == 200
    });
    assert_eq!(
        deployment.call(1, "GET /stock/1", "id-old", "key-1").status,
        401
    );
}

/// Guards against a withdrawn last team that lets every request in (CONFIG, ROUTE).
#[test]
fn withdrawing_the_last_team_closes_what_its_key_opened() {
    let mut deployment = deployment();
    let mut second = document(9, 3, "key-1");
    let teams = second.find("\"tenants\":[").unwrap() + "\"tenants\":[".len();
    second.replace_range(teams.., "]}");
    assert_eq!(deployment.put_config(&second).status, 200);
    for (key, context) in [("key-1", "withdrawn"), ("other", "foreign"), ("", "empty")] {
        eventually("a request without a team's key is refused", || {
            deployment.call(1, "GET /stock/1", context, key).status == 401
        });
        let id = format!("id-after-{context}");
        let response = deployment.call(1, "POST /orders/1", &id, key);
        assert_eq!(response.status, 401, "{context}: {response:?}");
        assert!(!deployment.servers[0].has_run(&id), "{context}");
    }
    deployment.kill_node(1);
    deployment.start_node(1, "stock");
    deployment.await_ready(1);
    let response = deployment.call(1, "POST /orders/1", "id-restarted", "key-1");
    assert_eq!(response.status, 401, "{response:?}");
}

/// Guards against a withdrawn key that runs because no team is listed any more (CONFIG, ROUTE).
#[test]
fn a_configuration_without_a_list_of_teams_runs_nothing_with_a_withdrawn_key() {
    let deployment = deployment();
    let mut second = document(9, 3, "key-1");
    let teams = second.find(",\"tenants\":[").unwrap();
    second.replace_range(teams.., "}");
    assert_eq!(deployment.put_config(&second).status, 200);
    for (key, context) in [("key-1", "withdrawn"), ("other", "foreign")] {
        eventually("a request with a key of no team is refused", || {
            deployment.call(1, "GET /stock/1", context, key).status == 401
        });
        let id = format!("id-after-{context}");
        let response = deployment.call(1, "POST /orders/1", &id, key);
        assert_eq!(response.status, 401, "{context}: {response:?}");
        assert!(!deployment.servers[0].has_run(&id), "{context}");
    }
}

/// Guards against a low rate that reads as no limit (QUOTA).
#[test]
fn a_rate_below_one_request_a_second_is_a_limit() {
    // A limit that is lowered binds only after a while, so it is there from the start.
    let document = document(3, 0, "key-1")
        .replace("\"ratePerS\":500", "\"ratePerS\":0.4")
        .replace("\"burst\":500", "\"burst\":1");
    let deployment = TestDeployment::start_serving(&SERVICES, GRACE, &document, &[("/stock/", 1)]);
    let begun = Instant::now();
    let statuses: Vec<u16> = (0..100)
        .map(|number| {
            let id = format!("id-{number}");
            deployment.call_once(1, "GET /stock/1", &id, "key-1").status
        })
        .collect();
    let ran: u32 = statuses
        .iter()
        .map(|status| u32::from(*status == 200))
        .sum();
    // The bound of the settings: (rate x time + burst) x (1 + overage) + slack.
    let allowed = 0.4f64.mul_add(begun.elapsed().as_secs_f64(), 1.0) * 1.1 + 20.0;
    assert!(
        f64::from(ran) <= allowed,
        "{ran} of {allowed}: {statuses:?}"
    );
}

#[test]
fn sighup_does_not_end_a_process() {
    let mut deployment = deployment();
    for number in 0..3 {
        deployment.signal_all(Signal::HUP);
        let id = format!("id-hup-{number}");
        let response = deployment.call(1, "POST /orders/1", &id, "key-1");
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert!(deployment.all_running());
}

/// Waits until every control instance returns `document` as its configuration.
fn await_configuration(deployment: &TestDeployment, document: &str) {
    for number in 0..5 {
        eventually("every instance reads back what was acknowledged", || {
            let response = deployment.get_config(number);
            let response = response.filter(|response| response.status == 200);
            response.is_some_and(|response| {
                assert_eq!(response.body, document);
                true
            })
        });
    }
}

#[test]
fn what_was_acknowledged_survives_two_lost_disks_and_a_kill_of_all() {
    let mut deployment = deployment();
    let document = document(9, 3, "key-2");
    assert_eq!(deployment.put_config(&document).status, 200);
    for number in 0..5 {
        deployment.kill_control(number);
    }
    deployment.delete_control_data(0);
    deployment.delete_control_data(3);
    for number in 0..5 {
        deployment.start_control(number, false);
    }
    await_configuration(&deployment, &document);
    eventually("the nodes serve again", || {
        deployment
            .call(1, "GET /stock/1", "id-again", "key-2")
            .status
            == 200
    });
}

#[test]
fn configuration_survives_a_kill_of_all_after_each_seed_lost_its_disk() {
    let mut deployment = deployment();
    let document = document(9, 3, "key-2");
    assert_eq!(deployment.put_config(&document).status, 200);
    for seed in 0..3 {
        deployment.kill_control(seed);
        deployment.delete_control_data(seed);
        deployment.start_control(seed, false);
        await_configuration(&deployment, &document);
        // The group accepts a change only when it is complete again.
        eventually("the group is whole again", || {
            deployment.put_config(&document).status == 200
        });
    }
    for number in 0..5 {
        deployment.kill_control(number);
    }
    for number in 0..5 {
        deployment.start_control(number, false);
    }
    await_configuration(&deployment, &document);
}

/// Shortest time that the request before another one takes, in milliseconds.
const HELD_MS: u64 = 600;
/// Timeout of the routes, and time that the caller waits, in milliseconds.
const LONG_TIMEOUT_MS: u64 = 60_000;

/// Number of times that the requests are sent until neither is refused.
const ATTEMPTS: usize = 20;

/// Sends a request that the backend servers of stock hold, and another one behind it on the same
/// connection; returns the time that the one of orders is given, unless one lacks a token.
fn time_given_behind(deployment: &TestDeployment, attempt: usize) -> Option<Duration> {
    let [orders, stock, other_stock] = [0, 1, 2].map(|number| &deployment.servers[number]);
    let [held, behind] = ["held", "behind"].map(|name| format!("id-{name}-{attempt}"));
    stock.set_behaviour(ServerBehaviour::Holds);
    other_stock.set_behaviour(ServerBehaviour::Holds);
    let mut connection = KeptConnection::open(deployment.node_address(1, 0));
    let both = kept_connection::request_text("GET /stock/1", &held)
        + &kept_connection::request_text("POST /orders/1", &behind);
    connection.send_part(&both).unwrap();
    let first_runs = || stock.has_run(&held) || other_stock.has_run(&held);
    eventually("the first request runs or is refused", || {
        first_runs() || connection.has_input()
    });
    let is_first_held = first_runs();
    thread::sleep(Duration::from_millis(HELD_MS));
    stock.set_behaviour(ServerBehaviour::Normal);
    other_stock.set_behaviour(ServerBehaviour::Normal);
    for id in [&held, &behind] {
        let response = connection.read_response().unwrap();
        assert!(response.head.contains(id), "{response:?}");
        let is_expected = response.status == 200 || lacks_token(&response);
        assert!(is_expected, "{response:?}");
    }
    orders.time_given(&behind).filter(|_| is_first_held)
}

#[test]
fn a_server_is_not_given_the_time_that_a_request_has_waited_behind_others() {
    let document = document(3, 0, "key-1").replace("\"timeout\":2000", "\"timeout\":60000");
    let paths = [("/orders/", 1), ("/stock/", 2)];
    let deployment = TestDeployment::start_serving(&SERVICES, GRACE, &document, &paths);
    let mut attempts = 0..ATTEMPTS;
    let time_given = attempts.find_map(|attempt| time_given_behind(&deployment, attempt));
    let limit = Duration::from_millis(LONG_TIMEOUT_MS - HELD_MS);
    let time_given = time_given.unwrap();
    assert!(time_given <= limit, "{time_given:?}");
}
