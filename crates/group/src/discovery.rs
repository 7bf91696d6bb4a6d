//! Finds the members of the group, by asking instances that may be gone, cut off or removed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Clock;
use fleet::ControlMessage;
use model::ids::InstanceId;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;
use tracing::info;

use crate::identity::instance_ip;
use crate::state::GroupState;

/// Timeout for querying another instance for the members of the group, in milliseconds.
const QUERY_TIMEOUT_MS: u64 = 1_200;
/// Delay before all instances are queried again, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;

/// The members of the group as one instance knows them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembersAnswer {
    /// The members; empty for an instance that belongs to no group.
    pub members: Vec<InstanceId>,
    /// Whether a quorum confirmed them.
    pub confirmed: bool,
}

/// Chooses the members that a joining instance asks, from the answers that it got.
///
/// Only confirmed members are certain to be those of the group. An instance that was cut off or
/// removed names what it knew, which hides no member that another one names: without a confirmed
/// answer, all that were named are asked.
#[must_use]
pub fn choose_members(answers: &[MembersAnswer]) -> Vec<InstanceId> {
    let confirmed = answers.iter().find(|answer| answer.confirmed);
    if let Some(answer) = confirmed.filter(|answer| !answer.members.is_empty()) {
        return answer.members.clone();
    }
    let named = answers.iter().flat_map(|answer| &answer.members);
    let named: BTreeSet<InstanceId> = named.copied().collect();
    named.into_iter().collect()
}

/// Queries other instances until one names members of the group; `None` if asked to stop meanwhile.
///
/// Beside the seeds, those that this instance knew earlier are asked.
pub(crate) async fn find_group<C: Clock>(
    state: &GroupState<C>,
    known_members: &[InstanceId],
) -> Option<Vec<InstanceId>> {
    loop {
        let answers = query_all(&other_instances(state, known_members)).await;
        let members = choose_members(&answers);
        if !members.is_empty() {
            let confirmed = answers.iter().any(|answer| answer.confirmed);
            let (answers, members_count) = (answers.len(), members.len());
            info!(
                event = "group-found",
                answers,
                confirmed,
                members = members_count
            );
            return Some(members);
        }
        tokio::select! {
            () = state.replica_stop.cancelled() => return None,
            () = sleep(Duration::from_millis(RETRY_DELAY_MS)) => {}
        }
    }
}

/// Returns whether a quorum confirms that `own` is not a member of the group.
pub(crate) async fn is_removed<C: Clock>(state: &GroupState<C>, own: InstanceId) -> bool {
    let answers = query_all(&other_instances(state, &state.members())).await;
    let confirmed = answers.iter().find(|answer| answer.confirmed);
    confirmed.is_some_and(|answer| !answer.members.contains(&own))
}

/// Returns where members and the seeds listen, each once and without this instance.
fn other_instances<C: Clock>(
    state: &GroupState<C>,
    members: &[InstanceId],
) -> BTreeSet<SocketAddr> {
    let members = members.iter().map(|member| instance_ip(*member));
    let seeds = state.seeds().into_iter().map(|seed| seed.ip());
    let own = state.settings.own_address;
    let others = members.chain(seeds).filter(|ip| *ip != own);
    others
        .map(|ip| SocketAddr::new(ip, state.settings.link_port))
        .collect()
}

/// Queries instances at the same time, until one has confirmed members or all have answered or
/// not answered in time.
async fn query_all(addresses: &BTreeSet<SocketAddr>) -> Vec<MembersAnswer> {
    let mut queries = JoinSet::new();
    for address in addresses {
        queries.spawn(query_members(*address));
    }
    let mut answers = Vec::new();
    while let Some(answered) = queries.join_next().await {
        if let Ok(Some(answer)) = answered {
            let is_confirmed = answer.confirmed;
            answers.push(answer);
            if is_confirmed {
                break;
            }
        }
    }
    answers
}

/// Queries one instance for the members of the group; `None` if it does not answer in time.
async fn query_members(address: SocketAddr) -> Option<MembersAnswer> {
    let time_limit = Duration::from_millis(QUERY_TIMEOUT_MS);
    let query = async {
        let stream = link::connect(address, time_limit).await.ok()?;
        let opened = link::open::<ControlMessage, ControlMessage>(stream).ok()?;
        let (sender, mut receiver) = opened;
        sender.send(&ControlMessage::QueryMembers);
        match receiver.next().await? {
            ControlMessage::Members {
                instances: members,
                confirmed,
            } => Some(MembersAnswer { members, confirmed }),
            _ => None,
        }
    };
    timeout(time_limit, query).await.ok().flatten()
}
