//! Sends requests to the entry hosts, and to the next one if that is safe.

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

pub use failover::{AttemptEnd, Repeat};

/// Largest answer that is read, in bytes.
pub const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// How often the list of hosts is gone through.
pub const ROUNDS: u32 = 3;

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const ROUND_INTERVAL_MS: u64 = 200;

/// A request to any entry host.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: http::Method,
    /// Path, with its leading slash.
    pub path: String,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What sending it twice would do.
    pub repeat: Repeat,
}

impl Request {
    /// A request that only reads.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: http::Method::GET,
            path: path.into(),
            headers: http::HeaderMap::new(),
            body: Bytes::new(),
            repeat: Repeat::Harmless,
        }
    }

    /// Adds a header.
    ///
    /// # Errors
    ///
    /// `usage` if the value cannot stand in a header.
    pub fn header(mut self, name: &'static str, value: &str) -> errors::Result<Self> {
        let value = http::HeaderValue::from_str(value).map_err(|error| {
            let detail = format!("{value:?} cannot be sent as {name}");
            errors::Error::with_source(errors::ErrorKind::Usage, detail, error)
        })?;
        self.headers.insert(name, value);
        Ok(self)
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A failed attempt with its error.
struct Failure {
    end: AttemptEnd,
    error: errors::Error,
}

/// A client of all entry hosts.
#[derive(Debug)]
pub struct Client {
    hosts: Vec<net::SocketAddr>,
    timeout: Duration,
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Makes a client that tries the hosts in order, for `timeout_ms` in all.
    pub fn new(hosts: Vec<net::SocketAddr>, timeout_ms: u64) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        // Without kept connections, a request that was written was written once.
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

    /// Sends a request and reads the JSON of its answer.
    ///
    /// # Errors
    ///
    /// As [`Self::send`], and `answer_lost` if the answer is not what it should be.
    pub async fn send_json<T: de::DeserializeOwned>(&self, request: &Request) -> errors::Result<T> {
        let reply = self.send(request).await?;
        serde_json::from_slice(&reply.body).map_err(|error| {
            let detail = "the host's answer is not of the form of this program's version";
            errors::Error::with_source(errors::ErrorKind::AnswerLost, detail, error)
        })
    }

    /// Sends a request until a host answers it, or it must not be sent again.
    ///
    /// # Errors
    ///
    /// The last host's answer. If an earlier attempt of a request that writes may
    /// have run, the error says `answer_lost`, whatever the last host said.
    pub async fn send(&self, request: &Request) -> errors::Result<Reply> {
        let deadline = time::Instant::now() + self.timeout;
        let mut perhaps_ran = None;
        let mut last = None;
        for round in 0..ROUNDS {
            if round > 0 {
                let pause = Duration::from_millis(ROUND_INTERVAL_MS << round);
                time::sleep(pause.min(deadline - time::Instant::now())).await;
            }
            for host in &self.hosts {
                if time::Instant::now() >= deadline {
                    break;
                }
                let failure = match self.attempt(*host, request, deadline).await {
                    Ok(reply) => return Ok(reply),
                    Err(failure) => failure,
                };
                if !failure.end.allows_next(request.repeat) {
                    return Err(settle(perhaps_ran, failure.error));
                }
                if failure.end.may_have_run() && request.repeat != Repeat::Harmless {
                    perhaps_ran = Some(*host);
                }
                last = Some(failure.error);
            }
        }
        let last = last.unwrap_or_else(|| {
            errors::Error::new(errors::ErrorKind::OwnerUnreachable, "no host was asked")
        });
        Err(settle(perhaps_ran, last))
    }

    async fn attempt(
        &self,
        host: net::SocketAddr,
        request: &Request,
        deadline: time::Instant,
    ) -> Result<Reply, Failure> {
        let exchange = self.exchange(host, request);
        match time::timeout_at(deadline, exchange).await {
            Ok(result) => result,
            Err(_) => Err(lost(host, "no answer in time")),
        }
    }

    async fn exchange(&self, host: net::SocketAddr, request: &Request) -> Result<Reply, Failure> {
        let uri = format!("http://{host}{}", request.path);
        let mut outgoing = http::Request::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = uri.parse().map_err(|error| malformed(&uri, error))?;
        *outgoing.headers_mut() = request.headers.clone();
        let response = match self.http.request(outgoing).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Err(not_sent(host, error)),
            Err(error) => return Err(lost(host, error)),
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
        let body = body.map_err(|error| lost(host, error))?.to_bytes();
        let reply = Reply {
            status: head.status,
            headers: head.headers,
            body,
        };
        judge(host, reply)
    }
}

/// Whether a whole answer is the one asked for or a refusal.
fn judge(host: net::SocketAddr, reply: Reply) -> Result<Reply, Failure> {
    let done = errors::Outcome::Done.to_string();
    let outcome = reply.headers.get(api::headers::OUTCOME);
    let is_done = outcome.is_some_and(|outcome| outcome.as_bytes() == done.as_bytes());
    if reply.status.is_success() || is_done {
        return Ok(reply);
    }
    let Ok(body) = serde_json::from_slice::<api::ErrorBody>(&reply.body) else {
        let detail = format!("status {} without the body of a refusal", reply.status);
        return Err(lost(host, detail));
    };
    Err(Failure {
        end: AttemptEnd::Refused(body.kind),
        error: errors::Error::new(body.kind, body.detail),
    })
}

/// The error of the last attempt, unless an earlier one may have run.
fn settle(perhaps_ran: Option<net::SocketAddr>, error: errors::Error) -> errors::Error {
    let Some(host) = perhaps_ran else {
        return error;
    };
    if error.kind.answer().outcome != errors::Outcome::NotRun {
        return error;
    }
    let detail = format!("an attempt at {host} brought no answer and may have run");
    errors::Error::with_source(errors::ErrorKind::AnswerLost, detail, error)
}

fn not_sent(host: net::SocketAddr, error: legacy::Error) -> Failure {
    let detail = format!("no connection to {host}");
    let kind = errors::ErrorKind::OwnerUnreachable;
    Failure {
        end: AttemptEnd::NotSent,
        error: errors::Error::with_source(kind, detail, error),
    }
}

fn lost(
    host: net::SocketAddr,
    source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> Failure {
    let detail = format!("the answer of {host} was lost");
    let kind = errors::ErrorKind::AnswerLost;
    Failure {
        end: AttemptEnd::Lost,
        error: errors::Error::with_source(kind, detail, source),
    }
}

fn malformed(uri: &str, error: http::uri::InvalidUri) -> Failure {
    let detail = format!("{uri:?} is not a URL");
    let kind = errors::ErrorKind::Usage;
    Failure {
        end: AttemptEnd::Refused(kind),
        error: errors::Error::with_source(kind, detail, error),
    }
}
