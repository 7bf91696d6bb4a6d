//! Calls, backend servers and events of the comparison.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use admit::SlotLimiter;
use model::ids::NodeId;
use route::CallPlacement;
use route::LeastLoadedPicker;
use route::PickerMember;
use route::WaitRule;

/// One-way delays between two nodes of one data centre, and of two.
const NEAR: Duration = Duration::from_micros(150);
const FAR: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Strategy {
    /// The sender tries another server when the call is refused, perhaps after a wait.
    SenderRetry,
    /// The same, but a full server refuses at once while another one is known to be free.
    RefuseAtOnce,
    /// The receiving node passes the call on.
    Forward,
    /// Servers with free slots announce themselves to random senders.
    IdleQueue,
    /// A server that becomes idle takes a call from the longest queue, which it always knows.
    Pull,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Event {
    Arrive,
    Deliver(usize, usize),
    Refuse(usize, usize),
    Take(usize, usize),
    Start(usize, usize),
    Done(usize, usize, Duration),
    Answer(usize, usize),
    Announce(usize, usize),
    Tick,
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) sender: usize,
    pub(crate) arrived: Duration,
    pub(crate) placement: CallPlacement,
    pub(crate) rule: WaitRule,
    pub(crate) refusals: u32,
    /// Nodes that passed the call on.
    pub(crate) path: Vec<usize>,
}

pub(crate) struct Server {
    pub(crate) limiter: SlotLimiter,
    pub(crate) speed: f64,
    pub(crate) picker: LeastLoadedPicker,
    pub(crate) queued: VecDeque<usize>,
}

pub(crate) fn node(server: usize) -> NodeId {
    u64::try_from(server).unwrap()
}

pub(crate) fn delay(from: usize, to: usize) -> Duration {
    if from % 3 == to % 3 { NEAR } else { FAR }
}

pub(crate) fn picker(place: usize, servers: usize, slots: u32, now: Instant) -> LeastLoadedPicker {
    let mut picker = LeastLoadedPicker::default();
    for server in 0..servers {
        let mut member = PickerMember::new(node(server), now);
        member.slots = slots;
        member.same_data_centre = server % 3 == place % 3;
        picker.members_mut().push(member);
    }
    picker
}
