//! Quarantine of a request that crashes backend servers, and other requests sent with it, in
//! virtual time.

use std::time::Duration;

use admit::CrashQuarantine;
use admit::QuarantineDecision;
use admit::SuspectRegistry;
use clock::VirtualClock;
use model::exchange::CrashReport;
use model::ids::Fingerprint;
use model::ids::NodeId;

/// The request that crashes every backend server that runs it.
const POISON: Fingerprint = 666;
/// Harmless requests that are sent again together with it.
const HARMLESS: u64 = 40;
/// Time between two exchanges with control.
const EXCHANGE: Duration = Duration::from_millis(500);
/// Service time of a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn report(node: NodeId, crash: u32, suspects: Vec<Fingerprint>) -> CrashReport {
    CrashReport {
        service: "stock".into(),
        node,
        crash,
        suspects,
    }
}

/// Simulation of the nodes of one service and a control instance.
struct CrashSimulation {
    clock: VirtualClock,
    control: SuspectRegistry<VirtualClock>,
    nodes: Vec<CrashQuarantine<VirtualClock>>,
    crashes: u32,
}

impl CrashSimulation {
    fn new(nodes: usize) -> Self {
        let clock = VirtualClock::new();
        let node = CrashQuarantine::new(clock.clone(), "stock".into());
        Self {
            control: SuspectRegistry::new(clock.clone()),
            nodes: vec![node; nodes],
            clock,
            crashes: 0,
        }
    }

    fn exchange(&mut self) {
        self.clock.advance(EXCHANGE);
        let notices = self.control.notices();
        for node in &mut self.nodes {
            node.update(&notices);
        }
    }

    /// Sends all requests to one node at once and returns those that completed.
    fn send_together(&mut self, node: usize, requests: &[Fingerprint]) -> Vec<Fingerprint> {
        let quarantine = &mut self.nodes[node];
        let allowed = |request: &Fingerprint| {
            !matches!(quarantine.check(*request), QuarantineDecision::Refuse(_))
        };
        let running: Vec<_> = requests.iter().copied().filter(allowed).collect();
        self.clock.advance(SERVICE_TIME);
        if running.contains(&POISON) {
            self.crashes += 1;
            let suspects = self.nodes[node].record_crash(&running);
            self.control
                .record_crash(&report(node as u64, self.crashes, suspects));
            return Vec::new();
        }
        for request in &running {
            self.nodes[node].record_end(*request, true);
        }
        running
    }
}

#[test]
fn a_poison_request_crashes_two_servers_at_most_and_all_others_complete() {
    let mut simulation = CrashSimulation::new(4);
    let mut waiting: Vec<Fingerprint> = (0..HARMLESS).collect();
    waiting.push(POISON);
    for round in 0..400 {
        let done = simulation.send_together(round % 4, &waiting);
        waiting.retain(|request| !done.contains(request));
        simulation.exchange();
    }
    assert_eq!(simulation.crashes, 2);
    assert_eq!(waiting, [POISON]);
    let quarantined = simulation.control.notices();
    assert!(
        quarantined
            .iter()
            .all(|notice| notice.fingerprint == POISON)
    );
}

#[test]
fn a_suspect_is_probed_only_shortly_after_an_update_from_control() {
    let clock = VirtualClock::new();
    let mut control = SuspectRegistry::new(clock.clone());
    let mut node = CrashQuarantine::new(clock.clone(), "stock".into());
    control.record_crash(&report(1, 1, vec![POISON]));
    node.update(&control.notices());
    clock.advance(Duration::from_secs(2));
    assert!(matches!(node.check(POISON), QuarantineDecision::Refuse(_)));
    control.record_crash(&report(2, 1, vec![POISON]));
    node.update(&control.notices());
    assert!(matches!(node.check(POISON), QuarantineDecision::Refuse(_)));
    assert_eq!(node.check(5), QuarantineDecision::Run);
}

#[test]
fn a_repeated_report_counts_once() {
    let mut registry = SuspectRegistry::new(VirtualClock::new());
    assert!(
        registry
            .record_crash(&report(1, 1, vec![POISON]))
            .is_empty()
    );
    assert!(
        registry
            .record_crash(&report(1, 1, vec![POISON]))
            .is_empty()
    );
    assert_eq!(registry.record_crash(&report(1, 2, vec![POISON])), [POISON]);
}

#[test]
fn a_request_that_completed_recently_is_no_suspect() {
    let mut quarantine = CrashQuarantine::new(VirtualClock::new(), "stock".into());
    quarantine.record_end(5, true);
    assert_eq!(quarantine.record_crash(&[5, POISON]), [POISON]);
}

#[test]
fn a_cleared_suspect_is_not_quarantined_by_its_next_crash() {
    let mut registry = SuspectRegistry::new(VirtualClock::new());
    registry.record_crash(&report(1, 1, vec![7]));
    registry.clear_suspect(&"stock".into(), 7);
    assert!(registry.record_crash(&report(2, 1, vec![7])).is_empty());
}

#[test]
fn a_quarantine_is_extended_while_the_request_is_sent_again() {
    let clock = VirtualClock::new();
    let mut control = SuspectRegistry::new(clock.clone());
    let mut node = CrashQuarantine::new(clock.clone(), "stock".into());
    control.record_crash(&report(1, 1, vec![POISON]));
    control.record_crash(&report(2, 1, vec![POISON]));
    node.update(&control.notices());
    for _ in 0..20 {
        clock.advance(Duration::from_mins(30));
        assert!(matches!(node.check(POISON), QuarantineDecision::Refuse(_)));
    }
}

#[test]
fn the_number_of_suspects_is_bounded() {
    let mut registry = SuspectRegistry::new(VirtualClock::new());
    for crash in 0..20 {
        let first = u64::from(crash) * 1000;
        registry.record_crash(&report(1, crash, (first..first + 1000).collect()));
    }
    assert!(registry.notices().len() <= 8192);
}

#[test]
fn suspects_reported_by_another_node_are_refused_at_once_and_not_probed() {
    let clock = VirtualClock::new();
    let mut crashed = CrashQuarantine::new(clock.clone(), "stock".into());
    let mut other = CrashQuarantine::new(clock.clone(), "stock".into());
    assert_eq!(other.check(HARMLESS), QuarantineDecision::Run);
    other.record_end(HARMLESS, true);
    let suspects = crashed.record_crash(&[POISON, HARMLESS]);
    other.add_reported(&suspects);
    assert!(matches!(other.check(POISON), QuarantineDecision::Refuse(_)));
    // A request that completed here recently is not refused.
    assert_eq!(other.check(HARMLESS), QuarantineDecision::Run);
    other.record_end(HARMLESS, true);
    // The refusal ends, but without an update from control there is no probe.
    clock.advance(Duration::from_secs(2));
    other.add_reported(&[]);
    assert!(matches!(other.check(POISON), QuarantineDecision::Refuse(_)));
    other.update(&[]);
    assert_eq!(other.check(POISON), QuarantineDecision::Probe);
}
