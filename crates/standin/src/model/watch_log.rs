//! Bounded log of recent store changes, used to serve watches.

use std::collections::VecDeque;

use platform::store::{Change, Revision, WatchReply};

/// The most recent changes up to the store's current revision.
#[derive(Debug)]
pub(super) struct WatchLog {
    // Invariant: contains exactly the changes after `compacted_through`, one per revision.
    changes: VecDeque<Change>,
    compacted_through: u64,
    limit: usize,
}

impl WatchLog {
    /// Creates an empty log that retains `limit` changes.
    pub(super) const fn new(limit: usize) -> Self {
        Self {
            changes: VecDeque::new(),
            compacted_through: 0,
            limit,
        }
    }

    /// Appends the change of the next revision and compacts the log to its limit.
    pub(super) fn append(&mut self, change: Change) {
        self.changes.push_back(change);
        while self.changes.len() > self.limit {
            self.changes.pop_front();
            self.compacted_through += 1;
        }
    }

    /// The changes after revision `after` to keys that start with `prefix`; `compacted` if the
    /// log no longer reaches back that far.
    pub(super) fn since(&self, prefix: &str, after: Revision) -> WatchReply {
        let latest = self.compacted_through + self.changes.len() as u64;
        let Some(skipped) = after.0.checked_sub(self.compacted_through) else {
            return WatchReply {
                revision: Revision(latest),
                changes: Vec::new(),
                compacted: true,
            };
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let changes = self.changes.iter().skip(skipped);
        WatchReply {
            revision: Revision(latest.max(after.0)),
            changes: changes
                .filter(|change| key_of(change).starts_with(prefix))
                .cloned()
                .collect(),
            compacted: false,
        }
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(entry) => &entry.key,
        Change::Deleted { key, .. } => key,
    }
}
