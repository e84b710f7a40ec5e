//! Pauses all connections of a host.
//!
//! A paused host neither sends nor receives, and messages it had already queued
//! are delivered after it resumes. This simulates the worst case of a suspended
//! process: orders sent before the pause arrive after their timeouts have expired.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::{self, BoxFuture};
use kernel::ids;
use platform::store::{Condition, Entry, LeaseId, Revision, Store, StoreFuture, WatchReply};
use platform::upstreams::{
    Inquiry, UpstreamAddress, UpstreamAnswer, UpstreamCall, UpstreamError, Upstreams,
};
use platform::workers::{SyncReply, SyncRequest, WorkerError, WorkerInfo, Workers};
use tokio::sync::watch;
use wire::{Transport, TransportError, messages};

/// Passes or blocks all messages of one host; clones share the same state.
#[derive(Clone, Debug)]
pub struct Gate {
    open: watch::Sender<bool>,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            open: watch::Sender::new(true),
        }
    }
}

impl Gate {
    /// Pauses (`false`) or resumes (`true`) the host.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }

    /// Whether the host is not paused.
    pub fn is_open(&self) -> bool {
        *self.open.borrow()
    }

    /// Waits until the host is not paused.
    pub async fn wait_open(&self) {
        let mut open = self.open.subscribe();
        // Cannot fail: the gate owns the sender.
        let _ = open.wait_for(|open| *open).await;
    }

    /// Executes a call in its own task, so that it takes effect even if the caller times out.
    fn run_detached<T, F>(&self, call: F) -> BoxFuture<'static, T>
    where
        T: Send + 'static,
        F: Future<Output = T> + Send + 'static,
    {
        let gate = self.clone();
        let result = tokio::spawn(async move {
            gate.wait_open().await;
            let result = call.await;
            gate.wait_open().await;
            result
        });
        Box::pin(async move {
            match result.await {
                Ok(result) => result,
                // The runtime is shutting down.
                Err(_) => future::pending().await,
            }
        })
    }
}

/// Wraps a platform so that all its calls wait for the gate.
pub fn gated_platform(gate: &Gate, inner: &platform::Platform) -> platform::Platform {
    platform::Platform {
        store: Arc::new(Gated {
            gate: gate.clone(),
            inner: Arc::clone(&inner.store),
        }),
        workers: Arc::new(Gated {
            gate: gate.clone(),
            inner: Arc::clone(&inner.workers),
        }),
        upstreams: Arc::new(Gated {
            gate: gate.clone(),
            inner: Arc::clone(&inner.upstreams),
        }),
    }
}

/// Wraps a transport so that all its calls wait for the gate.
pub fn gated_transport(gate: &Gate, inner: Arc<dyn Transport>) -> Arc<dyn Transport> {
    Arc::new(Gated {
        gate: gate.clone(),
        inner,
    })
}

#[derive(Clone)]
struct Gated<T: ?Sized> {
    gate: Gate,
    inner: Arc<T>,
}

impl<T: ?Sized> fmt::Debug for Gated<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Gated")
            .field("gate", &self.gate)
            .finish_non_exhaustive()
    }
}

impl Store for Gated<dyn Store> {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        let (inner, key) = (Arc::clone(&self.inner), key.to_owned());
        self.gate.run_detached(async move { inner.get(&key).await })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> StoreFuture<'a, Revision> {
        let (inner, key) = (Arc::clone(&self.inner), key.to_owned());
        self.gate
            .run_detached(async move { inner.put(&key, value, condition, lease).await })
    }

    fn delete<'a>(&'a self, key: &'a str, condition: Condition) -> StoreFuture<'a, Revision> {
        let (inner, key) = (Arc::clone(&self.inner), key.to_owned());
        self.gate
            .run_detached(async move { inner.delete(&key, condition).await })
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Vec<Entry>> {
        let (inner, prefix, after) = (Arc::clone(&self.inner), prefix.to_owned(), after.to_owned());
        self.gate
            .run_detached(async move { inner.range(&prefix, &after, limit).await })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchReply> {
        let (inner, prefix) = (Arc::clone(&self.inner), prefix.to_owned());
        self.gate
            .run_detached(async move { inner.watch(&prefix, after, wait_ms).await })
    }

    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, LeaseId> {
        let inner = Arc::clone(&self.inner);
        self.gate
            .run_detached(async move { inner.grant_lease(ttl_ms).await })
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        let inner = Arc::clone(&self.inner);
        self.gate
            .run_detached(async move { inner.keep_alive(lease).await })
    }

    fn revoke_lease(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        let inner = Arc::clone(&self.inner);
        self.gate
            .run_detached(async move { inner.revoke_lease(lease).await })
    }
}

impl Workers for Gated<dyn Workers> {
    fn list<'a>(
        &'a self,
        zone: &'a ids::ZoneId,
    ) -> BoxFuture<'a, Result<Vec<WorkerInfo>, WorkerError>> {
        let (inner, zone) = (Arc::clone(&self.inner), zone.clone());
        self.gate
            .run_detached(async move { inner.list(&zone).await })
    }

    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        request: &'a SyncRequest,
    ) -> BoxFuture<'a, Result<SyncReply, WorkerError>> {
        let (inner, worker, request) = (Arc::clone(&self.inner), worker.clone(), request.clone());
        self.gate
            .run_detached(async move { inner.sync(&worker, &request).await })
    }
}

impl Upstreams for Gated<dyn Upstreams> {
    fn call<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        call: &'a UpstreamCall,
    ) -> BoxFuture<'a, Result<UpstreamAnswer, UpstreamError>> {
        let (inner, target, call) = (Arc::clone(&self.inner), target.clone(), call.clone());
        self.gate
            .run_detached(async move { inner.call(&target, &call).await })
    }

    fn inquire<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        key: &'a ids::IdempotencyKey,
    ) -> BoxFuture<'a, Result<Inquiry, UpstreamError>> {
        let (inner, target, key) = (Arc::clone(&self.inner), target.clone(), key.clone());
        self.gate
            .run_detached(async move { inner.inquire(&target, &key).await })
    }
}

impl Transport for Gated<dyn Transport> {
    fn call<'a>(
        &'a self,
        address: &'a str,
        request: messages::Envelope,
    ) -> BoxFuture<'a, Result<messages::Envelope, TransportError>> {
        let (inner, to) = (Arc::clone(&self.inner), address.to_owned());
        let limit = std::time::Duration::from_millis(request.deadline_ms);
        let result = self
            .gate
            .run_detached(async move { inner.call(&to, request).await });
        Box::pin(async move {
            tokio::time::timeout(limit, result)
                .await
                .unwrap_or_else(|_| {
                    Err(TransportError::ReplyLost {
                        address: address.to_owned(),
                        detail: "no reply before the deadline".to_owned(),
                    })
                })
        })
    }
}

/// Peer message handler of a host behind a gate.
#[derive(Debug)]
pub struct GatedHandler {
    gate: Gate,
    inner: Arc<dyn wire::Handler>,
}

impl GatedHandler {
    /// Wraps a handler so that requests and replies wait for the gate.
    pub fn new(gate: &Gate, inner: Arc<dyn wire::Handler>) -> Self {
        Self {
            gate: gate.clone(),
            inner,
        }
    }
}

impl wire::Handler for GatedHandler {
    fn handle(&self, request: messages::Envelope) -> BoxFuture<'_, messages::Envelope> {
        Box::pin(async move {
            self.gate.wait_open().await;
            let reply = self.inner.handle(request).await;
            self.gate.wait_open().await;
            reply
        })
    }
}
