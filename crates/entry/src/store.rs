//! The platform's store, with a pause after calls that failed.
//!
//! While the store is away, every call to it costs and none helps. After a failed call further
//! ones fail at once for a while that grows with each failure in a row; the first call after that
//! shows whether the store is back. The loss and the return are logged once each.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use adapter::store::{Committed, Item, Listing, Store, StoreError, Txn, Watched};
use kernel::log_event;

use crate::{clock, events};

/// Pause after the first failed call, in milliseconds; doubled with each further one.
const FIRST_PAUSE_MS: u64 = 80;
/// The longest pause, in milliseconds: well below the time in which configurations must apply.
const LONGEST_PAUSE_MS: u64 = 640;
/// Failed calls in a row after which the store counts as lost.
const LOST_AFTER: u32 = 3;
/// Time without an answer after which the store counts as lost, in milliseconds.
const LOST_AFTER_MS: u64 = 500;
/// A call is given up after this many times the usual time of an answer.
const TIMEOUT_FACTOR: u64 = 8;
/// The shortest time after which a call is given up, in milliseconds: covers the way between
/// regions there and back, and a busy host.
const LEAST_TIMEOUT_MS: u64 = 400;
/// The longest time after which a call is given up, in milliseconds.
const MOST_TIMEOUT_MS: u64 = 1_200;
/// A store is far if no answer ever took less than this, in milliseconds: between the time within
/// a region and that between regions.
const FAR_STORE_MS: u64 = 25;
/// How long a page of a listing may take.
const LIST_TIMEOUT: Duration = Duration::from_millis(900);
/// How long the answer to a watch may be late.
const WATCH_SLACK: Duration = Duration::from_millis(600);

#[derive(Debug, Default)]
struct Outage {
    failures_in_a_row: Cell<u32>,
    paused_until_ms: Cell<u64>,
    since_ms: Cell<u64>,
    usual_ms: Cell<u64>,
    fastest_ms: Cell<Option<u64>>,
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
        Self {
            store,
            outage: Rc::default(),
        }
    }

    /// Sends further calls to this address.
    pub fn redirect(&self, address: SocketAddr) {
        self.store.redirect(address);
    }

    /// Whether the store counts as lost.
    pub fn is_lost(&self) -> bool {
        self.outage.failures_in_a_row.get() >= LOST_AFTER
            && clock::now_ms() >= self.outage.since_ms.get() + LOST_AFTER_MS
    }

    /// Whether the way to the store is long: even its fastest answer took more than
    /// [`FAR_STORE_MS`]. A store that is slow for a while is not far.
    pub fn is_far(&self) -> bool {
        self.outage
            .fastest_ms
            .get()
            .is_some_and(|ms| ms > FAR_STORE_MS)
    }

    /// How long a call may take: long enough for the store as it answers now, and longer after
    /// each call that was given up, since the store may have turned slow.
    fn timeout(&self) -> Duration {
        let usual_ms = (self.outage.usual_ms.get() * TIMEOUT_FACTOR).max(LEAST_TIMEOUT_MS);
        let patient_ms = usual_ms << self.outage.failures_in_a_row.get().min(4);
        Duration::from_millis(patient_ms.min(MOST_TIMEOUT_MS))
    }

    async fn timed<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let began_ms = clock::now_ms();
        let result = call.await;
        if result.is_ok() {
            let took_ms = clock::now_ms() - began_ms;
            let usual_ms = self.outage.usual_ms.get();
            self.outage
                .usual_ms
                .set((usual_ms * 3 + took_ms).div_ceil(4));
            let fastest_ms = self.outage.fastest_ms.get().unwrap_or(took_ms);
            self.outage.fastest_ms.set(Some(fastest_ms.min(took_ms)));
        }
        self.note(result)
    }

    /// Reads one item.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        self.check()?;
        self.timed(self.store.get(key, self.timeout())).await
    }

    /// Reads everything under a prefix.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if a page is not answered.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.check()?;
        self.note(self.store.list(prefix, LIST_TIMEOUT).await)
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
        self.note(self.store.watch(prefix, after, wait, WATCH_SLACK).await)
    }

    /// Makes a change as a whole or not at all.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer, or if a lease has ended.
    pub async fn commit(&self, txn: &Txn) -> Result<Committed, StoreError> {
        self.check()?;
        self.timed(self.store.commit(txn, self.timeout())).await
    }

    /// Asks for a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.check()?;
        self.timed(self.store.grant_lease(ttl, self.timeout()))
            .await
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseEnded`] if it has ended; others without an answer.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.check()?;
        self.timed(self.store.renew_lease(lease, self.timeout()))
            .await
    }

    /// Ends a lease; its keys go with it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer.
    pub async fn end_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.check()?;
        self.timed(self.store.end_lease(lease, self.timeout()))
            .await
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
            // A call without an answer has cost its timeout already, and may only have been slow.
            if *error == StoreError::Unavailable {
                let pause_ms = (FIRST_PAUSE_MS << failures.min(8)).min(LONGEST_PAUSE_MS);
                outage.paused_until_ms.set(now_ms + pause_ms);
            }
            if failures + 1 == LOST_AFTER {
                log_event!(events::DEPENDENCY_LOST, "dependency=store error={error}");
            }
        } else {
            if self.is_lost() {
                let away_ms = now_ms - outage.since_ms.get();
                log_event!(
                    events::DEPENDENCY_REGAINED,
                    "dependency=store away_ms={away_ms}"
                );
            }
            outage.failures_in_a_row.set(0);
            outage.paused_until_ms.set(0);
        }
        result
    }
}
