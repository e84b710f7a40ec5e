//! State shared by a journal's handle and its writer task.

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock};

use derive_more::Display;
use kernel::ids;
use tokio::sync::{Notify, watch};

use super::queue::Queue;
use crate::state::ShardState;

/// Whether the journal accepts and commits records.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum Status {
    /// Records are committed.
    Open,
    /// The store is unavailable or has not confirmed whether a write took effect.
    Blocked,
    /// Another host writes the journal; this status is final.
    Fenced,
    /// The journal was closed; this status is final.
    Closed,
}

/// State shared by a journal's handle and its writer task.
#[derive(Debug)]
pub(super) struct Shared {
    pub shard: ids::ShardId,
    pub queue: Mutex<Queue>,
    pub state: RwLock<ShardState>,
    pub wake: Notify,
    pub status: watch::Sender<Status>,
    /// Sequence number of the last applied entry.
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

    /// Sequence number of the last applied entry.
    pub fn last_seq(&self) -> u64 {
        let state = self.state.read();
        state.unwrap_or_else(PoisonError::into_inner).seq()
    }

    /// Wakes the receivers of `seq` after a change of the state or the queue.
    pub fn notify(&self) {
        self.seq.send_replace(self.last_seq());
    }

    /// Sets the status and wakes receivers; `Fenced` and `Closed` are never left again.
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
