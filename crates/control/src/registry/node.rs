//! Registry entry of one node.

use std::time::Instant;

use model::admin::NodeLease;
use model::exchange::MemberRecord;
use model::ids::ConfigVersion;
use model::ids::InstanceId;
use wire::service::LeaseNotice;

/// A node with a lease.
#[derive(Clone, Debug)]
pub(super) struct NodeEntry {
    /// Announcement of the node.
    pub(super) member: MemberRecord,
    /// Declaration version that it has applied.
    pub(super) applied: ConfigVersion,
    /// Latest time at which its lease expires.
    pub(super) lease_end: Instant,
    /// The control instance that serves the node.
    pub(super) serving_instance: InstanceId,
    /// Position of its last change in the feed.
    pub(super) cursor: u64,
    /// Sequence number of its last lease renewal.
    pub(super) renewal: u64,
}

impl NodeEntry {
    /// Returns whether other nodes must learn of the change; load is sent with call responses.
    pub(super) fn has_changed(&self, member: &MemberRecord) -> bool {
        let known = &self.member;
        known.state != member.state
            || known.address != member.address
            || known.service != member.service
            || known.data_centre != member.data_centre
    }

    /// Updates the lease, unless a later one is known.
    pub(super) fn renew(
        &mut self,
        serving_instance: InstanceId,
        applied: ConfigVersion,
        lease_end: Instant,
    ) {
        if lease_end >= self.lease_end {
            self.serving_instance = serving_instance;
            self.lease_end = lease_end;
        }
        self.applied = self.applied.max(applied);
    }

    pub(super) fn lease_notice(&self, now: Instant) -> LeaseNotice {
        LeaseNotice {
            node: self.member.node,
            applied_version: self.applied,
            time_left: self.lease_end.saturating_duration_since(now),
        }
    }

    pub(super) fn lease(&self, now: Instant) -> NodeLease {
        let left = self.lease_end.saturating_duration_since(now);
        NodeLease {
            member: self.member.clone(),
            applied: self.applied,
            lease_left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            admin: None,
        }
    }
}
