//! Measurements of the journal against the ways that were weighed.
//!
//! Each function runs one load over a given store on tokio's clock and returns
//! what it cost. They serve `cargo xtask measure` and the tests; the figures
//! and their reading are in `docs/design/journal.md` and `docs/design/claims.md`.

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

/// How long one record may wait, in milliseconds.
const WAIT_MS: u64 = 60_000;

/// Places jobs of one task: accepted, assigned and ended, each durable before the next.
///
/// # Errors
///
/// As [`ShardJournal::open`] and [`ShardJournal::append`].
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
                for record in load::life_of_a_task(index) {
                    let applied = journal.append(vec![record], WAIT_MS).await?;
                    debug_assert!(applied.iter().all(|applied| applied.is_changed()));
                }
                Ok(())
            }
        })
        .await?;
    Ok(Traffic::new(load, started, counting.calls(), &waits_ms))
}

/// The same placements with one write for each record.
///
/// # Errors
///
/// Whatever the store refuses.
pub async fn placements_by_write(store: Arc<dyn Store>, load: &Load) -> errors::Result<Traffic> {
    let counting = Arc::new(CountingStore::new(store, load.round_trip_ms));
    let waits_ms = load
        .run(|index| {
            let counting = Arc::clone(&counting);
            async move {
                for (step, record) in load::life_of_a_task(index).into_iter().enumerate() {
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
/// As [`Deduplicator::begin`].
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
                    if let Begin::Send(ticket) = claims.begin(&request, WAIT_MS).await? {
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

/// The same requests with one unique key each and a cache in front of the store.
///
/// # Errors
///
/// Whatever the store refuses.
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

/// What it takes to open a journal on a fresh host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recovery {
    /// Entries in the journal after the snapshot.
    pub entries: u64,
    /// Calls and bytes of the recovery.
    pub calls: Calls,
    /// Its duration in milliseconds.
    pub elapsed_ms: f64,
}

/// Opens a journal with some entries of some tasks each on a fresh host.
///
/// # Errors
///
/// As [`ShardJournal::open`] and [`ShardJournal::append`].
pub async fn recovery(
    store: Arc<dyn Store>,
    mut config: Config,
    entries: u64,
    tasks_per_entry: u64,
    round_trip_ms: u64,
) -> errors::Result<Recovery> {
    config.snapshot_entries = entries + 2;
    let unhurried = Arc::new(CountingStore::new(Arc::clone(&store), 0));
    let mut quick = config.clone();
    quick.batch_delay_ms = 0;
    let journal = open(&unhurried, &quick, 1).await?;
    for entry in 0..entries {
        let tasks = entry * tasks_per_entry..(entry + 1) * tasks_per_entry;
        let records = tasks.flat_map(load::life_of_a_task).collect();
        journal.append(records, WAIT_MS).await?;
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

/// Processor time of the journal for one record, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Processing {
    /// To encode and compress it within its entry.
    pub encode_ns: f64,
    /// To decompress and decode it.
    pub decode_ns: f64,
    /// To apply it to the state.
    pub apply_ns: f64,
}

/// Times the records of some jobs of one task, in entries of `tasks_per_entry` jobs.
///
/// # Errors
///
/// [`errors::ErrorKind::Internal`] if an entry cannot be encoded or applied.
pub fn processing(tasks: u64, tasks_per_entry: u64) -> errors::Result<Processing> {
    let mut state = load::state_of(0, 0)?;
    let mut spent = [Duration::ZERO; 3];
    let mut records = 0;
    for first in (0..tasks).step_by(tasks_per_entry.max(1) as usize) {
        let mut entry =
            load::entry((first..first + tasks_per_entry).flat_map(load::life_of_a_task));
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

/// Bytes of the encoded state for some open jobs, as a measure of its size.
///
/// # Errors
///
/// [`errors::ErrorKind::Internal`] if the state cannot be encoded.
pub fn snapshot_bytes(jobs: u64, tasks_per_job: u32) -> errors::Result<usize> {
    load::state_of(jobs, tasks_per_job)?
        .snapshot()
        .map(|bytes| bytes.len())
}

/// A state with some open jobs, for measurements of memory.
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

/// An entry with one record, as a way without batches would write it.
fn single(record: Record) -> Entry {
    load::entry([record])
}

/// The pause between two operations at a rate.
fn interval(per_s: u32) -> Duration {
    Duration::from_secs(1) / per_s.max(1)
}
