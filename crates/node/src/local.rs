//! In-process network between hosts.
//!
//! `hickoryd dev` uses it with [`PerfectLink`]; tests supply a [`Link`] that delays and drops
//! messages. A request is passed directly to the handler of the addressed host, in a separate
//! task, so that a request that was delivered is executed even if the link fails afterwards.

use std::fmt;
use std::sync::{Arc, PoisonError, RwLock};
use std::time;

use futures::future;
use indexmap::IndexMap;
use wire::{Handler, Transport, TransportError, messages};

/// Fate of a message on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// The message is delivered after a delay.
    Arrives(time::Duration),
    /// The message is dropped without notice to the sender.
    Lost,
    /// The connection is refused immediately.
    Refused,
}

/// Decides the fate of each message.
pub trait Link: fmt::Debug + Send + Sync {
    /// The fate of a message from one peer address to another.
    fn passage(&self, from: &str, to: &str) -> Passage;
}

/// A link that delivers every message without delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct PerfectLink;

impl Link for PerfectLink {
    fn passage(&self, _from: &str, _to: &str) -> Passage {
        Passage::Arrives(time::Duration::ZERO)
    }
}

/// The hosts of one process, by peer address.
#[derive(Debug)]
pub struct LocalNetwork {
    link: Arc<dyn Link>,
    handlers: RwLock<IndexMap<String, Arc<dyn Handler>>>,
}

impl LocalNetwork {
    /// Creates a network without hosts.
    pub fn new(link: Arc<dyn Link>) -> Arc<Self> {
        Arc::new(Self {
            link,
            handlers: RwLock::default(),
        })
    }

    /// Creates the transport of the host at an address.
    pub fn connect(self: &Arc<Self>, address: &str) -> LocalTransport {
        LocalTransport {
            network: Arc::clone(self),
            address: address.to_owned(),
        }
    }

    /// Attaches the handler of a host at an address.
    pub fn attach(&self, address: &str, handler: Arc<dyn Handler>) {
        let mut handlers = self
            .handlers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        handlers.insert(address.to_owned(), handler);
    }

    /// Detaches a host; later connections to it are refused.
    pub fn detach(&self, address: &str) {
        let mut handlers = self
            .handlers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        handlers.shift_remove(address);
    }

    fn handler(&self, address: &str) -> Option<Arc<dyn Handler>> {
        let handlers = self.handlers.read().unwrap_or_else(PoisonError::into_inner);
        handlers.get(address).cloned()
    }
}

/// Transport of one host.
#[derive(Clone, Debug)]
pub struct LocalTransport {
    network: Arc<LocalNetwork>,
    address: String,
}

impl LocalTransport {
    async fn exchange(
        &self,
        to: &str,
        request: messages::Envelope,
    ) -> Result<messages::Envelope, TransportError> {
        self.deliver(&self.address, to).await?;
        let Some(handler) = self.network.handler(to) else {
            return Err(unreachable(to));
        };
        let handled = tokio::spawn(async move { handler.handle(request).await });
        let reply = handled.await.map_err(|error| TransportError::ReplyLost {
            address: to.to_owned(),
            detail: error.to_string(),
        })?;
        match self.deliver(to, &self.address).await {
            Ok(()) => Ok(reply),
            // The request was executed; only its reply is dropped.
            Err(_) => future::pending().await,
        }
    }

    async fn deliver(&self, from: &str, to: &str) -> Result<(), TransportError> {
        match self.network.link.passage(from, to) {
            Passage::Arrives(delay) if delay.is_zero() => Ok(()),
            Passage::Arrives(delay) => {
                tokio::time::sleep(delay).await;
                Ok(())
            }
            Passage::Lost => future::pending().await,
            Passage::Refused => Err(unreachable(to)),
        }
    }
}

impl Transport for LocalTransport {
    fn call<'a>(
        &'a self,
        address: &'a str,
        request: messages::Envelope,
    ) -> future::BoxFuture<'a, Result<messages::Envelope, TransportError>> {
        Box::pin(async move {
            let limit = time::Duration::from_millis(request.deadline_ms);
            let result = tokio::time::timeout(limit, self.exchange(address, request)).await;
            result.unwrap_or_else(|_| {
                Err(TransportError::ReplyLost {
                    address: address.to_owned(),
                    detail: "no reply before the deadline".to_owned(),
                })
            })
        })
    }
}

fn unreachable(address: &str) -> TransportError {
    TransportError::Unreachable {
        address: address.to_owned(),
        detail: "no host is attached at this address".to_owned(),
    }
}
