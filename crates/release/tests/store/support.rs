//! An in-memory store with faults, and notes for tests.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use kernel::random;
use platform::store;
use rand::RngExt;
use tokio::sync;
use tokio::time;

/// Fault of the next write.
#[derive(Clone, Debug)]
pub enum WriteFault {
    /// Takes effect, but the answer is lost.
    LostAfterEffect,
    /// Takes no effect and gets no answer.
    LostBeforeEffect,
    /// Is refused before it takes effect.
    Unavailable,
    /// Another writer creates the same key first, with this value.
    Preempted(Bytes),
    /// Is reported lost, and takes effect after this delay.
    Delayed(Duration),
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<String, store::Entry>,
    log: Vec<store::Change>,
    revision: u64,
    compacted_below: u64,
    write_faults: VecDeque<WriteFault>,
    delayed_writes: Vec<DelayedWrite>,
    random: Option<random::Random>,
    is_down: bool,
}

/// A write that has not taken effect yet.
#[derive(Debug)]
struct DelayedWrite {
    due: time::Instant,
    key: String,
    value: Bytes,
}

/// An in-memory store with injected faults.
#[derive(Debug, Default)]
pub struct FakeStore {
    state: Mutex<State>,
    changed: sync::Notify,
}

impl FakeStore {
    pub fn fail_writes(&self, faults: impl IntoIterator<Item = WriteFault>) {
        self.lock().write_faults.extend(faults);
    }

    /// Delays writes and ranges and fails half of the writes from now on, at random.
    pub fn inject_random_faults(&self, seed: u64) {
        self.lock().random = Some(random::from_seed(seed));
    }

    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.changed.notify_waiters();
    }

    /// Discards the log of changes, but not the entries.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_below = state.revision + 1;
        state.log.clear();
    }

    pub fn keys(&self) -> Vec<String> {
        self.lock().entries.keys().cloned().collect()
    }

    pub fn insert(&self, key: &str, value: Bytes) -> store::Revision {
        let mut state = self.lock();
        state.revision += 1;
        let revision = store::Revision(state.revision);
        let entry = store::Entry {
            key: key.to_owned(),
            value,
            revision,
        };
        state.log.push(store::Change::Put(entry.clone()));
        state.entries.insert(key.to_owned(), entry);
        self.changed.notify_waiters();
        revision
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn check_up(&self) -> Result<(), store::StoreError> {
        self.apply_delayed_writes();
        if self.lock().is_down {
            return Err(unavailable());
        }
        Ok(())
    }

    /// Applies delayed writes that are due.
    pub fn apply_delayed_writes(&self) {
        let now = time::Instant::now();
        let (due, rest) = std::mem::take(&mut self.lock().delayed_writes)
            .into_iter()
            .partition(|write| write.due <= now);
        self.lock().delayed_writes = rest;
        let due: Vec<DelayedWrite> = due;
        for write in due {
            if !self.lock().entries.contains_key(&write.key) {
                self.insert(&write.key, write.value);
            }
        }
    }

    /// Waits for a random latency if random faults are injected.
    async fn simulate_latency(&self) {
        let delay_ms = match &mut self.lock().random {
            Some(random) => random.random_range(1..10),
            None => return,
        };
        time::sleep(Duration::from_millis(delay_ms)).await;
    }

    fn next_fault(&self) -> Option<WriteFault> {
        let mut state = self.lock();
        if let Some(fault) = state.write_faults.pop_front() {
            return Some(fault);
        }
        let random = state.random.as_mut()?;
        match random.random_range(0..8) {
            0 => Some(WriteFault::LostAfterEffect),
            1 => Some(WriteFault::LostBeforeEffect),
            2 => Some(WriteFault::Unavailable),
            3 => Some(WriteFault::Delayed(Duration::from_millis(
                random.random_range(0..2_000),
            ))),
            _ => None,
        }
    }

    fn write(
        &self,
        key: &str,
        value: Bytes,
        condition: store::Condition,
    ) -> Result<store::Revision, store::StoreError> {
        self.check_up()?;
        let fault = self.next_fault();
        match &fault {
            Some(WriteFault::Unavailable) => return Err(unavailable()),
            Some(WriteFault::LostBeforeEffect) => return Err(lost()),
            Some(WriteFault::Preempted(other)) => {
                self.insert(key, other.clone());
            }
            Some(WriteFault::Delayed(delay)) => {
                self.lock().delayed_writes.push(DelayedWrite {
                    due: time::Instant::now() + *delay,
                    key: key.to_owned(),
                    value,
                });
                return Err(lost());
            }
            Some(WriteFault::LostAfterEffect) | None => {}
        }
        let current = self.lock().entries.get(key).cloned();
        let is_absent = current.is_none();
        if condition == store::Condition::Absent && !is_absent {
            return Err(store::StoreError::Conflict { current });
        }
        let revision = self.insert(key, value);
        match fault {
            Some(WriteFault::LostAfterEffect) => Err(lost()),
            _ => Ok(revision),
        }
    }

    fn changes_since(&self, prefix: &str, after: store::Revision) -> Option<store::WatchReply> {
        let state = self.lock();
        let revision = store::Revision(state.revision);
        let compacted = after.0 + 1 < state.compacted_below;
        let changes: Vec<store::Change> = state
            .log
            .iter()
            .filter(|change| match change {
                store::Change::Put(entry) => {
                    entry.revision > after && entry.key.starts_with(prefix)
                }
                store::Change::Deleted { key, revision } => {
                    *revision > after && key.starts_with(prefix)
                }
            })
            .cloned()
            .collect();
        (compacted || !changes.is_empty()).then_some(store::WatchReply {
            revision,
            changes,
            compacted,
        })
    }
}

fn unavailable() -> store::StoreError {
    store::StoreError::Unavailable {
        detail: "down".to_owned(),
    }
}

fn lost() -> store::StoreError {
    store::StoreError::AnswerLost {
        detail: "cut".to_owned(),
    }
}

impl store::Store for FakeStore {
    fn get<'a>(&'a self, key: &'a str) -> store::StoreFuture<'a, Option<store::Entry>> {
        Box::pin(async move {
            self.check_up()?;
            Ok(self.lock().entries.get(key).cloned())
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: store::Condition,
        _lease: Option<store::LeaseId>,
    ) -> store::StoreFuture<'a, store::Revision> {
        Box::pin(async move {
            self.simulate_latency().await;
            let written = self.write(key, value, condition);
            self.simulate_latency().await;
            written
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        _condition: store::Condition,
    ) -> store::StoreFuture<'a, store::Revision> {
        Box::pin(async move {
            self.check_up()?;
            let mut state = self.lock();
            state.entries.remove(key);
            state.revision += 1;
            Ok(store::Revision(state.revision))
        })
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> store::StoreFuture<'a, Vec<store::Entry>> {
        Box::pin(async move {
            self.simulate_latency().await;
            self.check_up()?;
            let state = self.lock();
            let matching = state
                .entries
                .values()
                .filter(|entry| entry.key.starts_with(prefix) && entry.key.as_str() > after);
            Ok(matching.take(limit).cloned().collect())
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: store::Revision,
        wait_ms: u64,
    ) -> store::StoreFuture<'a, store::WatchReply> {
        Box::pin(async move {
            let wait = tokio::time::sleep(Duration::from_millis(wait_ms));
            tokio::pin!(wait);
            loop {
                let changed = self.changed.notified();
                self.check_up()?;
                if let Some(reply) = self.changes_since(prefix, after) {
                    return Ok(reply);
                }
                tokio::select! {
                    () = changed => {}
                    () = &mut wait => {
                        return Ok(store::WatchReply {
                            revision: after,
                            changes: Vec::new(),
                            compacted: false,
                        });
                    }
                }
            }
        })
    }

    fn grant_lease(&self, _ttl_ms: u64) -> store::StoreFuture<'_, store::LeaseId> {
        Box::pin(async { Ok(store::LeaseId(1)) })
    }

    fn keep_alive(&self, _lease: store::LeaseId) -> store::StoreFuture<'_, ()> {
        Box::pin(async { Ok(()) })
    }

    fn revoke_lease(&self, _lease: store::LeaseId) -> store::StoreFuture<'_, ()> {
        Box::pin(async { Ok(()) })
    }
}

/// A note that adds a quota for team `huber`.
pub const QUOTA_NOTE: &str =
    "[[added.quota]]\nteam = \"huber\"\ncpu_milli = 100000\nmemory_mb = 100000\n";

/// A note that adds one batch run of team `huber`.
pub fn batch_run_note(name: &str) -> String {
    format!(
        "[[added.batch_run]]\nname = {name:?}\nteam = \"huber\"\ntasks = 2\n\
         cpu_milli = 100\nmemory_mb = 100\nrun_time_ms = 1000\n"
    )
}

/// A store whose only release is [`QUOTA_NOTE`], accepted as release 1.
pub async fn store_with_quota() -> Arc<FakeStore> {
    let store = Arc::new(FakeStore::default());
    acceptor(&store)
        .submit(QUOTA_NOTE.as_bytes(), "first", None)
        .await
        .unwrap();
    store
}

/// An acceptor without known zones and workers.
pub fn acceptor(store: &Arc<FakeStore>) -> hickorychute_release::Acceptor {
    hickorychute_release::Acceptor::new(
        Arc::clone(store) as Arc<dyn store::Store>,
        hickorychute_release::CellLimits::default(),
    )
}
