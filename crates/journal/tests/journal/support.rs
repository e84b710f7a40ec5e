//! An in-memory store with seeded faults, and helpers shared by the tests.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hickorychute_journal as journal;
use kernel::{ids, random, work};
use platform::store::{
    Condition, Entry, LeaseId, Revision, Store, StoreError, StoreFuture, WatchReply,
};
use rand::RngExt;

/// A property of the store that the journal relies on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// Conditions of writes are checked.
    Conditions,
    /// A lost answer is distinguished from a write without effect.
    LostAnswers,
    /// Reads of the snapshot's head return the stored value.
    SnapshotHead,
    /// A write is answered only after its effect.
    Durability,
}

/// Faults injected into the calls of one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Writes per thousand that take effect without an answer.
    pub lost_after_effect: u32,
    /// Writes per thousand that take no effect and get no answer.
    pub lost_before_effect: u32,
    /// Writes per thousand that take effect only after their answer is reported lost.
    pub delayed_effect: u32,
    /// Every call fails.
    pub down: bool,
    /// Latency of every call, in milliseconds.
    pub latency_ms: u64,
    /// Number of writes after which the next one never returns.
    pub writes_left: Option<u32>,
    /// The write that never returns takes effect first.
    pub hangs_after_effect: bool,
    /// A guard that is disabled, to show that the checks detect its absence.
    pub removed: Option<Guard>,
    /// Writes wait until this is reset, as in a paused process.
    pub frozen: bool,
}

#[derive(Debug)]
struct Contents {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    random: random::Random,
}

/// One connection to an in-memory store; connections share the contents, not the faults.
#[derive(Clone, Debug)]
pub struct FakeStore {
    contents: Arc<Mutex<Contents>>,
    faults: Arc<Mutex<Faults>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeStore {
    pub fn new(seed: u64) -> Self {
        Self {
            contents: Arc::new(Mutex::new(Contents {
                entries: BTreeMap::new(),
                revision: 0,
                random: random::from_seed(seed),
            })),
            faults: Arc::default(),
        }
    }

    /// Another connection to the same contents, without faults.
    pub fn connect(&self) -> Self {
        Self {
            contents: Arc::clone(&self.contents),
            faults: Arc::default(),
        }
    }

    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.faults));
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let contents = lock(&self.contents);
        let keys = contents.entries.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    async fn enter(&self) -> Result<Faults, StoreError> {
        let faults = *lock(&self.faults);
        tokio::time::sleep(Duration::from_millis(faults.latency_ms)).await;
        if faults.down {
            let detail = "down".to_owned();
            return Err(StoreError::Unavailable { detail });
        }
        Ok(faults)
    }

    /// Counts a write; true if this one never returns.
    fn is_last_write(&self) -> bool {
        let mut faults = lock(&self.faults);
        let hangs = faults.writes_left == Some(0);
        faults.writes_left = faults.writes_left.map(|left| left.saturating_sub(1));
        hangs
    }

    /// Applies a write, subject to the faults of this connection.
    async fn write(&self, apply: Apply) -> Result<Revision, StoreError> {
        let faults = self.enter().await?;
        while lock(&self.faults).frozen {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        if self.is_last_write() {
            if faults.removed == Some(Guard::Durability) {
                return Ok(Revision(0));
            }
            if faults.hangs_after_effect {
                let _ = apply(&mut lock(&self.contents));
            }
            return std::future::pending().await;
        }
        let chance = lock(&self.contents).random.random_range(0..1000);
        let detail = "lost".to_owned();
        let lost = || {
            if faults.removed == Some(Guard::LostAnswers) {
                StoreError::Unavailable { detail }
            } else {
                StoreError::AnswerLost { detail }
            }
        };
        let before = faults.lost_before_effect;
        let delayed = before + faults.delayed_effect;
        if chance < before {
            return Err(lost());
        }
        if chance < delayed {
            let contents = Arc::clone(&self.contents);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs(3)).await;
                let _ = apply(&mut lock(&contents));
            });
            return Err(lost());
        }
        let result = apply(&mut lock(&self.contents));
        if chance < delayed + faults.lost_after_effect {
            return Err(lost());
        }
        result
    }
}

type Apply = Box<dyn FnOnce(&mut Contents) -> Result<Revision, StoreError> + Send>;

impl Contents {
    fn check(&self, key: &str, condition: Condition) -> Result<(), StoreError> {
        let current = self.entries.get(key);
        let holds = match condition {
            Condition::Any => true,
            Condition::Absent => current.is_none(),
            Condition::Unchanged(revision) => {
                current.is_some_and(|entry| entry.revision == revision)
            }
        };
        if holds {
            return Ok(());
        }
        Err(StoreError::Conflict {
            current: current.cloned(),
        })
    }
}

impl Store for FakeStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            let faults = self.enter().await?;
            if faults.removed == Some(Guard::SnapshotHead) && key.starts_with("snapshot/") {
                return Ok(None);
            }
            Ok(lock(&self.contents).entries.get(key).cloned())
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: Condition,
        _lease: Option<LeaseId>,
    ) -> StoreFuture<'a, Revision> {
        let key = key.to_owned();
        let ignored = lock(&self.faults).removed == Some(Guard::Conditions);
        let condition = if ignored { Condition::Any } else { condition };
        let apply = move |contents: &mut Contents| {
            contents.check(&key, condition)?;
            contents.revision += 1;
            let revision = Revision(contents.revision);
            let entry = Entry {
                key: key.clone(),
                value,
                revision,
            };
            contents.entries.insert(key, entry);
            Ok(revision)
        };
        Box::pin(self.write(Box::new(apply)))
    }

    fn delete<'a>(&'a self, key: &'a str, condition: Condition) -> StoreFuture<'a, Revision> {
        let key = key.to_owned();
        let apply = move |contents: &mut Contents| {
            contents.check(&key, condition)?;
            contents.revision += 1;
            contents.entries.remove(&key);
            Ok(Revision(contents.revision))
        };
        Box::pin(self.write(Box::new(apply)))
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Vec<Entry>> {
        Box::pin(async move {
            self.enter().await?;
            let contents = lock(&self.contents);
            let from = (Bound::Excluded(after.to_owned()), Bound::Unbounded);
            let found = contents.entries.range(from).map(|(_, entry)| entry);
            let found = found.filter(|entry| entry.key.starts_with(prefix));
            Ok(found.take(limit).cloned().collect())
        })
    }

    fn watch<'a>(
        &'a self,
        _prefix: &'a str,
        _after: Revision,
        _wait_ms: u64,
    ) -> StoreFuture<'a, WatchReply> {
        Box::pin(async { Err(StoreError::Throttled) })
    }

    fn grant_lease(&self, _ttl_ms: u64) -> StoreFuture<'_, LeaseId> {
        Box::pin(async { Err(StoreError::Throttled) })
    }

    fn keep_alive(&self, _lease: LeaseId) -> StoreFuture<'_, ()> {
        Box::pin(async { Err(StoreError::LeaseLapsed) })
    }

    fn revoke_lease(&self, _lease: LeaseId) -> StoreFuture<'_, ()> {
        Box::pin(async { Err(StoreError::LeaseLapsed) })
    }
}

pub const SHARD: ids::ShardId = ids::ShardId(3);

/// Configuration with a budget that does not throttle the tests.
pub fn config(seed: u64) -> journal::Config {
    journal::Config::new(journal::StoreBudget::new(10_000, 1_000), seed)
}

/// Opens the journal of [`SHARD`] over one connection.
pub async fn open(
    store: &FakeStore,
    host: &str,
    epoch: u64,
    config: &journal::Config,
) -> kernel::errors::Result<journal::ShardJournal> {
    let store: Arc<dyn Store> = Arc::new(store.clone());
    let host = ids::HostId::new(host);
    journal::ShardJournal::open(store, SHARD, &host, ids::Epoch(epoch), config.clone()).await
}

/// A batch run with some tasks.
pub fn batch_run(name: &str, tasks: u32) -> work::Work {
    work::Work {
        id: ids::WorkId::new(name),
        team: ids::TeamId::new("quotes"),
        kind: work::WorkKind::BatchRun,
        tasks,
        demand: work::Resources::new(500, 512, 0),
        urgency: work::Urgency::Normal,
        policy: work::Policy::QuickStart,
        run_time_ms: Some(60_000),
        max_attempts: 3,
        zones: Vec::new(),
        idempotent: true,
        slots: 0,
        connections: 0,
        since: ids::ReleaseVersion::default(),
        revision: ids::ReleaseVersion::default(),
    }
}

/// A record that accepts a batch run.
pub fn accepted(name: &str, tasks: u32) -> journal::Record {
    journal::Record::Accepted {
        work: Box::new(batch_run(name, tasks)),
        key: None,
    }
}

/// Names of all jobs in a state, sorted.
pub fn names(state: &journal::ShardState) -> Vec<String> {
    let mut names: Vec<String> = state.jobs().map(|job| job.work().id.to_string()).collect();
    names.sort();
    names
}

/// Seeds of the histories: 100 unless `HICKORY_TEST_SEEDS` gives another number.
pub fn seeds() -> std::ops::Range<u64> {
    let wanted = std::env::var("HICKORY_TEST_SEEDS").ok();
    0..wanted.map_or(100, |count| count.parse().unwrap())
}
