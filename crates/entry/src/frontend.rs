//! Clients' requests, and the readiness that the platform asks for.

use std::{
    cell::Cell,
    convert::Infallible,
    rc::Rc,
    time::{Duration, Instant},
};

use adapter::clients::{self, DEADLINE_HEADER, READY_PATH, Request};
use bytes::Bytes;
use cell::{config::Queue, ids::JobId, jobs::JobRecord};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Response, body::Incoming, header, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use kernel::log_event;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

use crate::{
    clock, events,
    leader_client::{LeaderClient, Lookup, SubmitOutcome},
    metrics::Metrics,
    operator_config::OperatorConfig,
};

/// Largest body where the operators set no limit, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 256 << 10;
/// How long a client waits where it does not say.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Part of a client's time that is kept for the way back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Read buffer of a client's connection, in bytes; the smallest that the library takes.
const MAX_BUFFER_BYTES: usize = 8 << 10;
/// A client must send a request's head within this time.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(15);
/// When to come back while neither coordinator nor store can be reached, in milliseconds.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 700;
/// When to come back while the first configuration is not known, in milliseconds.
const UNCONFIGURED_RETRY_AFTER_MS: u64 = 300;

type Reply = Response<Full<Bytes>>;

/// Serves clients.
#[derive(Debug)]
pub struct Frontend {
    /// The operators' configuration.
    pub operator_config: Rc<OperatorConfig>,
    /// The way to the coordinator.
    pub leader_client: LeaderClient,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
    /// Where this host takes messages, as `ip:port`.
    pub own_address: String,
    /// The host was told to stop.
    pub draining: Cell<bool>,
    /// Connections that are open.
    pub open_connections: Cell<usize>,
}

impl Frontend {
    /// Whether the platform may send new connections here.
    pub fn is_ready(&self) -> bool {
        !self.draining.get() && self.operator_config.current().is_some()
    }

    async fn answer(&self, request: hyper::Request<Incoming>) -> Reply {
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
        let reply = match operation {
            Request::Submit(id) => {
                let limit = match config.max_body_bytes {
                    0 => DEFAULT_MAX_BODY_BYTES,
                    bytes => bytes,
                };
                match Limited::new(request.into_body(), limit).collect().await {
                    Ok(body) => {
                        self.submit(id, queue, &body.to_bytes(), client_timeout)
                            .await
                    }
                    Err(_) => plain(413, ""),
                }
            }
            Request::State(id) => self.state(id, client_timeout).await,
            Request::Cancel(id) => self.cancel(id, client_timeout).await,
            Request::Pending => match self
                .leader_client
                .pending(&queue.name, client_timeout)
                .await
            {
                Lookup::Is(count) => plain(200, &clients::pending_body(count)),
                Lookup::Missing | Lookup::Unavailable => refuse(503, UNAVAILABLE_RETRY_AFTER_MS),
            },
        };
        self.metrics
            .observe(operation, reply.status().as_u16(), started.elapsed());
        reply
    }

    async fn submit(
        &self,
        id: JobId,
        queue: &Queue,
        body: &[u8],
        client_timeout: Duration,
    ) -> Reply {
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
            home: self.own_address.clone(),
            ..JobRecord::default()
        };
        let started = Instant::now();
        let caller_left = CallerLeftLog { id, started };
        let outcome = self.leader_client.submit(&record, client_timeout).await;
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
            | SubmitOutcome::StoreAway { retry_after_ms } => refuse(503, retry_after_ms),
            SubmitOutcome::NeverFits => plain(429, ""),
            SubmitOutcome::Unavailable => refuse(503, UNAVAILABLE_RETRY_AFTER_MS),
            SubmitOutcome::InDoubt => plain(504, ""),
        }
    }

    async fn state(&self, id: JobId, client_timeout: Duration) -> Reply {
        match self.leader_client.state(id, client_timeout).await {
            Lookup::Is(state) => plain(200, clients::state_body(state)),
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

    async fn cancel(&self, id: JobId, client_timeout: Duration) -> Reply {
        let outcome = self.leader_client.cancel(id, client_timeout).await;
        log_event!(events::CANCEL_ANSWERED, "job={id} outcome={outcome:?}");
        match outcome {
            Lookup::Is(()) => plain(200, ""),
            Lookup::Missing => plain(410, ""),
            Lookup::Unavailable => plain(504, ""),
        }
    }
}

/// Logs a job whose caller left before it was answered, unless it is forgotten first.
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

/// A refusal that says when to come back.
fn refuse(status: u16, retry_after_ms: u64) -> Reply {
    reply(status, "", Some(retry_after_ms.div_ceil(1000).max(1)))
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
        .expect("the parts are valid")
}

/// Serves clients until `stop` turns true; connections then end after the request they carry.
pub async fn serve(listener: TcpListener, frontend: Rc<Frontend>, mut stop: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (frontend, stop) = (Rc::clone(&frontend), stop.clone());
                tokio::task::spawn_local(serve_connection(stream, frontend, stop));
            }
            // Out of descriptors, or the client left: nothing to do but go on.
            Err(_) => time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    frontend: Rc<Frontend>,
    mut stop: watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    frontend
        .open_connections
        .set(frontend.open_connections.get() + 1);
    let served = Rc::clone(&frontend);
    let handler = service::service_fn(move |request| {
        let frontend = Rc::clone(&served);
        async move { Ok::<_, Infallible>(frontend.answer(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(MAX_BUFFER_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT);
    let connection = builder.serve_connection(TokioIo::new(stream), handler);
    tokio::pin!(connection);
    tokio::select! {
        // A connection that breaks off is the client's affair; its request was answered or not.
        _ = connection.as_mut() => {}
        _ = stop.wait_for(|stop| *stop) => {
            connection.as_mut().graceful_shutdown();
            let _ended = connection.await;
        }
    }
    frontend
        .open_connections
        .set(frontend.open_connections.get() - 1);
}

/// Answers whether the host takes new connections, and nothing else.
pub async fn serve_readiness(listener: TcpListener, frontend: Rc<Frontend>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let frontend = Rc::clone(&frontend);
        tokio::task::spawn_local(async move {
            let handler = service::service_fn(move |request: hyper::Request<Incoming>| {
                let reply = match request.uri().path() {
                    READY_PATH if frontend.is_ready() => plain(200, ""),
                    READY_PATH => plain(503, ""),
                    _ => plain(404, ""),
                };
                async move { Ok::<_, Infallible>(reply) }
            });
            let mut builder = http1::Builder::new();
            let _ended = builder
                .max_buf_size(MAX_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), handler)
                .await;
        });
    }
}

/// Serves counters and histograms as text.
pub async fn serve_metrics(listener: TcpListener, metrics: Rc<Metrics>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let metrics = Rc::clone(&metrics);
        tokio::task::spawn_local(async move {
            let handler = service::service_fn(move |_: hyper::Request<Incoming>| {
                let reply = plain(200, &metrics.render());
                async move { Ok::<_, Infallible>(reply) }
            });
            let _ended = http1::Builder::new()
                .max_buf_size(MAX_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), handler)
                .await;
        });
    }
}
