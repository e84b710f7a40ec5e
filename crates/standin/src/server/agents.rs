//! Handlers of the worker list, the worker agents and the minions.

use std::str::FromStr;
use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderMap, StatusCode, Uri};
use kernel::ids;
use platform::http::messages;
use platform::http::{
    ATTEMPT_HEADER, DEADLINE_HEADER, EPOCH_HEADER, KEY_HEADER, NOT_RUN_HEADER, NOT_RUN_LEAVING,
    NOT_RUN_REFUSED, RUN_HEADER, TASK_HEADER, TRACE_HEADER,
};
use platform::upstreams::{UpstreamAddress, UpstreamCall, UpstreamError, Upstreams};
use platform::workers::{SyncRequest, WorkerInfo, WorkerState, Workers};

use super::{State, reply};
use crate::model;

type Shared = extract::State<Arc<State>>;

pub(super) async fn list(
    extract::State(state): Shared,
    headers: HeaderMap,
    Json(message): Json<messages::List>,
) -> Response {
    let workers = state.platform.workers(&state.zone(&headers));
    reply::worker(workers.list(&message.zone).await)
}

pub(super) async fn sync(
    extract::State(state): Shared,
    extract::Path(id): extract::Path<String>,
    headers: HeaderMap,
    Json(request): Json<SyncRequest>,
) -> Response {
    let id = ids::WorkerId::new(id);
    let zone = state.platform.change_fleet(|model, _| model.zone_of(&id));
    let Some(zone) = zone else {
        return reply::unavailable(format!("no worker {id}"));
    };
    // The in-memory implementation reads only the id and the zone.
    let worker = WorkerInfo {
        rack: ids::RackId::new(""),
        address: String::new(),
        capacity: kernel::work::Resources::default(),
        state: WorkerState::Live,
        id,
        zone,
    };
    let workers = state.platform.workers(&state.zone(&headers));
    reply::worker(workers.sync(&worker, &request).await)
}

pub(super) async fn inquire(
    extract::State(state): Shared,
    extract::Path(id): extract::Path<String>,
    headers: HeaderMap,
    Json(message): Json<messages::Inquire>,
) -> Response {
    let upstreams = state.platform.upstreams(&state.zone(&headers));
    let target = UpstreamAddress {
        address: id,
        run: message.run,
    };
    match upstreams.inquire(&target, &message.key).await {
        Ok(inquiry) => reply::json(messages::InquiryMessage::from(inquiry)),
        Err(UpstreamError::NotRun { detail, .. }) => reply::unavailable(detail),
        Err(UpstreamError::AnswerLost { .. }) => reply::truncated(),
    }
}

pub(super) async fn call(
    state: Shared,
    extract::Path((id, _)): extract::Path<(String, String)>,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    answer_call(state, id, &uri, &headers, body).await
}

pub(super) async fn call_root(
    state: Shared,
    extract::Path(id): extract::Path<String>,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    answer_call(state, id, &uri, &headers, body).await
}

async fn answer_call(
    extract::State(state): Shared,
    id: String,
    uri: &Uri,
    headers: &HeaderMap,
    body: Bytes,
) -> Response {
    let Some((run, call)) = read_call(uri, headers, body) else {
        return not_run(
            NOT_RUN_REFUSED,
            "a required request header is missing or malformed",
        );
    };
    let upstreams = state.platform.upstreams(&state.zone(headers));
    let target = UpstreamAddress { address: id, run };
    match upstreams.exchange(&target, &call).await {
        Ok(answer) => answered(&call, &answer),
        Err(UpstreamError::NotRun { detail, leaving }) => {
            let reason = if leaving {
                NOT_RUN_LEAVING
            } else {
                NOT_RUN_REFUSED
            };
            not_run(reason, &detail)
        }
        Err(UpstreamError::AnswerLost { .. }) => reply::truncated(),
    }
}

fn read_call(
    uri: &Uri,
    headers: &HeaderMap,
    body: Bytes,
) -> Option<(ids::TaskAttempt, UpstreamCall)> {
    let run = ids::TaskAttempt {
        task: parse_header(headers, TASK_HEADER)?,
        attempt: ids::Attempt(parse_header(headers, RUN_HEADER)?),
    };
    let path_and_query = uri.path_and_query()?.as_str();
    let (_, path) = path_and_query.split_once("/call")?;
    let key: Option<String> = parse_header(headers, KEY_HEADER);
    let call = UpstreamCall {
        attempt_id: parse_header(headers, ATTEMPT_HEADER)?,
        epoch: ids::Epoch(parse_header(headers, EPOCH_HEADER)?),
        path: path.to_owned(),
        body,
        key: key.map(ids::IdempotencyKey::from),
        deadline_ms: parse_header(headers, DEADLINE_HEADER)?,
        traceparent: parse_header(headers, TRACE_HEADER).unwrap_or_default(),
    };
    Some((run, call))
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn answered(call: &UpstreamCall, answer: &model::MinionAnswer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let body = if answer.sized {
        Body::from(answer.body.clone())
    } else {
        reply::chunked(&answer.body)
    };
    (
        status,
        [(ATTEMPT_HEADER, call.attempt_id.to_string())],
        body,
    )
        .into_response()
}

fn not_run(reason: &'static str, detail: &str) -> Response {
    let headers = [(NOT_RUN_HEADER, reason)];
    (StatusCode::SERVICE_UNAVAILABLE, headers, detail.to_owned()).into_response()
}
