//! The closed list of error kinds and the table from kind to answer.
//!
//! Every refusal that leaves a process has one of these kinds, on every
//! protocol. The table says what a caller may conclude from it.

use std::error;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a request was not done.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed or breaks a stated limit.
    BadRequest,
    /// A setting or a command-line argument is wrong.
    Usage,
    /// No such work, task, host or release.
    NotFound,
    /// Another writer won; the message names it.
    Conflict,
    /// The request is larger than the limit.
    TooLarge,
    /// The team's quota or share is used up.
    QuotaExceeded,
    /// The queue is longer than the deadline allows.
    Overloaded,
    /// The host is shutting down and takes no new requests.
    Draining,
    /// No upstream that may be used can be reached.
    NoUpstream,
    /// The owner of what the request needs cannot be reached.
    OwnerUnreachable,
    /// The store cannot be reached, and the request needs it.
    StoreUnavailable,
    /// The sender's epoch is older than the receiver's.
    StaleEpoch,
    /// The deadline passed before the work was handed over.
    DeadlineBeforeStart,
    /// The deadline passed after the work was handed over.
    DeadlineAfterStart,
    /// The connection broke after the work was handed over.
    AnswerLost,
    /// The work ran and failed.
    Failed,
    /// A bug: an invariant does not hold.
    Internal,
}

/// What is known about whether the work of a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Outcome {
    /// The work ran and the whole answer is at hand.
    Done,
    /// The work truly did not run and never will under this request.
    NotRun,
    /// Whether the work ran is not known.
    Unknown,
}

/// One row of the table from error kind to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub http_status: u16,
    /// Exit code of the command-line tool.
    pub exit_code: u8,
    /// Whether the same request may succeed if sent again.
    pub retryable: bool,
    /// What the kind says about whether the work ran.
    pub outcome: Outcome,
}

/// Exit code of the command-line tool for a request that was done.
pub const EXIT_DONE: u8 = 0;
/// Exit code for work that ran and failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for wrong settings or arguments.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a request that truly did not run.
pub const EXIT_NOT_RUN: u8 = 3;
/// Exit code for a request of which it is not known whether it ran.
pub const EXIT_UNKNOWN: u8 = 4;

const fn answer(http_status: u16, exit_code: u8, retryable: bool, outcome: Outcome) -> Answer {
    Answer {
        http_status,
        exit_code,
        retryable,
        outcome,
    }
}

impl ErrorKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 17] = [
        Self::BadRequest,
        Self::Usage,
        Self::NotFound,
        Self::Conflict,
        Self::TooLarge,
        Self::QuotaExceeded,
        Self::Overloaded,
        Self::Draining,
        Self::NoUpstream,
        Self::OwnerUnreachable,
        Self::StoreUnavailable,
        Self::StaleEpoch,
        Self::DeadlineBeforeStart,
        Self::DeadlineAfterStart,
        Self::AnswerLost,
        Self::Failed,
        Self::Internal,
    ];

    /// The row of the table for this kind.
    pub const fn answer(self) -> Answer {
        match self {
            Self::BadRequest => answer(400, EXIT_NOT_RUN, false, Outcome::NotRun),
            Self::Usage => answer(400, EXIT_USAGE, false, Outcome::NotRun),
            Self::NotFound => answer(404, EXIT_NOT_RUN, false, Outcome::NotRun),
            Self::Conflict => answer(409, EXIT_NOT_RUN, false, Outcome::NotRun),
            Self::TooLarge => answer(413, EXIT_NOT_RUN, false, Outcome::NotRun),
            Self::QuotaExceeded | Self::Overloaded => {
                answer(429, EXIT_NOT_RUN, true, Outcome::NotRun)
            }
            Self::Draining
            | Self::NoUpstream
            | Self::OwnerUnreachable
            | Self::StoreUnavailable
            | Self::StaleEpoch
            | Self::DeadlineBeforeStart => answer(503, EXIT_NOT_RUN, true, Outcome::NotRun),
            Self::DeadlineAfterStart => answer(504, EXIT_UNKNOWN, false, Outcome::Unknown),
            Self::AnswerLost | Self::Internal => answer(502, EXIT_UNKNOWN, false, Outcome::Unknown),
            Self::Failed => answer(500, EXIT_FAILED, false, Outcome::Done),
        }
    }

    /// Finds a kind by its name in snake case.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == name)
    }
}

/// An error with its kind, what was being done, and its cause.
#[derive(Debug, Display)]
#[display("{kind}: {detail}")]
pub struct Error {
    /// The kind, from which the answer follows.
    pub kind: ErrorKind,
    /// One sentence for the reader, naming what failed.
    pub detail: String,
    /// The cause, if another error led to this one.
    pub source: Option<Box<dyn error::Error + Send + Sync>>,
}

// Written out because snafu does not derive an optional source.
impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        self.source.as_deref().map(|source| source as _)
    }
}

impl Error {
    /// Makes an error without a cause.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            source: None,
        }
    }

    /// Makes an error that keeps its cause.
    pub fn with_source(
        kind: ErrorKind,
        detail: impl Into<String>,
        source: impl Into<Box<dyn error::Error + Send + Sync>>,
    ) -> Self {
        Self {
            kind,
            detail: detail.into(),
            source: Some(source.into()),
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
