//! Decides whether a failed request may be sent to the next host.

use kernel::errors;

/// Effect of sending a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request is read-only or idempotent: repeating it has no further effect.
    Idempotent,
    /// The request carries an idempotency key by which the cell detects duplicates.
    Deduplicated,
    /// The request may be resent only if it is certain that it did not run.
    NonIdempotent,
}

/// How one attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection could not be established, so the request was not sent.
    NotSent,
    /// The host returned an error of this kind.
    Rejected(errors::ErrorKind),
    /// The request may have been sent, but no complete response was received.
    ResponseLost,
}

impl AttemptFailure {
    /// Whether the request may have run despite the failure.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::NotSent => false,
            Self::Rejected(kind) => kind.answer().outcome != errors::Outcome::NotRun,
            Self::ResponseLost => true,
        }
    }

    /// Whether the request may be sent to the next host.
    pub fn permits_failover(self, idempotency: Idempotency) -> bool {
        match self {
            Self::NotSent => true,
            Self::ResponseLost => idempotency != Idempotency::NonIdempotent,
            Self::Rejected(kind) => {
                let answer = kind.answer();
                match answer.outcome {
                    errors::Outcome::NotRun => answer.retryable,
                    errors::Outcome::Unknown => idempotency != Idempotency::NonIdempotent,
                    errors::Outcome::Done => false,
                }
            }
        }
    }
}
