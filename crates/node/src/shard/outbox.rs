//! Assignments and cancellations queued for the owners of groups.

use indexmap::{IndexMap, IndexSet};
use journal::Assignment;
use kernel::ids;

/// Changes queued for one group.
#[derive(Debug, Default)]
pub(super) struct GroupOutbox {
    /// Epoch of the group to which everything has been sent; under any other epoch everything
    /// is sent again.
    pub synced_epoch: Option<ids::Epoch>,
    /// New assignments since then.
    pub new_assignments: Vec<Assignment>,
    /// Work changed or cancelled since then; its live runs are sent again.
    pub changed_work: IndexSet<ids::WorkId>,
    /// Work cancelled since then.
    pub cancelled_work: IndexSet<ids::WorkId>,
    pub in_flight: bool,
    pub due_at_ms: u64,
}

/// Changes queued for all groups.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub groups: IndexMap<ids::GroupId, GroupOutbox>,
    sequence: u64,
    generation: u64,
    /// Sequence number of the last applied journal entry when an append had an unknown
    /// outcome.
    unsettled_seq: Option<u64>,
}

impl Outbox {
    /// Records an append with an unknown outcome: its records have become durable, or will
    /// with the next entry, without being queued here.
    pub fn mark_unsettled(&mut self, applied_seq: u64) {
        self.unsettled_seq = Some(applied_seq);
        self.resend_everything();
    }

    /// Resends everything to all groups once the entry with the unknown outcome has been
    /// applied.
    pub fn resend_if_settled(&mut self, applied_seq: u64) {
        if self.unsettled_seq.is_some_and(|seq| seq < applied_seq) {
            self.unsettled_seq = None;
            self.resend_everything();
        }
    }

    /// Increases whenever everything has to be sent again.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    fn resend_everything(&mut self) {
        self.generation += 1;
        for group in self.groups.values_mut() {
            group.synced_epoch = None;
        }
    }

    /// Allocates the sequence number of the next message.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// The sequence number last allocated.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The queue of one group; created on first use.
    pub fn group(&mut self, group: &ids::GroupId) -> &mut GroupOutbox {
        self.groups.entry(group.clone()).or_default()
    }
}
