//! The platform's key-value store.
//!
//! Every revision is a number that grows with each change of any key. A write
//! names the condition under which it takes effect; a write whose answer is
//! lost may or may not have taken effect, and only reading it back tells.

use std::fmt;

use bytes::Bytes;
use derive_more::{Display, From, Into};
use futures::future;
use kernel::errors;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Largest value that the store holds, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// The store's number for a change.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A lease granted by the store; its keys vanish when it lapses.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The change that wrote it.
    pub revision: Revision,
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Entry),
    /// A key was deleted or its lease lapsed.
    Deleted {
        /// The key.
        key: String,
        /// The change that removed it.
        revision: Revision,
    },
}

/// What a watch returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchReply {
    /// The revision from which the next watch goes on.
    pub revision: Revision,
    /// The changes, oldest first; empty if the wait ran out.
    pub changes: Vec<Change>,
    /// The store no longer has all changes since the given revision: read the range again.
    pub compacted: bool,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Always.
    Any,
    /// The key does not exist.
    Absent,
    /// The key was last written by this change.
    Unchanged(Revision),
}

/// Why a call to the store gave no result.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The condition does not hold; the write took no effect.
    #[snafu(display("the key was changed by another writer"))]
    Conflict {
        /// The key's present entry, if it exists.
        current: Option<Entry>,
    },
    /// The store did not get the call; a write took no effect.
    #[snafu(display("the store cannot be reached: {detail}"))]
    Unavailable {
        /// What was seen.
        detail: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[snafu(display("the store's answer was lost: {detail}"))]
    AnswerLost {
        /// What was seen.
        detail: String,
    },
    /// The store refused the call because of its rate; a write took no effect.
    #[snafu(display("the store refuses more calls for now"))]
    Throttled,
    /// The value is larger than [`VALUE_LIMIT_BYTES`]; the write took no effect.
    #[snafu(display("a value of {bytes} bytes is larger than the store holds"))]
    TooLarge {
        /// The value's size.
        bytes: usize,
    },
    /// No such lease; it has lapsed.
    #[snafu(display("the lease has lapsed"))]
    LeaseLapsed,
}

impl StoreError {
    /// Whether a write that met this error may still have taken effect.
    pub const fn is_ambiguous(&self) -> bool {
        matches!(self, Self::AnswerLost { .. })
    }
}

impl From<StoreError> for errors::Error {
    fn from(error: StoreError) -> Self {
        let kind = match &error {
            StoreError::Conflict { .. } => errors::ErrorKind::Conflict,
            StoreError::TooLarge { .. } => errors::ErrorKind::TooLarge,
            StoreError::AnswerLost { .. } => errors::ErrorKind::AnswerLost,
            StoreError::Unavailable { .. } | StoreError::Throttled | StoreError::LeaseLapsed => {
                errors::ErrorKind::StoreUnavailable
            }
        };
        Self::with_source(kind, "call to the store", error)
    }
}

/// A future of a call to the store.
pub type StoreFuture<'a, T> = future::BoxFuture<'a, Result<T, StoreError>>;

/// The key-value store. Every method is one call in the store's budget.
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>>;

    /// Writes one key under a condition, and binds it to a lease if one is given.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> StoreFuture<'a, Revision>;

    /// Deletes one key under a condition; deleting an absent key succeeds under [`Condition::Any`].
    fn delete<'a>(&'a self, key: &'a str, condition: Condition) -> StoreFuture<'a, Revision>;

    /// Reads up to `limit` keys that start with `prefix` and sort after `after`, in order.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Vec<Entry>>;

    /// Waits up to `wait_ms` for changes after `after` of keys that start with `prefix`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchReply>;

    /// Grants a lease.
    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, LeaseId>;

    /// Extends a lease by its full time.
    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, ()>;

    /// Ends a lease and deletes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> StoreFuture<'_, ()>;
}
