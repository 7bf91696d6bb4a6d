//! Votes of one member across restarts.

use std::time::Instant;

use quorum::DurableState;
use quorum::DurableWrite;
use quorum::INITIAL_FOLDER;
use quorum::InstanceId;
use quorum::LogPosition;
use quorum::Membership;
use quorum::MessageBody;
use quorum::PeerMessage;
use quorum::RaftConfig;
use quorum::RaftCore;

/// Returns a vote request for term 5.
fn vote_request() -> PeerMessage {
    PeerMessage {
        term: 5,
        folder: Some(INITIAL_FOLDER),
        body: MessageBody::Vote {
            last: LogPosition::default(),
            transfer: false,
        },
    }
}

fn start(state: &DurableState, now: Instant) -> RaftCore {
    RaftCore::new(
        1,
        INITIAL_FOLDER,
        RaftConfig::default(),
        state.clone(),
        3,
        now,
    )
}

/// Delivers a vote request, syncs the writes, and returns whether the vote was granted.
fn vote_granted(
    core: &mut RaftCore,
    state: &mut DurableState,
    candidate: InstanceId,
    now: Instant,
) -> bool {
    core.receive(candidate, vote_request(), now);
    let output = core.take_output();
    for write in &output.writes {
        if let DurableWrite::Vote { term, vote } = write {
            state.term = *term;
            state.vote = *vote;
        }
    }
    let sent_after_sync = output.writes.is_empty() || output.messages.is_empty();
    assert!(
        sent_after_sync,
        "the reply must not be sent before the vote is synced"
    );
    let mut answers = output.messages.iter().chain(&output.messages_after_sync);
    answers.any(|answer| {
        answer.to == candidate && answer.message.body == MessageBody::VoteReply { granted: true }
    })
}

#[test]
fn votes_once_per_term_across_restarts() {
    let now = Instant::now();
    let mut state = DurableState {
        initial_membership: Membership::initial(&[1, 2, 3]),
        ..DurableState::default()
    };
    let mut core = start(&state, now);
    assert!(vote_granted(&mut core, &mut state, 2, now));
    assert!(!vote_granted(&mut core, &mut state, 3, now));
    let mut core = start(&state, now);
    assert!(!vote_granted(&mut core, &mut state, 3, now));
    assert!(
        vote_granted(&mut core, &mut state, 2, now),
        "the same candidate may ask again"
    );
}

#[test]
fn message_for_another_folder_stops_the_member() {
    let now = Instant::now();
    let mut core = start(&DurableState::default(), now);
    let mut message = vote_request();
    message.folder = Some(77);
    core.receive(2, message, now);
    assert!(core.fatal_error().is_some());
    assert!(core.take_output().messages.is_empty());
}
