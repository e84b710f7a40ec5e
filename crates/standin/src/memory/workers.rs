//! In-memory implementation of the [`Workers`] trait: the worker list and the worker agents.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use futures::future;
use kernel::ids;
use platform::workers::{SyncReply, SyncRequest, WorkerError, WorkerInfo, Workers};
use tokio::{sync, time};

use super::clock;
use super::detach;
use super::network;
use crate::faults;
use crate::model;

/// Size of an exchange excluding its items, and of one entry of the worker list.
const OVERHEAD_BYTES: usize = 200;
/// Size of one order, run or record in an exchange.
const ITEM_BYTES: usize = 250;

/// State shared by all connections to the workers.
#[derive(Debug)]
pub(super) struct SharedFleet {
    model: Mutex<model::FleetModel>,
    changed: sync::Notify,
}

impl SharedFleet {
    pub(super) fn new(model: model::FleetModel) -> Self {
        Self {
            model: Mutex::new(model),
            changed: sync::Notify::new(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, model::FleetModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change and wakes the timer task if the next due time has changed.
    pub(super) fn change<T>(&self, apply: impl FnOnce(&mut model::FleetModel) -> T) -> T {
        let (result, due_changed) = {
            let mut model = self.lock();
            let before = model.next_due_ms();
            let result = apply(&mut model);
            (result, model.next_due_ms() != before)
        };
        if due_changed {
            self.changed.notify_one();
        }
        result
    }

    /// Timer task that ends runs when they are due; exits once the fleet is dropped.
    pub(super) async fn run_timer(weak: std::sync::Weak<Self>, clock: clock::Clock) {
        while let Some(fleet) = weak.upgrade() {
            let due_ms = {
                let mut model = fleet.lock();
                model.advance(clock.now_ms());
                model.next_due_ms()
            };
            let idle_wake_ms = clock.now_ms() + IDLE_CHECK_INTERVAL_MS;
            let wake_ms = due_ms.map_or(idle_wake_ms, |due_ms| due_ms.min(idle_wake_ms));
            let _ = time::timeout_at(clock.instant(wake_ms), fleet.changed.notified()).await;
        }
    }
}

/// Interval at which the idle timer task checks whether the fleet was dropped.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;

/// A connection from one zone to the worker list and the workers.
#[derive(Clone, Debug)]
pub struct MemoryWorkers {
    pub(super) shared: Arc<SharedFleet>,
    pub(super) zone: ids::ZoneId,
    pub(super) network: network::Network,
    pub(super) faults: faults::Faults,
    pub(super) clock: clock::Clock,
    pub(super) cut_timeout_ms: u64,
}

impl MemoryWorkers {
    async fn unreachable(&self, what: &str) -> WorkerError {
        time::sleep(Duration::from_millis(self.cut_timeout_ms)).await;
        let detail = format!("no connection to {what}");
        WorkerError::Unreachable { detail }
    }

    async fn exchange(
        &self,
        worker: &WorkerInfo,
        request: &SyncRequest,
    ) -> Result<SyncReply, WorkerError> {
        let bytes = request_bytes(request);
        let sent = self.faults.worker_reachable(&worker.id)
            && self.network.transmit(&self.zone, &worker.zone, bytes).await
            && self.shared.lock().is_alive(&worker.id);
        if !sent {
            return Err(self.unreachable(worker.id.as_str()).await);
        }
        let delay_ms = self.faults.worker_delay_ms(&worker.id);
        if delay_ms > 0 {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let now_ms = self.clock.now_ms();
        let synced = self
            .shared
            .change(|model| model.sync(&worker.id, request, now_ms));
        let bytes = synced.as_ref().map_or(OVERHEAD_BYTES, reply_bytes);
        let lost = self.faults.drops_worker_reply(&worker.id)
            || !self.faults.worker_reachable(&worker.id)
            || !self.network.transmit(&worker.zone, &self.zone, bytes).await;
        if lost {
            let detail = format!("the connection to {} was lost", worker.id);
            return Err(WorkerError::ReplyLost { detail });
        }
        synced
    }
}

impl Workers for MemoryWorkers {
    fn list<'a>(
        &'a self,
        zone: &'a ids::ZoneId,
    ) -> future::BoxFuture<'a, Result<Vec<WorkerInfo>, WorkerError>> {
        async move {
            let store_zone = self.network.store_zone();
            let sent = self.faults.platform_connected(&self.zone)
                && self
                    .network
                    .transmit(&self.zone, store_zone, OVERHEAD_BYTES)
                    .await;
            if !sent {
                return Err(self.unreachable("the list of workers").await);
            }
            let list = self.shared.lock().list(zone, self.clock.now_ms());
            let bytes = list.len() * OVERHEAD_BYTES;
            if !self.network.transmit(store_zone, &self.zone, bytes).await {
                return Err(self.unreachable("the list of workers").await);
            }
            Ok(list)
        }
        .boxed()
    }

    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        request: &'a SyncRequest,
    ) -> future::BoxFuture<'a, Result<SyncReply, WorkerError>> {
        let (workers, worker, request) = (self.clone(), worker.clone(), request.clone());
        detach::run_detached(async move { workers.exchange(&worker, &request).await }).boxed()
    }
}

fn request_bytes(request: &SyncRequest) -> usize {
    let items = request.starts.len() + request.stops.len() + request.acknowledged.len();
    OVERHEAD_BYTES + items * ITEM_BYTES
}

fn reply_bytes(reply: &SyncReply) -> usize {
    let running = reply.running.as_ref().map_or(0, Vec::len);
    let items = running + reply.finished.len() + reply.refused.len();
    OVERHEAD_BYTES + items * ITEM_BYTES
}
