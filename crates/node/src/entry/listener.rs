//! The listening side of the HTTP port.

use std::error;
use std::net;
use std::sync::Arc;
use std::time;

use axum::Router;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::{events, telemetry};

/// Largest request line and headers together, in bytes.
const HEADER_LIMIT_BYTES: usize = 64 * 1024;
/// Pause after a connection could not be accepted, for instance for want of file descriptors.
const ACCEPT_RETRY: time::Duration = time::Duration::from_millis(50);

/// Limits of the HTTP port.
#[derive(Clone, Copy, Debug)]
pub struct HttpConfig {
    /// Connections that may be open at once.
    pub connection_limit: usize,
    /// How long the headers of a request may take to arrive, and how long its body.
    pub request_timeout_ms: u64,
}

impl Default for HttpConfig {
    fn default() -> Self {
        Self {
            connection_limit: 2_048,
            request_timeout_ms: 10_000,
        }
    }
}

/// Serves HTTP until it is told to stop, then finishes what is open.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    routes: Router,
    config: HttpConfig,
    metrics: telemetry::Metrics,
}

impl HttpServer {
    /// Makes a server on a bound listener.
    pub fn new(
        listener: TcpListener,
        routes: Router,
        config: HttpConfig,
        metrics: telemetry::Metrics,
    ) -> Self {
        Self {
            listener,
            routes,
            config,
            metrics,
        }
    }

    /// Serves until `stop` is cancelled, then waits for open requests, at most `drain`.
    ///
    /// Returns whether every open request was answered.
    pub async fn run(self, stop: CancellationToken, drain: time::Duration) -> bool {
        let slots = Arc::new(Semaphore::new(self.config.connection_limit));
        let graceful = GracefulShutdown::new();
        // Finding out the version has no time limit, so a sender of nothing would hold its
        // connection for ever; with one version the time limit for headers holds.
        let mut builder = auto::Builder::new(TokioExecutor::new()).http1_only();
        builder
            .http1()
            .timer(TokioTimer::new())
            .max_buf_size(HEADER_LIMIT_BYTES)
            .header_read_timeout(time::Duration::from_millis(self.config.request_timeout_ms));
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
                self.metrics.refusal("connections");
                kernel::log_event!(events::REQUEST_REFUSED, "{peer}: too many connections");
                continue;
            };
            let _ = stream.set_nodelay(true);
            let service = TowerToHyperService::new(self.routes.clone());
            let connection = builder
                .serve_connection(TokioIo::new(stream), service)
                .into_owned();
            let connection = graceful.watch(connection);
            let metrics = self.metrics.clone();
            tokio::spawn(async move {
                if let Err(error) = connection.await {
                    note_failure(&metrics, peer, error.as_ref());
                }
                drop(slot);
            });
        }
        drop(self.listener);
        tokio::time::timeout(drain, graceful.shutdown())
            .await
            .is_ok()
    }
}

/// Counts a connection that failed, and logs it unless it was only silent.
fn note_failure(
    metrics: &telemetry::Metrics,
    peer: net::SocketAddr,
    error: &(dyn error::Error + Send + Sync + 'static),
) {
    // Callers may keep a connection for later requests; its end is nobody's fault.
    let is_silent = error
        .downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_timeout);
    if is_silent {
        metrics.refusal("idle");
        log::debug!("{peer}: {error}");
        return;
    }
    metrics.refusal("connection");
    kernel::log_event!(events::REQUEST_REFUSED, "{peer}: {error}");
}
