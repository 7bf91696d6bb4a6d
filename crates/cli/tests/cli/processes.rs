//! Tests of the `status`, `timeline` and `drain` commands.

use cli::command::merge_events;
use cli::exit::ExitKind;
use model::admin::ControlStatus;
use model::admin::StatusReport;
use model::admin::TimelineReport;
use timeline::EventRecord;
use timeline::HybridTimestamp;

use crate::fake_control::FakeControl;
use crate::support::TestDeployment;

fn control_report(process: &str, applied: u64, digest: &str) -> StatusReport {
    StatusReport::Control(ControlStatus {
        process: process.to_owned(),
        instance: 1,
        role: "follower".to_owned(),
        term: 3,
        leader: Some(2),
        voters: vec![1, 2, 3],
        committed: applied,
        applied,
        digest: digest.to_owned(),
        digest_index: applied,
        version: 7,
        nodes: Vec::new(),
    })
}

fn event(process: &str, wall_ms: u64, counter: u32) -> EventRecord {
    let mut event = EventRecord::new("lease-renewed").request(u128::from(wall_ms));
    event.process = process.into();
    event.stamp = HybridTimestamp { wall_ms, counter };
    event
}

fn status_exit(statuses: Vec<StatusReport>) -> (ExitKind, serde_json::Value) {
    let deployment = TestDeployment::new();
    let count = statuses.len();
    let fake = FakeControl::start(&deployment, count);
    fake.state.lock().expect("state").statuses = statuses;
    let addresses: Vec<String> = fake.addresses.iter().map(ToString::to_string).collect();
    let mut args = vec!["status"];
    args.extend(addresses.iter().map(String::as_str));
    let run = deployment.run(&args);
    (run.exit, run.json())
}

#[test]
fn instances_at_the_same_log_index_must_have_equal_digests() {
    let (exit, _) = status_exit(vec![
        control_report("a", 5, "11"),
        control_report("b", 5, "11"),
    ]);
    assert_eq!(exit, ExitKind::Done);
    let (exit, _) = status_exit(vec![
        control_report("a", 5, "11"),
        control_report("b", 6, "22"),
    ]);
    assert_eq!(exit, ExitKind::Done);
    let (exit, json) = status_exit(vec![
        control_report("a", 5, "11"),
        control_report("b", 5, "22"),
    ]);
    assert_eq!(exit, ExitKind::Failed);
    assert_eq!(json["diverged"], serde_json::json!([5]));
}

#[test]
fn timeline_merges_processes_and_filters_events() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    let node = FakeControl::start_as(&deployment, "node", 1);
    control.state.lock().expect("state").timeline = TimelineReport {
        events: vec![event("a", 1, 0), event("a", 3, 0)],
    };
    node.state.lock().expect("state").timeline = TimelineReport {
        events: vec![event("b", 1, 1), event("b", 2, 0)],
    };
    let (first, second) = (control.first_address(), node.first_address());
    let wall_times = |args: &[&str]| -> Vec<u64> {
        let run = deployment.run(&[&["timeline", &first, &second], args].concat());
        assert_eq!(run.exit, ExitKind::Done);
        let events = run.json()["events"].as_array().expect("events").clone();
        let wall_times = events.iter();
        wall_times
            .map(|event| event["stamp"]["wall_ms"].as_u64().expect("number"))
            .collect()
    };
    assert_eq!(wall_times(&[]), [1, 1, 2, 3]);
    assert_eq!(wall_times(&["--process", "b"]), [1, 2]);
    let request = format!("{:032x}", 3);
    assert_eq!(wall_times(&["--request", &request]), [3]);
}

#[test]
fn merged_events_are_ordered_by_timestamp_and_process() {
    let left = TimelineReport {
        events: vec![event("b", 5, 0), event("b", 5, 2)],
    };
    let right = TimelineReport {
        events: vec![event("a", 5, 0), event("a", 5, 1)],
    };
    let merged = merge_events(vec![left, right]);
    let order: Vec<String> = merged
        .iter()
        .map(|event| format!("{}{}", event.process, event.stamp.counter))
        .collect();
    assert_eq!(order, ["a0", "b0", "a1", "b2"]);
}

#[test]
fn drain_is_sent_to_nodes_only() {
    let deployment = TestDeployment::new();
    let node = FakeControl::start_as(&deployment, "node", 1);
    let drained = deployment.run(&["drain", &node.first_address()]);
    assert_eq!(drained.exit, ExitKind::Done);
    assert_eq!(node.state.lock().expect("state").drained, 1);
    let control = FakeControl::start(&deployment, 1);
    let refused = deployment.run(&["drain", &control.first_address()]);
    assert_eq!(refused.exit, ExitKind::Unreachable);
}
