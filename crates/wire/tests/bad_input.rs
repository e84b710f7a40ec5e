//! What the port for peers does with bad input, too many connections and large requests.

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
const CONNECTION_LIMIT: usize = 4;
const REQUEST_MEMORY_KB: usize = 256;
const LIMIT: Duration = Duration::from_secs(10);

/// Answers every request with an empty release, large ones only when it is told to.
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

struct Port {
    address: String,
    counters: Arc<wire::ServerCounters>,
    handler: Arc<Echo>,
}

async fn start() -> Port {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let config = wire::ServerConfig {
        connection_limit: CONNECTION_LIMIT,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        request_memory_kb: REQUEST_MEMORY_KB,
        ..wire::ServerConfig::default()
    };
    let handler = Arc::new(Echo::default());
    let server = wire::Server::new(listener, Arc::clone(&handler) as _, config);
    let port = Port {
        address: server.local_address().expect("an address").to_string(),
        counters: server.counters(),
        handler,
    };
    tokio::spawn(server.run());
    port
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

async fn assert_serves(port: &Port, after: &str) {
    let transport = wire::TcpTransport::default();
    let reply = transport.call(&port.address, request(10)).await;
    assert!(reply.is_ok(), "after {after}: {reply:?}");
}

/// Sends bytes and waits until the port closes the connection.
async fn send(address: &str, bytes: &[u8], end: bool) {
    let mut stream = TcpStream::connect(address).await.expect("it accepts");
    // The port may close before everything is written.
    let _ = stream.write_all(bytes).await;
    if end {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let closed = tokio::time::timeout(LIMIT, stream.read_to_end(&mut answer)).await;
    assert!(closed.is_ok(), "the connection stays open");
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
        case("nothing", Vec::new(), false, false),
        case("a length without a frame", framed(100, b""), false, true),
        case("half a frame", framed(100, b"abc"), false, true),
        case("half a length", vec![0, 0], false, true),
        case("a frame that breaks off", framed(100, b"abc"), true, true),
        case(
            "a frame that is too long",
            framed(u32::MAX, b""),
            false,
            true,
        ),
        case(
            "a frame that does not decode",
            framed(4, &[0xff; 4]),
            false,
            true,
        ),
        case("text", b"GET / HTTP/1.1\r\n\r\n".to_vec(), false, true),
        case(
            "a whole frame and then garbage",
            [framed(whole.len() as u32, &whole), vec![0xff; 64]].concat(),
            false,
            true,
        ),
    ]
}

#[tokio::test]
async fn bad_frames_cost_their_connection_and_are_counted() {
    let port = start().await;
    let mut refused = 0;
    for case in cases() {
        send(&port.address, &case.bytes, case.end).await;
        refused += u64::from(case.refused);
        assert_serves(&port, case.name).await;
        let counted = port.counters.refused_peers.load(Ordering::Relaxed);
        assert_eq!(counted, refused, "after {}", case.name);
    }
}

#[tokio::test]
async fn connections_above_the_limit_are_refused_until_others_end() {
    let port = start().await;
    let mut held = Vec::new();
    for _ in 0..CONNECTION_LIMIT {
        held.push(TcpStream::connect(&port.address).await.expect("it accepts"));
    }
    send(&port.address, b"", false).await;
    let refused: &AtomicU64 = &port.counters.refused_connections;
    assert_eq!(refused.load(Ordering::Relaxed), 1);
    for mut stream in held {
        // Silent connections are closed after the idle time.
        let mut answer = Vec::new();
        let closed = tokio::time::timeout(LIMIT, stream.read_to_end(&mut answer)).await;
        assert!(closed.is_ok(), "a silent connection stays open");
    }
    assert_serves(&port, "silent connections").await;
}

#[tokio::test]
async fn large_requests_above_the_memory_are_refused_and_small_ones_served() {
    let port = start().await;
    let large = request(200 * 1024);
    let first = {
        let (address, large) = (port.address.clone(), large.clone());
        tokio::spawn(async move { wire::TcpTransport::default().call(&address, large).await })
    };
    port.handler.arrived.notified().await;
    let transport = wire::TcpTransport::default();
    let second = transport
        .call(&port.address, large.clone())
        .await
        .expect("a reply");
    let Some(messages::Body::Failure(failure)) = second.body else {
        panic!("not refused: {:?}", second.body);
    };
    assert_eq!(
        wire::failure_of(&failure).kind,
        errors::ErrorKind::Overloaded
    );
    assert_eq!(port.counters.refused_requests.load(Ordering::Relaxed), 1);
    assert_serves(&port, "a large request in hand").await;

    port.handler.proceed.notify_one();
    assert!(first.await.expect("it ends").is_ok());
    port.handler.proceed.notify_one();
    let third = transport.call(&port.address, large).await.expect("a reply");
    assert!(matches!(third.body, Some(messages::Body::ReleaseFetch(_))));
}
