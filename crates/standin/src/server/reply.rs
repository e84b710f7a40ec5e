//! HTTP replies: JSON, refusals and truncated bodies.

use std::io;

use axum::Json;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures::stream;
use http::{StatusCode, header};
use platform::http::messages;
use platform::store::StoreError;
use platform::workers::WorkerError;
use serde::Serialize;

/// Content length announced by a truncated reply, which sends fewer bytes.
const TRUNCATED_CONTENT_LENGTH_BYTES: u64 = 1_000;

/// A result as JSON.
pub(super) fn json(value: impl Serialize) -> Response {
    Json(value).into_response()
}

/// A JSON refusal with an HTTP status.
fn refusal(status: StatusCode, refusal: messages::Refusal) -> Response {
    (status, Json(refusal)).into_response()
}

/// A reply whose body ends before the announced content length.
pub(super) fn truncated() -> Response {
    let broken: [io::Result<Bytes>; 2] = [
        Ok(Bytes::from_static(b" ")),
        Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
    ];
    let body = Body::from_stream(stream::iter(broken));
    (
        [(header::CONTENT_LENGTH, TRUNCATED_CONTENT_LENGTH_BYTES)],
        body,
    )
        .into_response()
}

/// A chunked body without a content length.
pub(super) fn chunked(bytes: &Bytes) -> Body {
    let chunks: Vec<io::Result<Bytes>> = (0..bytes.len())
        .step_by(CHUNK_BYTES)
        .map(|start| Ok(bytes.slice(start..bytes.len().min(start + CHUNK_BYTES))))
        .collect();
    Body::from_stream(stream::iter(chunks))
}

/// Chunk size of chunked bodies.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maps the result of a store call to a reply.
pub(super) fn store<T: Serialize>(result: Result<T, StoreError>) -> Response {
    let error = match result {
        Ok(value) => return json(value),
        Err(error) => error,
    };
    match error {
        StoreError::Conflict { current } => {
            let current = current.map(messages::EntryMessage::from);
            refusal(
                StatusCode::CONFLICT,
                messages::Refusal::Conflict { current },
            )
        }
        StoreError::Unavailable { detail } => unavailable(detail),
        StoreError::AnswerLost { .. } => truncated(),
        StoreError::Throttled => {
            refusal(StatusCode::TOO_MANY_REQUESTS, messages::Refusal::Throttled)
        }
        StoreError::TooLarge { bytes } => refusal(
            StatusCode::PAYLOAD_TOO_LARGE,
            messages::Refusal::TooLarge { bytes },
        ),
        StoreError::LeaseLapsed => refusal(StatusCode::GONE, messages::Refusal::LeaseLapsed),
    }
}

/// Maps the result of a worker list or worker agent call to a reply.
pub(super) fn worker<T: Serialize>(result: Result<T, WorkerError>) -> Response {
    match result {
        Ok(value) => json(value),
        Err(WorkerError::StaleEpoch { seen }) => {
            refusal(StatusCode::CONFLICT, messages::Refusal::StaleEpoch { seen })
        }
        Err(WorkerError::OutOfOrder) => {
            refusal(StatusCode::CONFLICT, messages::Refusal::OutOfOrder)
        }
        Err(WorkerError::Unreachable { detail }) => unavailable(detail),
        Err(WorkerError::ReplyLost { .. }) => truncated(),
    }
}

/// The reply to a call whose target could not be reached.
pub(super) fn unavailable(detail: String) -> Response {
    let reason = messages::Refusal::Unavailable { detail };
    refusal(StatusCode::SERVICE_UNAVAILABLE, reason)
}
