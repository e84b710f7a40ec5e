//! JSON messages of the platform's HTTP API.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use kernel::ids;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::store;
use crate::upstreams;

/// Bytes that are serialized as a base64 string.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64(pub Bytes);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// `POST /store/get`; the reply is an optional [`EntryMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Get {
    /// The key.
    pub key: String,
}

/// `POST /store/put`; the reply is a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Base64,
    /// Precondition of the write.
    pub condition: store::Condition,
    /// Lease to bind the key to, if any.
    pub lease: Option<store::LeaseId>,
}

/// `POST /store/delete`; the reply is a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delete {
    /// The key.
    pub key: String,
    /// Precondition of the deletion.
    pub condition: store::Condition,
}

/// `POST /store/range`; the reply is a list of [`EntryMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Range {
    /// Key prefix.
    pub prefix: String,
    /// Exclusive lower bound of the keys.
    pub after: String,
    /// Maximum number of keys to return.
    pub limit: usize,
}

/// `POST /store/watch`; the reply is a [`WatchMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Watch {
    /// Key prefix.
    pub prefix: String,
    /// Revision after which changes are returned.
    pub after: store::Revision,
    /// Maximum wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// `POST /store/grant`; the reply is a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Grant {
    /// Time after which the lease expires unless renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// `POST /store/keep-alive` and `POST /store/revoke`; the reply is `null`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lease {
    /// The lease.
    pub lease: store::LeaseId,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryMessage {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Base64,
    /// Revision of the last write to the key.
    pub revision: store::Revision,
}

impl From<store::Entry> for EntryMessage {
    fn from(entry: store::Entry) -> Self {
        Self {
            key: entry.key,
            value: Base64(entry.value),
            revision: entry.revision,
        }
    }
}

impl From<EntryMessage> for store::Entry {
    fn from(message: EntryMessage) -> Self {
        Self {
            key: message.key,
            value: message.value.0,
            revision: message.revision,
        }
    }
}

/// A change seen by a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ChangeMessage {
    /// A key was written.
    Put(EntryMessage),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: store::Revision,
    },
}

impl From<store::Change> for ChangeMessage {
    fn from(change: store::Change) -> Self {
        match change {
            store::Change::Put(entry) => Self::Put(entry.into()),
            store::Change::Deleted { key, revision } => Self::Deleted { key, revision },
        }
    }
}

impl From<ChangeMessage> for store::Change {
    fn from(message: ChangeMessage) -> Self {
        match message {
            ChangeMessage::Put(entry) => Self::Put(entry.into()),
            ChangeMessage::Deleted { key, revision } => Self::Deleted { key, revision },
        }
    }
}

/// Result of a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchMessage {
    /// Revision to pass as `after` to the next watch.
    pub revision: store::Revision,
    /// The changes, oldest first.
    pub changes: Vec<ChangeMessage>,
    /// Whether changes were compacted, so that the range has to be read again.
    pub compacted: bool,
}

/// Error reply of the platform; the request was not applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum Refusal {
    /// The precondition of a write failed.
    Conflict {
        /// Current entry of the key; `None` if it does not exist.
        current: Option<EntryMessage>,
    },
    /// The request did not reach its target service.
    Unavailable {
        /// Description of the failure.
        detail: String,
    },
    /// The store's rate limit was exceeded.
    Throttled,
    /// The value exceeds the store's size limit.
    TooLarge {
        /// Size of the value.
        bytes: usize,
    },
    /// The lease does not exist or has expired.
    LeaseLapsed,
    /// The worker has seen a higher epoch.
    StaleEpoch {
        /// Highest epoch seen by the worker.
        seen: ids::Epoch,
    },
    /// The worker has seen a newer request of the same epoch.
    OutOfOrder,
}

/// `POST /list`; the reply is a list of [`crate::workers::WorkerInfo`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct List {
    /// Zone whose workers are listed.
    pub zone: ids::ZoneId,
}

/// `POST /inquire` at a worker; the reply is an [`InquiryMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Inquire {
    /// Task attempt that serves as the instance.
    pub run: ids::TaskAttempt,
    /// Idempotency key of the request.
    pub key: ids::IdempotencyKey,
}

/// State of a non-idempotent request at an upstream instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "inquiry", rename_all = "snake_case")]
pub enum InquiryMessage {
    /// The request completed.
    Ran {
        /// ID of the attempt that ran the request.
        attempt_id: u64,
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        body: Base64,
    },
    /// The request is still running.
    Running,
    /// The request was not received, and will be rejected if it arrives later.
    NeverSeen,
}

impl From<upstreams::Inquiry> for InquiryMessage {
    fn from(inquiry: upstreams::Inquiry) -> Self {
        match inquiry {
            upstreams::Inquiry::Ran(answer) => Self::Ran {
                attempt_id: answer.attempt_id,
                status: answer.status,
                body: Base64(answer.body),
            },
            upstreams::Inquiry::Running => Self::Running,
            upstreams::Inquiry::NeverSeen => Self::NeverSeen,
        }
    }
}

impl From<InquiryMessage> for upstreams::Inquiry {
    fn from(message: InquiryMessage) -> Self {
        match message {
            InquiryMessage::Ran {
                attempt_id,
                status,
                body,
            } => Self::Ran(upstreams::UpstreamAnswer {
                attempt_id,
                status,
                body: body.0,
            }),
            InquiryMessage::Running => Self::Running,
            InquiryMessage::NeverSeen => Self::NeverSeen,
        }
    }
}
