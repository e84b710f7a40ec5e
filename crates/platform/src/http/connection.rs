//! One pooled HTTP client, and the two ways in which an exchange can fail.

use std::time::Duration;

use bytes::Bytes;
use http::header;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::time;

use super::ZONE_HEADER;
use super::messages;

/// Time in which a connection must be made.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Unused connections kept for one address.
const IDLE_CONNECTIONS: usize = 64;
/// Largest reply, in bytes: a list of values at the store's limit as base64.
const REPLY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Why an exchange brought no whole reply.
#[derive(Debug, Snafu)]
pub(super) enum Failure {
    /// The request was not sent.
    #[snafu(display("not sent: {detail}"))]
    NotSent {
        /// What was seen.
        detail: String,
    },
    /// The request may have been received.
    #[snafu(display("answer lost: {detail}"))]
    AnswerLost {
        /// What was seen.
        detail: String,
    },
}

/// Why a JSON exchange brought no result.
#[derive(Debug)]
pub(super) enum JsonFailure {
    /// No whole reply.
    Exchange(Failure),
    /// The platform refused.
    Refused(messages::Refusal),
}

impl From<Failure> for JsonFailure {
    fn from(failure: Failure) -> Self {
        Self::Exchange(failure)
    }
}

/// A whole reply.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: http::StatusCode,
    pub(super) headers: http::HeaderMap,
    pub(super) body: Bytes,
}

/// The client and the caller's zone.
#[derive(Debug)]
pub(super) struct Connection {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    zone: Option<String>,
}

impl Connection {
    pub(super) fn new(zone: Option<&str>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector);
        Self {
            client,
            zone: zone.map(str::to_owned),
        }
    }

    /// Sends a request and waits for its whole reply.
    pub(super) async fn exchange(
        &self,
        mut request: http::Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Reply, Failure> {
        if let Some(zone) = &self.zone
            && let Ok(zone) = http::HeaderValue::from_str(zone)
        {
            request.headers_mut().insert(ZONE_HEADER, zone);
        }
        let timeout = Duration::from_millis(timeout_ms);
        let reply = time::timeout(timeout, self.whole_reply(request)).await;
        reply.unwrap_or_else(|_| Err(answer_lost("timeout")))
    }

    /// Posts a JSON message and reads the JSON reply.
    pub(super) async fn post<Q: Serialize, R: DeserializeOwned>(
        &self,
        uri: &str,
        message: &Q,
        timeout_ms: u64,
    ) -> Result<R, JsonFailure> {
        let body = serde_json::to_vec(message).map_err(|error| not_sent(&error))?;
        let request = http::Request::post(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| not_sent(&error))?;
        let reply = self.exchange(request, timeout_ms).await?;
        if reply.status.is_success() {
            let result = serde_json::from_slice(&reply.body);
            return result.map_err(|error| answer_lost(&error).into());
        }
        let refusal = serde_json::from_slice(&reply.body);
        let refusal = refusal.map_err(|_| answer_lost(&format!("status {}", reply.status)))?;
        Err(JsonFailure::Refused(refusal))
    }

    async fn whole_reply(&self, request: http::Request<Full<Bytes>>) -> Result<Reply, Failure> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                return not_sent(&error);
            }
            answer_lost(&error)
        })?;
        if !has_marked_end(&response) {
            return Err(answer_lost("the end of the body is not marked"));
        }
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, REPLY_LIMIT_BYTES).collect().await;
        let body = body.map_err(|error| answer_lost(&error))?.to_bytes();
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// Whether a body that is cut short can be told from a whole one.
///
/// A body that ends when the connection closes looks the same either way.
fn has_marked_end(response: &http::Response<Incoming>) -> bool {
    let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    chunked || response.body().size_hint().exact().is_some()
}

pub(super) fn not_sent<E: ToString + ?Sized>(error: &E) -> Failure {
    let detail = error.to_string();
    Failure::NotSent { detail }
}

pub(super) fn answer_lost<E: ToString + ?Sized>(error: &E) -> Failure {
    let detail = error.to_string();
    Failure::AnswerLost { detail }
}
