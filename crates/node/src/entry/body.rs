//! Reads request bodies within limits on size, time and memory.

use std::sync::Arc;

use axum::body::{Body, HttpBody as _};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Limited};
use kernel::errors;
use platform::upstreams;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::Entry;

/// Memory reserved for a body in the host's budget, in kibibytes; released on drop.
#[derive(Debug)]
pub(super) struct BodyMemory {
    budget: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    fn new(budget: &Arc<Semaphore>) -> Self {
        Self {
            budget: Arc::clone(budget),
            permit: None,
        }
    }

    /// Extends the reservation to a body of `bytes`.
    fn grow(&mut self, bytes: usize) -> errors::Result<()> {
        let required_kib = bytes / 1024 + 1;
        let reserved_kib = self
            .permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let missing_kib = required_kib.saturating_sub(reserved_kib) as u32;
        let additional = Arc::clone(&self.budget)
            .try_acquire_many_owned(missing_kib)
            .map_err(|_| {
                errors::Error::new(
                    errors::ErrorKind::Overloaded,
                    "the memory budget for request bodies is used up",
                )
            })?;
        match &mut self.permit {
            Some(permit) => permit.merge(additional),
            None => self.permit = Some(additional),
        }
        Ok(())
    }
}

/// Reads a complete body within the limits on size, time and memory.
///
/// Memory is reserved while the body arrives, so that concurrent large bodies are refused
/// before they are buffered.
///
/// # Errors
///
/// [`errors::ErrorKind::TooLarge`], [`errors::ErrorKind::BadRequest`] for a body that is
/// truncated or takes too long, [`errors::ErrorKind::Overloaded`] if the memory budget is used
/// up.
pub(super) async fn read(entry: &Entry, body: Body) -> errors::Result<(Bytes, BodyMemory)> {
    let reading = tokio::time::timeout(entry.body_timeout, collect(&entry.body_memory, body));
    let result = reading.await.unwrap_or_else(|_| {
        Err(RejectedBody {
            reason: "slow_body",
            error: errors::Error::new(
                errors::ErrorKind::BadRequest,
                "the body did not arrive within the time limit",
            ),
        })
    });
    result.map_err(|rejection| {
        entry.shared.metrics.record_refusal(rejection.reason);
        kernel::log_event!(crate::events::REQUEST_REFUSED, "{}", rejection.error);
        rejection.error
    })
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// An error with its label in the metrics.
#[derive(Debug)]
struct RejectedBody {
    reason: &'static str,
    error: errors::Error,
}

async fn collect(budget: &Arc<Semaphore>, body: Body) -> Result<(Bytes, BodyMemory), RejectedBody> {
    if body.size_hint().lower() > upstreams::BODY_LIMIT_BYTES as u64 {
        return Err(too_large(None));
    }
    let mut memory = BodyMemory::new(budget);
    let mut collected = BytesMut::new();
    let mut body = Limited::new(body, upstreams::BODY_LIMIT_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(read_error)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        memory
            .grow(collected.len() + data.len())
            .map_err(|error| RejectedBody {
                reason: "memory",
                error,
            })?;
        collected.extend_from_slice(&data);
    }
    Ok((collected.freeze(), memory))
}

/// Distinguishes a body that is too large from one that is truncated.
fn read_error(source: BoxError) -> RejectedBody {
    if source.is::<http_body_util::LengthLimitError>() {
        return too_large(Some(source));
    }
    RejectedBody {
        reason: "broken_body",
        error: errors::Error::with_source(
            errors::ErrorKind::BadRequest,
            "the body is truncated",
            source,
        ),
    }
}

fn too_large(source: Option<BoxError>) -> RejectedBody {
    let limit = upstreams::BODY_LIMIT_BYTES;
    RejectedBody {
        reason: "large_body",
        error: errors::Error {
            kind: errors::ErrorKind::TooLarge,
            detail: format!("the body is larger than {limit} bytes"),
            source,
        },
    }
}
