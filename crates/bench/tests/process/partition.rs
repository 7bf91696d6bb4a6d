//! Network partitions between processes, and lost disks.

use bench::demo;
use bench::group::GroupPlan;
use bench::load::CallOutcome;
use bench::relay::DatagramRelay;
use bench::wait;

use crate::support::STOP_TIMEOUT;
use crate::support::TestGroup;
use crate::support::chain;

/// Puts relays between the first node and all control instances.
async fn relayed(mut plan: GroupPlan) -> (GroupPlan, Vec<DatagramRelay>) {
    let mut relays = Vec::new();
    for control in &plan.controls {
        let relay = DatagramRelay::start(control.quic).await;
        relays.push(relay.expect("a relay"));
    }
    let addresses = relays.iter().map(DatagramRelay::address);
    plan.nodes[0].control_addresses = Some(addresses.collect());
    (plan, relays)
}

fn refused(cause: &str) -> CallOutcome {
    CallOutcome::Failed {
        cause: cause.to_owned(),
        verdict: "not-run".to_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_node_accepts_no_withdrawn_key() {
    let (plan, relays) = relayed(chain(1)).await;
    let mut test = TestGroup::start(plan).await;
    let withdrawn = test.profile("workshop", "/quotes", "quotes");
    let open = test.profile("none", "/status", "prices");
    let mut caller = test.caller(0);
    let record = caller.call(0, &withdrawn).await;
    assert_eq!(record.outcome, CallOutcome::Answered);
    relays.iter().for_each(DatagramRelay::drop_all);
    test.declaration.teams[0].keys = vec![bench::group::create_team_key().expect("a key")];
    let declared = test.declaration.text(&test.group.files.owners);
    // The change is in force only after the lease of the partitioned node has expired.
    demo::apply(&test.group, &declared).await.expect("in force");
    for _ in 0..10 {
        let record = caller.call(0, &withdrawn).await;
        assert_eq!(record.outcome, refused("no-lease"));
    }
    let record = caller.call(0, &open).await;
    assert_eq!(record.outcome, CallOutcome::Answered);
    relays.iter().for_each(DatagramRelay::restore);
    wait::nodes_ready(&test.group).await.expect("a lease");
    let record = caller.call(0, &withdrawn).await;
    assert_eq!(record.outcome, refused("unknown-key"));
}

/// Puts a relay in front of each control instance, which the other instances use.
async fn relayed_controls(mut plan: GroupPlan) -> (GroupPlan, Vec<DatagramRelay>) {
    let mut relays = Vec::new();
    for control in &mut plan.controls {
        let relay = DatagramRelay::start(control.quic).await.expect("a relay");
        control.relay = Some(relay.address());
        relays.push(relay);
    }
    (plan, relays)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_leader_renews_no_lease_and_catches_up() {
    let (plan, relays) = relayed_controls(chain(1)).await;
    let mut test = TestGroup::start(plan).await;
    let withdrawn = test.profile("workshop", "/quotes", "quotes");
    let leader = wait::leader(&test.group).await.expect("a leader");
    let isolated = test.group.plan.controls[leader].quic;
    // Nodes still reach the leader; the other instances do not.
    relays[leader].drop_all();
    for relay in &relays {
        relay.drop_sender(isolated);
    }
    wait::other_leader(&test.group, leader)
        .await
        .expect("a new leader");
    test.declaration.teams[0].keys = vec![bench::group::create_team_key().expect("a key")];
    let declared = test.declaration.text(&test.group.files.owners);
    demo::apply_without_instance(&test.group, &declared, leader)
        .await
        .expect("in force");
    for node in 0..test.group.plan.nodes.len() {
        let record = test.caller(node).call(0, &withdrawn).await;
        assert_eq!(record.outcome, refused("unknown-key"));
    }
    let status = wait::control_status(&test.group, leader).await;
    assert_eq!(status.expect("a status").version, 1);
    relays.iter().for_each(DatagramRelay::restore);
    wait::until("the isolated instance to catch up", async || {
        let status = wait::control_status(&test.group, leader).await?;
        anyhow::ensure!(status.version == 2, "{status:?}");
        Ok(())
    })
    .await
    .expect("caught up");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_instance_may_fail_just_after_a_repair() {
    let mut test = TestGroup::start(chain(1)).await;
    for first in 0..3 {
        let name = test.group.plan.controls[first].name.clone();
        test.group.controls[first].kill().expect("killed");
        test.declaration.teams[0].rate += 1;
        let declared = test.declaration.text(&test.group.files.owners);
        demo::apply(&test.group, &declared).await.expect("in force");
        let version = 2 + first as u64;
        test.group.controls[first] = test.group.start_daemon(&name).expect("a daemon");
        wait::until("the repaired instance to catch up", async || {
            let status = wait::control_status(&test.group, first).await?;
            anyhow::ensure!(status.version == version, "{status:?}");
            Ok(())
        })
        .await
        .expect("caught up");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wiped_instance_does_not_vote_and_is_replaced_under_a_new_identity() {
    let mut test = TestGroup::start(chain(1)).await;
    let wiped = 2;
    test.group.controls[wiped].kill().expect("killed");
    let name = test.group.plan.controls[wiped].name.clone();
    std::fs::remove_dir_all(test.group.files.data(&name)).expect("a wiped disk");
    test.group.controls[wiped] = test.group.start_daemon(&name).expect("a daemon");
    // The group refuses its old identity, so the process ends with an error.
    assert!(
        test.group.controls[wiped]
            .wait_for_exit(STOP_TIMEOUT)
            .is_err(),
        "a wiped instance goes on under its old identity"
    );
    test.declaration.teams[0].rate += 1;
    let declared = test.declaration.text(&test.group.files.owners);
    demo::apply(&test.group, &declared).await.expect("in force");
    let joined = test.group.join_control(4).expect("a new instance");
    wait::until("the new instance to vote", async || {
        let status = wait::control_status(&test.group, joined).await?;
        anyhow::ensure!(status.voters.contains(&4), "{status:?}");
        anyhow::ensure!(status.version == 2, "{status:?}");
        Ok(())
    })
    .await
    .expect("a new voter");
}
