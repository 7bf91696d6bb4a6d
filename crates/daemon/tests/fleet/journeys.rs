//! What callers, backend servers and operators see of a whole deployment.

use rustix::process::Signal;

use crate::deployment::TestDeployment;
use crate::deployment::eventually;
use crate::server::ServerMood;

/// Services with one backend server each, but for stock, which has two.
const SERVICES: [&str; 3] = ["orders", "stock", "stock"];

fn document(version: u64, base: u64, key: &str) -> String {
    include_str!("config.json")
        .replace("VERSION", &version.to_string())
        .replace("BASE", &base.to_string())
        .replace("KEY", key)
}

fn deployment() -> TestDeployment {
    let deployment = TestDeployment::start(&SERVICES);
    let answer = deployment.put_config(&document(3, 0, "key-1"));
    assert_eq!(answer.status, 200, "{answer:?}");
    for node in 0..3 {
        deployment.await_ready(node);
    }
    for (path, servers) in [("/orders/", 1), ("/stock/", 2)] {
        let mut served = 0;
        eventually("the nodes know each other's backend servers", || {
            let id = format!("first-{path}-{served}");
            let answer = deployment.call(0, &format!("GET {path}first"), &id, "key-1");
            served += u32::from(answer.status == 200);
            served >= servers
        });
    }
    deployment
}

#[test]
fn a_request_travels_with_its_id_its_team_and_without_its_key() {
    let deployment = deployment();
    let answer = deployment.call(1, "POST /orders/7?x=1", "id-1", "key-1");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.head.contains("x-ragwortplank-request-id: id-1"));
    assert!(answer.head.contains("x-ragwortplank-server-stamp: i-0"));
    assert_eq!(answer.body, "ok");
    let ran = deployment.servers[0].ran();
    let head = ran.last().unwrap();
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
fn unknown_keys_and_routes_run_nothing() {
    let deployment = deployment();
    let before = deployment.servers[0].ran().len();
    assert_eq!(
        deployment.call(1, "GET /orders/1", "id-1", "other").status,
        401
    );
    assert_eq!(
        deployment.call(1, "GET /nowhere/1", "id-2", "key-1").status,
        404
    );
    assert_eq!(deployment.servers[0].ran().len(), before);
}

#[test]
fn an_unsafe_request_whose_answer_is_lost_is_neither_repeated_nor_promised() {
    let deployment = deployment();
    for mood in [
        ServerMood::LosesAnswers,
        ServerMood::AnswersOthers,
        ServerMood::BreaksOff,
    ] {
        deployment.servers[0].set_mood(mood);
        let before = deployment.servers[0].ran().len();
        let answer = deployment.call(1, "POST /orders/1", "id-lost", "key-1");
        assert_eq!(answer.status, 502, "{mood:?}: {answer:?}");
        assert_eq!(deployment.servers[0].ran().len(), before + 1, "{mood:?}");
    }
}

#[test]
fn a_request_that_its_server_sheds_has_not_run_and_may_come_back() {
    let deployment = deployment();
    deployment.servers[0].set_mood(ServerMood::Sheds);
    let before = deployment.servers[0].ran().len();
    let answer = deployment.call(1, "POST /orders/1", "id-shed", "key-1");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.head.contains("retry-after: "), "{answer:?}");
    assert_eq!(deployment.servers[0].ran().len(), before);
}

#[test]
fn a_safe_request_that_one_server_loses_is_served_by_another() {
    let deployment = deployment();
    deployment.servers[1].set_mood(ServerMood::LosesAnswers);
    for number in 0..4 {
        let id = format!("id-safe-{number}");
        let answer = deployment.call(1, "GET /stock/1", &id, "key-1");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

#[test]
fn a_failure_that_a_server_answers_is_returned_and_not_repeated() {
    let deployment = deployment();
    for server in &deployment.servers {
        server.set_mood(ServerMood::Fails);
    }
    let ran = || -> usize {
        deployment
            .servers
            .iter()
            .map(|server| server.ran().len())
            .sum()
    };
    let before = ran();
    let answer = deployment.call(1, "GET /stock/1", "id-fails", "key-1");
    assert_eq!(answer.status, 500, "{answer:?}");
    assert_eq!(ran(), before + 1);
}

#[test]
fn a_drained_server_gets_nothing_more() {
    let deployment = deployment();
    deployment.announce(&SERVICES[..1], "draining", 2);
    eventually("calls to the drained server are turned away", || {
        deployment
            .call(1, "POST /orders/1", "id-drain", "key-1")
            .status
            == 503
    });
    let before = deployment.servers[0].ran().len();
    for _ in 0..5 {
        assert_eq!(
            deployment
                .call(1, "POST /orders/1", "id-late", "key-1")
                .status,
            503
        );
    }
    assert_eq!(deployment.servers[0].ran().len(), before);
}

#[test]
fn a_withdrawn_key_stops_and_a_change_that_is_sent_again_is_acknowledged_again() {
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

#[test]
fn a_hangup_ends_no_process() {
    let mut deployment = deployment();
    for number in 0..3 {
        deployment.signal_all(Signal::HUP);
        let id = format!("id-hup-{number}");
        let answer = deployment.call(1, "POST /orders/1", &id, "key-1");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert!(deployment.all_run());
}

/// Waits until every control instance reads back `document`.
fn await_read_back(deployment: &TestDeployment, document: &str) {
    for number in 0..5 {
        eventually("every instance reads back what was acknowledged", || {
            let answer = deployment.get_config(number);
            let answer = answer.filter(|answer| answer.status == 200);
            answer.is_some_and(|answer| {
                assert_eq!(answer.body, document);
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
    deployment.wipe_control(0);
    deployment.wipe_control(3);
    for number in 0..5 {
        deployment.start_control(number, false);
    }
    await_read_back(&deployment, &document);
    eventually("the nodes serve again", || {
        deployment
            .call(1, "GET /stock/1", "id-again", "key-2")
            .status
            == 200
    });
}

#[test]
fn a_kill_of_all_is_survived_also_when_every_seed_lost_its_disk_before() {
    let mut deployment = deployment();
    let document = document(9, 3, "key-2");
    assert_eq!(deployment.put_config(&document).status, 200);
    for seed in 0..3 {
        deployment.kill_control(seed);
        deployment.wipe_control(seed);
        deployment.start_control(seed, false);
        await_read_back(&deployment, &document);
        // A change is taken only by a group that is whole again.
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
    await_read_back(&deployment, &document);
}
