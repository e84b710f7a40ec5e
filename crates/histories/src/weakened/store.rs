//! A store that writes whether or not the condition holds.

use std::sync::Arc;

use bytes::Bytes;
use platform::store::{Condition, Entry, LeaseId, Revision, Store, StoreFuture, WatchReply};

use super::{Guard, Weakness};

#[derive(Debug)]
pub(super) struct WeakStore {
    conditions: bool,
    inner: Arc<dyn Store>,
}

impl WeakStore {
    pub(super) fn new(weakness: &Weakness, inner: &Arc<dyn Store>) -> Self {
        Self {
            conditions: weakness.guard() != Guard::StoreCondition,
            inner: Arc::clone(inner),
        }
    }

    const fn condition(&self, condition: Condition) -> Condition {
        if self.conditions {
            condition
        } else {
            Condition::Any
        }
    }
}

impl Store for WeakStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        self.inner.get(key)
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> StoreFuture<'a, Revision> {
        self.inner.put(key, value, self.condition(condition), lease)
    }

    fn delete<'a>(&'a self, key: &'a str, condition: Condition) -> StoreFuture<'a, Revision> {
        self.inner.delete(key, self.condition(condition))
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Vec<Entry>> {
        self.inner.range(prefix, after, limit)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchReply> {
        self.inner.watch(prefix, after, wait_ms)
    }

    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, LeaseId> {
        self.inner.grant_lease(ttl_ms)
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        self.inner.keep_alive(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        self.inner.revoke_lease(lease)
    }
}
