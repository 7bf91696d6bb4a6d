//! The identity under which an instance starts, also after its disk was lost.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use group::DataDirectory;
use group::StartPlan;
use group::instance_id;
use settings::DeploymentBounds;
use settings::GroupSettings;
use tempfile::TempDir;

fn ip(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))
}

fn settings(own: u8, first_start: bool) -> GroupSettings {
    GroupSettings {
        process: "control".to_owned(),
        data_centre: Arc::from("a"),
        seeds: [3, 1, 2]
            .map(|last| SocketAddr::new(ip(last), 8540))
            .to_vec(),
        own_address: ip(own),
        operator_listener: SocketAddr::new(ip(own), 8540),
        metrics_listener: SocketAddr::new(ip(own), 9100),
        link_port: 7000,
        data_directory: PathBuf::new(),
        first_start,
        data_centres: BTreeSet::new(),
        bounds: DeploymentBounds {
            tolerated_losses: 2,
            revocation_time: Duration::from_secs(5),
            drain_time: Duration::from_secs(2),
            stop_grace_period: Duration::from_secs(6),
            reachable_after: Duration::from_secs(3),
            retry_window: Duration::from_secs(10),
            retry_ratio: 0.2,
            retry_slack: 49.0,
            quota_window: Duration::from_secs(5),
            quota_overage_ratio: 0.1,
            quota_slack_requests: 20.0,
            cold_overage_factor: 1.5,
            cold_slack_requests: 8.0,
        },
        traffic: None,
    }
}

#[test]
fn all_seeds_plan_the_same_initial_group() {
    let plans = [1, 2, 3].map(|own| StartPlan::with_empty_directory(&settings(own, true), 5));
    for plan in &plans {
        assert_eq!(plan.initial_members, plans[0].initial_members);
        assert!(plan.initial_members.contains(&plan.instance));
    }
}

#[test]
fn an_instance_that_is_not_a_seed_joins_at_the_first_start() {
    let plan = StartPlan::with_empty_directory(&settings(4, true), 5);
    assert!(plan.initial_members.is_empty());
    assert_eq!(plan.instance, instance_id(ip(4), 5));
}

#[test]
fn a_seed_that_lost_its_disk_never_reuses_its_initial_identity() {
    let plan = StartPlan::with_empty_directory(&settings(1, false), 0);
    assert!(plan.initial_members.is_empty());
    assert_ne!(plan.instance, instance_id(ip(1), 0));
}

#[test]
fn a_plan_survives_a_restart_until_it_is_replaced() {
    let directory = TempDir::new().unwrap();
    let data_directory = DataDirectory::new(directory.path()).unwrap();
    assert_eq!(data_directory.load_plan().unwrap(), None);
    let plan = StartPlan::with_empty_directory(&settings(1, true), 5);
    data_directory.save_plan(&plan).unwrap();
    assert_eq!(
        DataDirectory::new(directory.path())
            .unwrap()
            .load_plan()
            .unwrap(),
        Some(plan)
    );
    std::fs::create_dir(data_directory.log_path()).unwrap();
    let next = StartPlan::joining(ip(1), 7);
    data_directory.replace_plan(&next).unwrap();
    assert_eq!(data_directory.load_plan().unwrap(), Some(next));
    assert!(!data_directory.log_path().exists());
}

// Guards against a removed instance that forgets the members with its log when it is restarted.
#[test]
fn members_that_were_known_survive_a_restart_and_are_bounded() {
    let directory = TempDir::new().unwrap();
    let data_directory = DataDirectory::new(directory.path()).unwrap();
    let known: Vec<_> = (1..=200).map(|last| instance_id(ip(last), 3)).collect();
    let plan = StartPlan::joining(ip(1), 7).with_known_members(known.clone());
    assert_eq!(plan.known_members, known[..16]);
    data_directory.replace_plan(&plan).unwrap();
    assert_eq!(data_directory.load_plan().unwrap(), Some(plan));
}

#[test]
fn a_plan_without_known_members_is_read() {
    let directory = TempDir::new().unwrap();
    let data_directory = DataDirectory::new(directory.path()).unwrap();
    let written_before = postcard::to_stdvec(&(9_u64, vec![8_u64, 9])).unwrap();
    std::fs::write(directory.path().join("start"), written_before).unwrap();
    let plan = data_directory.load_plan().unwrap().unwrap();
    assert_eq!((plan.instance, plan.initial_members), (9, vec![8, 9]));
    assert!(plan.known_members.is_empty());
}

#[test]
fn an_incomplete_plan_counts_as_missing() {
    let directory = TempDir::new().unwrap();
    let data_directory = DataDirectory::new(directory.path()).unwrap();
    std::fs::write(directory.path().join("start"), [0xff]).unwrap();
    assert_eq!(data_directory.load_plan().unwrap(), None);
}

#[test]
fn a_plan_that_cannot_be_read_is_not_taken_for_a_missing_one() {
    let directory = TempDir::new().unwrap();
    let data_directory = DataDirectory::new(directory.path()).unwrap();
    // Reading a directory fails, and not because it is missing.
    std::fs::create_dir(directory.path().join("start")).unwrap();
    assert!(data_directory.load_plan().is_err());
}

#[test]
fn a_damaged_plan_beside_a_log_is_not_taken_for_a_missing_one() {
    let directory = TempDir::new().unwrap();
    let data_directory = DataDirectory::new(directory.path()).unwrap();
    std::fs::write(directory.path().join("start"), [0xff]).unwrap();
    std::fs::create_dir(data_directory.log_path()).unwrap();
    assert!(data_directory.load_plan().is_err());
}

#[test]
fn a_plan_is_given_up_before_any_part_of_its_log_is_deleted() {
    let directory = TempDir::new().unwrap();
    let data_directory = DataDirectory::new(directory.path()).unwrap();
    let plan = StartPlan::with_empty_directory(&settings(1, true), 5);
    data_directory.save_plan(&plan).unwrap();
    // A log that is no directory cannot be deleted as one.
    std::fs::write(data_directory.log_path(), []).unwrap();
    let next = StartPlan::joining(ip(1), 7);
    assert!(data_directory.replace_plan(&next).is_err());
    assert!(!directory.path().join("start").exists());
}

// Guards against a restart in the middle of a replacement that takes the directory for a new one:
// at the first start of the deployment it would form the group again.
#[test]
fn an_interrupted_replacement_of_the_plan_is_completed() {
    let directory = TempDir::new().unwrap();
    let data_directory = DataDirectory::new(directory.path()).unwrap();
    let plan = StartPlan::with_empty_directory(&settings(1, true), 5);
    data_directory.save_plan(&plan).unwrap();
    std::fs::write(data_directory.log_path(), []).unwrap();
    let next = StartPlan::joining(ip(1), 7);
    assert!(data_directory.replace_plan(&next).is_err());
    // The log is still in the way: neither identity may be used, and none is missing.
    assert!(data_directory.load_plan().is_err());
    std::fs::remove_file(data_directory.log_path()).unwrap();
    std::fs::create_dir(data_directory.log_path()).unwrap();
    assert_eq!(data_directory.load_plan().unwrap(), Some(next.clone()));
    assert!(!data_directory.log_path().exists());
    assert_eq!(data_directory.load_plan().unwrap(), Some(next));
}
