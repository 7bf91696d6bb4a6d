//! The other nodes, by the service of the backend server beside each.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Instant;

use fleet::NodeRecord;
use model::context::ServerLoad;
use model::ids::DataCentreName;
use model::ids::NodeId;
use model::ids::ServiceName;
use route::LeastLoadedPicker;
use route::PickerMember;
use route::SendResult;

/// A node chosen for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ChosenNode {
    pub(crate) node: NodeId,
    pub(crate) address: SocketAddr,
}

/// Nodes known, with a picker for each service.
#[derive(Debug)]
pub(crate) struct MemberTable {
    own: NodeId,
    data_centre: DataCentreName,
    records: HashMap<NodeId, NodeRecord>,
    pickers: HashMap<ServiceName, LeastLoadedPicker>,
    /// Number of the last list.
    pub(crate) number: u64,
}

impl MemberTable {
    pub(crate) fn new(own: NodeId, data_centre: DataCentreName) -> Self {
        Self {
            own,
            data_centre,
            records: HashMap::new(),
            pickers: HashMap::new(),
            number: 0,
        }
    }

    /// Takes over a list; nodes that it lacks have left when it is `settled`.
    pub(crate) fn update(
        &mut self,
        number: u64,
        records: Vec<NodeRecord>,
        settled: bool,
        now: Instant,
    ) {
        self.number = number;
        let listed: HashSet<NodeId> = records.iter().map(|record| record.node).collect();
        let addresses: HashSet<SocketAddr> = records.iter().map(|record| record.address).collect();
        self.records.retain(|node, record| {
            listed.contains(node) || (!settled && !addresses.contains(&record.address))
        });
        for record in records {
            self.put(record, now);
        }
        for (service, picker) in &mut self.pickers {
            let known = &self.records;
            picker.members_mut().retain(|member| {
                known
                    .get(&member.node)
                    .is_some_and(|record| record.service == *service)
            });
        }
    }

    /// Takes over one record, as that of the own node.
    pub(crate) fn put(&mut self, record: NodeRecord, now: Instant) {
        let picker = self.pickers.entry(record.service.clone()).or_default();
        let members = picker.members_mut();
        let position = members
            .iter()
            .position(|member| member.node == record.node)
            .unwrap_or_else(|| {
                members.push(PickerMember::new(record.node, now));
                members.len() - 1
            });
        let known = self.records.get(&record.node);
        let is_new_server = known.is_none_or(|known| known.server != record.server);
        let member = &mut members[position];
        member.same_data_centre = record.data_centre == self.data_centre;
        member.same_instance = record.node == self.own;
        member.slots = record.slots;
        member.accepts_calls = record.takes_work && record.server.is_some();
        if is_new_server {
            member.warm_up_until = now + record.cold;
        }
        self.records.insert(record.node, record);
    }

    /// Returns how many nodes are known, this one included.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Chooses a node whose backend server runs `service`.
    pub(crate) fn pick(
        &mut self,
        service: &str,
        exclude: &[NodeId],
        now: Instant,
    ) -> Option<ChosenNode> {
        let picker = self.pickers.get_mut(service)?;
        let node = picker.pick(exclude, rand::random(), now)?;
        let record = self.records.get(&node)?;
        Some(ChosenNode {
            node,
            address: record.address,
        })
    }

    /// Passes over the nodes at these addresses for a while, as those that do not answer.
    pub(crate) fn pass_over(&mut self, addresses: &[SocketAddr], now: Instant) {
        let records = self.records.values();
        for record in records.filter(|record| addresses.contains(&record.address)) {
            if let Some(picker) = self.pickers.get_mut(&record.service) {
                picker.mark_unresponsive(record.node, now);
            }
        }
    }

    /// Learns how a call to a chosen node ended.
    pub(crate) fn learn(
        &mut self,
        service: &str,
        node: NodeId,
        result: SendResult,
        load: Option<ServerLoad>,
        now: Instant,
    ) {
        if let Some(picker) = self.pickers.get_mut(service) {
            picker.record_result(node, result, load, now);
        }
    }
}
