//! The platform's store, with a pause after calls that failed.
//!
//! While the store is away, every call to it costs and none helps. After a failed call further
//! ones fail at once for a while that grows with each failure in a row. Probes, the coordinator's more
//! often than the others', show when the store is back. The loss and the return are logged once each.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use adapter::store::{Committed, Item, Listing, Store, StoreError, Txn, Watched};
use cell::outage::{CallNumber, Health, StoreHealth};
use kernel::log_event;
use tokio::{sync::Notify, task, time};

use crate::{clock, events, records::LEADER_KEY};

/// Pause after the first failed call, in milliseconds; doubled with each further one.
const INITIAL_BACKOFF_MS: u64 = 80;
/// The longest pause, in milliseconds: well below the time in which configurations must apply.
const MAX_BACKOFF_MS: u64 = 640;
/// A call is given up after this many times the usual time of an answer.
const TIMEOUT_FACTOR: u64 = 8;
/// The shortest time after which a call is given up, in milliseconds: covers the way between
/// regions there and back, and a busy host.
const MIN_TIMEOUT_MS: u64 = 400;
/// The longest time after which a call is given up, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 1_200;
/// A store is far if no answer ever took less than this, in milliseconds: between the time within
/// a region and that between regions.
const FAR_STORE_THRESHOLD_MS: u64 = 25;
/// How long a page of a listing may take.
const LIST_TIMEOUT: Duration = Duration::from_millis(900);
/// How long the answer to a watch may be late.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);

/// Time between two probes of a store that fails, by the coordinator: it must see the return
/// before callers that wait for it leave.
const LEADER_PROBE_INTERVAL: Duration = Duration::from_millis(80);
/// The same for the other hosts, which the coordinator serves meanwhile.
const PROBE_INTERVAL: Duration = Duration::from_millis(320);
/// A probe is given up after this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// An answer of the store that is not older than this shows that it can be written to, in milliseconds.
const FRESH_ANSWER_MS: u64 = 150;

#[derive(Debug, Default)]
struct OutageState {
    health: RefCell<StoreHealth>,
    backoff_until_ms: Cell<u64>,
    loss_logged: Cell<bool>,
    /// A call has failed, or is overdue.
    failure_noted: Notify,
    /// The store has answered after that.
    recovered: Notify,
}

/// The store, as this host reaches it.
#[derive(Clone, Debug)]
pub struct GuardedStore {
    store: Store,
    outage: Rc<OutageState>,
}

/// A call that is under way; one that its caller gives up says nothing of the store.
#[derive(Debug)]
struct CallGuard<'a> {
    outage: &'a OutageState,
    call: CallNumber,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.outage.health.borrow_mut().dropped(self.call);
    }
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

    /// How the store seems to be.
    pub fn health(&self) -> Health {
        let health = self.outage.health.borrow().health(clock::now_ms());
        if health != Health::Serving {
            self.outage.failure_noted.notify_one();
        }
        health
    }

    /// Whether the store is known to be away.
    pub fn is_unavailable(&self) -> bool {
        self.health() == Health::Away
    }

    /// Waits until the store answers again after a failure, for some time at most.
    pub async fn recovered(&self, max_wait: Duration) {
        let _tick = time::timeout(max_wait, self.outage.recovered.notified()).await;
    }

    /// Whether the store answers now: a write that it does not answer leaves its job in doubt.
    pub async fn is_answering(&self) -> bool {
        let now_ms = clock::now_ms();
        if self.health() != Health::Serving || self.check_backoff().is_err() {
            return false; // Probes show when it is back.
        }
        let (answered_ms, usual_ms) = {
            let health = self.outage.health.borrow();
            (health.answered_ms(), health.usual_ms())
        };
        if now_ms < answered_ms + FRESH_ANSWER_MS {
            return true;
        }
        let probe_timeout_ms = (usual_ms * TIMEOUT_FACTOR).clamp(FRESH_ANSWER_MS, MIN_TIMEOUT_MS);
        self.probe(Duration::from_millis(probe_timeout_ms)).await
    }

    async fn probe(&self, probe_timeout: Duration) -> bool {
        let get = self.store.get(LEADER_KEY, probe_timeout);
        self.track(get).await.is_ok()
    }

    /// Probes the store while it fails, for as long as the process runs.
    pub async fn watch_outages(self, is_leader: impl Fn() -> bool) {
        loop {
            self.outage.failure_noted.notified().await;
            while self.health() != Health::Serving {
                let probing = self.clone();
                // Probes do not wait for one another: the store may be silent, and return at any time.
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

    /// Whether the way to the store is long: even its fastest answer took more than
    /// [`FAR_STORE_THRESHOLD_MS`]. A store that is slow for a while is not far.
    pub fn is_far(&self) -> bool {
        let fastest_ms = self.outage.health.borrow().fastest_ms();
        fastest_ms.is_some_and(|ms| ms > FAR_STORE_THRESHOLD_MS)
    }

    /// How long a call may take: long enough for the store as it answers now, and longer after
    /// each call that was given up, since the store may have turned slow.
    fn timeout(&self) -> Duration {
        let health = self.outage.health.borrow();
        let usual_ms = (health.usual_ms() * TIMEOUT_FACTOR).max(MIN_TIMEOUT_MS);
        let timeout_ms = usual_ms << health.failures_in_a_row().min(4);
        Duration::from_millis(timeout_ms.min(MAX_TIMEOUT_MS))
    }

    async fn track<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let outage = &*self.outage;
        let number = outage.health.borrow_mut().began(clock::now_ms());
        let guard = CallGuard {
            outage,
            call: number,
        };
        let result = call.await;
        if !is_failure(&result) {
            outage.health.borrow_mut().answered(number, clock::now_ms());
        }
        drop(guard);
        self.record_result(result)
    }

    /// Reads one item.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        self.check_backoff()?;
        self.track(self.store.get(key, self.timeout())).await
    }

    /// Reads everything under a prefix.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if a page is not answered.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.check_backoff()?;
        self.record_result(self.store.list(prefix, LIST_TIMEOUT).await)
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
        self.check_backoff()?;
        self.record_result(
            self.store
                .watch(prefix, after, wait, WATCH_TIMEOUT_MARGIN)
                .await,
        )
    }

    /// Makes a change as a whole or not at all.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer, or if a lease has ended.
    pub async fn commit(&self, txn: &Txn) -> Result<Committed, StoreError> {
        self.check_backoff()?;
        self.track(self.store.commit(txn, self.timeout())).await
    }

    /// Asks for a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.check_backoff()?;
        self.track(self.store.grant_lease(ttl, self.timeout()))
            .await
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseEnded`] if it has ended; others without an answer.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.check_backoff()?;
        self.track(self.store.renew_lease(lease, self.timeout()))
            .await
    }

    /// Ends a lease; its keys go with it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] without an answer.
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
            let failures = health.failures_in_a_row();
            health.fails(now_ms);
            // A call without an answer has cost its timeout already, and may only have been slow.
            if *error == StoreError::Unavailable {
                let backoff_ms = (INITIAL_BACKOFF_MS << failures.min(8)).min(MAX_BACKOFF_MS);
                outage.backoff_until_ms.set(now_ms + backoff_ms);
            }
            if health.health(now_ms) == Health::Away && !outage.loss_logged.replace(true) {
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
            health.serves(now_ms);
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
