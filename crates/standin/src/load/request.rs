//! Sends a single request of the load generator and classifies its outcome.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{self, Body};
use bytes::Bytes;
use http::HeaderMap;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use platform::upstreams::BODY_LIMIT_BYTES;
use tokio::time;

use super::{Outcome, Plan};
use crate::model;

/// Time after the request's deadline during which an answer is still awaited.
const ANSWER_GRACE_MS: u64 = 1_000;

pub(super) type Client = legacy::Client<HttpConnector, Body>;

pub(super) fn client() -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .build(connector)
}

/// Sends request `number` of the plan at its scheduled time and classifies its answer.
pub(super) async fn send(
    client: Client,
    plan: Arc<Plan>,
    number: u64,
    scheduled_at: time::Instant,
) -> Outcome {
    let body = body_of(&plan, number);
    let digest = model::digest(&body);
    let Ok(request) = request(&plan, number, body) else {
        return Outcome::not_sent();
    };
    let latency = Duration::from_millis(plan.client_latency_ms);
    time::sleep(latency).await;
    let timeout = Duration::from_millis(plan.deadline_ms + ANSWER_GRACE_MS);
    let answer = time::timeout(timeout, exchange(&client, request)).await;
    time::sleep(latency).await;
    let kind = match answer {
        Err(_) => "timeout".to_owned(),
        Ok(Err(kind)) => kind.to_owned(),
        Ok(Ok(answer)) => classify(&answer, digest),
    };
    Outcome {
        kind,
        latency: scheduled_at.elapsed(),
    }
}

struct Answer {
    status: http::StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

async fn exchange(client: &Client, request: http::Request<Body>) -> Result<Answer, &'static str> {
    let response = client.request(request).await.map_err(|error| {
        if error.is_connect() {
            "not_sent"
        } else {
            "lost"
        }
    })?;
    let (parts, incoming) = response.into_parts();
    let body = body::to_bytes(Body::new(incoming), BODY_LIMIT_BYTES).await;
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: body.map_err(|_| "cut")?,
    })
}

fn request(plan: &Plan, number: u64, body: Bytes) -> Result<http::Request<Body>, http::Error> {
    let path = api::paths::call(&plan.service, &plan.path);
    let separator = if path.contains('?') { '&' } else { '?' };
    let uri = format!("http://{}{path}{separator}request={number}", plan.target);
    let mut request = http::Request::post(uri).header(api::headers::DEADLINE_MS, plan.deadline_ms);
    if number % 100 < plan.key_percent {
        let key = format!("load-{}-{number}", plan.run_id);
        request = request.header(api::headers::IDEMPOTENCY_KEY, key);
    }
    request.body(Body::from(body))
}

/// A request body of the planned length, unique per run and request if the length allows.
fn body_of(plan: &Plan, number: u64) -> Bytes {
    let text = format!("{} {number} ", plan.run_id);
    text.into_bytes()
        .into_iter()
        .cycle()
        .take(plan.body_bytes)
        .collect()
}

/// Maps an answer to its outcome in the report.
fn classify(answer: &Answer, digest: u64) -> String {
    if let Ok(error) = serde_json::from_slice::<api::ErrorBody>(&answer.body) {
        return format!("{}: {}", error.outcome, error.kind);
    }
    if !answer.status.is_success() {
        return format!("status {}", answer.status.as_u16());
    }
    let outcome = answer.headers.get(api::headers::OUTCOME);
    let outcome = outcome.and_then(|outcome| outcome.to_str().ok());
    match outcome {
        None | Some("done") if contains_digest(&answer.body, digest) => "done".to_owned(),
        None | Some("done") => "crossed".to_owned(),
        Some(outcome) => outcome.to_owned(),
    }
}

/// Whether a minion's answer contains the digest of the request body.
fn contains_digest(body: &[u8], digest: u64) -> bool {
    if let Ok(echo) = serde_json::from_slice::<model::Echo>(body) {
        return echo.digest == digest;
    }
    let pattern = format!("{digest:016x}").into_bytes();
    body.iter().eq(pattern.iter().cycle().take(body.len()))
}
