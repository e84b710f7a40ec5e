//! Client requests, the platform's readiness probe and the metrics endpoint.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use adapter::clients::{self, DEADLINE_HEADER, KEY_SCHEME, READY_PATH, Request};
use bytes::Bytes;
use cell::{config::Queue, credentials::KeyDigest, ids::JobId, jobs::JobRecord};
use http_body_util::Full;
use hyper::{Response, body::Incoming, header, header::HeaderValue};
use kernel::log_event;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    client_limits::Reason,
    clock, events,
    key_checks::{self, Denial, Grant, KeyChecks, OUTDATED_RETRY_AFTER_MS},
    leader_client::{LeaderClient, Lookup, SubmitOutcome},
    metrics::Metrics,
    operator_config::OperatorConfig,
    ports::{self, BodyError, Guard, Port},
};

/// Maximum body size if the operators set none, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 256 << 10;
/// Time limit of a request without a deadline header.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Part of the client's time reserved for the response to travel back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Retry-After while neither the leader nor the store can be reached, in milliseconds.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 700;
/// Retry-After while the requests of other clients use the memory of the host, in milliseconds.
const OVERLOADED_RETRY_AFTER_MS: u64 = 1_000;
/// Retry-After before the first configuration is known, in milliseconds.
const UNCONFIGURED_RETRY_AFTER_MS: u64 = 300;

type Reply = Response<Full<Bytes>>;

/// Handles client requests and readiness probes.
#[derive(Debug)]
pub struct Frontend {
    /// The operators' configuration in effect.
    pub operator_config: Rc<OperatorConfig>,
    /// Checks the keys of calls.
    pub key_checks: Rc<KeyChecks>,
    /// Forwards requests to the leader or the store.
    pub leader_client: LeaderClient,
    /// Counters and histograms of the host.
    pub metrics: Rc<Metrics>,
    /// Peer address of this host, as `ip:port`.
    pub own_address: String,
    /// Set once the host is shutting down.
    pub draining: Cell<bool>,
    /// The port for clients.
    pub port: Rc<Port>,
}

impl Frontend {
    /// Whether the readiness probe succeeds: configured, able to accept the calls of all queues, and
    /// not draining.
    pub fn is_ready(&self) -> bool {
        let config = self.operator_config.current();
        !self.draining.get()
            && config.is_some_and(|config| self.key_checks.accepts_all_queues(&config))
    }

    async fn answer(&self, request: hyper::Request<Incoming>, guard: &Guard) -> Reply {
        let started = Instant::now();
        let Some(config) = self.operator_config.current() else {
            return refuse(503, UNCONFIGURED_RETRY_AFTER_MS);
        };
        let host = request
            .headers()
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .map(|host| host.split(':').next().unwrap_or(host).to_owned())
            .unwrap_or_default();
        let path = request.uri().path().to_owned();
        let Some(queue) = config.route(&host, &path) else {
            self.metrics.count("no_queue");
            return plain(404, "");
        };
        let Some(operation) =
            clients::request(request.method().as_str(), &path, &queue.path_prefix)
        else {
            self.metrics.count("malformed");
            return plain(400, "");
        };
        let client_timeout = client_timeout(&request).saturating_sub(RESPONSE_MARGIN);
        let digest = key_checks::key_digest(request.headers());
        let reply = match self.key_checks.check(queue, digest.as_ref()) {
            Err(denial) => self.deny(operation, denial),
            Ok(grant) => match operation {
                Request::Submit(id) => {
                    let limit = match config.max_body_bytes {
                        0 => DEFAULT_MAX_BODY_BYTES,
                        bytes => bytes,
                    };
                    match ports::read_body(guard, request.into_body(), limit).await {
                        // Refused before it is decoded: what a job takes depends on its steps.
                        Ok(body) if !guard.reserve_handling(clients::decoded_bytes(&body)) => {
                            refuse(503, OVERLOADED_RETRY_AFTER_MS)
                        }
                        Ok(body) => {
                            self.submit(id, queue, digest.as_ref(), &body, client_timeout)
                                .await
                        }
                        Err(BodyError::TooLarge) => plain(413, ""),
                        Err(BodyError::Broken) => plain(400, ""),
                        Err(BodyError::Refused(Reason::SlowBody)) => plain(408, ""),
                        Err(BodyError::Refused(_)) => refuse(503, OVERLOADED_RETRY_AFTER_MS),
                    }
                }
                Request::State(id) => self.state(id, queue, &grant, client_timeout).await,
                Request::Cancel(id) => self.cancel(id, queue, &grant, client_timeout).await,
                Request::Pending => self.pending(queue, &grant, client_timeout).await,
            },
        };
        self.metrics
            .observe(operation, reply.status().as_u16(), started.elapsed());
        reply
    }

    /// Refuses a call on account of its key, unless it may be a retry of a submission that was
    /// accepted.
    fn deny(&self, operation: Request, denial: Denial) -> Reply {
        if let Request::Submit(id) = operation
            && self.leader_client.is_in_doubt(id)
        {
            return plain(504, "");
        }
        self.key_checks.record(denial, operation);
        match denial {
            Denial::Unauthorised => challenge(),
            Denial::Outdated => refuse(503, OUTDATED_RETRY_AFTER_MS),
            Denial::OtherTenant => plain(403, ""),
        }
    }

    async fn submit(
        &self,
        id: JobId,
        queue: &Queue,
        digest: Option<&KeyDigest>,
        body: &[u8],
        client_timeout: Duration,
    ) -> Reply {
        // The key may have been revoked while the body was read.
        let grant = match self.key_checks.check(queue, digest) {
            Ok(grant) => grant,
            Err(denial) => return self.deny(Request::Submit(id), denial),
        };
        let Some(spec) = clients::job(body) else {
            log_event!(
                events::JOB_ANSWERED,
                "job={id} outcome=malformed bytes={}",
                body.len()
            );
            return plain(400, "");
        };
        let record = JobRecord {
            id: id.0,
            queue: queue.name.to_string(),
            service: queue.service.to_string(),
            accepted_unix_ms: clock::unix_ms(),
            spec: Some(spec),
            payload_host: self.own_address.clone(),
            tenant: grant.caller.tenant().to_owned(),
            ..JobRecord::default()
        };
        let started = Instant::now();
        let caller_left = CallerLeftLog { id, started };
        let submitted = self.leader_client.submit(&record, &grant, client_timeout);
        let outcome = submitted.await;
        std::mem::forget(caller_left);
        let took_ms = started.elapsed().as_millis();
        let queue_name = &queue.name;
        let config = self.operator_config.version();
        let leader = self.leader_client.leader_name();
        log_event!(
            events::JOB_ANSWERED,
            "job={id} queue={queue_name} outcome={outcome:?} took_ms={took_ms} config={config} \
             lead={leader}"
        );
        match outcome {
            SubmitOutcome::Accepted => plain(200, ""),
            SubmitOutcome::Refused { retry_after_ms }
            | SubmitOutcome::StoreAway {
                retry_after_ms: Some(retry_after_ms),
            } => refuse(503, retry_after_ms),
            SubmitOutcome::StoreAway {
                retry_after_ms: None,
            } => plain(503, ""),
            SubmitOutcome::NeverFits { reason } if !reason.is_empty() => {
                plain(429, &clients::refusal_body(&reason))
            }
            SubmitOutcome::NeverFits { .. } | SubmitOutcome::Cancelled => plain(429, ""),
            SubmitOutcome::Unavailable => refuse(503, UNAVAILABLE_RETRY_AFTER_MS),
            SubmitOutcome::InDoubt => plain(504, ""),
            SubmitOutcome::Denied(denial) => self.deny(Request::Submit(id), denial),
        }
    }

    async fn state(
        &self,
        id: JobId,
        queue: &Queue,
        grant: &Grant,
        client_timeout: Duration,
    ) -> Reply {
        let looked_up = self.leader_client.state(id, grant, client_timeout);
        match self.unless_late(looked_up.await, queue, grant) {
            Lookup::Is(state) => plain(200, clients::state_body(state)),
            Lookup::Denied(denial) => self.deny(Request::State(id), denial),
            Lookup::Missing => {
                log_event!(events::STATE_ANSWERED, "job={id} outcome=missing");
                plain(410, "")
            }
            Lookup::Unavailable => {
                log_event!(events::STATE_ANSWERED, "job={id} outcome=unavailable");
                refuse(503, UNAVAILABLE_RETRY_AFTER_MS)
            }
        }
    }

    async fn cancel(
        &self,
        id: JobId,
        queue: &Queue,
        grant: &Grant,
        client_timeout: Duration,
    ) -> Reply {
        let cancelled = self
            .leader_client
            .cancel(id, &queue.name, grant, client_timeout);
        let outcome = cancelled.await;
        log_event!(events::CANCEL_ANSWERED, "job={id} outcome={outcome:?}");
        match outcome {
            // The job is cancelled, so that the call cannot be refused any more.
            Lookup::Is(()) if self.key_checks.check_answer(&queue.name, grant).is_err() => {
                plain(504, "")
            }
            Lookup::Is(()) => plain(200, ""),
            Lookup::Denied(denial) => self.deny(Request::Cancel(id), denial),
            Lookup::Missing => plain(410, ""),
            Lookup::Unavailable => plain(504, ""),
        }
    }

    async fn pending(&self, queue: &Queue, grant: &Grant, client_timeout: Duration) -> Reply {
        let counted = self.leader_client.pending(&queue.name, client_timeout);
        match self.unless_late(counted.await, queue, grant) {
            Lookup::Is(count) => plain(200, &clients::pending_body(count)),
            Lookup::Denied(denial) => self.deny(Request::Pending, denial),
            Lookup::Missing | Lookup::Unavailable => refuse(503, UNAVAILABLE_RETRY_AFTER_MS),
        }
    }

    /// Replaces a value that was found too late to be returned to a caller with this key.
    fn unless_late<T>(&self, found: Lookup<T>, queue: &Queue, grant: &Grant) -> Lookup<T> {
        match self.key_checks.check_answer(&queue.name, grant) {
            Err(denial) if matches!(found, Lookup::Is(_)) => Lookup::Denied(denial),
            _ => found,
        }
    }
}

/// Logs a submission whose caller disconnected before the response; forgotten on completion.
#[derive(Debug)]
struct CallerLeftLog {
    id: JobId,
    started: Instant,
}

impl Drop for CallerLeftLog {
    fn drop(&mut self) {
        log_event!(
            events::JOB_ANSWERED,
            "job={} outcome=CallerLeft took_ms={}",
            self.id,
            self.started.elapsed().as_millis()
        );
    }
}

fn client_timeout(request: &hyper::Request<Incoming>) -> Duration {
    let header = request.headers().get(DEADLINE_HEADER);
    let ms = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    ms.map_or(DEFAULT_CLIENT_TIMEOUT, Duration::from_millis)
        .min(Duration::from_secs(30))
}

fn plain(status: u16, body: &str) -> Reply {
    reply(status, body, None)
}

/// A refusal with a `Retry-After` header, in whole seconds and at least 1.
fn refuse(status: u16, retry_after_ms: u64) -> Reply {
    reply(status, "", Some(retry_after_ms.div_ceil(1000).max(1)))
}

/// A refusal that asks for a valid key.
fn challenge() -> Reply {
    let mut reply = plain(401, "");
    let challenge = HeaderValue::from_static(KEY_SCHEME);
    reply
        .headers_mut()
        .insert(header::WWW_AUTHENTICATE, challenge);
    reply
}

fn reply(status: u16, body: &str, retry_after_s: Option<u64>) -> Reply {
    let mut builder = Response::builder().status(status);
    if !body.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, "application/json");
    }
    if let Some(seconds) = retry_after_s {
        builder = builder.header(header::RETRY_AFTER, seconds);
    }
    builder
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .expect("status and headers are valid")
}

/// Serves clients until `stop` becomes true; each connection then closes after its current request.
pub async fn serve(listener: TcpListener, frontend: Rc<Frontend>, stop: watch::Receiver<bool>) {
    let port = Rc::clone(&frontend.port);
    let handler = move |request, guard: Rc<Guard>| {
        let frontend = Rc::clone(&frontend);
        async move { frontend.answer(request, &guard).await }
    };
    ports::serve(listener, port, handler, stop).await;
}

/// Serves the readiness probe.
pub async fn serve_readiness(listener: TcpListener, port: Rc<Port>, frontend: Rc<Frontend>) {
    let (_never, stop) = watch::channel(false);
    let handler = move |request: hyper::Request<Incoming>, _: Rc<Guard>| {
        let reply = match request.uri().path() {
            READY_PATH if frontend.is_ready() => plain(200, ""),
            READY_PATH => plain(503, ""),
            _ => plain(404, ""),
        };
        std::future::ready(reply)
    };
    ports::serve(listener, port, handler, stop).await;
}

/// Serves counters and histograms in the Prometheus text format, at any path.
pub async fn serve_metrics(listener: TcpListener, port: Rc<Port>, metrics: Rc<Metrics>) {
    let (_never, stop) = watch::channel(false);
    let handler = move |_: hyper::Request<Incoming>, _: Rc<Guard>| {
        std::future::ready(plain(200, &metrics.render()))
    };
    ports::serve(listener, port, handler, stop).await;
}
