//! Graceful stops of nodes and draining backend servers.

use std::time::Duration;

use bench::demo;
use bench::load;
use bench::load::CallOutcome;
use bench::wait;
use model::exchange::ServerState;

use crate::support::STOP_TIMEOUT;
use crate::support::TestGroup;
use crate::support::chain;

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_under_load_cuts_no_request() {
    let mut test = TestGroup::start(chain(2)).await;
    let profiles = vec![test.profile("workshop", "/quotes", "quotes")];
    let mut settings = test.load(profiles.clone(), 150);
    // Callers use only the nodes that keep running; the stopped ones receive calls of other nodes.
    let is_remaining = |node: &bench::group::NodePlan| !node.name.ends_with("-2");
    let remaining = test
        .group
        .plan
        .nodes
        .iter()
        .filter(|node| is_remaining(node));
    settings.nodes = remaining.map(|node| node.callers).collect();
    let running = tokio::spawn(async move { load::run_load(&settings).await });
    let leaving: Vec<usize> = (0..test.group.plan.nodes.len())
        .filter(|position| !is_remaining(&test.group.plan.nodes[*position]))
        .collect();
    for position in &leaving {
        test.group.nodes[*position].terminate().expect("a signal");
    }
    for position in &leaving {
        let node = &mut test.group.nodes[*position];
        node.wait_for_exit(STOP_TIMEOUT).expect("a graceful end");
    }
    let records = running.await.expect("no panic").expect("a load");
    let failed: Vec<_> = records
        .iter()
        .filter(|record| record.outcome != CallOutcome::Answered)
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
    let audit = test.audit(&records, &profiles);
    assert!(audit.is_clean(), "{audit:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_to_a_stopping_node_are_answered_or_did_not_run() {
    let mut test = TestGroup::start(chain(2)).await;
    let profiles = [test.profile("workshop", "/quotes", "quotes")];
    let stopped = test.group.plan.nodes.len() - 1;
    let mut caller = test.caller(stopped);
    let first = caller.call(0, &profiles[0]).await;
    assert_eq!(first.outcome, CallOutcome::Answered);
    test.group.nodes[stopped].terminate().expect("a signal");
    let mut records = Vec::new();
    // Once the listener is closed, a new connection is refused, which loses no request.
    while test.group.nodes[stopped]
        .exit_status()
        .expect("a process")
        .is_none()
    {
        if !caller.is_reachable().await {
            break;
        }
        records.push(caller.call(0, &profiles[0]).await);
    }
    let lost: Vec<_> = records
        .iter()
        .filter(|record| record.outcome != CallOutcome::Answered)
        .filter(|record| record.outcome != CallOutcome::ConnectionLost || has_run(&test, record))
        .collect();
    assert!(lost.is_empty(), "{lost:#?}");
}

fn has_run(test: &TestGroup, record: &bench::load::CallRecord) -> bool {
    let line = format!("quotes {}", record.marker);
    test.runs().contains(&line)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_backend_server_gets_no_new_work_and_loses_none() {
    let test = TestGroup::start(chain(2)).await;
    let profiles = vec![test.profile("workshop", "/quotes", "quotes")];
    let leaving = position(&test, "prices-2");
    let server = test.group.plan.nodes[leaving].server.listen;
    let settings = test.load(profiles.clone(), 600);
    let running = tokio::spawn(async move { load::run_load(&settings).await });
    demo::send_command(server, "drain")
        .await
        .expect("a stand-in");
    for caller in ["stock-1", "stock-2"] {
        let caller = position(&test, caller);
        wait::until("the drain to be known", async || {
            let status = wait::node_status(&test.group, caller).await?;
            let mut members = status.members.iter();
            let known =
                members.find(|member| member.address == test.group.plan.nodes[leaving].peers);
            let state = known.map(|member| member.state);
            anyhow::ensure!(state == Some(ServerState::Draining), "{state:?}");
            Ok(())
        })
        .await
        .expect("a drain");
    }
    // The node itself still passes on calls for a notice period of 1.5 s; the guarantee is a
    // few seconds.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = runs_of(&test, "prices-2");
    assert!(!running.is_finished(), "the load ended before the drain");
    let records = running.await.expect("no panic").expect("a load");
    assert_eq!(runs_of(&test, "prices-2"), before);
    let failed = records
        .iter()
        .filter(|record| record.outcome != CallOutcome::Answered);
    assert_eq!(failed.count(), 0);
}

fn position(test: &TestGroup, name: &str) -> usize {
    let mut nodes = test.group.plan.nodes.iter();
    nodes
        .position(|node| node.name == name)
        .expect("a node of this name")
}

fn runs_of(test: &TestGroup, name: &str) -> usize {
    let journal = test.group.files.journals.join(format!("{name}.journal"));
    let lines = std::fs::read_to_string(journal).expect("a journal");
    lines.lines().count()
}
