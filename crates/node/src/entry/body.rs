//! Reading of request bodies within limits of size, time and memory.

use std::sync::Arc;

use axum::body::{Body, HttpBody as _};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Limited};
use kernel::errors;
use platform::upstreams;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::Entry;

/// Memory that a body takes up in the host's budget; given back when it is dropped.
#[derive(Debug)]
pub(super) struct Memory {
    budget: Arc<Semaphore>,
    taken: Option<OwnedSemaphorePermit>,
}

impl Memory {
    fn new(budget: &Arc<Semaphore>) -> Self {
        Self {
            budget: Arc::clone(budget),
            taken: None,
        }
    }

    /// Takes what is missing for a body of `bytes`.
    fn grow(&mut self, bytes: usize) -> errors::Result<()> {
        let wanted = bytes / 1024 + 1;
        let have = self
            .taken
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = wanted.saturating_sub(have) as u32;
        let more = Arc::clone(&self.budget)
            .try_acquire_many_owned(missing)
            .map_err(|_| {
                errors::Error::new(
                    errors::ErrorKind::Overloaded,
                    "this host holds as many request bodies as it may",
                )
            })?;
        match &mut self.taken {
            Some(taken) => taken.merge(more),
            None => self.taken = Some(more),
        }
        Ok(())
    }
}

/// Reads a body whole, within the limits of size, time and memory.
///
/// The memory is taken as the body arrives, so that many large bodies at once
/// are refused before they are held.
///
/// # Errors
///
/// [`errors::ErrorKind::TooLarge`], [`errors::ErrorKind::BadRequest`] for a body
/// that breaks off or takes too long, [`errors::ErrorKind::Overloaded`].
pub(super) async fn read(entry: &Entry, body: Body) -> errors::Result<(Bytes, Memory)> {
    let reading = tokio::time::timeout(entry.body_timeout, collect(&entry.body_memory, body));
    let result = reading.await.unwrap_or_else(|_| {
        Err(Refused {
            reason: "slow_body",
            error: errors::Error::new(
                errors::ErrorKind::BadRequest,
                "the body did not arrive in time",
            ),
        })
    });
    result.map_err(|refused| {
        entry.shared.metrics.refusal(refused.reason);
        kernel::log_event!(crate::events::REQUEST_REFUSED, "{}", refused.error);
        refused.error
    })
}

type Source = Box<dyn std::error::Error + Send + Sync>;

/// An error with the label under which it is counted.
#[derive(Debug)]
struct Refused {
    reason: &'static str,
    error: errors::Error,
}

async fn collect(budget: &Arc<Semaphore>, body: Body) -> Result<(Bytes, Memory), Refused> {
    if body.size_hint().lower() > upstreams::BODY_LIMIT_BYTES as u64 {
        return Err(too_large(None));
    }
    let mut memory = Memory::new(budget);
    let mut collected = BytesMut::new();
    let mut body = Limited::new(body, upstreams::BODY_LIMIT_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        memory
            .grow(collected.len() + data.len())
            .map_err(|error| Refused {
                reason: "memory",
                error,
            })?;
        collected.extend_from_slice(&data);
    }
    Ok((collected.freeze(), memory))
}

/// Tells a body that is too large from one that broke off.
fn broken(source: Source) -> Refused {
    if source.is::<http_body_util::LengthLimitError>() {
        return too_large(Some(source));
    }
    Refused {
        reason: "broken_body",
        error: errors::Error::with_source(
            errors::ErrorKind::BadRequest,
            "the body broke off",
            source,
        ),
    }
}

fn too_large(source: Option<Source>) -> Refused {
    let limit = upstreams::BODY_LIMIT_BYTES;
    Refused {
        reason: "large_body",
        error: errors::Error {
            kind: errors::ErrorKind::TooLarge,
            detail: format!("the body is larger than {limit} bytes"),
            source,
        },
    }
}
