//! Reading a journal on a fresh host and taking it over.
//!
//! Two races with trimming decide the order of calls here. While entries are
//! read, older ones may vanish: a gap in their numbers means that a newer
//! snapshot is there, and reading starts again from it. And the number at which
//! the journal is to be sealed may have been used and trimmed meanwhile, so
//! that creating it proves nothing: the seal counts only if the snapshot, read
//! once more *after* the seal was created, is older than the seal.

use kernel::errors;
use kernel::ids;
use platform::store::{Condition, StoreError};

use super::keys;
use super::paced::PacedStore;
use super::snapshots::{self, Head};
use crate::record::{Entry, Record};
use crate::state::{Limits, ShardState};

/// What recovery found, after the seal.
#[derive(Debug)]
pub(super) struct Recovered {
    pub state: ShardState,
    pub head: Option<Head>,
}

/// Who opens the journal.
#[derive(Debug)]
pub(super) struct Opener<'a> {
    pub store: &'a PacedStore,
    pub shard: ids::ShardId,
    pub limits: Limits,
    /// The entry that seals the journal against earlier writers; its time is set here.
    pub seal: Entry,
}

enum Step<T> {
    Done(T),
    /// The journal moved on; start again from the snapshot.
    Again,
}

impl Opener<'_> {
    /// Recovers the state and seals the journal; loses to no writer with a lower epoch for good.
    pub async fn open(mut self) -> errors::Result<Recovered> {
        let mut failures = 0;
        loop {
            let step = match self.try_open().await {
                Ok(step) => step,
                Err(Failure::Final(error)) => return Err(error),
                Err(Failure::Store(_)) => {
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

    async fn try_open(&mut self) -> Result<Step<Recovered>, Failure> {
        let head = snapshots::read_head(self.store, self.shard).await?;
        let state = match &head {
            None => Some(ShardState::new(self.limits)),
            Some(head) => snapshots::read(self.store, self.shard, head, self.limits).await?,
        };
        let Some(mut state) = state else {
            return Ok(Step::Again);
        };
        loop {
            if !self.read_entries(&mut state).await? {
                return Ok(Step::Again);
            }
            self.check_epoch(&state)?;
            if self.seal(&mut state).await? {
                return self.confirm(state).await;
            }
        }
    }

    /// Applies all entries after the state's last one; false if some were trimmed meanwhile.
    async fn read_entries(&self, state: &mut ShardState) -> Result<bool, Failure> {
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
    fn check_epoch(&self, state: &ShardState) -> Result<(), Failure> {
        let is_other = state.writer().is_some_and(|host| *host != self.seal.writer);
        let is_stale =
            state.epoch() > self.seal.epoch || state.epoch() == self.seal.epoch && is_other;
        if !is_stale {
            return Ok(());
        }
        let detail = format!(
            "shard {} is written under epoch {}; {} is too old",
            self.shard,
            state.epoch(),
            self.seal.epoch
        );
        let error = errors::Error::new(errors::ErrorKind::StaleEpoch, detail);
        Err(Failure::Final(error))
    }

    /// Creates the next entry; false if another writer was quicker.
    async fn seal(&mut self, state: &mut ShardState) -> Result<bool, Failure> {
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
            Err(error) => return Err(Failure::Store(error)),
        };
        if is_ours {
            state.apply_entry(&self.seal)?;
        }
        Ok(is_ours)
    }

    async fn is_sealed(&self, key: &str) -> Result<bool, Failure> {
        let Some(stored) = self.store.get(key).await? else {
            return Ok(false);
        };
        Ok(Entry::decode(&stored.value)?.is_same_batch(&self.seal))
    }

    /// Makes sure that the seal's number had not been used before and trimmed.
    async fn confirm(&self, state: ShardState) -> Result<Step<Recovered>, Failure> {
        loop {
            let head = match snapshots::read_head(self.store, self.shard).await {
                Ok(head) => head,
                Err(Failure::Store(_)) => {
                    self.store.back_off(1).await;
                    continue;
                }
                Err(error) => return Err(error),
            };
            let newest = head.as_ref().map_or(0, |head| head.seq);
            if newest < state.seq() {
                return Ok(Step::Done(Recovered { state, head }));
            }
            // An entry below the snapshot is never read; it is removed for tidiness.
            let _ = self
                .store
                .delete(&keys::entry(self.shard, state.seq()))
                .await;
            return Ok(Step::Again);
        }
    }
}

/// Why a step of recovery failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// The store did not answer as it should; try again.
    Store(StoreError),
    /// Trying again does not help.
    Final(errors::Error),
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<errors::Error> for Failure {
    fn from(error: errors::Error) -> Self {
        Self::Final(error)
    }
}
