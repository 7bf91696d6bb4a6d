//! In-memory part of the log: recent entries, the last snapshot and the memberships.

use std::collections::VecDeque;

use crate::EntryPayload;
use crate::LogEntry;
use crate::LogIndex;
use crate::LogPosition;
use crate::Membership;
use crate::StateSnapshot;
use crate::Term;

/// Membership and the index of the entry that it is in force from.
#[derive(Clone, Debug)]
struct LoggedMembership {
    index: LogIndex,
    membership: Membership,
}

/// How many entries before a snapshot are kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrailingLimit {
    pub(crate) entries: u64,
    pub(crate) bytes: usize,
}

/// Entries after `base`, the snapshot that covers the dropped ones, and the memberships.
#[derive(Clone, Debug)]
pub(crate) struct EntryLog {
    /// Position of the last entry that was dropped.
    base: LogPosition,
    entries: VecDeque<LogEntry>,
    snapshot: Option<StateSnapshot>,
    /// Membership in force at the last snapshot and all later ones, oldest first; never empty.
    memberships: Vec<LoggedMembership>,
}

impl EntryLog {
    /// Builds the log from what was read from disk.
    pub(crate) fn new(
        initial_membership: Membership,
        snapshot: Option<StateSnapshot>,
        entries: Vec<LogEntry>,
    ) -> Self {
        let mut log = Self {
            base: LogPosition::default(),
            entries: VecDeque::new(),
            snapshot: None,
            memberships: vec![LoggedMembership {
                index: 0,
                membership: initial_membership,
            }],
        };
        if let Some(snapshot) = snapshot {
            log.reset_to_snapshot(snapshot);
        }
        let base_index = log.base.index;
        log.append(
            entries
                .into_iter()
                .filter(|entry| entry.position.index > base_index),
        );
        log
    }

    pub(crate) const fn base(&self) -> LogPosition {
        self.base
    }

    pub(crate) const fn snapshot(&self) -> Option<&StateSnapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.last_included.index)
    }

    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Returns the term of the entry at `index`, none if the log does not hold it.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `from` on, at most `limit_bytes` of them but at least one entry.
    pub(crate) fn slice(&self, from: LogIndex, limit_bytes: usize) -> Vec<LogEntry> {
        let mut slice = Vec::new();
        let mut size = 0;
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            size += entry.payload.size();
            if size > limit_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
            index += 1;
        }
        slice
    }

    pub(crate) fn append(&mut self, entries: impl IntoIterator<Item = LogEntry>) {
        for entry in entries {
            debug_assert_eq!(entry.position.index, self.last().index + 1);
            if let EntryPayload::Members(membership) = &entry.payload {
                self.memberships.push(LoggedMembership {
                    index: entry.position.index,
                    membership: membership.clone(),
                });
            }
            self.entries.push_back(entry);
        }
    }

    /// Drops all entries from `from` on, and the memberships that they contain.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let kept = from.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.memberships.retain(|logged| logged.index < from);
    }

    /// Returns the latest membership, which is in force whether it is committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        &self.latest_membership().membership
    }

    /// Returns the index of the entry that contains the latest membership.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.latest_membership().index
    }

    /// Returns the membership before the latest, if its voters differ.
    ///
    /// It is committed, since a leader begins no change of members before that.
    pub(crate) fn earlier_membership(&self) -> Option<&Membership> {
        let earlier = &self.memberships.iter().rev().nth(1)?.membership;
        (!earlier.has_voters_of(self.membership())).then_some(earlier)
    }

    /// Returns the membership that was in force at `index`.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let logged = self
            .memberships
            .iter()
            .rev()
            .find(|logged| logged.index <= index)
            .unwrap_or(&self.memberships[0]);
        &logged.membership
    }

    /// Stores a snapshot of the applied state and drops the entries before it except the last ones
    /// within the limit.
    pub(crate) fn compact(&mut self, snapshot: StateSnapshot, trailing: TrailingLimit) {
        let snapshot_index = snapshot.last_included.index;
        let base_index = self.trailing_base(snapshot_index, trailing);
        if let Some(term) = self.term_at(base_index) {
            let dropped = usize::try_from(base_index - self.base.index).unwrap_or(usize::MAX);
            self.entries.drain(..dropped.min(self.entries.len()));
            self.base = LogPosition {
                index: base_index,
                term,
            };
        }
        self.drop_memberships_before(snapshot_index);
        self.snapshot = Some(snapshot);
    }

    /// Returns the index before the first entry to keep ahead of a snapshot.
    fn trailing_base(&self, snapshot_index: LogIndex, trailing: TrailingLimit) -> LogIndex {
        let earliest = snapshot_index.saturating_sub(trailing.entries);
        let earliest = earliest.max(self.base.index);
        let mut base_index = snapshot_index.max(self.base.index);
        let mut bytes = 0;
        while base_index > earliest {
            bytes += self.entry_size(base_index);
            if bytes > trailing.bytes {
                break;
            }
            base_index -= 1;
        }
        base_index
    }

    fn entry_size(&self, index: LogIndex) -> usize {
        self.entry(index).map_or(0, |entry| entry.payload.size())
    }

    /// Returns the size of the entries after `after`, up to and including `last`.
    pub(crate) fn size_between(&self, after: LogIndex, last: LogIndex) -> usize {
        (after + 1..=last).map(|index| self.entry_size(index)).sum()
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn reset_to_snapshot(&mut self, snapshot: StateSnapshot) {
        self.base = snapshot.last_included;
        self.entries.clear();
        self.memberships = vec![LoggedMembership {
            index: snapshot.last_included.index,
            membership: snapshot.membership.clone(),
        }];
        self.snapshot = Some(snapshot);
    }

    fn latest_membership(&self) -> &LoggedMembership {
        self.memberships.last().unwrap_or_else(|| {
            unreachable!("the first membership is never dropped");
        })
    }

    fn drop_memberships_before(&mut self, index: LogIndex) {
        let in_force = self
            .memberships
            .iter()
            .rposition(|logged| logged.index <= index)
            .unwrap_or(0);
        self.memberships.drain(..in_force);
    }
}
