//! A network between hosts of one process.
//!
//! The development program uses it as it is; tests put a [`Link`] in, which
//! delays and cuts messages. A message is handed to the addressed host's
//! handler directly, in a task of its own, so that a host that is cut off after
//! it got a request still carries it out.

use std::fmt;
use std::sync::{Arc, PoisonError, RwLock};
use std::time;

use futures::future;
use indexmap::IndexMap;
use wire::{Handler, Transport, TransportError, messages};

/// What happens to a message on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// It arrives after a delay.
    Arrives(time::Duration),
    /// It never arrives; the sender learns nothing.
    Lost,
    /// The connection is refused at once.
    Refused,
}

/// Decides about each message.
pub trait Link: fmt::Debug + Send + Sync {
    /// What happens to a message between two addresses.
    fn passage(&self, from: &str, to: &str) -> Passage;
}

/// Delivers everything at once.
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
    /// A network without hosts.
    pub fn new(link: Arc<dyn Link>) -> Arc<Self> {
        Arc::new(Self {
            link,
            handlers: RwLock::default(),
        })
    }

    /// The sending side of the host at an address.
    pub fn connect(self: &Arc<Self>, address: &str) -> LocalTransport {
        LocalTransport {
            network: Arc::clone(self),
            address: address.to_owned(),
        }
    }

    /// Puts a host at an address.
    pub fn attach(&self, address: &str, handler: Arc<dyn Handler>) {
        let mut handlers = self
            .handlers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        handlers.insert(address.to_owned(), handler);
    }

    /// Takes a host away; connections to it are refused from now on.
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

/// The sending side of one host.
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
        self.pass(&self.address, to).await?;
        let Some(handler) = self.network.handler(to) else {
            return Err(unreachable(to));
        };
        let handled = tokio::spawn(async move { handler.handle(request).await });
        let reply = handled.await.map_err(|error| TransportError::ReplyLost {
            address: to.to_owned(),
            detail: error.to_string(),
        })?;
        match self.pass(to, &self.address).await {
            Ok(()) => Ok(reply),
            // The request was carried out, whatever becomes of its reply.
            Err(_) => future::pending().await,
        }
    }

    async fn pass(&self, from: &str, to: &str) -> Result<(), TransportError> {
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
                    detail: "no reply in time".to_owned(),
                })
            })
        })
    }
}

fn unreachable(address: &str) -> TransportError {
    TransportError::Unreachable {
        address: address.to_owned(),
        detail: "no host is there".to_owned(),
    }
}
