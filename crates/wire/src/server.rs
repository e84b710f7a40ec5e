//! The listening side: bounded connections and bounded calls.

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

/// Limits of the listening side.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Connections that may be open at once.
    pub connection_limit: usize,
    /// Requests that one connection may have open at once.
    pub calls_per_connection: usize,
    /// A connection without a complete frame for this long is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Memory that large requests of all connections may hold at once, in kibibytes.
    pub request_memory_kb: usize,
}

/// Requests up to this size do not count against the memory of large ones, so that gossip and
/// small messages pass while large ones are refused.
const SMALL_REQUEST_BYTES: usize = 64 * 1024;
/// Pause after a connection could not be accepted, for instance for want of file descriptors.
const ACCEPT_RETRY: time::Duration = time::Duration::from_millis(50);

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            connection_limit: 256,
            calls_per_connection: 1_024,
            idle_timeout_ms: 60_000,
            request_memory_kb: 64 * 1024,
        }
    }
}

/// What the listening side has refused.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Connections closed because of what they sent or failed to send.
    pub refused_peers: AtomicU64,
    /// Connections refused because the limit was reached.
    pub refused_connections: AtomicU64,
    /// Requests refused because large ones hold as much memory as they may.
    pub refused_requests: AtomicU64,
}

impl ServerCounters {
    /// Each count with its reason.
    pub fn by_reason(&self) -> [(&'static str, u64); 3] {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("input", read(&self.refused_peers)),
            ("connections", read(&self.refused_connections)),
            ("memory", read(&self.refused_requests)),
        ]
    }
}

/// Answers peers on a TCP port.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    config: ServerConfig,
    counters: Arc<ServerCounters>,
}

impl Server {
    /// Makes a server on a bound listener.
    pub fn new(listener: TcpListener, handler: Arc<dyn Handler>, config: ServerConfig) -> Self {
        Self {
            listener,
            handler,
            config,
            counters: Arc::default(),
        }
    }

    /// The address on which the server listens.
    ///
    /// # Errors
    ///
    /// If the operating system does not tell the address.
    pub fn local_address(&self) -> io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Counts of what was refused.
    pub fn counters(&self) -> Arc<ServerCounters> {
        Arc::clone(&self.counters)
    }

    /// Serves until the future is dropped; open connections end with it.
    pub async fn run(self) {
        let slots = Arc::new(Semaphore::new(self.config.connection_limit));
        let memory = Arc::new(Semaphore::new(self.config.request_memory_kb));
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let Ok((stream, peer)) = accepted else {
                        tokio::time::sleep(ACCEPT_RETRY).await;
                        continue;
                    };
                    let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
                        self.counters.refused_connections.fetch_add(1, Ordering::Relaxed);
                        kernel::log_event!(events::PEER_CONNECTIONS_FULL, "{peer}");
                        continue;
                    };
                    let calls = Calls {
                        handler: Arc::clone(&self.handler),
                        counters: Arc::clone(&self.counters),
                        memory: Arc::clone(&memory),
                    };
                    let config = self.config;
                    connections.spawn(async move {
                        if let Err(reason) = serve_connection(stream, &calls, config).await {
                            calls.counters.refused_peers.fetch_add(1, Ordering::Relaxed);
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

/// What the calls of all connections share.
#[derive(Clone, Debug)]
struct Calls {
    handler: Arc<dyn Handler>,
    counters: Arc<ServerCounters>,
    /// Kibibytes that large requests may still take.
    memory: Arc<Semaphore>,
}

impl Calls {
    /// Takes memory for a large request; `None` if there is not enough.
    fn admit(&self, request: &messages::Envelope) -> Option<OwnedSemaphorePermit> {
        let bytes = request.encoded_len();
        let kibibytes = if bytes <= SMALL_REQUEST_BYTES {
            0
        } else {
            bytes.div_ceil(1024) as u32
        };
        let taken = Arc::clone(&self.memory).try_acquire_many_owned(kibibytes);
        taken.ok()
    }

    /// Answers one request.
    async fn answer(&self, request: messages::Envelope) -> messages::Envelope {
        let call_id = request.call_id;
        let mut reply = if let Some(_memory) = self.admit(&request) {
            self.handler.handle(request).await
        } else {
            self.counters
                .refused_requests
                .fetch_add(1, Ordering::Relaxed);
            kernel::log_event!(events::PEER_MEMORY_FULL, "call {call_id}");
            overloaded()
        };
        reply.call_id = call_id;
        reply
    }
}

/// The reply to a request for which there is no memory.
fn overloaded() -> messages::Envelope {
    let error = errors::Error::new(
        errors::ErrorKind::Overloaded,
        "large requests of peers hold as much memory as they may",
    );
    messages::Envelope {
        body: Some(crate::failure(&error)),
        ..messages::Envelope::default()
    }
}

/// Serves one connection until the peer closes it; the error says why it was refused.
async fn serve_connection(
    stream: TcpStream,
    shared: &Calls,
    config: ServerConfig,
) -> Result<(), String> {
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (reader, writer) = stream.into_split();
    let mut frames = FramedRead::new(reader, EnvelopeCodec::default());
    let (replies, outgoing) = mpsc::channel::<messages::Envelope>(config.calls_per_connection);
    let mut calls = JoinSet::new();
    calls.spawn(write_replies(writer, outgoing));
    let idle = time::Duration::from_millis(config.idle_timeout_ms);
    loop {
        // The writer task counts as one.
        while calls.len() > config.calls_per_connection {
            calls.join_next().await;
        }
        let next = tokio::time::timeout(idle, frames.next()).await;
        let within_frame = frames.decoder().awaits_content() || !frames.read_buffer().is_empty();
        let frame = match next {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(error.to_string()),
            Ok(None) | Err(_) if !within_frame => return Ok(()),
            Ok(None) => return Err("the connection ended within a frame".to_owned()),
            Err(_) => return Err("no complete frame in time".to_owned()),
        };
        let shared = shared.clone();
        let replies = replies.clone();
        calls.spawn(async move {
            let reply = shared.answer(frame).await;
            // The peer may have gone; then nobody waits for the reply.
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
