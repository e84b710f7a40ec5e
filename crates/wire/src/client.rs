//! Calls over TCP, many on one connection.

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

/// Limits of the calling side.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Longest wait for a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Requests that may wait to be written to one connection.
    pub queue_limit: usize,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            queue_limit: 1_024,
        }
    }
}

type Waiters = Arc<Mutex<IndexMap<u64, oneshot::Sender<messages::Envelope>>>>;

#[derive(Clone, Debug)]
struct Connection {
    outgoing: mpsc::Sender<messages::Envelope>,
    waiters: Waiters,
}

impl Connection {
    fn is_open(&self) -> bool {
        !self.outgoing.is_closed()
    }
}

/// Calls peers over one TCP connection each.
#[derive(Debug, Default)]
pub struct TcpTransport {
    config: ClientConfig,
    connections: tokio::sync::Mutex<IndexMap<String, Arc<tokio::sync::Mutex<Option<Connection>>>>>,
    next_call_id: AtomicU64,
}

impl TcpTransport {
    /// Makes a transport without connections; they are opened when first needed.
    pub fn new(config: ClientConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// The open connection to a peer, or a new one. Concurrent calls to one peer wait for the
    /// same attempt to connect.
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
            .map_err(|_| unreachable("no connection in time".to_owned()))?
            .map_err(|error| unreachable(error.to_string()))?;
        // Small frames must not wait for an acknowledgement of the previous one.
        stream
            .set_nodelay(true)
            .map_err(|error| unreachable(error.to_string()))?;
        let (reader, writer) = stream.into_split();
        let (outgoing, queue) = mpsc::channel(self.config.queue_limit);
        let waiters = Waiters::default();
        tokio::spawn(run_connection(reader, writer, queue, Arc::clone(&waiters)));
        Ok(Connection { outgoing, waiters })
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
        let _open = OpenCall::register(&connection.waiters, call_id, sender);
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
                detail: "no reply in time".to_owned(),
            };
            tokio::time::timeout(limit, self.exchange(address, request))
                .await
                .unwrap_or_else(|_| Err(lost()))
        })
    }
}

/// Removes a call's entry when the call ends for whatever reason.
#[derive(Debug)]
struct OpenCall<'a> {
    waiters: &'a Waiters,
    call_id: u64,
}

impl<'a> OpenCall<'a> {
    fn register(
        waiters: &'a Waiters,
        call_id: u64,
        sender: oneshot::Sender<messages::Envelope>,
    ) -> Self {
        waiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(call_id, sender);
        Self { waiters, call_id }
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.waiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .swap_remove(&self.call_id);
    }
}

/// Moves frames in both directions until either ends; then all open calls end too.
async fn run_connection(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<messages::Envelope>,
    waiters: Waiters,
) {
    let mut frames = FramedRead::new(reader, EnvelopeCodec::default());
    let mut sink = FramedWrite::new(writer, EnvelopeCodec::default());
    loop {
        tokio::select! {
            frame = frames.next() => match frame {
                Some(Ok(reply)) => deliver(&waiters, reply),
                Some(Err(_)) | None => break,
            },
            request = queue.recv() => match request {
                Some(request) => if sink.send(request).await.is_err() { break },
                None => break,
            },
        }
    }
    queue.close();
    waiters
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clear();
}

fn deliver(waiters: &Waiters, reply: messages::Envelope) {
    let waiter = waiters
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .swap_remove(&reply.call_id);
    let Some(waiter) = waiter else {
        kernel::log_event!(events::REPLY_DROPPED, "call {}", reply.call_id);
        return;
    };
    // The call may have ended between the removal and here.
    let _ = waiter.send(reply);
}
