//! The right to send a claimed request once.

use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use tokio::task;

use super::Request;
use crate::driver::ShardJournal;
use crate::events;
use crate::record::{Answer, Record};

/// How long one try to record an answer waits, in milliseconds.
const ANSWER_WAIT_MS: u64 = 60_000;

/// The right to send a claimed request once.
///
/// A ticket that is dropped without a word leaves the claim unknown.
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

    /// The number of the attempt to send.
    pub fn attempt_id(&self) -> u64 {
        self.attempt_id
    }

    /// Records the answer; the handle resolves when it is durable.
    ///
    /// The caller of the request may be answered at once, since the answer is
    /// true whether or not it becomes durable. If it does not, because the shard
    /// moved, duplicates find the request unknown and the upstream is asked.
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

    /// Records that the request was sent and it is not known whether it ran.
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
        tokio::spawn(append_until_over(Arc::clone(&self.journal), record))
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

/// Appends a record, again and again while the store is away.
///
/// What waits here is bounded: while the store is away no new claim becomes durable.
async fn append_until_over(journal: Arc<ShardJournal>, record: Record) -> errors::Result<()> {
    loop {
        match journal.append(vec![record.clone()], ANSWER_WAIT_MS).await {
            Ok(_) => return Ok(()),
            // A record that turns out to be durable after all is ignored the second time.
            Err(error) if is_passing(error.kind) => {}
            Err(error) => return Err(error),
        }
    }
}

fn is_passing(kind: errors::ErrorKind) -> bool {
    matches!(
        kind,
        errors::ErrorKind::StoreUnavailable | errors::ErrorKind::AnswerLost
    )
}
