//! How many voters must agree, and which of them may be left out of the count.

use std::collections::BTreeSet;

use crate::InstanceId;
use crate::Membership;

/// How many voters of a membership form a quorum.
///
/// A group that tolerates the loss of `f` voters at once has a target size of `2f + 1`, where a
/// majority is `f + 1`. Every voter beyond that size is a spare, which stands in for one that may
/// be gone already without anybody knowing: the quorum grows by one with each, so that at most `f`
/// voters are missing from it, and any `f + 1` voters share one with it.
///
/// As many voters as there are spares may be left out of the count if they are known to be lost,
/// see [`QuorumTerms`]. The proof that any two quorums overlap stands in docs/QUORUM.md.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QuorumRule {
    /// More than half of the voters, whatever their number.
    #[default]
    Majority,
    /// All voters but this number, and at least a majority.
    Tolerating(usize),
}

impl QuorumRule {
    /// Returns the number of voters that form a quorum.
    #[must_use]
    pub const fn quorum_size(self, voters: usize) -> usize {
        let majority = voters / 2 + 1;
        match self {
            Self::Tolerating(losses) if voters > majority + losses => voters - losses,
            Self::Majority | Self::Tolerating(_) => majority,
        }
    }

    /// Returns the number of voters beyond the target size.
    #[must_use]
    pub const fn spares(self, voters: usize) -> usize {
        match self {
            Self::Majority => 0,
            Self::Tolerating(losses) => voters.saturating_sub(2 * losses + 1),
        }
    }
}

/// Terms on which a leader or candidate counts the voters that agree.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuorumTerms {
    /// How many voters form a quorum.
    pub rule: QuorumRule,
    /// Voters whose disk was known to be lost before the term began; they will never act again.
    ///
    /// They are fixed for the whole term: a voter that agreed and was lost afterwards still counts
    /// as one that may have agreed to something else.
    pub left_out: BTreeSet<InstanceId>,
}

impl QuorumTerms {
    /// Returns whether the voters for which `agrees` returns true form a quorum.
    pub fn has_quorum(&self, membership: &Membership, agrees: impl Fn(InstanceId) -> bool) -> bool {
        let agreeing = self.counted(membership).filter(|&voter| agrees(voter));
        agreeing.count() >= self.needed(membership)
    }

    /// Returns the greatest value that a quorum of voters has reached; `None` if too few voters
    /// are counted.
    pub fn quorum_value<V: Ord>(
        &self,
        membership: &Membership,
        value: impl Fn(InstanceId) -> V,
    ) -> Option<V> {
        let mut values: Vec<V> = self.counted(membership).map(value).collect();
        values.sort_unstable();
        let position = values.len().checked_sub(self.needed(membership))?;
        values.into_iter().nth(position)
    }

    /// Returns the voters that may agree.
    fn counted(&self, membership: &Membership) -> impl Iterator<Item = InstanceId> {
        let voters = membership.voters();
        voters.filter(|voter| !self.left_out.contains(voter))
    }

    /// Returns how many of the counted voters must agree.
    fn needed(&self, membership: &Membership) -> usize {
        let voters = membership.voters().count();
        let lost = voters - self.counted(membership).count();
        self.rule.quorum_size(voters) - lost.min(self.rule.spares(voters))
    }
}
