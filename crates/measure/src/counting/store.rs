//! A [`Store`] that counts its calls.

use std::sync::Arc;

use bytes::Bytes;
use platform::store::{
    Change, Condition, Entry, LeaseId, Revision, Store, StoreFuture, WatchReply,
};

use super::{Traffic, TrafficCounters};

/// Forwards to another store and counts the calls, with the bytes of their keys and values.
#[derive(Debug)]
pub(crate) struct CountingStore {
    pub inner: Arc<dyn Store>,
    pub counters: TrafficCounters,
}

/// Returns the category of a key, from its prefix.
fn key_category(key: &str) -> &'static str {
    const PREFIXES: [(&str, &str); 7] = [
        ("cell/members", "members"),
        ("cell/ownership", "ownership"),
        ("cell/", "mirror"),
        ("releases", "releases"),
        ("journal", "journal"),
        ("snapshot", "snapshot"),
        ("roster", "roster"),
    ];
    let found = PREFIXES.iter().find(|(prefix, _)| key.starts_with(prefix));
    found.map_or("other", |(_, name)| name)
}

fn entry_bytes<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> usize {
    let bytes = |entry: &Entry| entry.key.len() + entry.value.len();
    entries.into_iter().map(bytes).sum()
}

fn change_bytes(change: &Change) -> usize {
    match change {
        Change::Put(entry) => entry_bytes([entry]),
        Change::Deleted { key, .. } => key.len(),
    }
}

impl Store for CountingStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            let result = self.inner.get(key).await;
            let received_bytes = result.as_ref().map_or(0, entry_bytes);
            self.counters.add(
                Traffic::StoreRead(key_category(key)),
                key.len() + received_bytes,
            );
            result
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> StoreFuture<'a, Revision> {
        self.counters.add(
            Traffic::StoreWrite(key_category(key)),
            key.len() + value.len(),
        );
        self.inner.put(key, value, condition, lease)
    }

    fn delete<'a>(&'a self, key: &'a str, condition: Condition) -> StoreFuture<'a, Revision> {
        self.counters
            .add(Traffic::StoreWrite(key_category(key)), key.len());
        self.inner.delete(key, condition)
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Vec<Entry>> {
        Box::pin(async move {
            let result = self.inner.range(prefix, after, limit).await;
            let received_bytes = result.as_ref().map_or(0, entry_bytes);
            self.counters.add(
                Traffic::StoreRead(key_category(prefix)),
                prefix.len() + received_bytes,
            );
            result
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchReply> {
        Box::pin(async move {
            let result = self.inner.watch(prefix, after, wait_ms).await;
            let changes = |reply: &WatchReply| reply.changes.iter().map(change_bytes).sum();
            let received_bytes: usize = result.as_ref().map_or(0, changes);
            self.counters.add(
                Traffic::StoreWatch(key_category(prefix)),
                prefix.len() + received_bytes,
            );
            result
        })
    }

    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, LeaseId> {
        self.counters.add(Traffic::StoreLease, 0);
        self.inner.grant_lease(ttl_ms)
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        self.counters.add(Traffic::StoreLease, 0);
        self.inner.keep_alive(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        self.counters.add(Traffic::StoreLease, 0);
        self.inner.revoke_lease(lease)
    }
}
