//! The balancer, the proxy and the load generator on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use axum::routing;
use hickorychute_standin as standin;
use kernel::ids;
use standin::proxy::Mode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::{net, time};

const POLL_MS: u64 = 10;
const TIMEOUT: Duration = Duration::from_secs(10);

async fn listen() -> (net::TcpListener, SocketAddr) {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Serves `/ready` and a service that echoes like a minion; the flag controls its readiness.
async fn entry_host(name: &'static str) -> (SocketAddr, Arc<AtomicBool>) {
    let (listener, address) = listen().await;
    let ready = Arc::new(AtomicBool::new(true));
    let answers = ready.clone();
    let echo = move |body: bytes::Bytes| async move {
        axum::Json(standin::model::Echo {
            service: name.to_owned(),
            instance: name.to_owned(),
            attempt_id: 1,
            digest: standin::digest(&body),
        })
    };
    let readiness = async move || {
        if answers.load(Ordering::Relaxed) {
            return StatusCode::OK;
        }
        StatusCode::SERVICE_UNAVAILABLE
    };
    let router = Router::new()
        .route("/ready", routing::get(readiness))
        .route("/v1/call/{service}/{*path}", routing::post(echo))
        .route("/v1/call/crossed", routing::post(async || "no echo"));
    tokio::spawn(axum::serve(listener, router).into_future());
    (address, ready)
}

fn plan(target: SocketAddr, service: &str) -> standin::load::Plan {
    standin::load::Plan {
        target,
        service: ids::WorkId::new(service),
        path: "/bookings".to_owned(),
        rate_per_s: 50,
        seconds: 1,
        deadline_ms: 5_000,
        key_percent: 10,
        client_latency_ms: 1,
        body_bytes: 64,
        open_limit: 64,
        run_id: 1,
    }
}

#[tokio::test]
async fn the_load_generator_detects_crossed_answers() {
    let (address, _) = entry_host("bankbuch").await;
    let done = standin::load::run(plan(address, "bankbuch")).await;
    assert_eq!((done.requests, done.outcomes["done"]), (50, 50));
    let crossed = standin::load::run(standin::load::Plan {
        path: String::new(),
        ..plan(address, "crossed")
    });
    let crossed = crossed.await;
    assert_eq!(
        crossed.outcomes.get("crossed"),
        Some(&50),
        "{:?}",
        crossed.outcomes
    );
}

/// Sends one request on a new connection; `None` if no backend answered.
async fn served_by(balancer: SocketAddr) -> Option<String> {
    let mut stream = net::TcpStream::connect(balancer).await.ok()?;
    let request =
        "POST /v1/call/a/b HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    let body = response.split("\r\n\r\n").nth(1)?;
    let echo: standin::model::Echo = serde_json::from_str(body).ok()?;
    Some(echo.service)
}

async fn wait_for(balancer: SocketAddr, wanted: Option<&str>) {
    let reached = time::timeout(TIMEOUT, async {
        while served_by(balancer).await.as_deref() != wanted {
            time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    });
    assert!(reached.await.is_ok(), "{wanted:?} was never reached");
}

#[tokio::test]
async fn the_balancer_skips_backends_that_are_not_ready() {
    let (first, first_ready) = entry_host("first").await;
    let (second, second_ready) = entry_host("second").await;
    let (listener, balancer) = listen().await;
    tokio::spawn(
        async move { standin::balancer::balance(listener, &[first, second], POLL_MS).await },
    );
    wait_for(balancer, Some("first")).await;
    wait_for(balancer, Some("second")).await;
    first_ready.store(false, Ordering::Relaxed);
    second_ready.store(false, Ordering::Relaxed);
    wait_for(balancer, None).await;
    second_ready.store(true, Ordering::Relaxed);
    wait_for(balancer, Some("second")).await;
    for _ in 0..4 {
        assert_eq!(served_by(balancer).await.as_deref(), Some("second"));
    }
}

#[tokio::test]
async fn the_proxy_holds_bytes_while_frozen_and_refuses_when_cut() {
    let (target_listener, target) = listen().await;
    let (listener, address) = listen().await;
    let (mode, receiver) = watch::channel(Mode::Open);
    tokio::spawn(standin::proxy::forward(listener, target, receiver));
    let mut client = net::TcpStream::connect(address).await.unwrap();
    let (mut server, _) = target_listener.accept().await.unwrap();
    let mut buffer = [0; 4];

    client.write_all(b"open").await.unwrap();
    server.read_exact(&mut buffer).await.unwrap();
    mode.send_replace(Mode::Frozen);
    client.write_all(b"held").await.unwrap();
    let held = time::timeout(Duration::from_millis(50), server.read_exact(&mut buffer)).await;
    assert!(held.is_err(), "bytes passed a frozen proxy");
    mode.send_replace(Mode::Open);
    server.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"held");

    mode.send_replace(Mode::Cut);
    let closed = time::timeout(TIMEOUT, client.read(&mut buffer))
        .await
        .unwrap();
    assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
    let refused = time::timeout(TIMEOUT, async {
        while net::TcpStream::connect(address).await.is_ok() {
            time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    });
    assert!(refused.await.is_ok(), "a cut proxy accepts connections");
    mode.send_replace(Mode::Open);
    let healed = time::timeout(TIMEOUT, async {
        while net::TcpStream::connect(address).await.is_err() {
            time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    });
    assert!(healed.await.is_ok(), "a healed proxy refuses connections");
}
