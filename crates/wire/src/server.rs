//! The listening side: bounded connections and bounded calls.

use std::io;
use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time;

use futures::{SinkExt as _, StreamExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
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
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            connection_limit: 256,
            calls_per_connection: 1_024,
            idle_timeout_ms: 60_000,
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
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let Ok((stream, peer)) = accepted else { continue };
                    let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
                        self.counters.refused_connections.fetch_add(1, Ordering::Relaxed);
                        kernel::log_event!(events::PEER_CONNECTIONS_FULL, "{peer}");
                        continue;
                    };
                    let handler = Arc::clone(&self.handler);
                    let counters = Arc::clone(&self.counters);
                    let config = self.config;
                    connections.spawn(async move {
                        if let Err(reason) = serve_connection(stream, handler, config).await {
                            counters.refused_peers.fetch_add(1, Ordering::Relaxed);
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

/// Serves one connection until the peer closes it; the error says why it was refused.
async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    config: ServerConfig,
) -> Result<(), String> {
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (reader, writer) = stream.into_split();
    let mut frames = FramedRead::new(reader, EnvelopeCodec::default());
    let (replies, mut outgoing) = mpsc::channel::<messages::Envelope>(config.calls_per_connection);
    let mut calls = JoinSet::new();
    calls.spawn(async move {
        let mut sink = FramedWrite::new(writer, EnvelopeCodec::default());
        while let Some(reply) = outgoing.recv().await {
            if sink.send(reply).await.is_err() {
                return;
            }
        }
    });
    let idle = time::Duration::from_millis(config.idle_timeout_ms);
    loop {
        // The writer task counts as one.
        while calls.len() > config.calls_per_connection {
            calls.join_next().await;
        }
        let frame = match tokio::time::timeout(idle, frames.next()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(error.to_string()),
            Ok(None) => return Ok(()),
            Err(_) if frames.read_buffer().is_empty() => return Ok(()),
            Err(_) => return Err("no complete frame in time".to_owned()),
        };
        let handler = Arc::clone(&handler);
        let replies = replies.clone();
        calls.spawn(async move {
            let call_id = frame.call_id;
            let mut reply = handler.handle(frame).await;
            reply.call_id = call_id;
            // The peer may have gone; then nobody waits for the reply.
            let _ = replies.send(reply).await;
        });
        while calls.try_join_next().is_some() {}
    }
}
