//! Tests of exchanges at one instance: leases, configuration and protocol versions.

use std::time::Duration;

use clock::SystemClock;
use clock::VirtualClock;
use control::core::LEASE_MS;
use model::exchange::ConfigUpdate;
use model::exchange::CrashReport;
use model::exchange::PROTOCOL_VERSION;
use wire::service::ControlError;

use crate::common::fake_log::FakeGroup;
use crate::common::request;
use crate::common::standalone_core;

#[tokio::test]
async fn a_reply_carries_the_version_that_its_lease_names() {
    let group = FakeGroup::new(1);
    group.declare("");
    let core = standalone_core(group.log(1), SystemClock);
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
async fn without_a_quorum_a_reply_has_no_lease_config_or_grants() {
    let group = FakeGroup::new(1);
    group.declare("");
    let log = group.log(1);
    let core = standalone_core(log.clone(), VirtualClock::new());
    log.set_partitioned(true);
    let reply = core.exchange(request(1, "orders", &["orders"])).await;
    let reply = reply.unwrap();
    assert_eq!(reply.lease, None);
    assert_eq!(reply.config, ConfigUpdate::Current);
    assert!(reply.grants.is_empty());
    assert!(core.registry.is_empty());

    log.set_partitioned(false);
    group.elect(None);
    let reply = core.exchange(request(1, "orders", &[])).await.unwrap();
    assert_eq!(reply.lease, None);

    group.elect(Some(1));
    let reply = core.exchange(request(1, "orders", &[])).await.unwrap();
    assert!(reply.lease.is_some());
}

#[tokio::test]
async fn another_protocol_version_is_refused() {
    let core = standalone_core(FakeGroup::new(1).log(1), SystemClock);
    let mut unsupported = request(1, "orders", &[]);
    unsupported.protocol = PROTOCOL_VERSION + 1;
    let refusal = core.exchange(unsupported).await.unwrap_err();
    let expected = ControlError::ProtocolVersion {
        offered: PROTOCOL_VERSION + 1,
        supported: PROTOCOL_VERSION,
    };
    assert_eq!(refusal, expected);
    assert!(core.registry.is_empty());
}

#[tokio::test]
async fn a_stopping_instance_refuses_exchanges() {
    let core = standalone_core(FakeGroup::new(1).log(1), SystemClock);
    core.stop.cancel();
    let refusal = core.exchange(request(1, "orders", &[])).await.unwrap_err();
    assert_eq!(refusal, ControlError::Stopping);
}

#[tokio::test]
async fn a_quarantine_reaches_only_nodes_that_serve_or_call_the_service() {
    let core = standalone_core(FakeGroup::new(1).log(1), SystemClock);
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
