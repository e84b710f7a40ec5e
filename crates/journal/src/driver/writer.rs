//! The task that writes batches, one at a time.

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
    /// Header of the entries; its batch number grows with each attempt to write.
    pub header: Entry,
    pub opened_at: time::Instant,
}

/// What became of the write of an entry.
enum Settled {
    /// The entry is in the store.
    Durable,
    /// The entry is not in the store and will not get there.
    NoEffect(StoreError),
    /// Another writer's entry has the number.
    Fenced,
}

/// What one call to the store says about a write.
enum Verdict {
    /// The outcome is known.
    Settled(Settled),
    /// The entry may be in the store or get there.
    Ambiguous,
}

/// How a batch came out.
enum Committed {
    Durable(usize),
    Nothing,
    Fenced,
}

impl Writer {
    /// Runs until the journal is fenced.
    pub async fn run(mut self) {
        loop {
            self.wait_for_batch().await;
            match self.commit().await {
                Committed::Durable(bytes) => self.snapshots.after_entry(&self.shared, bytes),
                Committed::Nothing => {
                    self.shared.notify();
                    if self.is_fenced_while_idle().await {
                        return self.fence();
                    }
                }
                Committed::Fenced => return self.fence(),
            }
        }
    }

    /// Finds out whether a store that was away is back, while nothing waits to be written.
    ///
    /// Whoever refuses requests while the journal is blocked would otherwise never
    /// see it open again. True if another writer's entry has the next number.
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

    /// Waits until the oldest append has waited long enough or the batch is large enough.
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

    /// Writes one batch; returns when it is durable, withdrawn or fenced.
    async fn commit(&mut self) -> Committed {
        let mut failures = 0;
        loop {
            // The turn is taken before the batch is closed, so that a batch
            // grows while the budget is used up.
            self.config.budget.acquire().await;
            let Some((entry, value)) = self.begin_write() else {
                return Committed::Nothing;
            };
            let bytes = value.len();
            match self.write(&entry, value).await {
                Settled::Durable => return self.finish(&entry, bytes),
                Settled::Fenced => return Committed::Fenced,
                Settled::NoEffect(error) => {
                    self.shared.queue().write_had_no_effect();
                    self.note_failure(failures, &error);
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

    /// Writes an entry and settles what became of it.
    async fn write(&self, entry: &Entry, value: Bytes) -> Settled {
        let key = keys::entry(self.shared.shard, self.shared.last_seq() + 1);
        let put = self
            .store
            .put_unpaced(&key, value.clone(), Condition::Absent);
        let first = put.await;
        match self.judge(entry, &key, first).await {
            Verdict::Settled(settled) => settled,
            Verdict::Ambiguous => self.settle(entry, &key, value).await,
        }
    }

    /// Settles a write whose answer was lost.
    ///
    /// The same bytes are written again until the outcome is known. A refusal of
    /// a later write says nothing about the first one, which may still take effect.
    async fn settle(&self, entry: &Entry, key: &str, value: Bytes) -> Settled {
        kernel::log_event!(events::ANSWER_LOST, "write of {key}");
        self.shared.set_status(Status::Blocked);
        let mut failures = 0;
        loop {
            if let Verdict::Settled(settled) = self.read_back(entry, key).await {
                return settled;
            }
            failures += 1;
            self.store.back_off(failures).await;
            let put = self.store.put(key, value.clone(), Condition::Absent).await;
            match self.judge(entry, key, put).await {
                Verdict::Settled(Settled::NoEffect(_)) | Verdict::Ambiguous => {}
                Verdict::Settled(settled) => return settled,
            }
        }
    }

    async fn judge(
        &self,
        entry: &Entry,
        key: &str,
        result: Result<platform::store::Revision, StoreError>,
    ) -> Verdict {
        match result {
            Ok(_) => Verdict::Settled(Settled::Durable),
            Err(StoreError::Conflict {
                current: Some(current),
            }) => compare(entry, &current.value),
            Err(StoreError::Conflict { current: None }) => self.read_back(entry, key).await,
            Err(error) if error.is_ambiguous() => Verdict::Ambiguous,
            Err(error) => Verdict::Settled(Settled::NoEffect(error)),
        }
    }

    async fn read_back(&self, entry: &Entry, key: &str) -> Verdict {
        match self.store.get(key).await {
            Ok(Some(current)) => compare(entry, &current.value),
            Ok(None) | Err(_) => Verdict::Ambiguous,
        }
    }

    fn finish(&mut self, entry: &Entry, bytes: usize) -> Committed {
        let applied = {
            let state = self.shared.state.write();
            let mut state = state.unwrap_or_else(PoisonError::into_inner);
            state.apply_entry(entry)
        };
        match applied {
            Ok(applied) => {
                self.shared.queue().finish_batch(&applied);
                self.shared.set_status(Status::Open);
                Committed::Durable(bytes)
            }
            Err(error) => {
                kernel::log_event!(events::CORRUPT, "shard {}: {error}", self.shared.shard);
                // The records are durable, but nobody can say what they came to.
                let mut queue = self.shared.queue();
                queue.refuse_batch(errors::ErrorKind::Internal, &error.detail);
                Committed::Fenced
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

    fn note_failure(&self, failures: u32, error: &StoreError) {
        if failures == 0 {
            kernel::log_event!(events::STORE_AWAY, "shard {}: {error}", self.shared.shard);
        }
        self.shared.set_status(Status::Blocked);
    }
}

fn compare(entry: &Entry, value: &[u8]) -> Verdict {
    match Entry::decode(value) {
        Ok(current) if current.is_same_batch(entry) => Verdict::Settled(Settled::Durable),
        Ok(_) | Err(_) => Verdict::Settled(Settled::Fenced),
    }
}
