//! Workers that can ignore epochs, keep tasks after lease expiry, or not announce leaving.

use std::sync::Arc;

use futures::future::BoxFuture;
use kernel::ids;
use platform::workers::{SyncReply, SyncRequest, WorkerError, WorkerInfo, WorkerState, Workers};

use super::{DisabledGuard, Guard};

/// A lease longer than any run (one hour), so that it never expires.
const ENDLESS_LEASE_MS: u64 = 3_600_000;

#[derive(Debug)]
pub(super) struct UnguardedWorkers {
    disabled: DisabledGuard,
    inner: Arc<dyn Workers>,
}

impl UnguardedWorkers {
    pub(super) fn new(disabled: &DisabledGuard, inner: &Arc<dyn Workers>) -> Self {
        Self {
            disabled: disabled.clone(),
            inner: Arc::clone(inner),
        }
    }

    fn request(&self, worker: &WorkerInfo, request: &SyncRequest) -> SyncRequest {
        let mut request = request.clone();
        match self.disabled.guard() {
            Guard::WorkerEpoch => {
                let accepted_order = self.disabled.accepted_order(&worker.address, request.epoch);
                request.epoch = accepted_order.epoch;
                request.sequence = accepted_order.sequence;
            }
            Guard::TaskLease => request.lease_ms = ENDLESS_LEASE_MS,
            _ => {}
        }
        request
    }
}

impl Workers for UnguardedWorkers {
    fn list<'a>(
        &'a self,
        zone: &'a ids::ZoneId,
    ) -> BoxFuture<'a, Result<Vec<WorkerInfo>, WorkerError>> {
        Box::pin(async move {
            let mut workers = self.inner.list(zone).await?;
            if self.disabled.guard() == Guard::LeavingSignal {
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
            if self.disabled.guard() == Guard::LeavingSignal {
                reply.state = WorkerState::Live;
            }
            Ok(reply)
        })
    }
}
