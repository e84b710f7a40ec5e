//! Protobuf encoding of entries and records.
//!
//! Tags must not be reused with another meaning. A field that is added later is
//! absent in older entries, so its default value must be valid.

/// Encoded form of an entry.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EntryMessage {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub writer: String,
    #[prost(uint64, tag = "3")]
    pub session: u64,
    #[prost(uint64, tag = "4")]
    pub batch: u64,
    #[prost(uint64, tag = "5")]
    pub at_ms: u64,
    #[prost(message, repeated, tag = "6")]
    pub records: Vec<RecordMessage>,
}

/// Encoded form of a record.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RecordMessage {
    #[prost(
        oneof = "RecordBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15"
    )]
    pub body: Option<RecordBody>,
}

/// Encoded kinds of records; see [`Record`](super::Record).
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum RecordBody {
    #[prost(message, tag = "1")]
    Opened(OpenedMessage),
    #[prost(message, tag = "2")]
    Accepted(AcceptedMessage),
    #[prost(message, tag = "3")]
    Assigned(RunsMessage),
    #[prost(message, tag = "4")]
    HandedBack(RunsMessage),
    #[prost(message, tag = "5")]
    Ended(EndedMessage),
    #[prost(string, tag = "6")]
    Cancelled(String),
    #[prost(message, tag = "7")]
    Claimed(ClaimedMessage),
    #[prost(message, tag = "8")]
    Answered(AnsweredMessage),
    #[prost(message, tag = "9")]
    ClaimUnknown(ClaimUnknownMessage),
    #[prost(string, tag = "10")]
    Withdrawn(String),
    #[prost(uint64, tag = "11")]
    Followed(u64),
    #[prost(message, tag = "12")]
    Restarted(RunsMessage),
    /// The work as JSON.
    #[prost(bytes, tag = "13")]
    Changed(Vec<u8>),
    #[prost(message, tag = "14")]
    GroupEpoch(GroupEpochMessage),
    #[prost(message, tag = "15")]
    Reported(ReportedMessage),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OpenedMessage {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub writer: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AcceptedMessage {
    /// The work as JSON, as in the messages between hosts.
    #[prost(bytes = "vec", tag = "1")]
    pub work: Vec<u8>,
    #[prost(string, optional, tag = "2")]
    pub key: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RunsMessage {
    #[prost(string, tag = "1")]
    pub work: String,
    #[prost(uint32, repeated, tag = "2")]
    pub indexes: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub attempts: Vec<u32>,
    /// Empty in `HandedBack`.
    #[prost(string, tag = "4")]
    pub group: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct GroupEpochMessage {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReportedMessage {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    #[prost(message, repeated, tag = "3")]
    pub records: Vec<RecordMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EndedMessage {
    #[prost(string, tag = "1")]
    pub work: String,
    #[prost(uint32, tag = "2")]
    pub index: u32,
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    #[prost(uint32, tag = "4")]
    pub end: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ClaimedMessage {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(fixed64, tag = "2")]
    pub request_digest: u64,
    #[prost(fixed64, tag = "3")]
    pub attempt_id: u64,
    #[prost(string, tag = "4")]
    pub host: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AnsweredMessage {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(fixed64, tag = "2")]
    pub attempt_id: u64,
    #[prost(message, optional, tag = "3")]
    pub answer: Option<AnswerMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AnswerMessage {
    #[prost(uint32, tag = "1")]
    pub outcome: u32,
    #[prost(uint32, tag = "2")]
    pub status: u32,
    #[prost(bytes = "vec", optional, tag = "3")]
    pub body: Option<Vec<u8>>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ClaimUnknownMessage {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(fixed64, tag = "2")]
    pub attempt_id: u64,
}
