//! Interface to the platform's key-value store.
//!
//! The store's revision increases with every change to any key. Writes are
//! conditional. If the response to a write is lost, the write may or may not
//! have been applied; the caller has to read the key to find out.

use std::fmt;

use bytes::Bytes;
use derive_more::{Display, From, Into};
use futures::future;
use kernel::errors;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum size of a value.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// Store-wide revision, assigned to each change in increasing order.
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

/// ID of a lease; keys bound to the lease are deleted when it expires.
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
    /// Revision of the last write to the key.
    pub revision: Revision,
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Entry),
    /// A key was deleted, explicitly or because its lease expired.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchReply {
    /// Revision to pass as `after` to the next watch.
    pub revision: Revision,
    /// The changes, oldest first; empty if the wait timed out.
    pub changes: Vec<Change>,
    /// Changes since the given revision have been compacted; the caller must read the range again.
    pub compacted: bool,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// No precondition.
    Any,
    /// The key does not exist.
    Absent,
    /// The key's last write has this revision.
    Unchanged(Revision),
}

/// Errors of store calls.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The precondition failed; the write was not applied.
    #[snafu(display("the key was changed by another writer"))]
    Conflict {
        /// Current entry of the key; `None` if it does not exist.
        current: Option<Entry>,
    },
    /// The request was not sent; a write was not applied.
    #[snafu(display("the store is unreachable: {detail}"))]
    Unavailable {
        /// Description of the failure.
        detail: String,
    },
    /// The response was lost; a write may have been applied.
    #[snafu(display("no complete response from the store: {detail}"))]
    AnswerLost {
        /// Description of the failure.
        detail: String,
    },
    /// The store's rate limit was exceeded; a write was not applied.
    #[snafu(display("the store's rate limit was exceeded"))]
    Throttled,
    /// The value is larger than [`VALUE_LIMIT_BYTES`]; the write was not applied.
    #[snafu(display(
        "a value of {bytes} bytes exceeds the store's limit of {VALUE_LIMIT_BYTES} bytes"
    ))]
    TooLarge {
        /// Size of the rejected value.
        bytes: usize,
    },
    /// The lease does not exist or has expired.
    #[snafu(display("the lease has expired"))]
    LeaseLapsed,
}

impl StoreError {
    /// Whether a write that failed with this error may have been applied.
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
        Self::with_source(kind, "store call failed", error)
    }
}

/// Boxed future of a store call.
pub type StoreFuture<'a, T> = future::BoxFuture<'a, Result<T, StoreError>>;

/// The key-value store. Every method counts as one call against the store's rate limit.
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>>;

    /// Writes one key if `condition` holds, and binds it to `lease` if given.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> StoreFuture<'a, Revision>;

    /// Deletes one key if `condition` holds; deleting an absent key succeeds under [`Condition::Any`].
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

    /// Grants a lease that expires after `ttl_ms` unless it is renewed.
    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, LeaseId>;

    /// Renews a lease for its full duration.
    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, ()>;

    /// Revokes a lease and deletes the keys bound to it.
    fn revoke_lease(&self, lease: LeaseId) -> StoreFuture<'_, ()>;
}
