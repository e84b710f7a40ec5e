//! The list of workers and their agents over HTTP.

use std::sync::Arc;

use futures::FutureExt;
use futures::future;
use kernel::ids;

use super::connection::{Connection, Failure, JsonFailure};
use super::messages;
use crate::workers::{SyncReply, SyncRequest, WorkerError, WorkerInfo, Workers};

/// Time in which the list and a worker must answer.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// The list at one address, and the agents at the addresses that it names.
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

fn to_worker_error(failure: JsonFailure) -> WorkerError {
    match failure {
        JsonFailure::Exchange(Failure::NotSent { detail })
        | JsonFailure::Refused(messages::Refusal::Unavailable { detail }) => {
            WorkerError::Unreachable { detail }
        }
        JsonFailure::Refused(messages::Refusal::StaleEpoch { seen }) => {
            WorkerError::StaleEpoch { seen }
        }
        JsonFailure::Refused(messages::Refusal::OutOfOrder) => WorkerError::OutOfOrder,
        JsonFailure::Exchange(Failure::AnswerLost { detail }) => WorkerError::ReplyLost { detail },
        JsonFailure::Refused(refusal) => WorkerError::ReplyLost {
            detail: format!("unexpected refusal {refusal:?}"),
        },
    }
}
