//! The right to send a claimed request once.

use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use tokio::task;

use super::Request;
use crate::driver::ShardJournal;
use crate::events;
use crate::record::{Answer, Record};

/// Timeout of one attempt to append an answer.
const ANSWER_APPEND_TIMEOUT_MS: u64 = 60_000;

/// The right to send a claimed request once.
///
/// Dropping a ticket without an outcome marks the claim as unknown.
#[derive(Debug)]
#[must_use = "a claim without an answer stays unknown"]
pub struct ClaimTicket {
    journal: Arc<ShardJournal>,
    key: ids::IdempotencyKey,
    attempt_id: u64,
    is_settled: bool,
}

impl ClaimTicket {
    pub(super) fn new(journal: Arc<ShardJournal>, request: &Request) -> Self {
        Self {
            journal,
            key: request.key.clone(),
            attempt_id: request.attempt_id,
            is_settled: false,
        }
    }

    /// Identifier of the attempt to send.
    pub fn attempt_id(&self) -> u64 {
        self.attempt_id
    }

    /// Records the answer; the handle resolves when it is durable.
    ///
    /// The caller of the request may be answered without waiting, since the
    /// answer is valid whether or not it becomes durable. If the shard moves
    /// before it does, duplicates find the claim unknown and query the upstream.
    pub fn finish(mut self, answer: Answer) -> task::JoinHandle<errors::Result<()>> {
        let record = Record::Answered {
            key: self.key.clone(),
            attempt_id: self.attempt_id,
            answer,
        };
        self.settle(record)
    }

    /// Frees the key: the request was not sent and will not be.
    pub fn release(self) -> task::JoinHandle<errors::Result<()>> {
        self.finish(Answer::not_run())
    }

    /// Records that the request was sent and that it is not known whether it ran.
    pub fn unknown(mut self) -> task::JoinHandle<errors::Result<()>> {
        let record = self.unknown_record();
        self.settle(record)
    }

    fn unknown_record(&self) -> Record {
        Record::ClaimUnknown {
            key: self.key.clone(),
            attempt_id: self.attempt_id,
        }
    }

    fn settle(&mut self, record: Record) -> task::JoinHandle<errors::Result<()>> {
        self.is_settled = true;
        tokio::spawn(append_with_retries(Arc::clone(&self.journal), record))
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        if self.is_settled || tokio::runtime::Handle::try_current().is_err() {
            return;
        }
        kernel::log_event!(events::CLAIM_DROPPED, "key {}", self.key);
        let record = self.unknown_record();
        drop(self.settle(record));
    }
}

/// Appends a record, retrying while the store is unavailable.
///
/// The number of records that wait here is bounded, because no new claim becomes
/// durable while the store is unavailable.
async fn append_with_retries(journal: Arc<ShardJournal>, record: Record) -> errors::Result<()> {
    loop {
        match journal
            .append(vec![record.clone()], ANSWER_APPEND_TIMEOUT_MS)
            .await
        {
            Ok(_) => return Ok(()),
            // If the first write became durable after all, the state ignores the repeated record.
            Err(error) if is_transient(error.kind) => {}
            Err(error) => return Err(error),
        }
    }
}

fn is_transient(kind: errors::ErrorKind) -> bool {
    matches!(
        kind,
        errors::ErrorKind::StoreUnavailable | errors::ErrorKind::AnswerLost
    )
}
