//! Handlers for calls to services.

use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, Request, StatusCode};
use axum::response::{IntoResponse, Response};
use kernel::errors;
use kernel::ids;
use kernel::work;
use opentelemetry::trace::SpanKind;

use super::Entry;
use super::body;
use super::params::PathParams;
use super::reply::{ErrorResponse, HandlerResult, set_header};
use crate::{forward, telemetry};

/// Team of a call without an `x-team` header.
const DEFAULT_TEAM: &str = "default";
/// Maximum length of an idempotency key, in characters; header values are ASCII.
pub(super) const MAX_KEY_CHARS: usize = 200;

/// A call to the root of a service.
pub(super) async fn call_root(
    State(entry): State<Entry>,
    PathParams(service): PathParams<String>,
    request: Request<Body>,
) -> HandlerResult<Response> {
    answer(entry, service, String::new(), request).await
}

/// A call to a path of a service.
pub(super) async fn call(
    State(entry): State<Entry>,
    PathParams((service, path)): PathParams<(String, String)>,
    request: Request<Body>,
) -> HandlerResult<Response> {
    answer(entry, service, path, request).await
}

async fn answer(
    entry: Entry,
    service: String,
    path: String,
    request: Request<Body>,
) -> HandlerResult<Response> {
    let arrived_ms = entry.shared.now_ms();
    let traceparent = header(request.headers(), api::headers::TRACEPARENT).unwrap_or_default();
    let handling = telemetry::in_span(
        "entry call",
        SpanKind::Server,
        &traceparent,
        serve(&entry, &service, &path, request, arrived_ms),
    );
    let result = handling.await;
    let elapsed_ms = entry.shared.now_ms() - arrived_ms;
    let kind = result.as_ref().err().map(|error| error.kind);
    entry.shared.metrics.record_call(kind, elapsed_ms);
    result.map(respond).map_err(ErrorResponse::from)
}

async fn serve(
    entry: &Entry,
    service: &str,
    path: &str,
    request: Request<Body>,
    arrived_ms: u64,
) -> errors::Result<forward::Answered> {
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let mut call = read_headers(entry, request.headers())?;
    call.service = ids::WorkId::new(service);
    call.path = format!("/{path}{query}");
    // The memory reservation is held until the call ends.
    let (bytes, _memory) = body::read(entry, request.into_body()).await?;
    call.body = bytes;
    // Reading the body counts towards the caller's deadline.
    let spent_ms = entry.shared.now_ms() - arrived_ms;
    call.deadline_ms = call.deadline_ms.saturating_sub(spent_ms);
    entry.operations.call(call).await
}

fn read_headers(entry: &Entry, headers: &HeaderMap) -> errors::Result<forward::Call> {
    let bad = |detail: String| errors::Error::new(errors::ErrorKind::BadRequest, detail);
    let config = &entry.shared.config;
    let deadline_ms = match header(headers, api::headers::DEADLINE_MS) {
        None => config.default_deadline_ms,
        Some(text) => text
            .parse::<u64>()
            .ok()
            .filter(|ms| (1..=config.max_deadline_ms).contains(ms))
            .ok_or_else(|| {
                let limit = config.max_deadline_ms;
                bad(format!(
                    "x-deadline-ms: {text:?} is not a whole number from 1 to {limit}"
                ))
            })?,
    };
    let key = header(headers, api::headers::IDEMPOTENCY_KEY);
    if key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_CHARS)
    {
        return Err(bad(format!(
            "idempotency-key: must have 1 to {MAX_KEY_CHARS} characters"
        )));
    }
    let urgency = match header(headers, api::headers::URGENCY) {
        None => work::Urgency::default(),
        Some(name) => {
            serde_json::from_value(serde_json::Value::from(name.as_str())).map_err(|_| {
                bad(format!(
                    "x-urgency: {name:?} is not deferrable, normal or urgent"
                ))
            })?
        }
    };
    Ok(forward::Call {
        service: ids::WorkId::new(""),
        path: String::new(),
        body: bytes::Bytes::new(),
        key: key.map(ids::IdempotencyKey::new),
        team: ids::TeamId::new(
            header(headers, api::headers::TEAM)
                .as_deref()
                .unwrap_or(DEFAULT_TEAM),
        ),
        urgency,
        deadline_ms,
    })
}

/// The value of a header as text; `None` if it is absent or not visible ASCII.
pub(super) fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn respond(answered: forward::Answered) -> Response {
    let status = StatusCode::from_u16(answered.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, answered.body).into_response();
    set_header(
        &mut response,
        api::headers::OUTCOME,
        &errors::Outcome::Done.to_string(),
    );
    set_header(&mut response, api::headers::INSTANCE, &answered.instance);
    set_header(
        &mut response,
        api::headers::ATTEMPT_ID,
        &answered.attempt_id.to_string(),
    );
    response
}
