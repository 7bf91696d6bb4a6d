//! State and events of several processes.

use cli::command::merge_events;
use cli::exit::ExitKind;
use model::admin::ControlStatus;
use model::admin::StatusReport;
use model::admin::TimelineReport;
use timeline::EventRecord;
use timeline::HybridTimestamp;

use crate::fake_control::FakeControl;
use crate::support::Workplace;

fn control(process: &str, applied: u64, digest: &str) -> StatusReport {
    StatusReport::Control(ControlStatus {
        process: process.to_owned(),
        instance: 1,
        duty: "follower".to_owned(),
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
    let workplace = Workplace::new();
    let count = statuses.len();
    let fake = FakeControl::start(&workplace, count);
    fake.state.lock().expect("state").statuses = statuses;
    let addresses: Vec<String> = fake.addresses.iter().map(ToString::to_string).collect();
    let mut words = vec!["status"];
    words.extend(addresses.iter().map(String::as_str));
    let run = workplace.run(&words);
    (run.exit, run.json())
}

#[test]
fn instances_that_applied_the_same_entries_must_agree() {
    let (exit, _) = status_exit(vec![control("a", 5, "11"), control("b", 5, "11")]);
    assert_eq!(exit, ExitKind::Done);
    let (exit, _) = status_exit(vec![control("a", 5, "11"), control("b", 6, "22")]);
    assert_eq!(exit, ExitKind::Done);
    let (exit, json) = status_exit(vec![control("a", 5, "11"), control("b", 5, "22")]);
    assert_eq!(exit, ExitKind::Failed);
    assert_eq!(json["diverged"], serde_json::json!([5]));
}

#[test]
fn events_of_all_processes_come_in_one_order_and_are_filtered() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    let node = FakeControl::start_as(&workplace, "node", 1);
    control.state.lock().expect("state").timeline = TimelineReport {
        events: vec![event("a", 1, 0), event("a", 3, 0)],
    };
    node.state.lock().expect("state").timeline = TimelineReport {
        events: vec![event("b", 1, 1), event("b", 2, 0)],
    };
    let (first, second) = (control.first(), node.first());
    let stamps = |words: &[&str]| -> Vec<u64> {
        let run = workplace.run(&[&["timeline", &first, &second], words].concat());
        assert_eq!(run.exit, ExitKind::Done);
        let events = run.json()["events"].as_array().expect("events").clone();
        let stamps = events.iter();
        stamps
            .map(|event| event["stamp"]["wall_ms"].as_u64().expect("number"))
            .collect()
    };
    assert_eq!(stamps(&[]), [1, 1, 2, 3]);
    assert_eq!(stamps(&["--process", "b"]), [1, 2]);
    let request = format!("{:032x}", 3);
    assert_eq!(stamps(&["--request", &request]), [3]);
}

#[test]
fn merged_events_keep_the_order_of_their_stamps() {
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
fn a_node_is_told_to_drain() {
    let workplace = Workplace::new();
    let node = FakeControl::start_as(&workplace, "node", 1);
    let drained = workplace.run(&["drain", &node.first()]);
    assert_eq!(drained.exit, ExitKind::Done);
    assert_eq!(node.state.lock().expect("state").drained, 1);
    let control = FakeControl::start(&workplace, 1);
    let refused = workplace.run(&["drain", &control.first()]);
    assert_eq!(refused.exit, ExitKind::Unreachable);
}
