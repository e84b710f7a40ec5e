//! Assignments on their way to the owners of groups.

use indexmap::{IndexMap, IndexSet};
use journal::Assignment;
use kernel::ids;

/// What has to be sent to one group.
#[derive(Debug, Default)]
pub(super) struct GroupOutbox {
    /// The group's epoch to which all assignments were sent; an other epoch needs them again.
    pub complete_for: Option<ids::Epoch>,
    /// Assignments since then.
    pub fresh: Vec<Assignment>,
    /// Cancelled work since then.
    pub cancelled: IndexSet<ids::WorkId>,
    pub in_flight: bool,
    pub due_at_ms: u64,
}

/// What has to be sent to all groups.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub groups: IndexMap<ids::GroupId, GroupOutbox>,
    sequence: u64,
    generation: u64,
    /// The last applied entry when an append was left unsettled.
    unsettled_at: Option<u64>,
}

impl Outbox {
    /// Notes that records have become durable, or will with the next entry, of which the
    /// outbox does not hear.
    pub fn note_unsettled(&mut self, applied_seq: u64) {
        self.unsettled_at = Some(applied_seq);
        self.send_everything();
    }

    /// Lets every group get everything again once the unsettled entry has been applied.
    pub fn settle(&mut self, applied_seq: u64) {
        if self.unsettled_at.is_some_and(|seq| seq < applied_seq) {
            self.unsettled_at = None;
            self.send_everything();
        }
    }

    /// Grows whenever everything has to be sent again.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    fn send_everything(&mut self) {
        self.generation += 1;
        for group in self.groups.values_mut() {
            group.complete_for = None;
        }
    }

    /// The number of the next message.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// The number of the last message that was made.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The outbox of one group.
    pub fn group(&mut self, group: &ids::GroupId) -> &mut GroupOutbox {
        self.groups.entry(group.clone()).or_default()
    }
}
