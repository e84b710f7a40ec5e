//! HTTP client for the entry hosts, with failover where a retry is safe.

mod failover;

use std::net;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::rt;
use kernel::errors;
use serde::de;
use tokio::time;

pub use failover::{AttemptFailure, Idempotency};

/// Maximum size of a response body.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of attempts per host for one request.
pub const MAX_ATTEMPTS_PER_HOST: u32 = 3;

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const RETRY_BACKOFF_MS: u64 = 200;

/// A request that any entry host can serve.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: http::Method,
    /// Path and query, with the leading slash.
    pub path: String,
    /// Request headers, sent to every host that is tried.
    pub headers: http::HeaderMap,
    /// Request body; empty for requests without one.
    pub body: Bytes,
    /// Whether the request may be resent after an unknown outcome.
    pub idempotency: Idempotency,
}

impl Request {
    /// Creates a read-only GET request.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: http::Method::GET,
            path: path.into(),
            headers: http::HeaderMap::new(),
            body: Bytes::new(),
            idempotency: Idempotency::Idempotent,
        }
    }

    /// Sets a header.
    ///
    /// # Errors
    ///
    /// `usage` if the value is not a valid header value.
    pub fn header(mut self, name: &'static str, value: &str) -> errors::Result<Self> {
        let value = http::HeaderValue::from_str(value).map_err(|error| {
            let detail = format!("{value:?} is not a valid value of header {name}");
            errors::Error::with_source(errors::ErrorKind::Usage, detail, error)
        })?;
        self.headers.insert(name, value);
        Ok(self)
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Response headers.
    pub headers: http::HeaderMap,
    /// Response body, complete.
    pub body: Bytes,
}

/// Failure of one attempt, with the error to report if no further attempt is made.
struct FailedAttempt {
    failure: AttemptFailure,
    error: errors::Error,
}

/// Client of a cell's entry hosts.
#[derive(Debug)]
pub struct Client {
    hosts: Vec<net::SocketAddr>,
    timeout: Duration,
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client that tries the hosts in order; `timeout_ms` covers all attempts.
    pub fn new(hosts: Vec<net::SocketAddr>, timeout_ms: u64) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        // Pooling and automatic retries are off, so that no request is written twice.
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            hosts,
            timeout: Duration::from_millis(timeout_ms),
            http,
        }
    }

    /// Sends a request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// As [`Self::send`], and `answer_lost` if the response does not decode as `T`.
    pub async fn send_json<T: de::DeserializeOwned>(&self, request: &Request) -> errors::Result<T> {
        let response = self.send(request).await?;
        serde_json::from_slice(&response.body).map_err(|error| {
            let detail =
                "failed to decode the host's response; its version may differ from this program's";
            errors::Error::with_source(errors::ErrorKind::AnswerLost, detail, error)
        })
    }

    /// Sends a request, retrying on other hosts while that is safe.
    ///
    /// # Errors
    ///
    /// The error of the last attempt; or `answer_lost` if an earlier attempt of a
    /// write may have run, even if the last host reports that it did not run.
    pub async fn send(&self, request: &Request) -> errors::Result<Response> {
        let deadline = time::Instant::now() + self.timeout;
        let mut possibly_executed_by = None;
        let mut last_error = None;
        for pass in 0..MAX_ATTEMPTS_PER_HOST {
            if pass > 0 {
                let backoff = Duration::from_millis(RETRY_BACKOFF_MS << pass);
                time::sleep(backoff.min(deadline - time::Instant::now())).await;
            }
            for host in &self.hosts {
                if time::Instant::now() >= deadline {
                    break;
                }
                let attempt = match self.attempt(*host, request, deadline).await {
                    Ok(response) => return Ok(response),
                    Err(attempt) => attempt,
                };
                if !attempt.failure.permits_failover(request.idempotency) {
                    return Err(final_error(possibly_executed_by, attempt.error));
                }
                if attempt.failure.may_have_run() && request.idempotency != Idempotency::Idempotent
                {
                    possibly_executed_by = Some(*host);
                }
                last_error = Some(attempt.error);
            }
        }
        let last_error = last_error.unwrap_or_else(|| {
            errors::Error::new(
                errors::ErrorKind::OwnerUnreachable,
                "the request time-out expired before any host was tried",
            )
        });
        Err(final_error(possibly_executed_by, last_error))
    }

    async fn attempt(
        &self,
        host: net::SocketAddr,
        request: &Request,
        deadline: time::Instant,
    ) -> Result<Response, FailedAttempt> {
        let exchange = self.exchange(host, request);
        match time::timeout_at(deadline, exchange).await {
            Ok(result) => result,
            Err(_) => Err(response_lost(host, "the request timed out")),
        }
    }

    async fn exchange(
        &self,
        host: net::SocketAddr,
        request: &Request,
    ) -> Result<Response, FailedAttempt> {
        let uri = format!("http://{host}{}", request.path);
        let mut outgoing = http::Request::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = uri.parse().map_err(|error| invalid_url(&uri, error))?;
        *outgoing.headers_mut() = request.headers.clone();
        let response = match self.http.request(outgoing).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Err(not_sent(host, error)),
            Err(error) => return Err(response_lost(host, error)),
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| response_lost(host, error))?.to_bytes();
        let response = Response {
            status: head.status,
            headers: head.headers,
            body,
        };
        classify_response(host, response)
    }
}

/// Separates responses of the service or the API from error responses of the host.
fn classify_response(host: net::SocketAddr, response: Response) -> Result<Response, FailedAttempt> {
    let done = errors::Outcome::Done.to_string();
    let outcome = response.headers.get(api::headers::OUTCOME);
    let is_done = outcome.is_some_and(|outcome| outcome.as_bytes() == done.as_bytes());
    if response.status.is_success() || is_done {
        return Ok(response);
    }
    let Ok(body) = serde_json::from_slice::<api::ErrorBody>(&response.body) else {
        let detail = format!("status {} without a valid error body", response.status);
        return Err(response_lost(host, detail));
    };
    Err(FailedAttempt {
        failure: AttemptFailure::Rejected(body.kind),
        error: errors::Error::new(body.kind, body.detail),
    })
}

/// Returns the error of the last attempt, or `answer_lost` if an earlier attempt may have run.
fn final_error(
    possibly_executed_by: Option<net::SocketAddr>,
    error: errors::Error,
) -> errors::Error {
    let Some(host) = possibly_executed_by else {
        return error;
    };
    if error.kind.answer().outcome != errors::Outcome::NotRun {
        return error;
    }
    let detail = format!("an earlier attempt on {host} got no response and may have run");
    errors::Error::with_source(errors::ErrorKind::AnswerLost, detail, error)
}

fn not_sent(host: net::SocketAddr, error: legacy::Error) -> FailedAttempt {
    let detail = format!("failed to connect to {host}");
    let kind = errors::ErrorKind::OwnerUnreachable;
    FailedAttempt {
        failure: AttemptFailure::NotSent,
        error: errors::Error::with_source(kind, detail, error),
    }
}

fn response_lost(
    host: net::SocketAddr,
    source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> FailedAttempt {
    let detail = format!("no complete response from {host}");
    let kind = errors::ErrorKind::AnswerLost;
    FailedAttempt {
        failure: AttemptFailure::ResponseLost,
        error: errors::Error::with_source(kind, detail, source),
    }
}

fn invalid_url(uri: &str, error: http::uri::InvalidUri) -> FailedAttempt {
    let detail = format!("{uri:?} is not a valid URL");
    let kind = errors::ErrorKind::Usage;
    FailedAttempt {
        failure: AttemptFailure::Rejected(kind),
        error: errors::Error::with_source(kind, detail, error),
    }
}
