//! The closed list of error kinds and the response for each kind.
//!
//! Every error that a process returns, over any protocol, has one of these
//! kinds. The kind determines the status, the exit code, and what the caller can
//! conclude about whether the work ran.

use std::error;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a request failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed or exceeds a documented limit.
    BadRequest,
    /// A setting or a command-line argument is invalid.
    Usage,
    /// The work, task, host or release does not exist.
    NotFound,
    /// Another writer made a conflicting change; the message names it.
    Conflict,
    /// The request exceeds the size limit.
    TooLarge,
    /// The team has exhausted its quota or share.
    QuotaExceeded,
    /// The queue is too long for the request to start before its deadline.
    Overloaded,
    /// The host is shutting down and accepts no new requests.
    Draining,
    /// No eligible upstream is reachable.
    NoUpstream,
    /// The owner of the resource that the request needs is unreachable.
    OwnerUnreachable,
    /// The request needs the store, which is unreachable.
    StoreUnavailable,
    /// The sender's epoch is older than the receiver's.
    StaleEpoch,
    /// The deadline passed before the work was dispatched.
    DeadlineBeforeStart,
    /// The deadline passed after the work was dispatched.
    DeadlineAfterStart,
    /// The connection was lost after the work was dispatched.
    AnswerLost,
    /// The work ran and failed.
    Failed,
    /// An invariant was violated, which indicates a bug.
    Internal,
}

/// Whether the work of a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Outcome {
    /// The work ran and its complete answer was received.
    Done,
    /// The work did not run and never will under this request.
    NotRun,
    /// It is not known whether the work ran.
    Unknown,
}

/// The response for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub http_status: u16,
    /// Exit code of the command-line tool, one of the `EXIT_*` constants.
    pub exit_code: u8,
    /// Whether the same request may succeed if it is sent again.
    pub retryable: bool,
    /// Whether the work ran.
    pub outcome: Outcome,
}

/// Exit code of the command-line tool for a successful request.
pub const EXIT_DONE: u8 = 0;
/// Exit code for work that ran and failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for invalid settings or arguments.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a request that did not run and never will.
pub const EXIT_NOT_RUN: u8 = 3;
/// Exit code for a request that may or may not have run.
pub const EXIT_UNKNOWN: u8 = 4;

const fn row(http_status: u16, exit_code: u8, retryable: bool, outcome: Outcome) -> Answer {
    Answer {
        http_status,
        exit_code,
        retryable,
        outcome,
    }
}

impl ErrorKind {
    /// All kinds, in declaration order.
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

    /// The response for this kind.
    pub const fn answer(self) -> Answer {
        match self {
            Self::BadRequest => row(400, EXIT_NOT_RUN, false, Outcome::NotRun),
            Self::Usage => row(400, EXIT_USAGE, false, Outcome::NotRun),
            Self::NotFound => row(404, EXIT_NOT_RUN, false, Outcome::NotRun),
            Self::Conflict => row(409, EXIT_NOT_RUN, false, Outcome::NotRun),
            Self::TooLarge => row(413, EXIT_NOT_RUN, false, Outcome::NotRun),
            Self::QuotaExceeded | Self::Overloaded => row(429, EXIT_NOT_RUN, true, Outcome::NotRun),
            Self::Draining
            | Self::NoUpstream
            | Self::OwnerUnreachable
            | Self::StoreUnavailable
            | Self::StaleEpoch
            | Self::DeadlineBeforeStart => row(503, EXIT_NOT_RUN, true, Outcome::NotRun),
            Self::DeadlineAfterStart => row(504, EXIT_UNKNOWN, false, Outcome::Unknown),
            Self::AnswerLost | Self::Internal => row(502, EXIT_UNKNOWN, false, Outcome::Unknown),
            Self::Failed => row(500, EXIT_FAILED, false, Outcome::Done),
        }
    }

    /// The kind with this name in snake case; `None` for other names.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == name)
    }
}

/// An error of a given kind, with a message and an optional cause.
#[derive(Debug, Display)]
#[display("{kind}: {detail}")]
pub struct Error {
    /// The kind, which determines the response.
    pub kind: ErrorKind,
    /// Message of one sentence that states what failed.
    pub detail: String,
    /// The underlying error.
    pub source: Option<Box<dyn error::Error + Send + Sync>>,
}

// Implemented by hand because snafu does not derive an optional source.
impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        self.source.as_deref().map(|source| source as _)
    }
}

impl Error {
    /// Creates an error without a cause.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            source: None,
        }
    }

    /// Creates an error with a cause.
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
