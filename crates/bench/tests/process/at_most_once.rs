//! Requests that must run at most once.

use std::time::Duration;

use bench::load::CallOutcome;
use bench::load::CallRecord;
use bench::wait;
use model::verdict::RunVerdict;
use uuid::Uuid;

use crate::support::TestGroup;
use crate::support::payments;

fn runs_of(test: &TestGroup, marker: Uuid) -> usize {
    let line = format!("payments {marker}");
    test.runs().iter().filter(|run| **run == line).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_payment_sent_at_two_nodes_at_once_runs_once() {
    let test = TestGroup::start(payments(3, Duration::from_millis(20))).await;
    let profile = test.profile("workshop", "/payments", "payments");
    for _ in 0..10 {
        let marker = Uuid::now_v7();
        let mut callers = [test.caller(0), test.caller(1), test.caller(2)];
        let [first, second, third] = &mut callers;
        let (first, second, third) = tokio::join!(
            first.call_with_marker(0, &profile, marker),
            second.call_with_marker(0, &profile, marker),
            third.call_with_marker(0, &profile, marker)
        );
        let records = [first, second, third];
        assert_eq!(runs_of(&test, marker), 1, "{records:#?}");
        assert!(records.iter().any(is_answered), "{records:#?}");
        assert!(records.iter().all(is_verdict_correct), "{records:#?}");
        let again = test.caller(0).call_with_marker(0, &profile, marker).await;
        assert!(is_verdict_correct(&again), "{again:#?}");
        assert_eq!(runs_of(&test, marker), 1);
    }
}

fn is_answered(record: &CallRecord) -> bool {
    record.outcome == CallOutcome::Answered
}

/// Returns whether the record does not deny the execution of a request that ran.
fn is_verdict_correct(record: &CallRecord) -> bool {
    record.verdict != Some(RunVerdict::NotRun) && record.outcome != CallOutcome::WrongAnswer
}

#[tokio::test(flavor = "multi_thread")]
async fn a_payment_whose_node_died_never_runs_again() {
    let mut test = TestGroup::start(payments(2, Duration::from_millis(400))).await;
    let profile = test.profile("workshop", "/payments", "payments");
    let marker = Uuid::now_v7();
    let mut caller = test.caller(0);
    let sent = profile.clone();
    let sending = tokio::spawn(async move { caller.call_with_marker(0, &sent, marker).await });
    wait::until("the payment to run", async || {
        anyhow::ensure!(runs_of(&test, marker) == 1, "not yet");
        Ok(())
    })
    .await
    .expect("a run");
    // One of the two nodes runs it; killing both leaves its idempotency record unsettled.
    for node in &mut test.group.nodes {
        node.kill().expect("killed");
    }
    let first = sending.await.expect("no panic");
    assert!(is_verdict_correct(&first), "{first:#?}");
    for position in 0..test.group.nodes.len() {
        let name = test.group.plan.nodes[position].name.clone();
        test.group.nodes[position] = test.group.start_daemon(&name).expect("a daemon");
    }
    wait::nodes_ready(&test.group).await.expect("ready nodes");
    for node in [0, 1, 0, 1] {
        let again = test
            .caller(node)
            .call_with_marker(0, &profile, marker)
            .await;
        assert!(
            is_verdict_correct(&again) && !is_answered(&again),
            "{again:#?}"
        );
    }
    assert_eq!(runs_of(&test, marker), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_payment_resent_after_the_leader_died_runs_once() {
    let mut test = TestGroup::start(payments(2, Duration::from_millis(50))).await;
    let profile = test.profile("workshop", "/payments", "payments");
    let marker = Uuid::now_v7();
    let first = test.caller(0).call_with_marker(0, &profile, marker).await;
    assert!(is_answered(&first), "{first:#?}");
    let leader = wait::leader(&test.group).await.expect("a leader");
    test.group.controls[leader].kill().expect("killed");
    let again = test.caller(1).call_with_marker(0, &profile, marker).await;
    assert!(is_verdict_correct(&again), "{again:#?}");
    wait::leader(&test.group).await.expect("a new leader");
    let again = test.caller(1).call_with_marker(0, &profile, marker).await;
    assert!(is_verdict_correct(&again), "{again:#?}");
    assert_eq!(runs_of(&test, marker), 1);
}
