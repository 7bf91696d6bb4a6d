//! Changes of the declaration, during failures and restarts of control instances.

use bench::demo;
use bench::group::TeamKey;
use bench::load::CallOutcome;
use bench::wait;
use cli::client::AdminRequest;
use cli::keyfile;
use model::admin::ChangeReport;
use model::admin::ChangeSubmission;
use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::change::ProposedChange;

use crate::support::TestGroup;
use crate::support::chain;

fn unknown_key() -> CallOutcome {
    CallOutcome::Failed {
        cause: "unknown-key".to_owned(),
        verdict: "not-run".to_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_at_every_node() {
    let mut test = TestGroup::start(chain(1)).await;
    let profile = test.profile("workshop", "/quotes", "quotes");
    let nodes = test.group.plan.nodes.len();
    let mut callers: Vec<_> = (0..nodes).map(|node| test.caller(node)).collect();
    for caller in &mut callers {
        let record = caller.call(0, &profile).await;
        assert_eq!(record.outcome, CallOutcome::Answered);
    }
    let granted: Vec<TeamKey> = vec![bench::group::create_team_key().expect("a key")];
    test.declaration.teams[0].keys = granted;
    let declared = test.declaration.text(&test.group.files.owners);
    demo::apply(&test.group, &declared).await.expect("in force");
    let renewed = test.profile("workshop", "/quotes", "quotes");
    for caller in &mut callers {
        assert_eq!(caller.call(0, &profile).await.outcome, unknown_key());
        assert_eq!(
            caller.call(0, &renewed).await.outcome,
            CallOutcome::Answered
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_the_death_of_the_leader_and_never_revert() {
    let mut test = TestGroup::start(chain(1)).await;
    for round in 0..3 {
        let leader = wait::leader(&test.group).await.expect("a leader");
        test.group.controls[leader].kill().expect("killed");
        test.declaration.teams[0].rate += 1;
        let declared = test.declaration.text(&test.group.files.owners);
        demo::apply(&test.group, &declared).await.expect("in force");
        let name = test.group.plan.controls[leader].name.clone();
        test.group.controls[leader] = test.group.start_daemon(&name).expect("a daemon");
        let version = round + 2;
        wait::until("all instances to agree", async || {
            same_state(&test, version).await
        })
        .await
        .expect("one state");
    }
}

/// Guards against changes that are refused long after full disks have room again (Acks, CONFIG).
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_accepted_while_and_after_disks_are_full_in_turn() {
    let mut test = TestGroup::start(chain(1)).await;
    let mut version = 1;
    for position in 0..test.group.controls.len() {
        test.group.controls[position]
            .limit_files(Some(0))
            .expect("a process");
        for _ in 0..3 {
            test.declaration.teams[0].rate += 1;
            let declared = test.declaration.text(&test.group.files.owners);
            demo::apply(&test.group, &declared).await.expect("in force");
            version += 1;
        }
        test.group.controls[position]
            .limit_files(None)
            .expect("a process");
    }
    wait::until("all instances to agree", async || {
        same_state(&test, version).await
    })
    .await
    .expect("one state");
    for control in &mut test.group.controls {
        let ended = control.exit_status().expect("a process");
        assert_eq!(ended, None, "{} has ended", control.name());
    }
}

/// Checks that all control instances have this version and the same state digest.
async fn same_state(test: &TestGroup, version: u64) -> anyhow::Result<()> {
    let mut statuses = Vec::new();
    for position in 0..test.group.plan.controls.len() {
        statuses.push(wait::control_status(&test.group, position).await?);
    }
    for status in &statuses {
        anyhow::ensure!(status.version == version, "{status:?}");
        anyhow::ensure!(status.applied == statuses[0].applied, "{status:?}");
        anyhow::ensure!(status.digest == statuses[0].digest, "{status:?}");
    }
    Ok(())
}

/// Changes before all control instances are restarted.
const CHANGES: u64 = 300;

/// Submits a change with both signatures and returns its status.
async fn submit(test: &TestGroup, base: u64) -> ChangeStatus {
    let change = ProposedChange {
        base,
        text: test.declaration.text(&test.group.files.owners),
    };
    let hash = change.hash();
    let keys = test.group.files.owner_keys();
    let signatures = keys.iter().map(|key| {
        let key = keyfile::read_owner_key(key).expect("a key file");
        OwnerSignature::sign(&key, &hash)
    });
    let submission = ChangeSubmission {
        signatures: signatures.collect(),
        change,
    };
    let request = AdminRequest::post("/changes", &submission).expect("JSON");
    let controls: Vec<_> = test
        .group
        .plan
        .controls
        .iter()
        .map(|plan| plan.admin)
        .collect();
    let admin = test.group.admin_client().expect("a client");
    let response = admin.send_to_control(&controls, &request).await;
    let report: ChangeReport = response.expect("an answer");
    report.status
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_of_everything_after_hundreds_of_changes_keeps_the_accepted_state() {
    let mut test = TestGroup::start(chain(1)).await;
    for base in 1..=CHANGES {
        test.declaration.teams[0].burst += 1;
        assert_eq!(submit(&test, base).await, ChangeStatus::Accepted(base + 1));
    }
    for control in &mut test.group.controls {
        control.kill().expect("killed");
    }
    for position in 0..test.group.controls.len() {
        let name = test.group.plan.controls[position].name.clone();
        test.group.controls[position] = test.group.start_daemon(&name).expect("a daemon");
    }
    wait::until("all instances to agree", async || {
        same_state(&test, CHANGES + 1).await
    })
    .await
    .expect("one state");
    wait::nodes_ready(&test.group).await.expect("leases");
    let profile = test.profile("workshop", "/quotes", "quotes");
    // The new owners of the team's tokens first wait until the leases of old grants expire.
    wait::until("an answer", async || {
        let record = test.caller(0).call(0, &profile).await;
        anyhow::ensure!(record.outcome == CallOutcome::Answered, "{record:?}");
        Ok(())
    })
    .await
    .expect("an answer");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_control_instance_renews_no_lease_from_stale_state() {
    let mut test = TestGroup::start(chain(1)).await;
    let leader = wait::leader(&test.group).await.expect("a leader");
    test.group.controls[leader].pause().expect("frozen");
    wait::other_leader(&test.group, leader)
        .await
        .expect("a new leader");
    let profile = test.profile("workshop", "/quotes", "quotes");
    test.declaration.teams[0].keys = vec![bench::group::create_team_key().expect("a key")];
    let declared = test.declaration.text(&test.group.files.owners);
    demo::apply_without_instance(&test.group, &declared, leader)
        .await
        .expect("in force");
    test.group.controls[leader].resume().expect("thawed");
    // Whatever the resumed instance responds, no node may accept the old key again.
    for _ in 0..20 {
        for node in 0..test.group.plan.nodes.len() {
            let record = test.caller(node).call(0, &profile).await;
            assert_eq!(record.outcome, unknown_key());
        }
    }
    wait::until("all instances to agree", async || {
        same_state(&test, 2).await
    })
    .await
    .expect("one state");
}
