//! Benchmarks of the journal and of the alternatives considered.
//!
//! Each function runs one load against a given store on tokio's clock and returns
//! its cost. They are used by `cargo xtask measure` and the tests; the results are
//! discussed in `docs/design/journal.md` and `docs/design/claims.md`.

mod counting;
mod load;

use std::sync::Arc;
use std::time::Duration;

use kernel::errors;
use kernel::ids;
use platform::store::{Condition, Store};
use tokio::time;

use crate::claims::{Begin, Deduplicator, Request};
use crate::driver::{Config, ShardJournal};
use crate::record::{Entry, Record};
use counting::{CachedKeys, CountingStore};

pub use counting::Calls;
pub use load::{Load, Traffic};

const APPEND_TIMEOUT_MS: u64 = 60_000;

/// Journals jobs of one task: accepted, assigned and ended, each durable before the next.
///
/// # Errors
///
/// Those of [`ShardJournal::open`] and [`ShardJournal::append`].
pub async fn placements_in_journal(
    store: Arc<dyn Store>,
    config: Config,
    load: &Load,
) -> errors::Result<Traffic> {
    let counting = Arc::new(CountingStore::new(store, load.round_trip_ms));
    let journal = Arc::new(open(&counting, &config, 1).await?);
    let started = counting.calls();
    let waits_ms = load
        .run(|index| {
            let journal = Arc::clone(&journal);
            async move {
                for record in load::task_records(index) {
                    let applied = journal.append(vec![record], APPEND_TIMEOUT_MS).await?;
                    debug_assert!(applied.iter().all(|applied| applied.is_changed()));
                }
                Ok(())
            }
        })
        .await?;
    Ok(Traffic::new(load, started, counting.calls(), &waits_ms))
}

/// The same placements with one store write per record.
///
/// # Errors
///
/// Those of the store.
pub async fn placements_by_write(store: Arc<dyn Store>, load: &Load) -> errors::Result<Traffic> {
    let counting = Arc::new(CountingStore::new(store, load.round_trip_ms));
    let waits_ms = load
        .run(|index| {
            let counting = Arc::clone(&counting);
            async move {
                for (step, record) in load::task_records(index).into_iter().enumerate() {
                    let key = format!("records/{index:09}/{step}");
                    let value = single(record).encode()?;
                    counting.put(&key, value, Condition::Absent, None).await?;
                }
                Ok(())
            }
        })
        .await?;
    let calls = counting.calls();
    Ok(Traffic::new(load, Calls::default(), calls, &waits_ms))
}

/// Non-idempotent requests, a fifth of them sent twice, claimed in the journal.
///
/// # Errors
///
/// Those of [`ShardJournal::open`] and [`Deduplicator::begin`].
pub async fn claims_in_journal(
    store: Arc<dyn Store>,
    config: Config,
    load: &Load,
) -> errors::Result<Traffic> {
    let counting = Arc::new(CountingStore::new(store, load.round_trip_ms));
    let journal = Arc::new(open(&counting, &config, 1).await?);
    let claims = Deduplicator::new(journal, ids::HostId::new("measure"));
    let started = counting.calls();
    let waits_ms = load
        .run(|index| {
            let claims = claims.clone();
            async move {
                for copy in 0..load::copies(index) {
                    let request = Request {
                        key: ids::IdempotencyKey::new(load::key(index)),
                        digest: index,
                        attempt_id: index * 2 + copy,
                    };
                    if let Begin::Send(ticket) = claims.begin(&request, APPEND_TIMEOUT_MS).await? {
                        let recorded = ticket.finish(load::answer()).await;
                        recorded.unwrap_or(Ok(()))?;
                    }
                }
                Ok(())
            }
        })
        .await?;
    Ok(Traffic::new(load, started, counting.calls(), &waits_ms))
}

/// The same requests with one unique store key each and a cache in front of the store.
///
/// # Errors
///
/// Those of the store.
pub async fn claims_by_key(store: Arc<dyn Store>, load: &Load) -> errors::Result<Traffic> {
    let counting = Arc::new(CountingStore::new(store, load.round_trip_ms));
    let cache = Arc::new(CachedKeys::new(Arc::clone(&counting)));
    let waits_ms = load
        .run(|index| {
            let cache = Arc::clone(&cache);
            async move {
                let key = format!("claims/{}", load::key(index));
                for _copy in 0..load::copies(index) {
                    let [claimed, answered] = load::claim_records(index).map(single);
                    if cache.claim(&key, claimed.encode()?).await? {
                        cache.answer(&key, answered.encode()?).await?;
                    }
                }
                Ok(())
            }
        })
        .await?;
    let calls = counting.calls();
    Ok(Traffic::new(load, Calls::default(), calls, &waits_ms))
}

/// Cost of opening a journal on a fresh host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recovery {
    /// Entries in the journal after the snapshot.
    pub entries: u64,
    /// Store calls and bytes of the recovery.
    pub calls: Calls,
    /// Duration of the recovery, in milliseconds.
    pub elapsed_ms: f64,
}

/// Writes a journal of `entries` entries and measures opening it on a fresh host.
///
/// # Errors
///
/// Those of [`ShardJournal::open`] and [`ShardJournal::append`].
pub async fn recovery(
    store: Arc<dyn Store>,
    mut config: Config,
    entries: u64,
    tasks_per_entry: u64,
    round_trip_ms: u64,
) -> errors::Result<Recovery> {
    config.snapshot_entries = entries + 2;
    let undelayed = Arc::new(CountingStore::new(Arc::clone(&store), 0));
    let mut unbatched = config.clone();
    unbatched.batch_delay_ms = 0;
    let journal = open(&undelayed, &unbatched, 1).await?;
    for entry in 0..entries {
        let tasks = entry * tasks_per_entry..(entry + 1) * tasks_per_entry;
        let records = tasks.flat_map(load::task_records).collect();
        journal.append(records, APPEND_TIMEOUT_MS).await?;
    }
    drop(journal);
    let counting = Arc::new(CountingStore::new(store, round_trip_ms));
    let started = time::Instant::now();
    let journal = open(&counting, &config, 2).await?;
    let elapsed = started.elapsed();
    drop(journal);
    Ok(Recovery {
        entries,
        calls: counting.calls(),
        elapsed_ms: elapsed.as_secs_f64() * 1e3,
    })
}

/// CPU time of the journal per record, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Processing {
    /// Encoding and compression, as part of an entry.
    pub encode_ns: f64,
    /// Decompression and decoding.
    pub decode_ns: f64,
    /// Application to the state.
    pub apply_ns: f64,
}

/// Measures the records of `tasks` jobs of one task, in entries of `tasks_per_entry` jobs.
///
/// # Errors
///
/// [`errors::ErrorKind::Internal`] if an entry cannot be encoded or applied.
pub fn processing(tasks: u64, tasks_per_entry: u64) -> errors::Result<Processing> {
    let mut state = load::state_of(0, 0)?;
    let mut spent = [Duration::ZERO; 3];
    let mut records = 0;
    for first in (0..tasks).step_by(tasks_per_entry.max(1) as usize) {
        let mut entry = load::entry((first..first + tasks_per_entry).flat_map(load::task_records));
        entry.at_ms = first;
        records += entry.records.len();
        let value = timed(&mut spent[0], || entry.encode())?;
        let decoded = timed(&mut spent[1], || Entry::decode(&value))?;
        timed(&mut spent[2], || state.apply_entry(&decoded))?;
    }
    let [encode_ns, decode_ns, apply_ns] =
        spent.map(|sum| sum.as_secs_f64() * 1e9 / records.max(1) as f64);
    Ok(Processing {
        encode_ns,
        decode_ns,
        apply_ns,
    })
}

/// Runs a step and adds its duration to `spent`.
fn timed<T>(spent: &mut Duration, step: impl FnOnce() -> T) -> T {
    let begun = std::time::Instant::now();
    let result = step();
    *spent += begun.elapsed();
    result
}

/// Size in bytes of the encoded state with the given open jobs.
///
/// # Errors
///
/// [`errors::ErrorKind::Internal`] if the state cannot be encoded.
pub fn snapshot_bytes(jobs: u64, tasks_per_job: u32) -> errors::Result<usize> {
    load::state_of(jobs, tasks_per_job)?
        .snapshot()
        .map(|bytes| bytes.len())
}

/// A state with the given open jobs, for measurements of memory.
///
/// # Errors
///
/// [`errors::ErrorKind::Internal`] if the state does not take the jobs.
pub fn state_of(jobs: u64, tasks_per_job: u32) -> errors::Result<crate::ShardState> {
    load::state_of(jobs, tasks_per_job)
}

async fn open(
    store: &Arc<CountingStore>,
    config: &Config,
    epoch: u64,
) -> errors::Result<ShardJournal> {
    let store: Arc<dyn Store> = Arc::<CountingStore>::clone(store);
    let host = ids::HostId::new("measure");
    let shard = ids::ShardId(0);
    ShardJournal::open(store, shard, &host, ids::Epoch(epoch), config.clone()).await
}

/// An entry with a single record, as written without batching.
fn single(record: Record) -> Entry {
    load::entry([record])
}

/// Interval between the starts of two operations.
fn interval(per_s: u32) -> Duration {
    Duration::from_secs(1) / per_s.max(1)
}
