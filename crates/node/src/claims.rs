//! Non-idempotent calls: at most one execution for each idempotency key.

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

/// Delay before a call is sent again to the owner of its claim.
const RETRY_DELAY_MS: u64 = 100;
/// Part of the deadline reserved for recording the answer and returning it.
const REPLY_RESERVE_MS: u64 = 20;
/// Timeout of an inquiry to one instance.
const INQUIRY_TIMEOUT_MS: u64 = 1_000;

/// Counter of attempts in this process; attempt numbers add the process's start time, so that
/// they differ between processes.
static ATTEMPT_COUNTER: AtomicU64 = AtomicU64::new(0);

/// Sends a non-idempotent call to the owner of its claim, with retries until the deadline.
///
/// The key makes retries safe, for instance while the shard changes its owner. Once an attempt
/// may have reached an owner without an answer, the caller never gets the outcome `not_run`.
///
/// # Errors
///
/// Any kind; see [`errors::ErrorKind`].
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
            ..forward::call_message(&call)
        });
        let error = match peer::send_to_shard(shared, shard, body, left_ms).await {
            Ok(reply) => return forward::decode_reply(reply),
            Err(error) => error,
        };
        let answer = error.kind.answer();
        may_have_run |= answer.outcome == errors::Outcome::Unknown;
        let should_retry = answer.retryable || error.kind == errors::ErrorKind::AnswerLost;
        let left_ms = deadline_at_ms.saturating_sub(shared.now_ms());
        if !should_retry || left_ms <= RETRY_DELAY_MS + REPLY_RESERVE_MS {
            return Err(forward::correct_outcome(error, may_have_run));
        }
        tokio::time::sleep(time::Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

/// Serves a non-idempotent call at the owner of its claim.
///
/// Runs in a separate task, so that a disconnecting caller does not leave a claim without an
/// answer.
///
/// # Errors
///
/// Any kind; see [`errors::ErrorKind`].
pub async fn serve(
    shared: &Arc<shared::Shared>,
    message: messages::CallRequest,
    deadline_ms: u64,
) -> errors::Result<messages::Body> {
    let call = forward::call_from_message(message, deadline_ms.saturating_sub(REPLY_RESERVE_MS));
    let shared = Arc::clone(shared);
    let traceparent = crate::telemetry::current_traceparent();
    let task = tokio::spawn(async move {
        crate::telemetry::in_span(
            "claim",
            opentelemetry::trace::SpanKind::Internal,
            &traceparent,
            claim_and_send(&shared, call),
        )
        .await
    });
    let answered = task.await.unwrap_or_else(|error| {
        Err(errors::Error::with_source(
            errors::ErrorKind::Internal,
            "claimed call task failed",
            error,
        ))
    });
    answered.map(forward::encode_reply)
}

async fn claim_and_send(
    shared: &Arc<shared::Shared>,
    mut call: forward::Call,
) -> errors::Result<forward::Answered> {
    let Some(key) = call.key.clone() else {
        return Err(errors::Error::new(
            errors::ErrorKind::BadRequest,
            "the call has no idempotency key",
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
        digest: call_digest(&call),
        attempt_id: next_attempt_id(shared),
    };
    // Claims are written in batches, so the span covers the wait for the shared write.
    let claim_result = crate::telemetry::in_span(
        "store claim",
        opentelemetry::trace::SpanKind::Client,
        "",
        claims.begin(&request, call.deadline_ms),
    );
    let claim = match claim_result.await? {
        Begin::Send(claim) => claim,
        Begin::Answered(answer) => return from_recorded(answer),
        Begin::Unknown(earlier) => {
            return query_instances(shared, &claims, &call, &key, earlier.attempt_id).await;
        }
    };
    call.deadline_ms = call
        .deadline_ms
        .saturating_sub(shared.now_ms() - started_ms);
    match forward::route(shared, call).await {
        Ok(answered) => {
            let answer_to_record = Answer::new(
                errors::Outcome::Done,
                answered.status,
                answered.body.clone(),
            );
            // Waits until the answer is durable, so that every later duplicate gets the same
            // answer.
            let recording = crate::telemetry::in_span(
                "store answer",
                opentelemetry::trace::SpanKind::Client,
                "",
                claim.finish(answer_to_record),
            );
            if let Ok(Err(error)) = recording.await {
                log::debug!("cannot record the answer under key {key}: {error}");
            }
            Ok(answered)
        }
        Err(error) => {
            if error.kind.answer().outcome == errors::Outcome::NotRun {
                claim.release();
            }
            Err(error)
        }
    }
}

/// Converts the recorded answer of an earlier request with the same key.
fn from_recorded(answer: Answer) -> errors::Result<forward::Answered> {
    let Some(body) = answer.body else {
        return Err(errors::Error::new(
            errors::ErrorKind::AnswerLost,
            "an earlier request under this key was executed, but its answer is no longer stored",
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

/// Asks the instances of the service for the result of an earlier request.
///
/// Only an answer from an instance that ran the request is conclusive. An instance that has
/// ended cannot be asked, so "never seen" from all others does not prove that the request did
/// not run.
async fn query_instances(
    shared: &Arc<shared::Shared>,
    claims: &Deduplicator,
    call: &forward::Call,
    key: &ids::IdempotencyKey,
    attempt_id: u64,
) -> errors::Result<forward::Answered> {
    let unknown = || {
        errors::Error::new(
            errors::ErrorKind::AnswerLost,
            format!("it is unknown whether the request under key {key} was executed"),
        )
    };
    let targets = operators::instances(shared, &call.service).await;
    let inquiries = targets.iter().map(|target| async move {
        let inquiry = shared.platform.upstreams.inquire(target, key);
        let limit = time::Duration::from_millis(INQUIRY_TIMEOUT_MS);
        match tokio::time::timeout(limit, inquiry).await {
            Ok(Ok(upstreams::Inquiry::Ran(answer))) => Some((target.run.to_string(), answer)),
            _ => None,
        }
    });
    let first_ran = future::join_all(inquiries)
        .await
        .into_iter()
        .flatten()
        .next();
    let (instance, answer) = first_ran.ok_or_else(unknown)?;
    let answer_to_record = Answer::new(errors::Outcome::Done, answer.status, answer.body.clone());
    // If a concurrent duplicate has settled the claim, it recorded the same answer.
    if let Err(error) = claims
        .settle(key, attempt_id, answer_to_record, journals::APPEND_WAIT_MS)
        .await
    {
        log::debug!("cannot record the answer under key {key}: {error}");
    }
    Ok(forward::Answered {
        status: answer.status,
        body: answer.body,
        instance,
        attempt_id: answer.attempt_id,
        load: None,
    })
}

fn call_digest(call: &forward::Call) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    call.service.as_str().hash(&mut hasher);
    call.path.hash(&mut hasher);
    call.body.hash(&mut hasher);
    hasher.finish()
}

fn next_attempt_id(shared: &shared::Shared) -> u64 {
    /// Attempts per millisecond of process lifetime before numbers repeat.
    const MAX_ATTEMPTS_PER_MS: u64 = 1 << 12;
    let count = ATTEMPT_COUNTER.fetch_add(1, Ordering::Relaxed);
    shared
        .config
        .incarnation_ms
        .wrapping_mul(MAX_ATTEMPTS_PER_MS)
        .wrapping_add(count)
}
