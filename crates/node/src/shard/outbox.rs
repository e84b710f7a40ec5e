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
    /// Work that was changed or cancelled since then; its live runs are sent again.
    pub changed: IndexSet<ids::WorkId>,
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
}

impl Outbox {
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
