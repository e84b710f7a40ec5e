//! The listening side of the HTTP port.

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

use crate::events;

/// Limits of the HTTP port.
#[derive(Clone, Copy, Debug)]
pub struct HttpConfig {
    /// Connections that may be open at once.
    pub connection_limit: usize,
    /// How long the headers of a request may take to arrive.
    pub header_timeout_ms: u64,
}

impl Default for HttpConfig {
    fn default() -> Self {
        Self {
            connection_limit: 2_048,
            header_timeout_ms: 10_000,
        }
    }
}

/// Serves HTTP until it is told to stop, then finishes what is open.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    routes: Router,
    config: HttpConfig,
}

impl HttpServer {
    /// Makes a server on a bound listener.
    pub fn new(listener: TcpListener, routes: Router, config: HttpConfig) -> Self {
        Self {
            listener,
            routes,
            config,
        }
    }

    /// Serves until `stop` is cancelled, then waits for open requests, at most `drain`.
    ///
    /// Returns whether every open request was answered.
    pub async fn run(self, stop: CancellationToken, drain: time::Duration) -> bool {
        let slots = Arc::new(Semaphore::new(self.config.connection_limit));
        let graceful = GracefulShutdown::new();
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(time::Duration::from_millis(self.config.header_timeout_ms));
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, peer)) = accepted else {
                continue;
            };
            let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
                kernel::log_event!(events::REQUEST_REFUSED, "{peer}: too many connections");
                continue;
            };
            let _ = stream.set_nodelay(true);
            let service = TowerToHyperService::new(self.routes.clone());
            let connection = builder
                .serve_connection(TokioIo::new(stream), service)
                .into_owned();
            let connection = graceful.watch(connection);
            tokio::spawn(async move {
                if let Err(error) = connection.await {
                    kernel::log_event!(events::REQUEST_REFUSED, "{peer}: {error}");
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
