//! Prints the encoded sizes of the messages.

use std::time::Duration;

use model::exchange::ConfigUpdate;
use model::exchange::ExchangeReply;
use model::exchange::LeaseGrant;
use model::exchange::MemberUpdate;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use serde::Serialize;
use timeline::HybridTimestamp;
use wire::service::LeaseNotice;
use wire::service::NodeNotice;

use crate::nodes;

/// Members of one service in the target deployment.
const SERVICE_MEMBERS: u64 = 17;
/// Example wall time, in milliseconds since the epoch.
const WALL_MS: u64 = 1_800_000_000_000;

/// Prints the size of each message in postcard and in JSON, in bytes.
pub(crate) fn print() -> anyhow::Result<()> {
    println!("message,postcard_bytes,json_bytes");
    let mut request = nodes::request(7);
    request.stamp = stamp();
    request.applied = 450;
    request.member_cursor = 5_000;
    request.feed = u64::MAX / 3;
    row("request", &request)?;
    request.demands = vec![demand()];
    row("request with one demand", &request)?;
    let mut reply = reply();
    row("reply", &reply)?;
    reply.grants = vec![grant()];
    row("reply with one grant", &reply)?;
    reply.grants.clear();
    reply.members.joined = vec![request.member.clone()];
    row("reply with one changed member", &reply)?;
    let all = (0..3 * SERVICE_MEMBERS).map(|number| nodes::request(number).member);
    reply.members.joined = all.collect();
    row("reply with all members of 3 services", &reply)?;
    let lease = LeaseNotice {
        node: request.member.node,
        applied_version: 450,
        time_left: Duration::from_millis(2_345),
    };
    row("renewed lease told to a peer", &lease)?;
    let member = request.member;
    row("changed node told to a peer", &NodeNotice { member, lease })
}

fn row(name: &str, message: &impl Serialize) -> anyhow::Result<()> {
    let postcard = postcard::to_stdvec(message)?.len();
    let json = serde_json::to_vec(message)?.len();
    println!("{name},{postcard},{json}");
    Ok(())
}

fn stamp() -> HybridTimestamp {
    HybridTimestamp {
        wall_ms: WALL_MS,
        counter: 0,
    }
}

fn reply() -> ExchangeReply {
    ExchangeReply {
        lease: Some(LeaseGrant {
            version: 450,
            length: Duration::from_millis(2_400),
        }),
        config: ConfigUpdate::Current,
        members: MemberUpdate {
            feed: u64::MAX / 3,
            cursor: 5_000,
            ..MemberUpdate::default()
        },
        grants: Vec::new(),
        quarantined: Vec::new(),
        crashes_taken: true,
        stamp: stamp(),
    }
}

fn demand() -> TokenDemand {
    TokenDemand {
        team: "team-7".into(),
        sequence: 100_000,
        term: 3,
        want_milli: 20_000,
        urgent_milli: 0,
        held_milli: 20_000,
        returned_milli: 0,
        spent_milli: 10_000,
        spent_age: Duration::from_millis(300),
    }
}

fn grant() -> TokenGrant {
    TokenGrant {
        team: "team-7".into(),
        sequence: 100_000,
        term: 3,
        granted_milli: 20_000,
        retry_after: None,
    }
}
