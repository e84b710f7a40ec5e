//! The peer port under invalid input, too many connections and large requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future;
use hickorychute_wire as wire;
use kernel::errors;
use prost::Message as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use wire::{Transport as _, messages};

const IDLE_TIMEOUT_MS: u64 = 200;
const MAX_CONNECTIONS: usize = 4;
const MAX_REQUEST_MEMORY_KB: usize = 256;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Replies to every request with a `ReleaseFetch`; holds large requests until `proceed` is notified.
#[derive(Debug, Default)]
struct Echo {
    arrived: Notify,
    proceed: Notify,
}

impl wire::Handler for Echo {
    fn handle(&self, request: messages::Envelope) -> future::BoxFuture<'_, messages::Envelope> {
        Box::pin(async move {
            if request.encoded_len() > 100_000 {
                self.arrived.notify_one();
                self.proceed.notified().await;
            }
            messages::Envelope {
                body: Some(messages::Body::ReleaseFetch(messages::ReleaseFetch {
                    version: request.call_id,
                })),
                ..messages::Envelope::default()
            }
        })
    }
}

struct TestServer {
    address: String,
    counters: Arc<wire::ServerCounters>,
    handler: Arc<Echo>,
}

async fn start() -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let config = wire::ServerConfig {
        max_connections: MAX_CONNECTIONS,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        max_request_memory_kb: MAX_REQUEST_MEMORY_KB,
        ..wire::ServerConfig::default()
    };
    let handler = Arc::new(Echo::default());
    let wire_server = wire::Server::new(listener, Arc::clone(&handler) as _, config);
    let server = TestServer {
        address: wire_server.local_address().expect("an address").to_string(),
        counters: wire_server.counters(),
        handler,
    };
    tokio::spawn(wire_server.run());
    server
}

fn request(body_bytes: usize) -> messages::Envelope {
    messages::Envelope {
        deadline_ms: 5_000,
        body: Some(messages::Body::CallRequest(messages::CallRequest {
            body: vec![b'a'; body_bytes].into(),
            ..messages::CallRequest::default()
        })),
        ..messages::Envelope::default()
    }
}

async fn assert_serves(server: &TestServer, after: &str) {
    let transport = wire::TcpTransport::default();
    let reply = transport.call(&server.address, request(10)).await;
    assert!(reply.is_ok(), "after {after}: {reply:?}");
}

/// Sends bytes and waits until the server closes the connection.
async fn send(address: &str, bytes: &[u8], end: bool) {
    let mut stream = TcpStream::connect(address).await.expect("it accepts");
    // The server may close the connection before all bytes are written.
    let _ = stream.write_all(bytes).await;
    if end {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let closed = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    assert!(closed.is_ok(), "the server did not close the connection");
}

struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    end: bool,
    refused: bool,
}

fn cases() -> Vec<Case> {
    let framed = |length: u32, bytes: &[u8]| [&length.to_be_bytes(), bytes].concat();
    let whole = request(10).encode_to_vec();
    let case = |name, bytes, end, refused| Case {
        name,
        bytes,
        end,
        refused,
    };
    vec![
        case("no bytes", Vec::new(), false, false),
        case(
            "a length prefix without a payload",
            framed(100, b""),
            false,
            true,
        ),
        case("an incomplete payload", framed(100, b"abc"), false, true),
        case("an incomplete length prefix", vec![0, 0], false, true),
        case(
            "an incomplete payload before the end of the stream",
            framed(100, b"abc"),
            true,
            true,
        ),
        case("an oversized frame", framed(u32::MAX, b""), false, true),
        case("a malformed payload", framed(4, &[0xff; 4]), false, true),
        case("text", b"GET / HTTP/1.1\r\n\r\n".to_vec(), false, true),
        case(
            "a valid frame followed by garbage",
            [framed(whole.len() as u32, &whole), vec![0xff; 64]].concat(),
            false,
            true,
        ),
    ]
}

#[tokio::test]
async fn invalid_frames_close_their_connection_and_are_counted() {
    let server = start().await;
    let mut refused = 0;
    for case in cases() {
        send(&server.address, &case.bytes, case.end).await;
        refused += u64::from(case.refused);
        assert_serves(&server, case.name).await;
        let counted = server.counters.closed_on_input.load(Ordering::Relaxed);
        assert_eq!(counted, refused, "after {}", case.name);
    }
}

#[tokio::test]
async fn connections_above_the_limit_are_refused_until_others_close() {
    let server = start().await;
    let mut idle = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        idle.push(
            TcpStream::connect(&server.address)
                .await
                .expect("it accepts"),
        );
    }
    send(&server.address, b"", false).await;
    let refused: &AtomicU64 = &server.counters.rejected_connections;
    assert_eq!(refused.load(Ordering::Relaxed), 1);
    for mut stream in idle {
        // Idle connections are closed after the idle time-out.
        let mut answer = Vec::new();
        let closed = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
        assert!(
            closed.is_ok(),
            "the server did not close an idle connection"
        );
    }
    assert_serves(&server, "idle connections").await;
}

#[tokio::test]
async fn large_requests_above_the_memory_limit_are_refused_and_small_ones_served() {
    let server = start().await;
    let large = request(200 * 1024);
    let first = {
        let (address, large) = (server.address.clone(), large.clone());
        tokio::spawn(async move { wire::TcpTransport::default().call(&address, large).await })
    };
    server.handler.arrived.notified().await;
    let transport = wire::TcpTransport::default();
    let second = transport
        .call(&server.address, large.clone())
        .await
        .expect("a reply");
    let Some(messages::Body::Failure(failure)) = second.body else {
        panic!("not refused: {:?}", second.body);
    };
    assert_eq!(
        wire::failure_of(&failure).kind,
        errors::ErrorKind::Overloaded
    );
    assert_eq!(server.counters.rejected_requests.load(Ordering::Relaxed), 1);
    assert_serves(&server, "a large request in progress").await;

    server.handler.proceed.notify_one();
    assert!(first.await.expect("it ends").is_ok());
    server.handler.proceed.notify_one();
    let third = transport
        .call(&server.address, large)
        .await
        .expect("a reply");
    assert!(matches!(third.body, Some(messages::Body::ReleaseFetch(_))));
}
