//! The body of error responses.

use kernel::errors;
use serde::{Deserialize, Serialize};

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Error kind.
    pub kind: errors::ErrorKind,
    /// Human-readable description of what failed; one line per error.
    pub detail: String,
    /// Whether the work of the request ran.
    pub outcome: errors::Outcome,
    /// Whether the same request may succeed if it is sent again.
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
