//! HTTP client of the worker list and the worker agents.

use std::sync::Arc;

use futures::FutureExt;
use futures::future;
use kernel::ids;

use super::connection::{Connection, ExchangeError, JsonError};
use super::messages;
use crate::workers::{SyncReply, SyncRequest, WorkerError, WorkerInfo, Workers};

/// Time-out of a call to the list or to a worker.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Client of the worker list at one address, and of the agents at the addresses in the list.
#[derive(Debug)]
pub(super) struct HttpWorkers {
    connection: Arc<Connection>,
    list_uri: String,
}

impl HttpWorkers {
    pub(super) fn new(connection: Arc<Connection>, base: &str) -> Self {
        Self {
            connection,
            list_uri: format!("http://{base}/list"),
        }
    }
}

impl Workers for HttpWorkers {
    fn list<'a>(
        &'a self,
        zone: &'a ids::ZoneId,
    ) -> future::BoxFuture<'a, Result<Vec<WorkerInfo>, WorkerError>> {
        async move {
            let message = messages::List { zone: zone.clone() };
            let post = self
                .connection
                .post(&self.list_uri, &message, CALL_TIMEOUT_MS);
            post.await.map_err(to_worker_error)
        }
        .boxed()
    }

    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        request: &'a SyncRequest,
    ) -> future::BoxFuture<'a, Result<SyncReply, WorkerError>> {
        async move {
            let uri = format!("http://{}/sync", worker.address);
            let post = self.connection.post(&uri, request, CALL_TIMEOUT_MS);
            post.await.map_err(to_worker_error)
        }
        .boxed()
    }
}

fn to_worker_error(failure: JsonError) -> WorkerError {
    match failure {
        JsonError::Exchange(ExchangeError::NotSent { detail })
        | JsonError::Rejected(messages::Refusal::Unavailable { detail }) => {
            WorkerError::Unreachable { detail }
        }
        JsonError::Rejected(messages::Refusal::StaleEpoch { seen }) => {
            WorkerError::StaleEpoch { seen }
        }
        JsonError::Rejected(messages::Refusal::OutOfOrder) => WorkerError::OutOfOrder,
        JsonError::Exchange(ExchangeError::ResponseLost { detail }) => {
            WorkerError::ReplyLost { detail }
        }
        JsonError::Rejected(refusal) => WorkerError::ReplyLost {
            detail: format!("unexpected error reply {refusal:?}"),
        },
    }
}
