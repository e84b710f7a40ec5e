//! Records of the journal, the entries that carry them, and their encoding.
//!
//! An [`Entry`] is what one write puts into the store: a header that names its
//! writer, and the records of one batch. Records say what became durable; what
//! they mean is decided by [`ShardState`](crate::ShardState) alone.

mod codec;
mod entry;
mod message;

use bytes::Bytes;
use kernel::errors;
use kernel::ids;
use kernel::work;
use platform::workers;

pub use codec::{BODY_KEPT_LIMIT_BYTES, DECODED_LIMIT_BYTES};
pub(crate) use codec::{compress, decompress, group_from_text};
pub use entry::Entry;
pub(crate) use message::RecordMessage;

/// One run of a task of a known piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// The task's number within its work, from 0.
    pub index: u32,
    /// Which of its runs, from 1.
    pub attempt: ids::Attempt,
}

/// Something that has become durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A writer took the shard over; entries of earlier writers end here.
    Opened {
        /// The writer's epoch.
        epoch: ids::Epoch,
        /// The writer's host.
        writer: ids::HostId,
    },
    /// Work was accepted.
    Accepted {
        /// The work.
        work: Box<work::Work>,
        /// The submitter's key, under which a repeated submission is recognized.
        key: Option<ids::IdempotencyKey>,
    },
    /// Runs were assigned to a group; from now on they may run.
    Assigned {
        /// The work.
        work: ids::WorkId,
        /// The runs; either all are assigned or none is.
        runs: Vec<Run>,
        /// The group of racks.
        group: ids::GroupId,
    },
    /// A group gave runs back that it has not started and never will.
    HandedBack {
        /// The work.
        work: ids::WorkId,
        /// The runs.
        runs: Vec<Run>,
    },
    /// A run ended.
    Ended {
        /// Which run.
        run: ids::TaskAttempt,
        /// How.
        end: workers::RunEnd,
    },
    /// Work was cancelled.
    Cancelled {
        /// The work.
        work: ids::WorkId,
    },
    /// Work is no longer part of the release; a submitted job of the name stays.
    Withdrawn {
        /// The work.
        work: ids::WorkId,
    },
    /// All work of the shard in a release is accepted, or withdrawn, up to this version.
    Followed {
        /// The release's version.
        version: ids::ReleaseVersion,
    },
    /// A non-idempotent request is about to leave for an upstream.
    Claimed {
        /// The request's key.
        key: ids::IdempotencyKey,
        /// Digest of the request.
        request_digest: u64,
        /// The number of the attempt that will be sent.
        attempt_id: u64,
        /// The host that sends it.
        host: ids::HostId,
    },
    /// A claimed request was answered.
    Answered {
        /// The request's key.
        key: ids::IdempotencyKey,
        /// The attempt that the answer belongs to.
        attempt_id: u64,
        /// The answer.
        answer: Answer,
    },
    /// Whether a claimed request ran cannot be told for now.
    ClaimUnknown {
        /// The request's key.
        key: ids::IdempotencyKey,
        /// The attempt.
        attempt_id: u64,
    },
}

/// The answer to a non-idempotent request, as far as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether the request ran; `NotRun` frees the key for a new claim.
    pub outcome: errors::Outcome,
    /// HTTP status of the upstream.
    pub status: u16,
    /// The body; `None` if it is longer than what is kept, or no longer kept.
    pub body: Option<Bytes>,
}

impl Answer {
    /// Makes an answer, leaving out a body above [`BODY_KEPT_LIMIT_BYTES`].
    pub fn new(outcome: errors::Outcome, status: u16, body: Bytes) -> Self {
        let body = (body.len() <= BODY_KEPT_LIMIT_BYTES).then_some(body);
        Self {
            outcome,
            status,
            body,
        }
    }

    /// The answer to a request that truly did not run.
    pub const fn not_run() -> Self {
        Self {
            outcome: errors::Outcome::NotRun,
            status: 0,
            body: None,
        }
    }
}
