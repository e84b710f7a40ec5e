//! Workers that obey anyone, keep tasks beyond their lease, or hide that they leave.

use std::sync::Arc;

use futures::future::BoxFuture;
use kernel::ids;
use platform::workers::{SyncReply, SyncRequest, WorkerError, WorkerInfo, WorkerState, Workers};

use super::{Guard, Weakness};

/// A lease that no run of the tests outlasts, in milliseconds.
const ENDLESS_LEASE_MS: u64 = 3_600_000;

#[derive(Debug)]
pub(super) struct WeakWorkers {
    weakness: Weakness,
    inner: Arc<dyn Workers>,
}

impl WeakWorkers {
    pub(super) fn new(weakness: &Weakness, inner: &Arc<dyn Workers>) -> Self {
        Self {
            weakness: weakness.clone(),
            inner: Arc::clone(inner),
        }
    }

    fn request(&self, worker: &WorkerInfo, request: &SyncRequest) -> SyncRequest {
        let mut request = request.clone();
        match self.weakness.guard() {
            Guard::WorkerEpoch => {
                let obeyed = self.weakness.obeyed(&worker.address, request.epoch);
                request.epoch = obeyed.epoch;
                request.sequence = obeyed.sequence;
            }
            Guard::TaskLease => request.lease_ms = ENDLESS_LEASE_MS,
            _ => {}
        }
        request
    }
}

impl Workers for WeakWorkers {
    fn list<'a>(
        &'a self,
        zone: &'a ids::ZoneId,
    ) -> BoxFuture<'a, Result<Vec<WorkerInfo>, WorkerError>> {
        Box::pin(async move {
            let mut workers = self.inner.list(zone).await?;
            if self.weakness.guard() == Guard::LeavingSignal {
                for worker in &mut workers {
                    worker.state = WorkerState::Live;
                }
            }
            Ok(workers)
        })
    }

    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        request: &'a SyncRequest,
    ) -> BoxFuture<'a, Result<SyncReply, WorkerError>> {
        let request = self.request(worker, request);
        Box::pin(async move {
            let mut reply = self.inner.sync(worker, &request).await?;
            if self.weakness.guard() == Guard::LeavingSignal {
                reply.state = WorkerState::Live;
            }
            Ok(reply)
        })
    }
}
