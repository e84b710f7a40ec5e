//! Store that can ignore write conditions.

use std::sync::Arc;

use bytes::Bytes;
use platform::store::{Condition, Entry, LeaseId, Revision, Store, StoreFuture, WatchReply};

use super::{DisabledGuard, Guard};

#[derive(Debug)]
pub(super) struct UnguardedStore {
    checks_conditions: bool,
    inner: Arc<dyn Store>,
}

impl UnguardedStore {
    pub(super) fn new(disabled: &DisabledGuard, inner: &Arc<dyn Store>) -> Self {
        Self {
            checks_conditions: disabled.guard() != Guard::StoreCondition,
            inner: Arc::clone(inner),
        }
    }

    const fn condition(&self, condition: Condition) -> Condition {
        if self.checks_conditions {
            condition
        } else {
            Condition::Any
        }
    }
}

impl Store for UnguardedStore {
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
