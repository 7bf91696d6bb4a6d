//! Where a call goes next while backend servers are full, decided by its sender.
//!
//! Load pattern: calls of many nodes, each of which knows the load of a server only from the
//! responses to its own calls. Some calls therefore meet a full server while another one has free
//! slots, most often at 70% to 90% of the capacity.

use std::time::Instant;

use model::ids::NodeId;
use smallvec::SmallVec;

use crate::LeastLoadedPicker;

/// Most refusals of one call for want of a free slot; after these it may wait. Each costs a round
/// trip between two nodes, and more than two serve hardly more calls in time.
pub const FULL_REFUSALS_MAX: u32 = 2;

/// What the chosen member does with a call when it has no free slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitRule {
    /// It refuses the call at once, so that the sender chooses another member.
    RefuseAtOnce,
    /// It queues the call, or refuses it if it would wait too long.
    MayWait,
}

/// The members that refused one call so far.
///
/// A member that is full refuses the call at once while its sender knows of another member with a
/// free slot. When no free slot is known any more, or after [`FULL_REFUSALS_MAX`] such refusals,
/// the call may wait at the member that is chosen next, which can be one that was full before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallPlacement {
    /// All members that were tried.
    tried: SmallVec<[NodeId; 4]>,
    /// Those of them that are not chosen again.
    ended: SmallVec<[NodeId; 4]>,
    /// Refusals for want of a free slot.
    full_refusals: u32,
}

impl CallPlacement {
    /// Returns the members that must not be chosen for the next attempt.
    ///
    /// Members that were full are among them as long as another one may have a free slot.
    #[must_use]
    pub fn excluded(&self, picker: &LeastLoadedPicker, now: Instant) -> &[NodeId] {
        let may_refuse = self.full_refusals < FULL_REFUSALS_MAX;
        if may_refuse && picker.has_free_slot(&self.tried, now) {
            &self.tried
        } else {
            &self.ended
        }
    }

    /// Returns what `chosen` does with the call when it is full.
    #[must_use]
    pub fn wait_rule(&self, chosen: NodeId, picker: &LeastLoadedPicker, now: Instant) -> WaitRule {
        if self.full_refusals >= FULL_REFUSALS_MAX || self.tried.contains(&chosen) {
            return WaitRule::MayWait;
        }
        if picker.has_free_slot(&self.tried_with(chosen), now) {
            WaitRule::RefuseAtOnce
        } else {
            WaitRule::MayWait
        }
    }

    /// Returns all members that were tried, and `chosen`.
    #[must_use]
    pub fn tried_with(&self, chosen: NodeId) -> SmallVec<[NodeId; 4]> {
        let mut tried = self.tried.clone();
        tried.push(chosen);
        tried
    }

    /// Records that the attempt at `node` ended; `is_full` if it was refused for want of a free
    /// slot.
    pub fn record(&mut self, node: NodeId, is_full: bool) {
        let is_first = !self.tried.contains(&node);
        if is_first {
            self.tried.push(node);
        }
        if is_full && is_first {
            self.full_refusals += 1;
        } else {
            self.ended.push(node);
        }
    }
}

impl LeastLoadedPicker {
    /// Returns whether a healthy member outside of `exclude` has a free slot, as far as this node
    /// knows.
    fn has_free_slot(&self, exclude: &[NodeId], now: Instant) -> bool {
        self.members().iter().any(|member| {
            member.is_healthy(now) && member.has_free_slot(now) && !exclude.contains(&member.node)
        })
    }
}
