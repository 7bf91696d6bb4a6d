//! The known nodes, this one included, grouped by the service of their backend servers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fleet::EvacuationList;
use fleet::EvacuationVersion;
use fleet::NodeRecord;
use model::context::ServerLoad;
use model::context::ServerPace;
use model::ids::DataCentreName;
use model::ids::NodeId;
use model::ids::RouteName;
use model::ids::ServiceName;
use model::traffic::TrafficShare;
use route::LeastLoadedPicker;
use route::PickerMember;
use route::SendResult;
use route::TrafficPlan;
use tracing::info;

/// A node chosen for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChosenNode {
    /// The node.
    pub node: NodeId,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// How the choice relates to the traffic plan; `None` while no plan is in force.
    pub relation: Option<PlaceRelation>,
}

/// Relation of the data centre of a call to the one that the traffic plan chose.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum PlaceRelation {
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
pub struct NodeTable {
    own_node: NodeId,
    data_centre: DataCentreName,
    records: HashMap<NodeId, NodeRecord>,
    pickers: HashMap<ServiceName, LeastLoadedPicker>,
    /// The plan of traffic between data centres; `None` where control sends none.
    traffic_plan: Option<TrafficPlan>,
    /// Version of the last node list received.
    pub(crate) list_version: u64,
    /// The evacuated data centres; `None` until control has told this run of the node.
    evacuations: Option<EvacuationList>,
}

impl NodeTable {
    /// Creates the table of a node in a data centre, which knows no nodes.
    #[must_use]
    pub fn new(own_node: NodeId, data_centre: DataCentreName) -> Self {
        Self {
            own_node,
            data_centre,
            records: HashMap::new(),
            pickers: HashMap::new(),
            traffic_plan: None,
            list_version: 0,
            evacuations: None,
        }
    }

    /// Applies a node list.
    ///
    /// Nodes missing from a `complete` list are removed. While the list is incomplete, a missing
    /// node stays unless another one has its address.
    pub fn apply_list(
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
    pub fn apply_changes(
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

    /// Applies the evacuated data centres if they are newer than the known ones; returns whether
    /// they are.
    ///
    /// A control instance that was cut off may still send older ones.
    pub fn apply_evacuations(&mut self, list: EvacuationList) -> bool {
        if Some(list.version) <= self.evacuation_version() {
            return false;
        }
        self.evacuations = Some(list);
        for (service, picker) in &mut self.pickers {
            for member in picker.members_mut() {
                let record = self.records.get(&member.node);
                member.accepts_calls = record.is_some_and(|record| {
                    record.service == *service && may_be_picked(record, self.evacuations.as_ref())
                });
            }
        }
        true
    }

    /// Returns the version of the evacuated data centres; `None` if none are known.
    #[must_use]
    pub fn evacuation_version(&self) -> Option<EvacuationVersion> {
        self.evacuations.as_ref().map(|list| list.version)
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
    pub fn upsert(&mut self, record: NodeRecord, now: Instant) {
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
        member.accepts_calls = may_be_picked(&record, self.evacuations.as_ref());
        if is_new_server {
            member.warm_up_until = now + record.warm_up_left;
            member.reset_speed();
        }
        self.records.insert(record.node, record);
    }

    /// Returns the number of known nodes, this one included.
    #[must_use]
    pub fn node_count(&self) -> usize {
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
    pub fn pick(
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
    pub fn mark_unresponsive(&mut self, addresses: &[SocketAddr], now: Instant) {
        let records = self.records.values();
        for record in records.filter(|record| addresses.contains(&record.address)) {
            if let Some(picker) = self.pickers.get_mut(&record.service) {
                picker.mark_unresponsive(record.node, now);
            }
        }
    }

    /// Records how a call to a chosen node ended, and the load that its response reported.
    pub fn record_result(
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

    /// Records how long a chosen node took for a complete response without an error, and the pace
    /// that came with it.
    pub fn record_response(
        &mut self,
        call: (&ServiceName, &RouteName),
        node: NodeId,
        took: Duration,
        pace: Option<ServerPace>,
        now: Instant,
    ) {
        let (service, route) = call;
        if let Some(picker) = self.pickers.get_mut(service) {
            picker.record_response(node, route, took, pace, now);
        }
    }

    /// Records the pace of the backend server beside the node at an address; returns whether the
    /// node is known.
    pub fn record_pace(&mut self, address: SocketAddr, pace: ServerPace, now: Instant) -> bool {
        let mut records = self.records.values();
        let found = records.find(|record| record.address == address);
        let Some(record) = found else {
            return false;
        };
        if let Some(picker) = self.pickers.get_mut(&record.service) {
            picker.record_pace(record.node, pace, now);
        }
        true
    }
}

/// Returns whether calls may be sent to the backend server of a record.
fn may_be_picked(record: &NodeRecord, evacuations: Option<&EvacuationList>) -> bool {
    let is_evacuated = evacuations.is_some_and(|list| list.contains(&record.data_centre));
    record.accepts_calls && record.server.is_some() && !is_evacuated
}
