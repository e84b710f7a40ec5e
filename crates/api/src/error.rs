//! The body of every refusal.

use kernel::errors;
use serde::{Deserialize, Serialize};

/// What went wrong and what may be concluded from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The kind, from the closed list.
    pub kind: errors::ErrorKind,
    /// What failed, for the reader; one line per fault.
    pub detail: String,
    /// Whether the work ran.
    pub outcome: errors::Outcome,
    /// Whether the same request may succeed if sent again.
    pub retryable: bool,
}

impl From<&errors::Error> for ErrorBody {
    fn from(error: &errors::Error) -> Self {
        let answer = error.kind.answer();
        Self {
            kind: error.kind,
            detail: error.detail.clone(),
            outcome: answer.outcome,
            retryable: answer.retryable,
        }
    }
}

impl From<ErrorBody> for errors::Error {
    fn from(body: ErrorBody) -> Self {
        Self::new(body.kind, body.detail)
    }
}
