//! Client of the platform's store with backoff and health tracking.
//!
//! During an outage, calls cost time and cannot succeed. After a failed call, further calls fail
//! immediately for a backoff period that grows with consecutive failures. Probes, more frequent on
//! the leader than on other hosts, detect the recovery. The loss and the recovery are logged once
//! each.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use adapter::store::{Committed, Item, Page, Store, StoreError, Txn, Watched};
use cell::outage::{CallId, Health, StoreHealth};
use kernel::log_event;
use tokio::{sync::Notify, task, time};

use crate::{clock, events, records::LEADER_KEY};

/// Backoff after the first failed call, in milliseconds; doubled with each further one.
const INITIAL_BACKOFF_MS: u64 = 80;
/// Maximum backoff, in milliseconds: well below the time in which configurations must take effect.
const MAX_BACKOFF_MS: u64 = 640;
/// Call timeout, as a multiple of the usual response time.
const TIMEOUT_FACTOR: u64 = 8;
/// Minimum call timeout, in milliseconds: covers a round trip between regions and a busy host.
const MIN_TIMEOUT_MS: u64 = 400;
/// Maximum call timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 1_200;
/// The store is far if even its fastest response took longer than this, in milliseconds: between
/// the round-trip times within a region and between regions.
const FAR_STORE_THRESHOLD_MS: u64 = 25;
/// Timeout until a page of a listing begins to arrive.
const PAGE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long after its wait the answer to a watch may begin to arrive.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);

/// Interval between the leader's probes of a failing store: it must detect the recovery before
/// waiting callers time out.
const LEADER_PROBE_INTERVAL: Duration = Duration::from_millis(80);
/// The same for the other hosts, which the leader serves in the meantime.
const PROBE_INTERVAL: Duration = Duration::from_millis(320);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// A response of at most this age shows that the store can be written to, in milliseconds.
const FRESH_ANSWER_MS: u64 = 150;

#[derive(Debug, Default)]
struct OutageState {
    health: RefCell<StoreHealth>,
    backoff_until_ms: Cell<u64>,
    loss_logged: Cell<bool>,
    /// Notified when a call has failed or is overdue.
    failure_noted: Notify,
    /// Notified when the store answers again.
    recovered: Notify,
}

/// Store client shared by all parts of a host.
#[derive(Clone, Debug)]
pub struct GuardedStore {
    store: Store,
    outage: Rc<OutageState>,
}

/// A call in progress. If its caller drops it, it does not count for the store's health.
#[derive(Debug)]
struct CallGuard<'a> {
    outage: &'a OutageState,
    call: CallId,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.outage.health.borrow_mut().call_abandoned(self.call);
    }
}

impl GuardedStore {
    /// Wraps a store client that is assumed to be healthy.
    pub fn new(store: Store) -> Self {
        Self {
            store,
            outage: Rc::default(),
        }
    }

    /// Sends subsequent calls to `address`.
    pub fn redirect(&self, address: SocketAddr) {
        self.store.redirect(address);
    }

    /// Current health of the store, from recent responses and overdue calls.
    pub fn health(&self) -> Health {
        let health = self.outage.health.borrow().health(clock::now_ms());
        if health != Health::Serving {
            self.outage.failure_noted.notify_one();
        }
        health
    }

    /// Whether the store is known to be unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.health() == Health::Unavailable
    }

    /// Waits until the store answers after a failure, for at most `max_wait`.
    pub async fn recovered(&self, max_wait: Duration) {
        let _tick = time::timeout(max_wait, self.outage.recovered.notified()).await;
    }

    /// Whether the store answers at present, by a probe if needed. An unanswered write would leave
    /// its job in doubt.
    pub async fn is_answering(&self) -> bool {
        let now_ms = clock::now_ms();
        if self.health() != Health::Serving || self.check_backoff().is_err() {
            return false; // Probes detect the recovery.
        }
        let (last_response_ms, average_latency_ms) = {
            let health = self.outage.health.borrow();
            (health.last_response_ms(), health.average_latency_ms())
        };
        if now_ms < last_response_ms + FRESH_ANSWER_MS {
            return true;
        }
        let probe_timeout_ms =
            (average_latency_ms * TIMEOUT_FACTOR).clamp(FRESH_ANSWER_MS, MIN_TIMEOUT_MS);
        self.probe(Duration::from_millis(probe_timeout_ms)).await
    }

    async fn probe(&self, probe_timeout: Duration) -> bool {
        let get = self.store.get(LEADER_KEY, probe_timeout);
        self.track(get).await.is_ok()
    }

    /// Probes the store whenever it fails, for the lifetime of the process.
    pub async fn watch_outages(self, is_leader: impl Fn() -> bool) {
        loop {
            self.outage.failure_noted.notified().await;
            while self.health() != Health::Serving {
                let probing = self.clone();
                // Probes run concurrently: the store may be unresponsive and recover at any time.
                task::spawn_local(async move { probing.probe(PROBE_TIMEOUT).await });
                let interval = if is_leader() {
                    LEADER_PROBE_INTERVAL
                } else {
                    PROBE_INTERVAL
                };
                time::sleep(interval).await;
            }
        }
    }

    /// Whether the store is far: even its fastest response took more than
    /// [`FAR_STORE_THRESHOLD_MS`]. A store that is slow for a while is not far.
    pub fn is_far(&self) -> bool {
        let min_latency_ms = self.outage.health.borrow().min_latency_ms();
        min_latency_ms.is_some_and(|ms| ms > FAR_STORE_THRESHOLD_MS)
    }

    /// Usual response time of the store.
    pub fn average_latency(&self) -> Duration {
        Duration::from_millis(self.outage.health.borrow().average_latency_ms())
    }

    /// Timeout of the next call: a multiple of the usual response time, doubled with each
    /// consecutive failure, since the store may have become slow.
    fn timeout(&self) -> Duration {
        let health = self.outage.health.borrow();
        let base_timeout_ms = (health.average_latency_ms() * TIMEOUT_FACTOR).max(MIN_TIMEOUT_MS);
        let timeout_ms = base_timeout_ms << health.consecutive_failures().min(4);
        Duration::from_millis(timeout_ms.min(MAX_TIMEOUT_MS))
    }

    async fn track<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let outage = &*self.outage;
        let number = outage.health.borrow_mut().call_started(clock::now_ms());
        let guard = CallGuard {
            outage,
            call: number,
        };
        let result = call.await;
        if !is_failure(&result) {
            outage
                .health
                .borrow_mut()
                .call_succeeded(number, clock::now_ms());
        }
        drop(guard);
        self.record_result(result)
    }

    /// Reads one item; `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        self.check_backoff()?;
        self.track(self.store.get(key, self.timeout())).await
    }

    /// Reads the page of the items under a prefix that follows the key `after`, or the first one.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store does not answer.
    pub async fn read_page(&self, prefix: &str, after: &str) -> Result<Page, StoreError> {
        self.check_backoff()?;
        self.record_result(self.store.read_page(prefix, after, PAGE_TIMEOUT).await)
    }

    /// Waits for changes under a prefix after the revision `after`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Compacted`] if the history was compacted; others if the store does not answer.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        self.check_backoff()?;
        self.record_result(
            self.store
                .watch(prefix, after, wait, WATCH_TIMEOUT_MARGIN)
                .await,
        )
    }

    /// Commits a transaction atomically.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store does not answer, or if a lease has ended.
    pub async fn commit(&self, txn: &Txn) -> Result<Committed, StoreError> {
        self.check_backoff()?;
        self.track(self.store.commit(txn, self.timeout())).await
    }

    /// Grants a lease and returns its identifier.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store does not answer.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.check_backoff()?;
        self.track(self.store.grant_lease(ttl, self.timeout()))
            .await
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseEnded`] if it has ended; others if the store does not answer.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.check_backoff()?;
        self.track(self.store.renew_lease(lease, self.timeout()))
            .await
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store does not answer.
    pub async fn end_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.check_backoff()?;
        self.track(self.store.end_lease(lease, self.timeout()))
            .await
    }

    fn check_backoff(&self) -> Result<(), StoreError> {
        if clock::now_ms() < self.outage.backoff_until_ms.get() {
            return Err(StoreError::Unavailable);
        }
        Ok(())
    }

    fn record_result<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let outage = &self.outage;
        let now_ms = clock::now_ms();
        let mut health = outage.health.borrow_mut();
        if let Err(error) = &result
            && is_failure(&result)
        {
            let failures = health.consecutive_failures();
            health.record_failure(now_ms);
            // No backoff after an unanswered call: it has already cost its timeout, and the store
            // may only be slow.
            if *error == StoreError::Unavailable {
                let backoff_ms = (INITIAL_BACKOFF_MS << failures.min(8)).min(MAX_BACKOFF_MS);
                outage.backoff_until_ms.set(now_ms + backoff_ms);
            }
            if health.health(now_ms) == Health::Unavailable && !outage.loss_logged.replace(true) {
                log_event!(events::DEPENDENCY_LOST, "dependency=store error={error}");
            }
            outage.failure_noted.notify_one();
        } else {
            if outage.loss_logged.replace(false) {
                let away_ms = now_ms - health.failing_since_ms();
                log_event!(
                    events::DEPENDENCY_REGAINED,
                    "dependency=store away_ms={away_ms}"
                );
            }
            health.record_success(now_ms);
            outage.backoff_until_ms.set(0);
            outage.recovered.notify_waiters();
        }
        result
    }
}

fn is_failure<T>(result: &Result<T, StoreError>) -> bool {
    matches!(
        result,
        Err(StoreError::Unavailable | StoreError::Unanswered)
    )
}
