//! TCP server for peers, with limits on connections, concurrent calls and request memory.

use std::io;
use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time;

use futures::{SinkExt as _, StreamExt as _};
use kernel::errors;
use prost::Message as _;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::{EnvelopeCodec, Handler, events, messages};

/// Limits of the server side.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of concurrent requests per connection.
    pub max_calls_per_connection: usize,
    /// Time without a complete frame after which a connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Maximum memory held by large requests across all connections, in kibibytes.
    pub max_request_memory_kb: usize,
}

/// Requests up to this size are exempt from the memory limit, so that gossip and other small
/// messages are still served while large requests are rejected.
const MAX_SMALL_REQUEST_BYTES: usize = 64 * 1024;
/// Delay before retrying a failed `accept`, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            max_connections: 256,
            max_calls_per_connection: 1_024,
            idle_timeout_ms: 60_000,
            max_request_memory_kb: 64 * 1024,
        }
    }
}

/// Counters of rejected connections and requests.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Connections closed after invalid or incomplete input.
    pub closed_on_input: AtomicU64,
    /// Connections refused at the connection limit.
    pub rejected_connections: AtomicU64,
    /// Large requests refused at the memory limit.
    pub rejected_requests: AtomicU64,
}

impl ServerCounters {
    /// All counters, each with its `reason` label.
    pub fn by_reason(&self) -> [(&'static str, u64); 3] {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("input", read(&self.closed_on_input)),
            ("connections", read(&self.rejected_connections)),
            ("memory", read(&self.rejected_requests)),
        ]
    }
}

/// Serves peer requests on a TCP port.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    config: ServerConfig,
    counters: Arc<ServerCounters>,
}

impl Server {
    /// Creates a server on a bound listener.
    pub fn new(listener: TcpListener, handler: Arc<dyn Handler>, config: ServerConfig) -> Self {
        Self {
            listener,
            handler,
            config,
            counters: Arc::default(),
        }
    }

    /// The local address of the listener.
    ///
    /// # Errors
    ///
    /// If the operating system cannot report the address.
    pub fn local_address(&self) -> io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Counters of rejected connections and requests, shared with the running server.
    pub fn counters(&self) -> Arc<ServerCounters> {
        Arc::clone(&self.counters)
    }

    /// Serves until the future is dropped, which closes all open connections.
    pub async fn run(self) {
        let slots = Arc::new(Semaphore::new(self.config.max_connections));
        let memory = Arc::new(Semaphore::new(self.config.max_request_memory_kb));
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let Ok((stream, peer)) = accepted else {
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                        continue;
                    };
                    let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
                        self.counters.rejected_connections.fetch_add(1, Ordering::Relaxed);
                        kernel::log_event!(events::PEER_CONNECTIONS_FULL, "{peer}");
                        continue;
                    };
                    let calls = RequestContext {
                        handler: Arc::clone(&self.handler),
                        counters: Arc::clone(&self.counters),
                        memory: Arc::clone(&memory),
                    };
                    let config = self.config;
                    connections.spawn(async move {
                        if let Err(reason) = serve_connection(stream, &calls, config).await {
                            calls.counters.closed_on_input.fetch_add(1, Ordering::Relaxed);
                            kernel::log_event!(events::PEER_REFUSED, "{peer}: {reason}");
                        }
                        drop(slot);
                    });
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }
}

/// State shared by the requests of all connections.
#[derive(Clone, Debug)]
struct RequestContext {
    handler: Arc<dyn Handler>,
    counters: Arc<ServerCounters>,
    /// Memory left for large requests; one permit per kibibyte.
    memory: Arc<Semaphore>,
}

impl RequestContext {
    /// Reserves memory for a large request; `None` if the limit is reached.
    fn reserve_memory(&self, request: &messages::Envelope) -> Option<OwnedSemaphorePermit> {
        let bytes = request.encoded_len();
        let kibibytes = if bytes <= MAX_SMALL_REQUEST_BYTES {
            0
        } else {
            bytes.div_ceil(1024) as u32
        };
        let taken = Arc::clone(&self.memory).try_acquire_many_owned(kibibytes);
        taken.ok()
    }

    /// Handles one request, or rejects it at the memory limit.
    async fn serve_request(&self, request: messages::Envelope) -> messages::Envelope {
        let call_id = request.call_id;
        let mut reply = if let Some(_memory) = self.reserve_memory(&request) {
            self.handler.handle(request).await
        } else {
            self.counters
                .rejected_requests
                .fetch_add(1, Ordering::Relaxed);
            kernel::log_event!(events::PEER_MEMORY_FULL, "call {call_id}");
            overloaded_reply()
        };
        reply.call_id = call_id;
        reply
    }
}

/// The reply to a request that is rejected at the memory limit.
fn overloaded_reply() -> messages::Envelope {
    let error = errors::Error::new(
        errors::ErrorKind::Overloaded,
        "the memory limit for large peer requests is reached",
    );
    messages::Envelope {
        body: Some(crate::failure(&error)),
        ..messages::Envelope::default()
    }
}

/// Serves one connection until the peer closes it; the error is the reason for closing it early.
async fn serve_connection(
    stream: TcpStream,
    context: &RequestContext,
    config: ServerConfig,
) -> Result<(), String> {
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (reader, writer) = stream.into_split();
    let mut frames = FramedRead::new(reader, EnvelopeCodec::default());
    let (replies, outgoing) = mpsc::channel::<messages::Envelope>(config.max_calls_per_connection);
    let mut calls = JoinSet::new();
    calls.spawn(write_replies(writer, outgoing));
    let idle = time::Duration::from_millis(config.idle_timeout_ms);
    loop {
        // `calls` also contains the writer task, hence `>` rather than `>=`.
        while calls.len() > config.max_calls_per_connection {
            calls.join_next().await;
        }
        let next = tokio::time::timeout(idle, frames.next()).await;
        let mid_frame = frames.decoder().awaits_payload() || !frames.read_buffer().is_empty();
        let frame = match next {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(error.to_string()),
            Ok(None) | Err(_) if !mid_frame => return Ok(()),
            Ok(None) => return Err("the connection closed in the middle of a frame".to_owned()),
            Err(_) => return Err("timed out waiting for a complete frame".to_owned()),
        };
        let context = context.clone();
        let replies = replies.clone();
        calls.spawn(async move {
            let reply = context.serve_request(frame).await;
            // Fails if the connection has closed, in which case the reply is discarded.
            let _ = replies.send(reply).await;
        });
        while calls.try_join_next().is_some() {}
    }
}

async fn write_replies(writer: OwnedWriteHalf, mut outgoing: mpsc::Receiver<messages::Envelope>) {
    let mut sink = FramedWrite::new(writer, EnvelopeCodec::default());
    while let Some(reply) = outgoing.recv().await {
        if sink.send(reply).await.is_err() {
            return;
        }
    }
}
