//! A [`Workers`] connection that counts its calls.

use std::sync::Arc;

use futures::future;
use kernel::ids;
use platform::workers::{SyncReply, SyncRequest, WorkerError, WorkerInfo, Workers};
use serde::Serialize;

use super::{Traffic, TrafficCounters};

/// Forwards to another connection and counts the calls, with the bytes of their JSON bodies.
#[derive(Debug)]
pub(crate) struct CountingWorkers {
    pub inner: Arc<dyn Workers>,
    pub counters: TrafficCounters,
}

impl Workers for CountingWorkers {
    fn list<'a>(
        &'a self,
        zone: &'a ids::ZoneId,
    ) -> future::BoxFuture<'a, Result<Vec<WorkerInfo>, WorkerError>> {
        Box::pin(async move {
            let result = self.inner.list(zone).await;
            let received_bytes = result.as_ref().map_or(0, json_bytes);
            self.counters.add(Traffic::WorkerList, received_bytes);
            result
        })
    }

    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        request: &'a SyncRequest,
    ) -> future::BoxFuture<'a, Result<SyncReply, WorkerError>> {
        Box::pin(async move {
            let result = self.inner.sync(worker, request).await;
            let received_bytes = result.as_ref().map_or(0, json_bytes);
            self.counters
                .add(Traffic::WorkerSync, json_bytes(request) + received_bytes);
            if let Ok(reply) = &result {
                let started = request.starts.len().saturating_sub(reply.refused.len());
                (0..started).for_each(|_| self.counters.add(Traffic::Start, 0));
            }
            result
        })
    }
}

fn json_bytes<T: Serialize + ?Sized>(message: &T) -> usize {
    serde_json::to_vec(message).map_or(0, |json| json.len())
}
