//! Records of the journal, the entries that contain them, and their encoding.
//!
//! An [`Entry`] is the value of one store write: a header that identifies its
//! writer, and the records of one batch. The effect of a record is defined by
//! [`ShardState`](crate::ShardState) alone.

mod codec;
mod entry;
mod message;

use bytes::Bytes;
use kernel::errors;
use kernel::ids;
use kernel::work;
use platform::workers;

pub use codec::{DECODED_LIMIT_BYTES, MAX_RETAINED_BODY_BYTES};
pub(crate) use codec::{compress, decompress, group_from_text};
pub use entry::Entry;
pub(crate) use message::RecordMessage;

/// One run of a task; the work is given by the context.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// The task's number within its work, from 0.
    pub index: u32,
    /// The attempt, counted from 1.
    pub attempt: ids::Attempt,
}

/// A change of the shard's state.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A writer opened the journal; entries of earlier writers are no longer valid.
    Opened {
        /// The writer's epoch.
        epoch: ids::Epoch,
        /// The writer's host.
        writer: ids::HostId,
    },
    /// Work was accepted.
    Accepted {
        /// The accepted work.
        work: Box<work::Work>,
        /// The submitter's idempotency key; `None` if the submission has none.
        key: Option<ids::IdempotencyKey>,
    },
    /// Runs were assigned to a group, which may start them from then on.
    Assigned {
        /// The work.
        work: ids::WorkId,
        /// The runs; either all are assigned or none is.
        runs: Vec<Run>,
        /// The group of racks.
        group: ids::GroupId,
    },
    /// A group started the next attempts of tasks assigned to it on its own.
    ///
    /// In contrast to an assignment this also applies to cancelled work, because the runs
    /// may have started before the cancellation reached the group.
    Restarted {
        /// The work.
        work: ids::WorkId,
        /// The runs.
        runs: Vec<Run>,
        /// The group of racks.
        group: ids::GroupId,
    },
    /// A group returned runs that it has not started and never will.
    HandedBack {
        /// The work.
        work: ids::WorkId,
        /// The runs.
        runs: Vec<Run>,
    },
    /// The owner of a group under this epoch gets assignments from now on.
    GroupEpoch {
        /// The group of racks.
        group: ids::GroupId,
        /// The owner's epoch.
        epoch: ids::Epoch,
    },
    /// The owner of a group reported how its runs ended; ignored as a whole after a
    /// [`Record::GroupEpoch`] with a higher epoch.
    Reported {
        /// The group of racks.
        group: ids::GroupId,
        /// The owner's epoch.
        epoch: ids::Epoch,
        /// The reported changes.
        records: Vec<Record>,
    },
    /// A run ended.
    Ended {
        /// The run that ended.
        run: ids::TaskAttempt,
        /// How the run ended.
        end: workers::RunEnd,
    },
    /// Work was cancelled.
    Cancelled {
        /// The work.
        work: ids::WorkId,
    },
    /// A release changed the definition of work, which keeps its name.
    Changed {
        /// The new definition.
        work: Box<work::Work>,
    },
    /// Work is no longer part of the release; a submitted job of the same name is unaffected.
    Withdrawn {
        /// The work.
        work: ids::WorkId,
    },
    /// All changes to the shard's work by releases up to this version are applied.
    Followed {
        /// The latest applied release.
        version: ids::ReleaseVersion,
    },
    /// A non-idempotent request is about to be sent to an upstream.
    Claimed {
        /// The request's key.
        key: ids::IdempotencyKey,
        /// Digest of the request.
        request_digest: u64,
        /// Identifier of the attempt that will be sent.
        attempt_id: u64,
        /// The host that sends it.
        host: ids::HostId,
    },
    /// A claimed request was answered.
    Answered {
        /// The request's key.
        key: ids::IdempotencyKey,
        /// The answered attempt.
        attempt_id: u64,
        /// The answer to keep for duplicates.
        answer: Answer,
    },
    /// It is not known whether a claimed request ran.
    ClaimUnknown {
        /// The request's key.
        key: ids::IdempotencyKey,
        /// The claimed attempt.
        attempt_id: u64,
    },
}

/// The retained part of the answer to a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether the request ran; `NotRun` frees the key for a new claim.
    pub outcome: errors::Outcome,
    /// HTTP status of the upstream.
    pub status: u16,
    /// The body; `None` if it exceeds [`MAX_RETAINED_BODY_BYTES`] or was dropped since.
    pub body: Option<Bytes>,
}

impl Answer {
    /// Creates an answer, omitting a body above [`MAX_RETAINED_BODY_BYTES`].
    pub fn new(outcome: errors::Outcome, status: u16, body: Bytes) -> Self {
        let body = (body.len() <= MAX_RETAINED_BODY_BYTES).then_some(body);
        Self {
            outcome,
            status,
            body,
        }
    }

    /// The answer to a request that certainly did not run.
    pub const fn not_run() -> Self {
        Self {
            outcome: errors::Outcome::NotRun,
            status: 0,
            body: None,
        }
    }
}
