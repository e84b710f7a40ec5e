//! The JSON messages between this client and a platform.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use kernel::ids;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::store;
use crate::upstreams;

/// Bytes as base64 text.
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
    /// When the write takes effect.
    pub condition: store::Condition,
    /// The lease to which the key is bound.
    pub lease: Option<store::LeaseId>,
}

/// `POST /store/delete`; the reply is a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delete {
    /// The key.
    pub key: String,
    /// When the deletion takes effect.
    pub condition: store::Condition,
}

/// `POST /store/range`; the reply is a list of [`EntryMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Range {
    /// What the keys start with.
    pub prefix: String,
    /// What the keys sort after.
    pub after: String,
    /// The most keys to read.
    pub limit: usize,
}

/// `POST /store/watch`; the reply is a [`WatchMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Watch {
    /// What the keys start with.
    pub prefix: String,
    /// The revision after which changes are wanted.
    pub after: store::Revision,
    /// The longest wait in milliseconds.
    pub wait_ms: u64,
}

/// `POST /store/grant`; the reply is a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Grant {
    /// How long the lease lasts unless it is extended, in milliseconds.
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
    /// The change that wrote it.
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
        /// The change that removed it.
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

/// What a watch returned.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchMessage {
    /// The revision from which the next watch goes on.
    pub revision: store::Revision,
    /// The changes, oldest first.
    pub changes: Vec<ChangeMessage>,
    /// Whether the range has to be read again.
    pub compacted: bool,
}

/// Why the platform did not do what was asked; nothing took effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum Refusal {
    /// The condition of a write does not hold.
    Conflict {
        /// The key's present entry.
        current: Option<EntryMessage>,
    },
    /// The call did not reach what it was meant for.
    Unavailable {
        /// What was seen.
        detail: String,
    },
    /// The store refuses calls because of their rate.
    Throttled,
    /// The value is too large.
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// No such lease.
    LeaseLapsed,
    /// The worker has seen a higher epoch.
    StaleEpoch {
        /// The epoch that it has seen.
        seen: ids::Epoch,
    },
    /// The worker has seen a newer request of the same owner.
    OutOfOrder,
}

/// `POST /list`; the reply is a list of [`crate::workers::WorkerInfo`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct List {
    /// The zone whose workers are wanted.
    pub zone: ids::ZoneId,
}

/// `POST /inquire` at a worker; the reply is an [`InquiryMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Inquire {
    /// The instance.
    pub run: ids::TaskAttempt,
    /// The key of the request.
    pub key: ids::IdempotencyKey,
}

/// What an upstream knows about a non-idempotent request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "inquiry", rename_all = "snake_case")]
pub enum InquiryMessage {
    /// The request ran.
    Ran {
        /// The attempt that ran.
        attempt_id: u64,
        /// HTTP status of its answer.
        status: u16,
        /// Body of its answer.
        body: Base64,
    },
    /// The request is running.
    Running,
    /// The request was never seen and is refused from now on.
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
