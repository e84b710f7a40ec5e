//! TCP client that multiplexes concurrent calls over one connection per peer.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time;

use futures::{SinkExt as _, StreamExt as _, future};
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::{EnvelopeCodec, Transport, TransportError, events, messages};

/// Limits of the client side.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Time-out for establishing a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Maximum number of requests queued for writing per connection.
    pub max_queued_requests: usize,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            max_queued_requests: 1_024,
        }
    }
}

type PendingCalls = Arc<Mutex<IndexMap<u64, oneshot::Sender<messages::Envelope>>>>;

#[derive(Clone, Debug)]
struct Connection {
    outgoing: mpsc::Sender<messages::Envelope>,
    pending: PendingCalls,
}

impl Connection {
    fn is_open(&self) -> bool {
        !self.outgoing.is_closed()
    }
}

/// A [`Transport`] with one TCP connection per peer.
#[derive(Debug, Default)]
pub struct TcpTransport {
    config: ClientConfig,
    connections: tokio::sync::Mutex<IndexMap<String, Arc<tokio::sync::Mutex<Option<Connection>>>>>,
    next_call_id: AtomicU64,
}

impl TcpTransport {
    /// Creates a transport; connections are opened on first use.
    pub fn new(config: ClientConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Returns the open connection to a peer, or connects. Concurrent calls to a peer share one
    /// connection attempt.
    async fn connection(&self, address: &str) -> Result<Connection, TransportError> {
        let slot = Arc::clone(
            self.connections
                .lock()
                .await
                .entry(address.to_owned())
                .or_default(),
        );
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.as_ref().filter(|connection| connection.is_open()) {
            return Ok(connection.clone());
        }
        let connection = self.connect(address).await?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    async fn connect(&self, address: &str) -> Result<Connection, TransportError> {
        let unreachable = |detail: String| TransportError::Unreachable {
            address: address.to_owned(),
            detail,
        };
        let limit = time::Duration::from_millis(self.config.connect_timeout_ms);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| unreachable("connection attempt timed out".to_owned()))?
            .map_err(|error| unreachable(error.to_string()))?;
        // Disable Nagle's algorithm, which delays small frames until the previous one is acknowledged.
        stream
            .set_nodelay(true)
            .map_err(|error| unreachable(error.to_string()))?;
        let (reader, writer) = stream.into_split();
        let (outgoing, queue) = mpsc::channel(self.config.max_queued_requests);
        let pending = PendingCalls::default();
        tokio::spawn(drive_connection(
            reader,
            writer,
            queue,
            Arc::clone(&pending),
        ));
        Ok(Connection { outgoing, pending })
    }

    async fn exchange(
        &self,
        address: &str,
        mut request: messages::Envelope,
    ) -> Result<messages::Envelope, TransportError> {
        let connection = self.connection(address).await?;
        let call_id = self.next_call_id.fetch_add(1, Ordering::Relaxed) + 1;
        request.call_id = call_id;
        let (sender, receiver) = oneshot::channel();
        let _guard = PendingCallGuard::register(&connection.pending, call_id, sender);
        connection
            .outgoing
            .send(request)
            .await
            .map_err(|_| TransportError::Unreachable {
                address: address.to_owned(),
                detail: "the connection closed before the request was written".to_owned(),
            })?;
        receiver.await.map_err(|_| TransportError::ReplyLost {
            address: address.to_owned(),
            detail: "the connection closed".to_owned(),
        })
    }
}

impl Transport for TcpTransport {
    fn call<'a>(
        &'a self,
        address: &'a str,
        request: messages::Envelope,
    ) -> future::BoxFuture<'a, Result<messages::Envelope, TransportError>> {
        Box::pin(async move {
            let limit = time::Duration::from_millis(request.deadline_ms);
            let lost = || TransportError::ReplyLost {
                address: address.to_owned(),
                detail: "no reply before the deadline".to_owned(),
            };
            tokio::time::timeout(limit, self.exchange(address, request))
                .await
                .unwrap_or_else(|_| Err(lost()))
        })
    }
}

/// Removes a pending call when it completes, times out or is cancelled.
#[derive(Debug)]
struct PendingCallGuard<'a> {
    pending: &'a PendingCalls,
    call_id: u64,
}

impl<'a> PendingCallGuard<'a> {
    fn register(
        pending: &'a PendingCalls,
        call_id: u64,
        sender: oneshot::Sender<messages::Envelope>,
    ) -> Self {
        pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(call_id, sender);
        Self { pending, call_id }
    }
}

impl Drop for PendingCallGuard<'_> {
    fn drop(&mut self) {
        self.pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .swap_remove(&self.call_id);
    }
}

/// Reads and writes frames until either direction closes, then fails all pending calls.
async fn drive_connection(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<messages::Envelope>,
    pending: PendingCalls,
) {
    let mut frames = FramedRead::new(reader, EnvelopeCodec::default());
    let mut sink = FramedWrite::new(writer, EnvelopeCodec::default());
    loop {
        tokio::select! {
            frame = frames.next() => match frame {
                Some(Ok(reply)) => complete_call(&pending, reply),
                Some(Err(_)) | None => break,
            },
            request = queue.recv() => match request {
                Some(request) => if sink.send(request).await.is_err() { break },
                None => break,
            },
        }
    }
    queue.close();
    pending
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clear();
}

fn complete_call(pending: &PendingCalls, reply: messages::Envelope) {
    let sender = pending
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .swap_remove(&reply.call_id);
    let Some(sender) = sender else {
        kernel::log_event!(events::REPLY_DROPPED, "call {}", reply.call_id);
        return;
    };
    // The call may have been cancelled after its entry was removed.
    let _ = sender.send(reply);
}
