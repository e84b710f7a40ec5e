//! Settings of a group, with a check that they are consistent.

use kernel::errors;
use kernel::ids;
use serde::{Deserialize, Serialize};

/// How long blocked tasks of a job wait before they are handed back to their shard.
const DEFAULT_HAND_BACK_AFTER_MS: u64 = 5_000;
/// How long a gang waits for room before capacity is kept free for it.
const DEFAULT_GANG_HOLD_AFTER_MS: u64 = 500;
/// Time between a checkpoint request and the kill of a preempted task.
const DEFAULT_CHECKPOINT_GRACE_MS: u64 = 300;

/// Settings of a [`Group`](crate::Group).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupConfig {
    pub(crate) id: ids::GroupId,
    pub(crate) hand_back_after_ms: Option<u64>,
    pub(crate) gang_hold_after_ms: u64,
    pub(crate) checkpoint_grace_ms: u64,
    pub(crate) learn_sizes: bool,
}

impl GroupConfig {
    /// Returns the default settings for a group.
    pub fn new(id: ids::GroupId) -> Self {
        Self {
            id,
            hand_back_after_ms: Some(DEFAULT_HAND_BACK_AFTER_MS),
            gang_hold_after_ms: DEFAULT_GANG_HOLD_AFTER_MS,
            checkpoint_grace_ms: DEFAULT_CHECKPOINT_GRACE_MS,
            learn_sizes: true,
        }
    }

    /// Sets how long a job's tasks may find no room before they are handed back; `None`
    /// disables handing back for lack of room.
    #[must_use]
    pub const fn hand_back_after_ms(mut self, wait_ms: Option<u64>) -> Self {
        self.hand_back_after_ms = wait_ms;
        self
    }

    /// Sets how long a gang waits for room before capacity is kept free for it.
    #[must_use]
    pub const fn gang_hold_after_ms(mut self, wait_ms: u64) -> Self {
        self.gang_hold_after_ms = wait_ms;
        self
    }

    /// Sets how long a preempted task may take to save its state before it is killed.
    #[must_use]
    pub const fn checkpoint_grace_ms(mut self, grace_ms: u64) -> Self {
        self.checkpoint_grace_ms = grace_ms;
        self
    }

    /// Sets whether sizes learned from reported usage are assigned instead of declared ones.
    #[must_use]
    pub const fn learn_sizes(mut self, learn: bool) -> Self {
        self.learn_sizes = learn;
        self
    }

    /// Checks that the settings are in range and consistent with each other.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Usage`] if the checkpoint grace exceeds 1 s, or if blocked
    /// tasks would be handed back before capacity is kept free for a gang.
    pub fn validate(&self) -> errors::Result<()> {
        // A longer grace would exceed the time within which an urgent task has to start.
        const MAX_CHECKPOINT_GRACE_MS: u64 = 1_000;
        if self.checkpoint_grace_ms > MAX_CHECKPOINT_GRACE_MS {
            return Err(errors::Error::new(
                errors::ErrorKind::Usage,
                format!("checkpoint_grace_ms must be at most {MAX_CHECKPOINT_GRACE_MS}"),
            ));
        }
        if self
            .hand_back_after_ms
            .is_some_and(|wait| wait <= self.gang_hold_after_ms)
        {
            return Err(errors::Error::new(
                errors::ErrorKind::Usage,
                "hand_back_after_ms must be longer than gang_hold_after_ms",
            ));
        }
        Ok(())
    }
}
