//! HTTP client of the key-value store.

use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::connection::{Connection, ExchangeError, JsonError};
use super::messages;
use crate::store::{
    Change, Condition, Entry, LeaseId, Revision, Store, StoreError, StoreFuture, WatchReply,
};

/// Time-out of a store call, in addition to the wait of a watch.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Client of the store at one address.
#[derive(Debug)]
pub(super) struct HttpStore {
    connection: Arc<Connection>,
    base: String,
}

impl HttpStore {
    pub(super) fn new(connection: Arc<Connection>, base: &str) -> Self {
        Self {
            connection,
            base: format!("http://{base}/store"),
        }
    }

    async fn post<Q: Serialize, R: DeserializeOwned>(
        &self,
        name: &str,
        message: &Q,
        timeout_ms: u64,
    ) -> Result<R, StoreError> {
        let uri = format!("{}/{name}", self.base);
        let result = self.connection.post(&uri, message, timeout_ms).await;
        result.map_err(to_store_error)
    }
}

impl Store for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        async move {
            let message = messages::Get {
                key: key.to_owned(),
            };
            let entry: Option<messages::EntryMessage> =
                self.post("get", &message, CALL_TIMEOUT_MS).await?;
            Ok(entry.map(Entry::from))
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> StoreFuture<'a, Revision> {
        async move {
            let message = messages::Put {
                key: key.to_owned(),
                value: messages::Base64(value),
                condition,
                lease,
            };
            self.post("put", &message, CALL_TIMEOUT_MS).await
        }
        .boxed()
    }

    fn delete<'a>(&'a self, key: &'a str, condition: Condition) -> StoreFuture<'a, Revision> {
        async move {
            let message = messages::Delete {
                key: key.to_owned(),
                condition,
            };
            self.post("delete", &message, CALL_TIMEOUT_MS).await
        }
        .boxed()
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Vec<Entry>> {
        async move {
            let message = messages::Range {
                prefix: prefix.to_owned(),
                after: after.to_owned(),
                limit,
            };
            let entries: Vec<messages::EntryMessage> =
                self.post("range", &message, CALL_TIMEOUT_MS).await?;
            Ok(entries.into_iter().map(Entry::from).collect())
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchReply> {
        async move {
            let message = messages::Watch {
                prefix: prefix.to_owned(),
                after,
                wait_ms,
            };
            let timeout_ms = wait_ms.saturating_add(CALL_TIMEOUT_MS);
            let reply: messages::WatchMessage = self.post("watch", &message, timeout_ms).await?;
            Ok(WatchReply {
                revision: reply.revision,
                changes: reply.changes.into_iter().map(Change::from).collect(),
                compacted: reply.compacted,
            })
        }
        .boxed()
    }

    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, LeaseId> {
        async move {
            let message = messages::Grant { ttl_ms };
            self.post("grant", &message, CALL_TIMEOUT_MS).await
        }
        .boxed()
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        async move {
            let message = messages::Lease { lease };
            self.post("keep-alive", &message, CALL_TIMEOUT_MS).await
        }
        .boxed()
    }

    fn revoke_lease(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
        async move {
            let message = messages::Lease { lease };
            self.post("revoke", &message, CALL_TIMEOUT_MS).await
        }
        .boxed()
    }
}

fn to_store_error(failure: JsonError) -> StoreError {
    match failure {
        JsonError::Exchange(ExchangeError::NotSent { detail }) => {
            StoreError::Unavailable { detail }
        }
        JsonError::Exchange(ExchangeError::ResponseLost { detail }) => {
            StoreError::AnswerLost { detail }
        }
        JsonError::Rejected(refusal) => match refusal {
            messages::Refusal::Conflict { current } => StoreError::Conflict {
                current: current.map(Entry::from),
            },
            messages::Refusal::Unavailable { detail } => StoreError::Unavailable { detail },
            messages::Refusal::Throttled => StoreError::Throttled,
            messages::Refusal::TooLarge { bytes } => StoreError::TooLarge { bytes },
            messages::Refusal::LeaseLapsed => StoreError::LeaseLapsed,
            refusal @ (messages::Refusal::StaleEpoch { .. } | messages::Refusal::OutOfOrder) => {
                let detail = format!("unexpected error reply {refusal:?}");
                StoreError::AnswerLost { detail }
            }
        },
    }
}
