//! TCP load balancer that forwards each connection to a ready backend, round-robin.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use axum::body::Body;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use tokio::{io, net, sync, task, time};

use crate::events;

/// Time limit for a readiness probe and for connecting to a backend.
const BACKEND_TIMEOUT_MS: u64 = 500;
/// Maximum number of connections forwarded concurrently; further ones wait in the accept queue.
const MAX_CONNECTIONS: usize = 8_192;

#[derive(Debug)]
struct Backend {
    address: SocketAddr,
    ready: AtomicBool,
}

/// Polls `/ready` on every backend and forwards connections to the ready ones.
///
/// # Errors
///
/// Returns the listener's accept error; does not return otherwise.
pub async fn balance(
    listener: net::TcpListener,
    backends: &[SocketAddr],
    poll_ms: u64,
) -> io::Result<()> {
    let backends = backends.iter().map(|address| Backend {
        address: *address,
        ready: AtomicBool::new(false),
    });
    let backends: Arc<[Backend]> = backends.collect();
    let mut polls = task::JoinSet::new();
    for index in 0..backends.len() {
        polls.spawn(poll(backends.clone(), index, poll_ms));
    }
    let permits = Arc::new(sync::Semaphore::new(MAX_CONNECTIONS));
    let next_backend = Arc::new(AtomicUsize::new(0));
    loop {
        let permit = permits.clone().acquire_owned().await;
        let (client, _) = listener.accept().await?;
        let backends = backends.clone();
        let first = next_backend.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            forward(client, &backends, first).await;
            drop(permit);
        });
    }
}

/// Forwards a connection to the first ready backend that accepts it, starting at index `first`.
async fn forward(mut client: net::TcpStream, backends: &[Backend], first: usize) {
    for offset in 0..backends.len() {
        let backend = &backends[(first + offset) % backends.len()];
        if !backend.ready.load(Ordering::Relaxed) {
            continue;
        }
        let connect = net::TcpStream::connect(backend.address);
        let timeout = Duration::from_millis(BACKEND_TIMEOUT_MS);
        let Ok(Ok(mut server)) = time::timeout(timeout, connect).await else {
            continue;
        };
        // An I/O error closes both directions; there is nobody to report it to.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let _ = io::copy_bidirectional(&mut client, &mut server).await;
        return;
    }
}

/// Polls the readiness of a backend every `poll_ms`.
async fn poll(backends: Arc<[Backend]>, index: usize, poll_ms: u64) {
    let backend = &backends[index];
    let connector = HttpConnector::new();
    let client = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
    let mut interval = time::interval(Duration::from_millis(poll_ms));
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let ready = is_ready(&client, backend.address).await;
        if backend.ready.swap(ready, Ordering::Relaxed) != ready {
            kernel::log_event!(events::BACKEND_CHANGED, "{} ready={ready}", backend.address);
        }
    }
}

async fn is_ready(client: &legacy::Client<HttpConnector, Body>, address: SocketAddr) -> bool {
    let request = http::Request::get(format!("http://{address}/ready")).body(Body::empty());
    let Ok(request) = request else {
        return false;
    };
    let timeout = Duration::from_millis(BACKEND_TIMEOUT_MS);
    let response = time::timeout(timeout, client.request(request)).await;
    matches!(response, Ok(Ok(response)) if response.status().is_success())
}
