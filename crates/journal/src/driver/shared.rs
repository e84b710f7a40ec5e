//! What the handle of a journal and its writer share.

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock};

use derive_more::Display;
use kernel::ids;
use tokio::sync::{Notify, watch};

use super::queue::Queue;
use crate::state::ShardState;

/// Whether the journal takes records.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum Status {
    /// Records become durable.
    Open,
    /// The store is away or has not said whether a write took effect.
    Blocked,
    /// Another host writes the journal; this one never will again.
    Fenced,
    /// The journal was closed.
    Closed,
}

/// What the handle of a journal and its writer share.
#[derive(Debug)]
pub(super) struct Shared {
    pub shard: ids::ShardId,
    pub queue: Mutex<Queue>,
    pub state: RwLock<ShardState>,
    pub wake: Notify,
    pub status: watch::Sender<Status>,
    /// Number of the last entry that was applied.
    pub seq: watch::Sender<u64>,
}

impl Shared {
    pub fn new(shard: ids::ShardId, state: ShardState) -> Self {
        let seq = watch::Sender::new(state.seq());
        Self {
            shard,
            queue: Mutex::default(),
            state: RwLock::new(state),
            wake: Notify::new(),
            status: watch::Sender::new(Status::Open),
            seq,
        }
    }

    pub fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of the last entry that was applied.
    pub fn last_seq(&self) -> u64 {
        let state = self.state.read();
        state.unwrap_or_else(PoisonError::into_inner).seq()
    }

    /// Tells who waits for entries that the state or the queue has changed.
    pub fn notify(&self) {
        self.seq.send_replace(self.last_seq());
    }

    /// Changes the status and notifies; nothing follows after the end of the journal.
    pub fn set_status(&self, status: Status) {
        self.notify();
        self.status.send_if_modified(|current| {
            let is_over = matches!(*current, Status::Fenced | Status::Closed);
            let changes = !is_over && *current != status;
            if changes {
                *current = status;
            }
            changes
        });
    }
}
