//! A store decorator that counts and delays calls.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use platform::store::{
    Condition, Entry, LeaseId, Revision, Store, StoreError, StoreFuture, WatchReply,
};
use tokio::time;

/// Counters of the calls to a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Number of calls that read a key or a range.
    pub reads: u64,
    /// Number of calls that write a value.
    pub puts: u64,
    /// Number of calls that delete a key.
    pub deletes: u64,
    /// Total size of written values, in bytes.
    pub written_bytes: u64,
    /// Total size of read values, in bytes.
    pub read_bytes: u64,
}

/// Counts calls and delays each by a fixed round-trip time.
#[derive(Debug)]
pub(super) struct CountingStore {
    inner: Arc<dyn Store>,
    round_trip: Duration,
    reads: AtomicU64,
    puts: AtomicU64,
    deletes: AtomicU64,
    written_bytes: AtomicU64,
    read_bytes: AtomicU64,
}

impl CountingStore {
    pub fn new(inner: Arc<dyn Store>, round_trip_ms: u64) -> Self {
        Self {
            inner,
            round_trip: Duration::from_millis(round_trip_ms),
            reads: AtomicU64::new(0),
            puts: AtomicU64::new(0),
            deletes: AtomicU64::new(0),
            written_bytes: AtomicU64::new(0),
            read_bytes: AtomicU64::new(0),
        }
    }

    pub fn calls(&self) -> Calls {
        Calls {
            reads: self.reads.load(Ordering::Relaxed),
            puts: self.puts.load(Ordering::Relaxed),
            deletes: self.deletes.load(Ordering::Relaxed),
            written_bytes: self.written_bytes.load(Ordering::Relaxed),
            read_bytes: self.read_bytes.load(Ordering::Relaxed),
        }
    }

    fn note_read<'a>(&self, entries: impl IntoIterator<Item = &'a Entry>) {
        let bytes = entries.into_iter().map(|entry| entry.value.len() as u64);
        self.read_bytes.fetch_add(bytes.sum(), Ordering::Relaxed);
    }

    /// Forwards a call after the round-trip time.
    async fn forward<T>(&self, call: StoreFuture<'_, T>) -> Result<T, StoreError> {
        time::sleep(self.round_trip).await;
        call.await
    }
}

impl Store for CountingStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            self.reads.fetch_add(1, Ordering::Relaxed);
            let found = self.forward(self.inner.get(key)).await?;
            self.note_read(&found);
            Ok(found)
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> StoreFuture<'a, Revision> {
        self.puts.fetch_add(1, Ordering::Relaxed);
        let bytes = value.len() as u64;
        self.written_bytes.fetch_add(bytes, Ordering::Relaxed);
        Box::pin(self.forward(self.inner.put(key, value, condition, lease)))
    }

    fn delete<'a>(&'a self, key: &'a str, condition: Condition) -> StoreFuture<'a, Revision> {
        self.deletes.fetch_add(1, Ordering::Relaxed);
        Box::pin(self.forward(self.inner.delete(key, condition)))
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Vec<Entry>> {
        Box::pin(async move {
            self.reads.fetch_add(1, Ordering::Relaxed);
            let found = self.forward(self.inner.range(prefix, after, limit)).await?;
            self.note_read(&found);
            Ok(found)
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchReply> {
        Box::pin(self.forward(self.inner.watch(prefix, after, wait_ms)))
    }

    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, LeaseId> {
        Box::pin(self.forward(self.inner.grant_lease(ttl_ms)))
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        Box::pin(self.forward(self.inner.keep_alive(lease)))
    }

    fn revoke_lease(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        Box::pin(self.forward(self.inner.revoke_lease(lease)))
    }
}

/// Deduplication by one unique key per request, with a cache of claimed keys.
///
/// The alternative that the journal is compared with, after the related paper: the
/// store's condition on the key decides, and the cache avoids the call for most duplicates.
#[derive(Debug)]
pub(super) struct CachedKeys {
    store: Arc<CountingStore>,
    known: Mutex<IndexMap<String, ()>>,
}

impl CachedKeys {
    pub fn new(store: Arc<CountingStore>) -> Self {
        Self {
            store,
            known: Mutex::default(),
        }
    }

    /// Claims a key; false if it was claimed before.
    pub async fn claim(&self, key: &str, value: Bytes) -> Result<bool, StoreError> {
        if self.known().contains_key(key) {
            return Ok(false);
        }
        let put = self.store.put(key, value, Condition::Absent, None).await;
        self.known().insert(key.to_owned(), ());
        match put {
            Ok(_) => Ok(true),
            Err(StoreError::Conflict { .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Overwrites a claimed key with its answer.
    pub async fn answer(&self, key: &str, value: Bytes) -> Result<(), StoreError> {
        let put = self.store.put(key, value, Condition::Any, None);
        put.await.map(|_| ())
    }

    fn known(&self) -> std::sync::MutexGuard<'_, IndexMap<String, ()>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
