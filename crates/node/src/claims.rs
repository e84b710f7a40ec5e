//! Non-idempotent calls: at most one run for each key.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time;

use futures::future;
use journal::{Answer, Begin, Deduplicator, Request};
use kernel::errors;
use kernel::ids;
use platform::upstreams;
use twox_hash::XxHash64;
use wire::messages;

use crate::{forward, journals, operators, peer, shared};

/// Pause before a call is sent again to the owner of its claim.
const RETRY_INTERVAL_MS: u64 = 100;
/// Part of the deadline that is kept for recording the answer and the way back.
const RETURN_RESERVE_MS: u64 = 20;
const INQUIRY_TIMEOUT_MS: u64 = 1_000;

/// Attempt numbers start at the process's start time, so that they differ between processes.
static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(0);

/// Sends a non-idempotent call to the owner of its claim.
///
/// The key makes it safe to send the call again until the deadline, for
/// instance while the shard changes its owner. Once an attempt may have reached
/// an owner and brought no answer, the caller is never told `not_run` any more.
///
/// # Errors
///
/// As in the table of error kinds.
pub async fn enter(
    shared: &Arc<shared::Shared>,
    call: forward::Call,
) -> errors::Result<forward::Answered> {
    let Some(key) = call.key.clone() else {
        return forward::route(shared, call).await;
    };
    let shard = shared.config.topology.shard_of(key.as_str());
    let deadline_at_ms = shared.now_ms() + call.deadline_ms;
    let mut may_have_run = false;
    loop {
        let left_ms = deadline_at_ms.saturating_sub(shared.now_ms());
        let body = messages::Body::CallRequest(messages::CallRequest {
            hop: forward::HOP_CLAIM.to_owned(),
            ..forward::message(&call)
        });
        let error = match peer::ask_shard(shared, shard, body, left_ms).await {
            Ok(reply) => return forward::answered(reply),
            Err(error) => error,
        };
        let answer = error.kind.answer();
        may_have_run |= answer.outcome == errors::Outcome::Unknown;
        let again = answer.retryable || error.kind == errors::ErrorKind::AnswerLost;
        let left_ms = deadline_at_ms.saturating_sub(shared.now_ms());
        if !again || left_ms <= RETRY_INTERVAL_MS + RETURN_RESERVE_MS {
            return Err(forward::truthful(error, may_have_run));
        }
        tokio::time::sleep(time::Duration::from_millis(RETRY_INTERVAL_MS)).await;
    }
}

/// Serves a non-idempotent call at the owner of its claim.
///
/// The work goes on in a task of its own, so that a caller that goes away
/// leaves no claim behind without an answer.
///
/// # Errors
///
/// As in the table of error kinds.
pub async fn serve(
    shared: &Arc<shared::Shared>,
    message: messages::CallRequest,
    deadline_ms: u64,
) -> errors::Result<messages::Body> {
    let call = forward::call_of(message, deadline_ms.saturating_sub(RETURN_RESERVE_MS));
    let shared = Arc::clone(shared);
    let traceparent = crate::telemetry::current_traceparent();
    let served = tokio::spawn(async move {
        crate::telemetry::in_span(
            "claim",
            opentelemetry::trace::SpanKind::Internal,
            &traceparent,
            claim_and_send(&shared, call),
        )
        .await
    });
    let answered = served.await.unwrap_or_else(|error| {
        Err(errors::Error::with_source(
            errors::ErrorKind::Internal,
            "a claimed call",
            error,
        ))
    });
    answered.map(forward::reply)
}

async fn claim_and_send(
    shared: &Arc<shared::Shared>,
    mut call: forward::Call,
) -> errors::Result<forward::Answered> {
    let Some(key) = call.key.clone() else {
        return Err(errors::Error::new(
            errors::ErrorKind::BadRequest,
            "the call has no key",
        ));
    };
    let shard = shared.config.topology.shard_of(key.as_str());
    let owner = shared.shard(shard).ok_or_else(|| {
        errors::Error::new(
            errors::ErrorKind::StaleEpoch,
            format!("this host does not own shard {shard}"),
        )
    })?;
    let claims = Deduplicator::new(owner.shared_journal()?, shared.config.host.clone());
    let started_ms = shared.now_ms();
    let request = Request {
        key: key.clone(),
        digest: digest(&call),
        attempt_id: next_attempt(shared),
    };
    // Many claims share one write to the store, so the span is the wait for that write.
    let begun = crate::telemetry::in_span(
        "store claim",
        opentelemetry::trace::SpanKind::Client,
        "",
        claims.begin(&request, call.deadline_ms),
    );
    let ticket = match begun.await? {
        Begin::Send(ticket) => ticket,
        Begin::Answered(answer) => return recorded(answer),
        Begin::Unknown(earlier) => {
            return inquire(shared, &claims, &call, &key, earlier.attempt_id).await;
        }
    };
    call.deadline_ms = call
        .deadline_ms
        .saturating_sub(shared.now_ms() - started_ms);
    match forward::route(shared, call).await {
        Ok(answered) => {
            let kept = Answer::new(
                errors::Outcome::Done,
                answered.status,
                answered.body.clone(),
            );
            // The caller is answered when the answer is durable, so that every
            // later duplicate gets the same one.
            let finished = crate::telemetry::in_span(
                "store answer",
                opentelemetry::trace::SpanKind::Client,
                "",
                ticket.finish(kept),
            );
            if let Ok(Err(error)) = finished.await {
                log::debug!("answer under key {key} is not recorded: {error}");
            }
            Ok(answered)
        }
        Err(error) => {
            if error.kind.answer().outcome == errors::Outcome::NotRun {
                ticket.release();
            }
            Err(error)
        }
    }
}

/// The answer of an earlier request with the same key.
fn recorded(answer: Answer) -> errors::Result<forward::Answered> {
    let Some(body) = answer.body else {
        return Err(errors::Error::new(
            errors::ErrorKind::AnswerLost,
            "the request ran before under this key, and its answer is no longer kept",
        ));
    };
    Ok(forward::Answered {
        status: answer.status,
        body,
        instance: String::new(),
        attempt_id: 0,
        load: None,
    })
}

/// Asks the instances of the service what became of a request.
///
/// Only an instance that ran it can settle the matter: one that is gone cannot
/// be asked, so "never seen" from the others does not mean that it did not run.
async fn inquire(
    shared: &Arc<shared::Shared>,
    claims: &Deduplicator,
    call: &forward::Call,
    key: &ids::IdempotencyKey,
    attempt_id: u64,
) -> errors::Result<forward::Answered> {
    let unknown = || {
        errors::Error::new(
            errors::ErrorKind::AnswerLost,
            format!("it is not known whether the request under key {key} ran"),
        )
    };
    let targets = operators::instances(shared, &call.service).await;
    let asked = targets.iter().map(|target| async move {
        let inquiry = shared.platform.upstreams.inquire(target, key);
        let limit = time::Duration::from_millis(INQUIRY_TIMEOUT_MS);
        match tokio::time::timeout(limit, inquiry).await {
            Ok(Ok(upstreams::Inquiry::Ran(answer))) => Some((target.run.to_string(), answer)),
            _ => None,
        }
    });
    let ran = future::join_all(asked).await.into_iter().flatten().next();
    let (instance, answer) = ran.ok_or_else(unknown)?;
    let kept = Answer::new(errors::Outcome::Done, answer.status, answer.body.clone());
    // If it was settled by another duplicate meanwhile, that one found the same answer.
    if let Err(error) = claims
        .settle(key, attempt_id, kept, journals::APPEND_WAIT_MS)
        .await
    {
        log::debug!("answer under key {key} is not recorded: {error}");
    }
    Ok(forward::Answered {
        status: answer.status,
        body: answer.body,
        instance,
        attempt_id: answer.attempt_id,
        load: None,
    })
}

fn digest(call: &forward::Call) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    call.service.as_str().hash(&mut hasher);
    call.path.hash(&mut hasher);
    call.body.hash(&mut hasher);
    hasher.finish()
}

fn next_attempt(shared: &shared::Shared) -> u64 {
    /// Attempts that one process may make in a millisecond of its life before numbers repeat.
    const ATTEMPTS_PER_MS: u64 = 1 << 12;
    let count = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
    shared
        .config
        .incarnation_ms
        .wrapping_mul(ATTEMPTS_PER_MS)
        .wrapping_add(count)
}
