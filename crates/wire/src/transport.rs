//! Calls between hosts.

use std::fmt;

use futures::future;
use kernel::errors;
use snafu::Snafu;

use crate::messages;

/// Why a call to a peer brought no reply.
#[derive(Clone, Debug, Snafu)]
pub enum TransportError {
    /// The peer did not get the request.
    #[snafu(display("peer {address} cannot be reached: {detail}"))]
    Unreachable {
        /// The peer's address.
        address: String,
        /// What was seen.
        detail: String,
    },
    /// The peer may have got the request, and no reply came in time.
    #[snafu(display("the reply of peer {address} was lost: {detail}"))]
    ReplyLost {
        /// The peer's address.
        address: String,
        /// What was seen.
        detail: String,
    },
}

impl From<TransportError> for errors::Error {
    fn from(error: TransportError) -> Self {
        let kind = match &error {
            TransportError::Unreachable { .. } => errors::ErrorKind::OwnerUnreachable,
            TransportError::ReplyLost { .. } => errors::ErrorKind::AnswerLost,
        };
        Self::with_source(kind, error.to_string(), error)
    }
}

/// The sending side: calls to peers by address.
pub trait Transport: fmt::Debug + Send + Sync {
    /// Sends a request and waits for its reply, at most `request.deadline_ms`.
    fn call<'a>(
        &'a self,
        address: &'a str,
        request: messages::Envelope,
    ) -> future::BoxFuture<'a, Result<messages::Envelope, TransportError>>;
}

/// The receiving side: answers requests of peers.
pub trait Handler: fmt::Debug + Send + Sync {
    /// Answers one request; the future is dropped if the peer's connection closes.
    fn handle(&self, request: messages::Envelope) -> future::BoxFuture<'_, messages::Envelope>;
}

/// The body that reports an error to a peer.
pub fn failure(error: &errors::Error) -> messages::Body {
    messages::Body::Failure(messages::Failure {
        kind: error.kind.to_string(),
        detail: error.detail.clone(),
    })
}

/// The error that a peer reported; an unknown kind counts as [`errors::ErrorKind::Internal`].
pub fn failure_of(failure: &messages::Failure) -> errors::Error {
    let kind = errors::ErrorKind::from_name(&failure.kind).unwrap_or(errors::ErrorKind::Internal);
    errors::Error::new(kind, failure.detail.clone())
}
