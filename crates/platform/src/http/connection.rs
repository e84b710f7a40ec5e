//! Pooled HTTP client that distinguishes unsent requests from lost responses.

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
use crate::events;

/// Time-out for establishing a connection.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Maximum size of a response body, which bounds a range of base64-encoded values of the maximum size.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Errors of an HTTP exchange.
#[derive(Debug, Snafu)]
pub(super) enum ExchangeError {
    /// The request was not sent.
    #[snafu(display("not sent: {detail}"))]
    NotSent {
        /// Description of the failure.
        detail: String,
    },
    /// The request may have been received, but no complete response arrived.
    #[snafu(display("response lost: {detail}"))]
    ResponseLost {
        /// Description of the failure.
        detail: String,
    },
}

/// Errors of a JSON exchange.
#[derive(Debug)]
pub(super) enum JsonError {
    /// The HTTP exchange failed.
    Exchange(ExchangeError),
    /// The platform rejected the request.
    Rejected(messages::Refusal),
}

impl From<ExchangeError> for JsonError {
    fn from(failure: ExchangeError) -> Self {
        Self::Exchange(failure)
    }
}

/// A complete HTTP response.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: http::StatusCode,
    pub(super) headers: http::HeaderMap,
    pub(super) body: Bytes,
}

/// HTTP client that sends the caller's zone with every request.
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
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self {
            client,
            zone: zone.map(str::to_owned),
        }
    }

    /// Sends a request and waits for the complete response.
    pub(super) async fn exchange(
        &self,
        mut request: http::Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Response, ExchangeError> {
        if let Some(zone) = &self.zone
            && let Ok(zone) = http::HeaderValue::from_str(zone)
        {
            request.headers_mut().insert(ZONE_HEADER, zone);
        }
        let timeout = Duration::from_millis(timeout_ms);
        let reply = time::timeout(timeout, self.complete_response(request)).await;
        reply.unwrap_or_else(|_| Err(response_lost("timed out")))
    }

    /// Posts a JSON message and reads the JSON reply.
    pub(super) async fn post<Q: Serialize, R: DeserializeOwned>(
        &self,
        uri: &str,
        message: &Q,
        timeout_ms: u64,
    ) -> Result<R, JsonError> {
        let body = serde_json::to_vec(message).map_err(|error| not_sent(&error))?;
        let request = http::Request::post(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| not_sent(&error))?;
        let reply = self.exchange(request, timeout_ms).await?;
        if reply.status.is_success() {
            let result = serde_json::from_slice(&reply.body);
            return result.map_err(|error| response_lost(&error).into());
        }
        let refusal = serde_json::from_slice(&reply.body);
        let refusal = refusal.map_err(|_| response_lost(&format!("status {}", reply.status)))?;
        Err(JsonError::Rejected(refusal))
    }

    async fn complete_response(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<Response, ExchangeError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                return not_sent(&error);
            }
            response_lost(&error)
        })?;
        if !detects_truncation(&response) {
            kernel::log_event!(events::ANSWER_UNMARKED, "status {}", response.status());
            return Err(response_lost(
                "the response has neither a content length nor chunked encoding",
            ));
        }
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| response_lost(&error))?.to_bytes();
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// Whether truncation of the body can be detected.
///
/// It cannot if the end of the body is signalled only by closing the connection.
fn detects_truncation(response: &http::Response<Incoming>) -> bool {
    let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    chunked || response.body().size_hint().exact().is_some()
}

pub(super) fn not_sent<E: ToString + ?Sized>(error: &E) -> ExchangeError {
    let detail = error.to_string();
    ExchangeError::NotSent { detail }
}

pub(super) fn response_lost<E: ToString + ?Sized>(error: &E) -> ExchangeError {
    let detail = error.to_string();
    ExchangeError::ResponseLost { detail }
}
