//! The known nodes, this one included, grouped by the service of their backend servers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Instant;

use fleet::NodeRecord;
use model::context::ServerLoad;
use model::ids::DataCentreName;
use model::ids::NodeId;
use model::ids::ServiceName;
use model::traffic::TrafficShare;
use route::LeastLoadedPicker;
use route::PickerMember;
use route::SendResult;
use route::TrafficPlan;
use tracing::info;

/// A node chosen for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ChosenNode {
    pub(crate) node: NodeId,
    pub(crate) address: SocketAddr,
    /// How the choice relates to the traffic plan; `None` while no plan is in force.
    pub(crate) relation: Option<PlaceRelation>,
}

/// Relation of the data centre of a call to the one that the traffic plan chose.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub(crate) enum PlaceRelation {
    /// This node's data centre.
    #[display("same")]
    Same,
    /// Another data centre, as the plan chose.
    #[display("plan")]
    Planned,
    /// Another data centre, since the chosen one has no member with a free slot.
    #[display("fallback")]
    Fallback,
}

/// Records of the known nodes, and a load balancer for each service.
#[derive(Debug)]
pub(crate) struct NodeTable {
    own_node: NodeId,
    data_centre: DataCentreName,
    records: HashMap<NodeId, NodeRecord>,
    pickers: HashMap<ServiceName, LeastLoadedPicker>,
    /// The plan of traffic between data centres; `None` where control sends none.
    traffic_plan: Option<TrafficPlan>,
    /// Version of the last node list received.
    pub(crate) list_version: u64,
}

impl NodeTable {
    pub(crate) fn new(own_node: NodeId, data_centre: DataCentreName) -> Self {
        Self {
            own_node,
            data_centre,
            records: HashMap::new(),
            pickers: HashMap::new(),
            traffic_plan: None,
            list_version: 0,
        }
    }

    /// Applies a node list.
    ///
    /// Nodes missing from a `complete` list are removed. While the list is incomplete, a missing
    /// node stays unless another one has its address.
    pub(crate) fn apply_list(
        &mut self,
        version: u64,
        records: Vec<NodeRecord>,
        complete: bool,
        now: Instant,
    ) {
        self.list_version = version;
        let listed: HashSet<NodeId> = records.iter().map(|record| record.node).collect();
        let addresses: HashSet<SocketAddr> = records.iter().map(|record| record.address).collect();
        self.records.retain(|node, record| {
            listed.contains(node) || (!complete && !addresses.contains(&record.address))
        });
        for record in records {
            self.upsert(record, now);
        }
        self.retain_members();
    }

    /// Applies how the node list differs from version `base`; returns whether it has been applied
    /// or is known already.
    ///
    /// Changes that begin with a later version than the known one are of no use: the next report
    /// names that one, and control begins from there.
    pub(crate) fn apply_changes(
        &mut self,
        base: u64,
        version: u64,
        changed: Vec<NodeRecord>,
        removed: &[NodeId],
        now: Instant,
    ) -> bool {
        if version <= self.list_version {
            return true;
        }
        if base > self.list_version {
            return false;
        }
        self.list_version = version;
        self.records.retain(|node, _| !removed.contains(node));
        for record in changed {
            self.upsert(record, now);
        }
        self.retain_members();
        true
    }

    /// Takes nodes that are not known any more, or run another service, out of the load balancers.
    fn retain_members(&mut self) {
        for (service, picker) in &mut self.pickers {
            let known = &self.records;
            picker.members_mut().retain(|member| {
                known
                    .get(&member.node)
                    .is_some_and(|record| record.service == *service)
            });
        }
    }

    /// Adds or updates the record of one node.
    pub(crate) fn upsert(&mut self, record: NodeRecord, now: Instant) {
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
        member.data_centre = record.data_centre.clone();
        member.same_data_centre = record.data_centre == self.data_centre;
        member.same_instance = record.node == self.own_node;
        member.slots = record.slots;
        member.accepts_calls = record.accepts_calls && record.server.is_some();
        if is_new_server {
            member.warm_up_until = now + record.warm_up_left;
        }
        self.records.insert(record.node, record);
    }

    /// Returns the number of known nodes, this one included.
    pub(crate) fn node_count(&self) -> usize {
        self.records.len()
    }

    /// Applies a new plan of traffic between data centres.
    pub(crate) fn apply_traffic_plan(&mut self, shares: Vec<TrafficShare>, now: Instant) {
        if self.traffic_plan.is_none() {
            info!(event = "traffic-plan-begun", shares = shares.len());
        }
        self.traffic_plan = Some(TrafficPlan::new(shares, now));
    }

    /// Draws the data centre of a call; `None` where no plan is in force.
    pub(crate) fn draw_data_centre(
        &mut self,
        service: &str,
        now: Instant,
    ) -> Option<DataCentreName> {
        let plan = self.traffic_plan.as_ref()?;
        if plan.weight(now) <= 0.0 {
            self.traffic_plan = None;
            info!(event = "traffic-plan-expired");
            return None;
        }
        let drawn = plan.draw(service, rand::random(), now);
        Some(drawn.unwrap_or(&self.data_centre).clone())
    }

    /// Chooses a node whose backend server runs `service`, if possible in the data centre that was
    /// drawn for the call.
    pub(crate) fn pick(
        &mut self,
        service: &str,
        drawn: Option<&DataCentreName>,
        exclude: &[NodeId],
        now: Instant,
    ) -> Option<ChosenNode> {
        let picker = self.pickers.get_mut(service)?;
        let seed = rand::random();
        let node = drawn
            .and_then(|drawn| picker.pick_within(drawn, exclude, seed, now))
            .or_else(|| picker.pick(exclude, seed, now))?;
        let record = self.records.get(&node)?;
        Some(ChosenNode {
            node,
            address: record.address,
            relation: drawn.map(|drawn| self.relation(&record.data_centre, drawn)),
        })
    }

    fn relation(&self, chosen: &DataCentreName, drawn: &DataCentreName) -> PlaceRelation {
        if *chosen == self.data_centre {
            PlaceRelation::Same
        } else if chosen == drawn {
            PlaceRelation::Planned
        } else {
            PlaceRelation::Fallback
        }
    }

    /// Avoids the nodes at these addresses for a while, since they do not respond.
    pub(crate) fn mark_unresponsive(&mut self, addresses: &[SocketAddr], now: Instant) {
        let records = self.records.values();
        for record in records.filter(|record| addresses.contains(&record.address)) {
            if let Some(picker) = self.pickers.get_mut(&record.service) {
                picker.mark_unresponsive(record.node, now);
            }
        }
    }

    /// Records how a call to a chosen node ended, and the load that its response reported.
    pub(crate) fn record_result(
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
