//! Exchanges at one instance: leases, configuration, versions of the protocol.

use std::time::Duration;

use clock::SystemClock;
use clock::VirtualClock;
use control::core::LEASE_MS;
use model::exchange::ConfigUpdate;
use model::exchange::CrashReport;
use model::exchange::PROTOCOL_VERSION;
use wire::service::ControlError;

use crate::common::fake_log::FakeGroup;
use crate::common::lone_core;
use crate::common::request;

#[tokio::test]
async fn a_lease_names_the_version_and_brings_it() {
    let group = FakeGroup::new(1);
    group.declare("");
    let core = lone_core(group.log(1), SystemClock);
    let reply = core.exchange(request(1, "orders", &[])).await.unwrap();
    let lease = reply.lease.unwrap();
    assert_eq!(lease.version, 1);
    assert_eq!(lease.length, Duration::from_millis(LEASE_MS));
    assert!(matches!(reply.config, ConfigUpdate::Full(declaration) if declaration.version == 1));

    let mut known = request(1, "orders", &[]);
    known.applied = 1;
    let reply = core.exchange(known.clone()).await.unwrap();
    assert_eq!(reply.config, ConfigUpdate::Current);

    group.declare("");
    let reply = core.exchange(known).await.unwrap();
    assert_eq!(reply.lease.unwrap().version, 2);
    let ConfigUpdate::Delta(delta) = reply.config else {
        panic!("expected a delta, got {:?}", reply.config);
    };
    assert_eq!((delta.from, delta.to), (1, 2));
}

#[tokio::test(start_paused = true)]
async fn no_quorum_means_no_lease_and_nothing_else_of_value() {
    let group = FakeGroup::new(1);
    group.declare("");
    let log = group.log(1);
    let core = lone_core(log.clone(), VirtualClock::new());
    log.cut(true);
    let reply = core.exchange(request(1, "orders", &["orders"])).await;
    let reply = reply.unwrap();
    assert_eq!(reply.lease, None);
    assert_eq!(reply.config, ConfigUpdate::Current);
    assert!(reply.grants.is_empty());
    assert!(core.registry.is_empty());

    log.cut(false);
    group.elect(None);
    let reply = core.exchange(request(1, "orders", &[])).await.unwrap();
    assert_eq!(reply.lease, None);

    group.elect(Some(1));
    let reply = core.exchange(request(1, "orders", &[])).await.unwrap();
    assert!(reply.lease.is_some());
}

#[tokio::test]
async fn another_protocol_version_is_refused() {
    let core = lone_core(FakeGroup::new(1).log(1), SystemClock);
    let mut strange = request(1, "orders", &[]);
    strange.protocol = PROTOCOL_VERSION + 1;
    let refusal = core.exchange(strange).await.unwrap_err();
    let expected = ControlError::ProtocolVersion {
        offered: PROTOCOL_VERSION + 1,
        supported: PROTOCOL_VERSION,
    };
    assert_eq!(refusal, expected);
    assert!(core.registry.is_empty());
}

#[tokio::test]
async fn a_stopping_instance_sends_nodes_away() {
    let core = lone_core(FakeGroup::new(1).log(1), SystemClock);
    core.stop.cancel();
    let refusal = core.exchange(request(1, "orders", &[])).await.unwrap_err();
    assert_eq!(refusal, ControlError::Stopping);
}

#[tokio::test]
async fn a_crash_is_told_to_nodes_of_the_service_only() {
    let core = lone_core(FakeGroup::new(1).log(1), SystemClock);
    let mut report = request(1, "orders", &[]);
    report.crashes.push(CrashReport {
        service: "orders".into(),
        node: 1,
        crash: 1,
        suspects: vec![42],
    });
    let reply = core.exchange(report).await.unwrap();
    assert!(reply.crashes_taken);
    assert_eq!(reply.quarantined.len(), 1);
    let caller = core
        .exchange(request(2, "desk", &["orders"]))
        .await
        .unwrap();
    assert_eq!(caller.quarantined.len(), 1);
    let other = core.exchange(request(3, "desk", &["stock"])).await.unwrap();
    assert!(other.quarantined.is_empty());
}
