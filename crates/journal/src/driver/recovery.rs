//! Recovery: reads a journal and fences its earlier writers.
//!
//! Two races with trimming determine the order of calls. While entries are
//! read, older ones may be deleted: a gap in the sequence means that a newer
//! snapshot exists, and reading restarts from it. The sequence number of the
//! seal may also have been used and trimmed in the meantime, so that creating
//! the entry proves nothing: the seal is valid only if the snapshot, read again
//! *after* the seal was created, is older than the seal.

use kernel::errors;
use kernel::ids;
use platform::store::{Condition, StoreError};

use super::keys;
use super::paced::PacedStore;
use super::snapshots::{self, Head};
use crate::record::{Entry, Record};
use crate::state::{Limits, ShardState};

/// Result of recovery; the state includes the seal.
#[derive(Debug)]
pub(super) struct Recovered {
    pub state: ShardState,
    pub head: Option<Head>,
}

/// Parameters of an opening of the journal.
#[derive(Debug)]
pub(super) struct Opener<'a> {
    pub store: &'a PacedStore,
    pub shard: ids::ShardId,
    pub limits: Limits,
    /// The entry that fences earlier writers; recovery sets its time and records.
    pub seal: Entry,
}

enum Step<T> {
    Done(T),
    /// A newer snapshot exists; recovery restarts from it.
    Restart,
}

impl Opener<'_> {
    /// Recovers the state and seals the journal, retrying until it wins over all writers of
    /// lower epochs.
    pub async fn open(mut self) -> errors::Result<Recovered> {
        let mut failures = 0;
        loop {
            let step = match self.try_open().await {
                Ok(step) => step,
                Err(RecoveryError::Permanent(error)) => return Err(error),
                Err(RecoveryError::Store(_)) => {
                    failures += 1;
                    self.store.back_off(failures).await;
                    continue;
                }
            };
            if let Step::Done(recovered) = step {
                return Ok(recovered);
            }
        }
    }

    async fn try_open(&mut self) -> Result<Step<Recovered>, RecoveryError> {
        let head = snapshots::read_head(self.store, self.shard).await?;
        let state = match &head {
            None => Some(ShardState::new(self.limits)),
            Some(head) => snapshots::read(self.store, self.shard, head, self.limits).await?,
        };
        let Some(mut state) = state else {
            return Ok(Step::Restart);
        };
        loop {
            if !self.read_entries(&mut state).await? {
                return self.after_gap(head.as_ref(), &state).await;
            }
            self.check_epoch(&state)?;
            if self.seal(&mut state).await? {
                return self.confirm_seal(state).await;
            }
        }
    }

    /// Restarts after a gap if there is a newer snapshot; otherwise an entry is lost, and
    /// retrying would not terminate.
    async fn after_gap<T>(
        &self,
        head: Option<&Head>,
        state: &ShardState,
    ) -> Result<Step<T>, RecoveryError> {
        let newer = snapshots::read_head(self.store, self.shard).await?;
        if newer.as_ref() != head {
            return Ok(Step::Restart);
        }
        let detail = format!(
            "entry {} of shard {} is missing",
            state.seq() + 1,
            self.shard
        );
        let error = errors::Error::new(errors::ErrorKind::Internal, detail);
        Err(RecoveryError::Permanent(error))
    }

    /// Applies all entries after the state's last one; false if some have been trimmed.
    async fn read_entries(&self, state: &mut ShardState) -> Result<bool, RecoveryError> {
        let prefix = keys::entries(self.shard);
        loop {
            let after = keys::entry(self.shard, state.seq());
            let found = self.store.range(&prefix, &after).await?;
            if found.is_empty() {
                return Ok(true);
            }
            for stored in found {
                if keys::entry_seq(&stored.key) != Some(state.seq() + 1) {
                    return Ok(false);
                }
                state.apply_entry(&Entry::decode(&stored.value)?)?;
            }
        }
    }

    /// Refuses to open over a higher epoch, or over the same epoch of another host.
    fn check_epoch(&self, state: &ShardState) -> Result<(), RecoveryError> {
        let is_other = state.writer().is_some_and(|host| *host != self.seal.writer);
        let is_stale =
            state.epoch() > self.seal.epoch || state.epoch() == self.seal.epoch && is_other;
        if !is_stale {
            return Ok(());
        }
        let detail = format!(
            "shard {} is written under epoch {}; epoch {} is stale",
            self.shard,
            state.epoch(),
            self.seal.epoch
        );
        let error = errors::Error::new(errors::ErrorKind::StaleEpoch, detail);
        Err(RecoveryError::Permanent(error))
    }

    /// Creates the next entry; false if another writer has created it.
    async fn seal(&mut self, state: &mut ShardState) -> Result<bool, RecoveryError> {
        self.seal.at_ms = state.time_ms();
        self.seal.records = vec![Record::Opened {
            epoch: self.seal.epoch,
            writer: self.seal.writer.clone(),
        }];
        let key = keys::entry(self.shard, state.seq() + 1);
        let put = self.store.put(&key, self.seal.encode()?, Condition::Absent);
        let is_ours = match put.await {
            Ok(_) => true,
            Err(StoreError::Conflict { .. } | StoreError::AnswerLost { .. }) => {
                self.is_sealed(&key).await?
            }
            Err(error) => return Err(RecoveryError::Store(error)),
        };
        if is_ours {
            state.apply_entry(&self.seal)?;
        }
        Ok(is_ours)
    }

    async fn is_sealed(&self, key: &str) -> Result<bool, RecoveryError> {
        let Some(stored) = self.store.get(key).await? else {
            return Ok(false);
        };
        Ok(Entry::decode(&stored.value)?.is_same_batch(&self.seal))
    }

    /// Checks that the seal's sequence number had not been used and trimmed before.
    async fn confirm_seal(&self, state: ShardState) -> Result<Step<Recovered>, RecoveryError> {
        loop {
            let head = match snapshots::read_head(self.store, self.shard).await {
                Ok(head) => head,
                Err(RecoveryError::Store(_)) => {
                    self.store.back_off(1).await;
                    continue;
                }
                Err(error) => return Err(error),
            };
            let newest = head.as_ref().map_or(0, |head| head.seq);
            if newest < state.seq() {
                return Ok(Step::Done(Recovered { state, head }));
            }
            // An entry older than the snapshot is never read; deleting it is best effort.
            let _ = self
                .store
                .delete(&keys::entry(self.shard, state.seq()))
                .await;
            return Ok(Step::Restart);
        }
    }
}

/// Error of a recovery step.
#[derive(Debug)]
pub(super) enum RecoveryError {
    /// The store call failed; the step can be retried.
    Store(StoreError),
    /// The failure is permanent.
    Permanent(errors::Error),
}

impl From<StoreError> for RecoveryError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<errors::Error> for RecoveryError {
    fn from(error: errors::Error) -> Self {
        Self::Permanent(error)
    }
}
