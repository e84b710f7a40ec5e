//! In-memory implementation of the [`Store`] trait.

use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future;
use kernel::ids;
use platform::store::{
    Condition, Entry, LeaseId, Revision, Store, StoreError, StoreFuture, WatchReply,
};
use tokio::{sync, time};

use super::clock;
use super::detach;
use super::network;
use crate::faults;
use crate::model;

/// Size of a call or an answer excluding its keys and values.
const OVERHEAD_BYTES: usize = 100;

/// Maximum wait of a watch; a longer one is capped and returns without changes.
const MAX_WATCH_WAIT_MS: u64 = 3_600_000;

/// State shared by all connections to one store.
#[derive(Debug)]
pub(super) struct SharedStore {
    model: Mutex<model::StoreModel>,
    changed: sync::Notify,
}

impl SharedStore {
    pub(super) fn new(model: model::StoreModel) -> Self {
        Self {
            model: Mutex::new(model),
            changed: sync::Notify::new(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, model::StoreModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection to the store from one zone.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    pub(super) shared: Arc<SharedStore>,
    pub(super) zone: ids::ZoneId,
    pub(super) network: network::Network,
    pub(super) faults: faults::Faults,
    pub(super) clock: clock::Clock,
    pub(super) cut_timeout_ms: u64,
}

impl MemoryStore {
    /// Transmits a call to the store and waits for its processing time.
    async fn send(&self, bytes: usize) -> Result<(), StoreError> {
        let to = self.network.store_zone();
        let sent = self.is_connected()
            && self
                .network
                .transmit(&self.zone, to, OVERHEAD_BYTES + bytes)
                .await;
        if !sent {
            time::sleep(Duration::from_millis(self.cut_timeout_ms)).await;
            let detail = "no connection to the store".to_owned();
            return Err(StoreError::Unavailable { detail });
        }
        time::sleep(Duration::from_millis(self.faults.store_latency_ms())).await;
        if self.faults.store_down() {
            let detail = "the store went down before the call took effect".to_owned();
            return Err(StoreError::Unavailable { detail });
        }
        Ok(())
    }

    /// Transmits an answer back to the caller.
    async fn receive(&self, bytes: usize) -> Result<(), StoreError> {
        let from = self.network.store_zone();
        let bytes = OVERHEAD_BYTES + bytes;
        if self.is_connected() && self.network.transmit(from, &self.zone, bytes).await {
            return Ok(());
        }
        Err(connection_lost())
    }

    fn is_connected(&self) -> bool {
        !self.faults.store_down()
            && self.faults.platform_connected(&self.zone)
            && self
                .faults
                .zones_connected(&self.zone, self.network.store_zone())
    }

    /// Wakes watches and transmits the answer to a write, unless a fault drops it.
    async fn receive_write(&self, name: &str) -> Result<(), StoreError> {
        self.shared.changed.notify_waiters();
        if self.faults.drops_store_answer(name) {
            let detail = "the answer was dropped by an injected fault".to_owned();
            return Err(StoreError::AnswerLost { detail });
        }
        self.receive(0).await
    }

    /// Waits for changes until the timeout, or until the connection is lost.
    async fn wait_for_changes(
        &self,
        prefix: &str,
        after: Revision,
        wait_ms: u64,
    ) -> Result<WatchReply, StoreError> {
        let until_ms = self.clock.now_ms() + wait_ms.min(MAX_WATCH_WAIT_MS);
        loop {
            // Register before checking the state, so that no notification is missed.
            let mut changed = pin!(self.shared.changed.notified());
            changed.as_mut().enable();
            let mut fault_changed = pin!(self.faults.changed());
            fault_changed.as_mut().enable();
            if !self.is_connected() {
                return Err(connection_lost());
            }
            let (reply, expiry_ms) = {
                let mut model = self.shared.lock();
                let reply = model.changes(self.clock.now_ms(), prefix, after);
                (reply, model.next_expiry_ms())
            };
            let timed_out = self.clock.now_ms() >= until_ms;
            if timed_out || reply.compacted || !reply.changes.is_empty() {
                return Ok(reply);
            }
            let wake_ms = expiry_ms.map_or(until_ms, |expiry_ms| expiry_ms.min(until_ms));
            let woken = future::select(changed, fault_changed);
            let _ = time::timeout_at(self.clock.instant(wake_ms), woken).await;
        }
    }
}

impl Store for MemoryStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        async move {
            self.send(key.len()).await?;
            let entry = self.shared.lock().get(self.clock.now_ms(), key)?;
            let bytes = entry.as_ref().map_or(0, entry_bytes);
            self.receive(bytes).await?;
            Ok(entry)
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> StoreFuture<'a, Revision> {
        let (store, key) = (self.clone(), key.to_owned());
        detach::run_detached(async move {
            store.send(key.len() + value.len()).await?;
            let now_ms = store.clock.now_ms();
            let put = store
                .shared
                .lock()
                .put(now_ms, &key, value, condition, lease);
            store.receive_write(&key).await?;
            put
        })
        .boxed()
    }

    fn delete<'a>(&'a self, key: &'a str, condition: Condition) -> StoreFuture<'a, Revision> {
        let (store, key) = (self.clone(), key.to_owned());
        detach::run_detached(async move {
            store.send(key.len()).await?;
            let now_ms = store.clock.now_ms();
            let deleted = store.shared.lock().delete(now_ms, &key, condition);
            store.receive_write(&key).await?;
            deleted
        })
        .boxed()
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Vec<Entry>> {
        async move {
            self.send(prefix.len() + after.len()).await?;
            let now_ms = self.clock.now_ms();
            let entries = self.shared.lock().range(now_ms, prefix, after, limit)?;
            self.receive(entries.iter().map(entry_bytes).sum()).await?;
            Ok(entries)
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchReply> {
        async move {
            self.send(prefix.len()).await?;
            let now_ms = self.clock.now_ms();
            self.shared.lock().begin_watch(now_ms)?;
            let reply = self.wait_for_changes(prefix, after, wait_ms).await?;
            self.receive(reply_bytes(&reply)).await?;
            Ok(reply)
        }
        .boxed()
    }

    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, LeaseId> {
        async move {
            self.send(0).await?;
            let now_ms = self.clock.now_ms();
            let result = self.shared.lock().grant_lease(now_ms, ttl_ms);
            self.receive_write("").await?;
            result
        }
        .boxed()
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        async move {
            self.send(0).await?;
            let now_ms = self.clock.now_ms();
            let result = self.shared.lock().keep_alive(now_ms, lease);
            self.receive_write("").await?;
            result
        }
        .boxed()
    }

    fn revoke_lease(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        async move {
            self.send(0).await?;
            let now_ms = self.clock.now_ms();
            let result = self.shared.lock().revoke_lease(now_ms, lease);
            self.receive_write("").await?;
            result
        }
        .boxed()
    }
}

fn connection_lost() -> StoreError {
    StoreError::AnswerLost {
        detail: "the connection to the store was lost".to_owned(),
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    entry.key.len() + entry.value.len()
}

fn reply_bytes(reply: &WatchReply) -> usize {
    use platform::store::Change;
    let changes = reply.changes.iter();
    changes
        .map(|change| match change {
            Change::Put(entry) => entry_bytes(entry),
            Change::Deleted { key, .. } => key.len(),
        })
        .sum()
}
