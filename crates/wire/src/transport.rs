//! Traits and errors of calls between hosts.

use std::fmt;

use futures::future;
use kernel::errors;
use snafu::Snafu;

use crate::messages;

/// Errors of a call to a peer.
#[derive(Clone, Debug, Snafu)]
pub enum TransportError {
    /// The request was not sent.
    #[snafu(display("peer {address} is unreachable: {detail}"))]
    Unreachable {
        /// The peer's address.
        address: String,
        /// Description of the failure.
        detail: String,
    },
    /// The peer may have received the request, but no reply arrived before the deadline.
    #[snafu(display("no reply from peer {address}: {detail}"))]
    ReplyLost {
        /// The peer's address.
        address: String,
        /// Description of the failure.
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

/// Client side: calls peers by address.
pub trait Transport: fmt::Debug + Send + Sync {
    /// Sends a request and waits up to `request.deadline_ms` for the reply.
    fn call<'a>(
        &'a self,
        address: &'a str,
        request: messages::Envelope,
    ) -> future::BoxFuture<'a, Result<messages::Envelope, TransportError>>;
}

/// Server side: handles requests from peers.
pub trait Handler: fmt::Debug + Send + Sync {
    /// Handles one request; the future is dropped if the peer's connection closes.
    fn handle(&self, request: messages::Envelope) -> future::BoxFuture<'_, messages::Envelope>;
}

/// Encodes an error as a reply body.
pub fn failure(error: &errors::Error) -> messages::Body {
    messages::Body::Failure(messages::Failure {
        kind: error.kind.to_string(),
        detail: error.detail.clone(),
    })
}

/// Decodes an error reported by a peer; an unknown kind becomes [`errors::ErrorKind::Internal`].
pub fn failure_of(failure: &messages::Failure) -> errors::Error {
    let kind = errors::ErrorKind::from_name(&failure.kind).unwrap_or(errors::ErrorKind::Internal);
    errors::Error::new(kind, failure.detail.clone())
}
