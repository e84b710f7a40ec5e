//! Settings of a group, checked as a whole.

use kernel::errors;
use kernel::ids;
use serde::{Deserialize, Serialize};

/// How long blocked tasks of a job wait before they are handed back to their shard.
const HAND_BACK_AFTER_MS: u64 = 5_000;
/// How long a gang waits before capacity is kept free for it.
const GANG_HOLD_AFTER_MS: u64 = 500;
/// How long a task may take to save its state before it is killed.
const CHECKPOINT_GRACE_MS: u64 = 300;

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
    /// The usual settings for a group.
    pub fn new(id: ids::GroupId) -> Self {
        Self {
            id,
            hand_back_after_ms: Some(HAND_BACK_AFTER_MS),
            gang_hold_after_ms: GANG_HOLD_AFTER_MS,
            checkpoint_grace_ms: CHECKPOINT_GRACE_MS,
            learn_sizes: true,
        }
    }

    /// Sets how long a job's tasks may find no room before they are handed back; `None` for ever.
    #[must_use]
    pub const fn hand_back_after_ms(mut self, wait_ms: Option<u64>) -> Self {
        self.hand_back_after_ms = wait_ms;
        self
    }

    /// Sets how long a gang waits before capacity is kept free for it.
    #[must_use]
    pub const fn gang_hold_after_ms(mut self, wait_ms: u64) -> Self {
        self.gang_hold_after_ms = wait_ms;
        self
    }

    /// Sets how long a displaced task may take to save its state.
    #[must_use]
    pub const fn checkpoint_grace_ms(mut self, grace_ms: u64) -> Self {
        self.checkpoint_grace_ms = grace_ms;
        self
    }

    /// Sets whether sizes learned from usage are assigned in place of declared ones.
    #[must_use]
    pub const fn learn_sizes(mut self, learn: bool) -> Self {
        self.learn_sizes = learn;
        self
    }

    /// Checks that the settings agree with each other.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Usage`] naming the setting that is out of range.
    pub fn check(&self) -> errors::Result<()> {
        // The bound on urgent starts leaves no room for a longer grace.
        const GRACE_LIMIT_MS: u64 = 1_000;
        if self.checkpoint_grace_ms > GRACE_LIMIT_MS {
            return Err(errors::Error::new(
                errors::ErrorKind::Usage,
                format!("checkpoint_grace_ms must be at most {GRACE_LIMIT_MS}"),
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
