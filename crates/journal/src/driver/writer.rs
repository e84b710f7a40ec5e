//! The task that commits batches, one at a time.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use kernel::errors;
use platform::store::{Condition, StoreError};
use tokio::time;

use super::paced::PacedStore;
use super::shared::{Shared, Status};
use super::snapshots::Snapshots;
use super::{config::Config, keys};
use crate::events;
use crate::record::Entry;

/// Writes the batches of one journal until it is fenced or closed.
#[derive(Debug)]
pub(super) struct Writer {
    pub shared: Arc<Shared>,
    pub store: PacedStore,
    pub config: Config,
    pub snapshots: Snapshots,
    /// Header of the entries; its batch number is incremented for each attempt to write.
    pub header: Entry,
    pub opened_at: time::Instant,
}

/// Known outcome of the write of an entry.
enum WriteOutcome {
    /// The entry is in the store.
    Durable,
    /// The entry is not in the store and never will be.
    NoEffect(StoreError),
    /// Another writer's entry has the sequence number.
    Fenced,
}

/// What one store call reveals about a write.
enum CallOutcome {
    /// The outcome of the write is known.
    Known(WriteOutcome),
    /// The entry may be in the store or may still be written.
    Ambiguous,
}

/// Outcome of a commit.
enum CommitOutcome {
    /// An entry of this many bytes is durable.
    Durable(usize),
    /// All appends were withdrawn.
    Nothing,
    Fenced,
}

impl Writer {
    /// Runs until the journal is fenced.
    pub async fn run(mut self) {
        loop {
            self.wait_for_batch().await;
            match self.commit().await {
                CommitOutcome::Durable(bytes) => self.snapshots.after_entry(&self.shared, bytes),
                CommitOutcome::Nothing => {
                    self.shared.notify();
                    if self.is_fenced_while_idle().await {
                        return self.fence();
                    }
                }
                CommitOutcome::Fenced => return self.fence(),
            }
        }
    }

    /// Probes the store while the queue is empty, and reopens the journal once it responds.
    ///
    /// Callers refuse requests while the journal is blocked, so without the probe there
    /// would be no write to unblock it. True if another writer has created the next entry.
    async fn is_fenced_while_idle(&self) -> bool {
        let key = keys::entry(self.shared.shard, self.shared.last_seq() + 1);
        let mut failures = 0;
        while self.shared.queue().is_empty() {
            match self.store.get(&key).await {
                Ok(Some(_)) => return true,
                Ok(None) => {
                    self.shared.set_status(Status::Open);
                    return false;
                }
                Err(_) => failures += 1,
            }
            let more = self.shared.wake.notified();
            tokio::select! {
                biased;
                () = self.store.back_off(failures) => {}
                () = more => return false,
            }
        }
        false
    }

    /// Waits until the batch delay of the oldest append has passed or the batch is large enough.
    async fn wait_for_batch(&self) {
        let delay = Duration::from_millis(self.config.batch_delay_ms);
        loop {
            let waiting = self.shared.queue().waiting();
            match waiting {
                None => self.shared.wake.notified().await,
                Some((_, bytes)) if bytes >= self.config.batch_bytes => return,
                Some((since, _)) => {
                    let more = self.shared.wake.notified();
                    if time::timeout_at(since + delay, more).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Commits one batch; returns when it is durable, withdrawn or fenced.
    async fn commit(&mut self) -> CommitOutcome {
        let mut failures = 0;
        loop {
            // The token is taken before the batch is closed, so that the batch
            // grows while the budget is exhausted.
            self.config.budget.acquire().await;
            let Some((entry, value)) = self.begin_write() else {
                return CommitOutcome::Nothing;
            };
            let bytes = value.len();
            match self.write(&entry, value).await {
                WriteOutcome::Durable => return self.finish(&entry, bytes),
                WriteOutcome::Fenced => return CommitOutcome::Fenced,
                WriteOutcome::NoEffect(error) => {
                    self.shared.queue().write_had_no_effect();
                    self.report_failure(failures, &error);
                    failures += 1;
                    self.store.back_off(failures).await;
                }
            }
        }
    }

    fn begin_write(&mut self) -> Option<(Entry, Bytes)> {
        self.header.batch += 1;
        let elapsed = self.opened_at.elapsed();
        let mut entry = self.header.clone();
        entry.at_ms += elapsed.as_millis() as u64;
        let mut queue = self.shared.queue();
        if !queue.begin_write(&mut entry) {
            return None;
        }
        match entry.encode() {
            Ok(value) => Some((entry, value)),
            Err(error) => {
                queue.refuse_batch(errors::ErrorKind::Internal, &error.detail);
                None
            }
        }
    }

    /// Writes an entry and determines the outcome.
    async fn write(&self, entry: &Entry, value: Bytes) -> WriteOutcome {
        let key = keys::entry(self.shared.shard, self.shared.last_seq() + 1);
        let put = self
            .store
            .put_unpaced(&key, value.clone(), Condition::Absent);
        let first = put.await;
        match self.classify(entry, &key, first).await {
            CallOutcome::Known(outcome) => outcome,
            CallOutcome::Ambiguous => self.resolve_write(entry, &key, value).await,
        }
    }

    /// Determines the outcome of a write whose answer was lost.
    ///
    /// The same bytes are written again until the outcome is known. The refusal of a
    /// later write implies nothing about the first one, which may still take effect.
    async fn resolve_write(&self, entry: &Entry, key: &str, value: Bytes) -> WriteOutcome {
        kernel::log_event!(events::ANSWER_LOST, "write of {key}");
        self.shared.set_status(Status::Blocked);
        let mut failures = 0;
        loop {
            if let CallOutcome::Known(outcome) = self.read_back(entry, key).await {
                return outcome;
            }
            failures += 1;
            self.store.back_off(failures).await;
            let put = self.store.put(key, value.clone(), Condition::Absent).await;
            match self.classify(entry, key, put).await {
                CallOutcome::Known(WriteOutcome::NoEffect(_)) | CallOutcome::Ambiguous => {}
                CallOutcome::Known(outcome) => return outcome,
            }
        }
    }

    async fn classify(
        &self,
        entry: &Entry,
        key: &str,
        result: Result<platform::store::Revision, StoreError>,
    ) -> CallOutcome {
        match result {
            Ok(_) => CallOutcome::Known(WriteOutcome::Durable),
            Err(StoreError::Conflict {
                current: Some(current),
            }) => compare_entry(entry, &current.value),
            Err(StoreError::Conflict { current: None }) => self.read_back(entry, key).await,
            Err(error) if error.is_ambiguous() => CallOutcome::Ambiguous,
            Err(error) => CallOutcome::Known(WriteOutcome::NoEffect(error)),
        }
    }

    async fn read_back(&self, entry: &Entry, key: &str) -> CallOutcome {
        match self.store.get(key).await {
            Ok(Some(current)) => compare_entry(entry, &current.value),
            Ok(None) | Err(_) => CallOutcome::Ambiguous,
        }
    }

    fn finish(&mut self, entry: &Entry, bytes: usize) -> CommitOutcome {
        let applied = {
            let state = self.shared.state.write();
            let mut state = state.unwrap_or_else(PoisonError::into_inner);
            state.apply_entry(entry)
        };
        match applied {
            Ok(applied) => {
                self.shared.queue().finish_batch(&applied);
                self.shared.set_status(Status::Open);
                CommitOutcome::Durable(bytes)
            }
            Err(error) => {
                kernel::log_event!(events::CORRUPT, "shard {}: {error}", self.shared.shard);
                // The records are durable, but could not be applied to the state.
                let mut queue = self.shared.queue();
                queue.refuse_batch(errors::ErrorKind::Internal, &error.detail);
                CommitOutcome::Fenced
            }
        }
    }

    fn fence(&self) {
        kernel::log_event!(events::FENCED, "shard {}", self.shared.shard);
        let kind = errors::ErrorKind::StaleEpoch;
        let detail = "another host writes the shard's journal";
        let mut queue = self.shared.queue();
        queue.close(kind, detail);
        queue.refuse_batch(kind, detail);
        drop(queue);
        self.shared.set_status(Status::Fenced);
    }

    fn report_failure(&self, failures: u32, error: &StoreError) {
        if failures == 0 {
            kernel::log_event!(events::STORE_AWAY, "shard {}: {error}", self.shared.shard);
        }
        self.shared.set_status(Status::Blocked);
    }
}

fn compare_entry(entry: &Entry, value: &[u8]) -> CallOutcome {
    match Entry::decode(value) {
        Ok(current) if current.is_same_batch(entry) => CallOutcome::Known(WriteOutcome::Durable),
        Ok(_) | Err(_) => CallOutcome::Known(WriteOutcome::Fenced),
    }
}
