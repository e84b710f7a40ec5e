//! The HTTP server: accepts and limits connections.

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

/// Maximum size of the request line and headers together, in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Delay after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Limits of the HTTP port.
#[derive(Clone, Copy, Debug)]
pub struct HttpConfig {
    /// Maximum number of open connections.
    pub connection_limit: usize,
    /// Timeout for receiving the headers of a request, and again for its body.
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

/// HTTP/1 server with graceful shutdown.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    routes: Router,
    config: HttpConfig,
    metrics: telemetry::Metrics,
}

impl HttpServer {
    /// Creates a server on a bound listener.
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

    /// Serves until `stop` is cancelled, then waits for open requests for at most `drain`.
    ///
    /// Returns whether every open request was answered.
    pub async fn run(self, stop: CancellationToken, drain: time::Duration) -> bool {
        let connection_permits = Arc::new(Semaphore::new(self.config.connection_limit));
        let graceful = GracefulShutdown::new();
        // Detecting the HTTP version has no timeout, so a client that sends nothing would keep
        // its connection for ever. With HTTP/1 only, the header timeout applies.
        let mut builder = auto::Builder::new(TokioExecutor::new()).http1_only();
        builder
            .http1()
            .timer(TokioTimer::new())
            .max_buf_size(MAX_HEADER_BYTES)
            .header_read_timeout(time::Duration::from_millis(self.config.request_timeout_ms));
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
                self.metrics.record_refusal("connections");
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
                    record_connection_error(&metrics, peer, error.as_ref());
                }
                drop(permit);
            });
        }
        drop(self.listener);
        tokio::time::timeout(drain, graceful.shutdown())
            .await
            .is_ok()
    }
}

/// Counts a failed connection, and logs it unless it was an idle timeout.
fn record_connection_error(
    metrics: &telemetry::Metrics,
    peer: net::SocketAddr,
    error: &(dyn error::Error + Send + Sync + 'static),
) {
    // Callers may keep connections open for later requests; closing an idle one is normal.
    let is_idle_timeout = error
        .downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_timeout);
    if is_idle_timeout {
        metrics.record_refusal("idle");
        log::debug!("{peer}: {error}");
        return;
    }
    metrics.record_refusal("connection");
    kernel::log_event!(events::REQUEST_REFUSED, "{peer}: {error}");
}
