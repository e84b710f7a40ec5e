//! The list of workers and their agents in memory.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use futures::future;
use kernel::ids;
use platform::workers::{SyncReply, SyncRequest, WorkerError, WorkerInfo, Workers};
use tokio::{sync, time};

use super::clock;
use super::network;
use crate::faults;
use crate::model;

/// Bytes of an exchange besides its items, and of a line of the list.
const OVERHEAD_BYTES: usize = 200;
/// Bytes of one order, run or record in an exchange.
const ITEM_BYTES: usize = 250;

/// The state that all connections to the workers share.
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

    /// Applies a change, and wakes whoever ends what is due.
    pub(super) fn change<T>(&self, apply: impl FnOnce(&mut model::FleetModel) -> T) -> T {
        let (result, earlier) = {
            let mut model = self.lock();
            let before = model.next_due_ms();
            let result = apply(&mut model);
            (result, model.next_due_ms() != before)
        };
        if earlier {
            self.changed.notify_one();
        }
        result
    }

    /// Ends runs at their time, until the fleet is dropped.
    pub(super) async fn run_clock(weak: std::sync::Weak<Self>, clock: clock::Clock) {
        while let Some(fleet) = weak.upgrade() {
            let due_ms = {
                let mut model = fleet.lock();
                model.advance(clock.now_ms());
                model.next_due_ms()
            };
            let longest_ms = clock.now_ms() + IDLE_CHECK_MS;
            let wake_ms = due_ms.map_or(longest_ms, |due_ms| due_ms.min(longest_ms));
            let _ = time::timeout_at(clock.instant(wake_ms), fleet.changed.notified()).await;
        }
    }
}

/// Longest time after which the clock of the fleet looks whether the fleet was dropped.
const IDLE_CHECK_MS: u64 = 1_000;

/// A connection to the list and the workers from one zone.
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
}

impl Workers for MemoryWorkers {
    fn list<'a>(
        &'a self,
        zone: &'a ids::ZoneId,
    ) -> future::BoxFuture<'a, Result<Vec<WorkerInfo>, WorkerError>> {
        async move {
            let store_zone = self.network.store_zone();
            let sent = self.faults.platform_joined(&self.zone)
                && self
                    .network
                    .carry(&self.zone, store_zone, OVERHEAD_BYTES)
                    .await;
            if !sent {
                return Err(self.unreachable("the list of workers").await);
            }
            let list = self.shared.lock().list(zone, self.clock.now_ms());
            let bytes = list.len() * OVERHEAD_BYTES;
            if !self.network.carry(store_zone, &self.zone, bytes).await {
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
        async move {
            let sent = self.faults.reachable(&worker.id)
                && self
                    .network
                    .carry(&self.zone, &worker.zone, request_bytes(request))
                    .await
                && self.shared.lock().is_alive(&worker.id);
            if !sent {
                return Err(self.unreachable(worker.id.as_str()).await);
            }
            let now_ms = self.clock.now_ms();
            let reply = self
                .shared
                .change(|model| model.sync(&worker.id, request, now_ms))?;
            let bytes = reply_bytes(&reply);
            let lost = self.faults.loses_worker_reply(&worker.id)
                || !self.faults.reachable(&worker.id)
                || !self.network.carry(&worker.zone, &self.zone, bytes).await;
            if lost {
                let detail = format!("the connection to {} broke", worker.id);
                return Err(WorkerError::ReplyLost { detail });
            }
            Ok(reply)
        }
        .boxed()
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
