//! The platform's store, with a pause after calls that failed.
//!
//! While the store is away, every call to it costs and none helps. After a failed call further
//! ones fail at once for a while that grows with each failure in a row; the first call after that
//! shows whether the store is back. The loss and the return are logged once each.

use std::{cell::Cell, rc::Rc, time::Duration};

use adapter::store::{Committed, Item, Listing, Store, StoreError, Txn, Watched};
use kernel::log_event;

use crate::{clock, events};

/// Pause after the first failed call, in milliseconds; doubled with each further one.
const FIRST_PAUSE_MS: u64 = 80;
/// The longest pause, in milliseconds: well below the time in which configurations must apply.
const LONGEST_PAUSE_MS: u64 = 640;
/// Failed calls in a row after which the store counts as lost.
const LOST_AFTER: u32 = 3;

#[derive(Debug, Default)]
struct Outage {
    failures_in_a_row: Cell<u32>,
    paused_until_ms: Cell<u64>,
    since_ms: Cell<u64>,
}

/// The store, as this host reaches it.
#[derive(Clone, Debug)]
pub struct GuardedStore {
    store: Store,
    outage: Rc<Outage>,
}

impl GuardedStore {
    /// Guards a store.
    pub fn new(store: Store) -> Self {
        Self { store, outage: Rc::default() }
    }

    /// Whether the store counts as lost.
    pub fn is_lost(&self) -> bool {
        self.outage.failures_in_a_row.get() >= LOST_AFTER
    }

    /// Reads one item.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        self.check()?;
        self.note(self.store.get(key).await)
    }

    /// Reads everything under a prefix.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if a page is not answered.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.check()?;
        self.note(self.store.list(prefix).await)
    }

    /// Waits for changes under a prefix.
    ///
    /// # Errors
    ///
    /// [`StoreError::Compacted`] if the history is gone; others without an answer.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        self.check()?;
        self.note(self.store.watch(prefix, after, wait).await)
    }

    /// Makes a change as a whole or not at all.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer, or if a lease has ended.
    pub async fn commit(&self, txn: &Txn) -> Result<Committed, StoreError> {
        self.check()?;
        self.note(self.store.commit(txn).await)
    }

    /// Asks for a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.check()?;
        self.note(self.store.grant_lease(ttl).await)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseEnded`] if it has ended; others without an answer.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.check()?;
        self.note(self.store.renew_lease(lease).await)
    }

    /// Ends a lease; its keys go with it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer.
    pub async fn end_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.check()?;
        self.note(self.store.end_lease(lease).await)
    }

    fn check(&self) -> Result<(), StoreError> {
        if clock::now_ms() < self.outage.paused_until_ms.get() {
            return Err(StoreError::Unavailable);
        }
        Ok(())
    }

    fn note<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let outage = &self.outage;
        let now_ms = clock::now_ms();
        if let Err(error @ (StoreError::Unavailable | StoreError::Unanswered)) = &result {
            let failures = outage.failures_in_a_row.get();
            if failures == 0 {
                outage.since_ms.set(now_ms);
            }
            outage.failures_in_a_row.set(failures + 1);
            let pause_ms = (FIRST_PAUSE_MS << failures.min(8)).min(LONGEST_PAUSE_MS);
            outage.paused_until_ms.set(now_ms + pause_ms);
            if failures + 1 == LOST_AFTER {
                log_event!(events::DEPENDENCY_LOST, "dependency=store error={error}");
            }
        } else {
            if self.is_lost() {
                let away_ms = now_ms - outage.since_ms.get();
                log_event!(events::DEPENDENCY_REGAINED, "dependency=store away_ms={away_ms}");
            }
            outage.failures_in_a_row.set(0);
            outage.paused_until_ms.set(0);
        }
        result
    }
}
