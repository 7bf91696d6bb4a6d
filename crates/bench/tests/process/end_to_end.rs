//! Requests from the caller through a chain of services and back.

use bench::load;
use bench::load::CallOutcome;
use bench::wait;
use cli::client::AdminRequest;
use model::admin::TimelineReport;
use model::verdict::RunVerdict;

use crate::support::TestGroup;
use crate::support::answered;
use crate::support::chain;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_runs_through_a_chain_of_three() {
    let test = TestGroup::start(chain(1)).await;
    let profile = test.profile("workshop", "/quotes", "quotes");
    for node in 0..test.group.plan.nodes.len() {
        let record = test.caller(node).call(0, &profile).await;
        assert_eq!(record.outcome, CallOutcome::Answered, "through node {node}");
        assert_eq!(record.verdict, Some(RunVerdict::Ran));
        let runs = test.runs();
        for service in ["quotes", "stock", "prices"] {
            let line = format!("{service} {}", record.marker);
            assert!(runs.contains(&line), "{service} did not run it");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_caller_receives_its_own_complete_response() {
    let test = TestGroup::start(chain(2)).await;
    let profiles = test.declaration.profiles();
    let profiles = vec![profiles[0].clone(), profiles[2].clone()];
    let mut settings = test.load(profiles.clone(), 60);
    settings.callers = 24;
    let records = load::run_load(&settings).await.expect("a load");
    let audit = test.audit(&records, &profiles);
    assert!(audit.is_clean(), "{audit:#?}");
    assert!(answered(&records) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn events_of_all_processes_name_the_declaration_that_came_into_force() {
    let test = TestGroup::start(chain(1)).await;
    let admin = test.group.admin_client().expect("a client");
    let request = AdminRequest::get("/timeline");
    for node in &test.group.plan.nodes {
        let response = admin.send_to_any_role(node.admin, &request).await;
        let timeline: TimelineReport = response.expect("a time line");
        let kinds: Vec<_> = timeline.events.iter().map(|event| &event.kind).collect();
        assert!(
            kinds.iter().any(|kind| *kind == "config-applied"),
            "{kinds:?}"
        );
    }
    let status = wait::control_status(&test.group, 0)
        .await
        .expect("a status");
    assert_eq!(status.version, 1);
    assert_eq!(status.nodes.len(), test.group.plan.nodes.len());
}
