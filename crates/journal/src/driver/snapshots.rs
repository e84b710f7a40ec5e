//! Snapshots in the store, and the trimming of the entries that they replace.
//!
//! A snapshot is written as chunks under a unique prefix and comes into force
//! when the *head* refers to it. The head is updated by compare-and-swap, so
//! that a fenced writer cannot replace a newer snapshot by an older one.
//! Chunks are deleted only after a newer head is in force, and only those of
//! a lower epoch or sequence number, so that a fenced writer cannot delete
//! chunks that its successor has written but not yet referred to.
//!
//! A snapshot is taken once the entries since the last one add up to its size,
//! so that snapshots at most double the bytes written regardless of the size of
//! the state. The number of entries between snapshots is limited as well, which
//! bounds the number of calls of a recovery.
//!
//! Two kinds of entries are not trimmed. The last entry that the snapshot
//! covers is retained, so that a reader detects a gap instead of an empty
//! journal. The latest seals are retained, because the entry after a fenced
//! writer's last one is always a seal: while it is in the store, the fenced
//! writer cannot create that entry.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};

use bytes::Bytes;
use kernel::errors;
use kernel::ids;
use platform::store::{Condition, Revision, StoreError};
use prost::Message;
use tokio::task;

use super::config::Config;
use super::keys;
use super::paced::PacedStore;
use super::recovery::RecoveryError;
use super::shared::Shared;
use crate::events;
use crate::record;
use crate::state::{Limits, ShardState};

/// Maximum number of entries between snapshots, as a multiple of the configured minimum.
const MAX_SNAPSHOT_INTERVAL_FACTOR: u64 = 8;
const MAX_SNAPSHOT_CHUNKS: u32 = 512;
/// Maximum size of a head after decompression.
const MAX_HEAD_BYTES: usize = 64 * 1024;

#[derive(Clone, PartialEq, prost::Message)]
struct HeadMessage {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(string, tag = "2")]
    prefix: String,
    #[prost(uint32, tag = "3")]
    chunks: u32,
    #[prost(uint64, tag = "4")]
    trimmed_seq: u64,
    #[prost(uint64, tag = "5")]
    bytes: u64,
}

/// The head of the snapshot in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Head {
    /// Sequence number of the last entry that the snapshot covers.
    pub seq: u64,
    prefix: String,
    chunks: u32,
    /// All entries up to this one, except seals, were trimmed before the snapshot was taken.
    trimmed_seq: u64,
    /// Total size of the chunks.
    bytes: u64,
    revision: Revision,
}

/// Reads the head of the snapshot in force.
pub(super) async fn read_head(
    store: &PacedStore,
    shard: ids::ShardId,
) -> Result<Option<Head>, RecoveryError> {
    let Some(stored) = store.get(&keys::snapshot_head(shard)).await? else {
        return Ok(None);
    };
    let plain = record::decompress(&stored.value, MAX_HEAD_BYTES)?;
    let message = HeadMessage::decode(plain.as_slice()).map_err(|error| {
        let detail = "malformed head of a snapshot";
        errors::Error::with_source(errors::ErrorKind::Internal, detail, error)
    })?;
    Ok(Some(Head {
        seq: message.seq,
        prefix: message.prefix,
        chunks: message.chunks.min(MAX_SNAPSHOT_CHUNKS),
        trimmed_seq: message.trimmed_seq,
        bytes: message.bytes,
        revision: stored.revision,
    }))
}

/// Reads the snapshot that a head refers to; `None` if a newer one has replaced it.
pub(super) async fn read(
    store: &PacedStore,
    shard: ids::ShardId,
    head: &Head,
    limits: Limits,
) -> Result<Option<ShardState>, RecoveryError> {
    let mut bytes = Vec::new();
    for index in 0..head.chunks {
        let Some(chunk) = store.get(&keys::chunk(&head.prefix, index)).await? else {
            let newer = read_head(store, shard).await?;
            if newer.as_ref() == Some(head) {
                let detail = format!("chunk {index} of {} is missing", head.prefix);
                let error = errors::Error::new(errors::ErrorKind::Internal, detail);
                return Err(RecoveryError::Permanent(error));
            }
            return Ok(None);
        };
        bytes.extend_from_slice(&chunk.value);
    }
    Ok(Some(ShardState::restore(&bytes, limits)?))
}

/// Takes snapshots of one journal, one at a time.
#[derive(Debug)]
pub(super) struct Snapshots {
    work: Arc<tokio::sync::Mutex<Snapshotter>>,
    running: Option<task::JoinHandle<()>>,
    entries: u64,
    bytes: u64,
    entries_limit: u64,
    /// Size of the last snapshot, in bytes.
    last_bytes: Arc<AtomicU64>,
}

impl Snapshots {
    pub fn new(
        store: PacedStore,
        config: &Config,
        session: u64,
        recovered: &super::Recovered,
    ) -> Self {
        let snapshot_seq = recovered.head.as_ref().map_or(0, |head| head.seq);
        let last_bytes = recovered.head.as_ref().map_or(0, |head| head.bytes);
        let last_bytes = Arc::new(AtomicU64::new(last_bytes));
        let snapshotter = Snapshotter {
            store,
            last_bytes: Arc::clone(&last_bytes),
            chunk_bytes: config.chunk_bytes,
            session,
            head: recovered.head.clone(),
            seals: recovered.state.seals().collect(),
        };
        Self {
            work: Arc::new(tokio::sync::Mutex::new(snapshotter)),
            running: None,
            entries: recovered.state.seq() - snapshot_seq,
            bytes: 0,
            entries_limit: config.snapshot_entries,
            last_bytes,
        }
    }

    /// Counts an entry and starts a snapshot if one is due and none is in progress.
    pub fn after_entry(&mut self, shared: &Arc<Shared>, bytes: usize) {
        self.entries += 1;
        self.bytes += bytes as u64;
        let is_threshold_reached = self.bytes >= self.last_bytes.load(Ordering::Relaxed)
            || self.entries >= self.entries_limit * MAX_SNAPSHOT_INTERVAL_FACTOR;
        let is_due = self.entries >= self.entries_limit && is_threshold_reached;
        let is_running = self
            .running
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if !is_due || is_running {
            return;
        }
        self.entries = 0;
        self.bytes = 0;
        let work = Arc::clone(&self.work);
        let shared = Arc::clone(shared);
        self.running = Some(tokio::spawn(async move {
            work.lock().await.run(&shared).await;
        }));
    }
}

impl Drop for Snapshots {
    fn drop(&mut self) {
        if let Some(running) = &self.running {
            running.abort();
        }
    }
}

/// The state at one entry, encoded.
#[derive(Debug)]
struct SnapshotImage {
    seq: u64,
    epoch: ids::Epoch,
    seals: Vec<u64>,
    bytes: Bytes,
}

impl SnapshotImage {
    fn capture(state: &ShardState) -> errors::Result<Self> {
        Ok(Self {
            seq: state.seq(),
            epoch: state.epoch(),
            seals: state.seals().collect(),
            bytes: state.snapshot()?,
        })
    }
}

#[derive(Debug)]
struct Snapshotter {
    store: PacedStore,
    chunk_bytes: usize,
    session: u64,
    head: Option<Head>,
    /// Sequence numbers of the seals that earlier trimming retained.
    seals: Vec<u64>,
    last_bytes: Arc<AtomicU64>,
}

impl Snapshotter {
    async fn run(&mut self, shared: &Shared) {
        let image =
            SnapshotImage::capture(&shared.state.read().unwrap_or_else(PoisonError::into_inner));
        let written = match image {
            Ok(image) => self.write(shared.shard, &image).await.map(|()| image),
            Err(error) => Err(error),
        };
        match written {
            Ok(image) => {
                kernel::log_event!(events::SNAPSHOT, "shard {} at {}", shared.shard, image.seq);
                self.trim(shared.shard, &image).await;
            }
            Err(error) => {
                kernel::log_event!(events::SNAPSHOT_FAILED, "shard {}: {error}", shared.shard);
            }
        }
    }

    async fn write(&mut self, shard: ids::ShardId, image: &SnapshotImage) -> errors::Result<()> {
        let bytes = image.bytes.len();
        self.last_bytes.store(bytes as u64, Ordering::Relaxed);
        let chunks = bytes.div_ceil(self.chunk_bytes) as u32;
        if chunks > MAX_SNAPSHOT_CHUNKS {
            let detail = format!("a snapshot of {bytes} bytes is too large");
            return Err(errors::Error::new(errors::ErrorKind::TooLarge, detail));
        }
        let prefix = keys::snapshot(shard, image.epoch, image.seq, self.session);
        for (index, chunk) in (0..).zip(image.bytes.chunks(self.chunk_bytes)) {
            let key = keys::chunk(&prefix, index);
            let value = image.bytes.slice_ref(chunk);
            self.store.put(&key, value, Condition::Any).await?;
        }
        let message = HeadMessage {
            seq: image.seq,
            prefix,
            chunks,
            trimmed_seq: self.trimmed_seq(),
            bytes: bytes as u64,
        };
        self.install(shard, &message).await
    }

    /// Entries up to this one, except seals, were trimmed after the previous snapshot.
    fn trimmed_seq(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.trimmed_seq)
    }

    /// Installs the head unless a newer one is in force.
    async fn install(&mut self, shard: ids::ShardId, message: &HeadMessage) -> errors::Result<()> {
        let key = keys::snapshot_head(shard);
        let condition = match &self.head {
            None => Condition::Absent,
            Some(head) => Condition::Unchanged(head.revision),
        };
        let value = record::compress(&message.encode_to_vec())?;
        let put = self.store.put(&key, value, condition).await;
        if let Err(error @ (StoreError::Conflict { .. } | StoreError::AnswerLost { .. })) = put {
            let current = read_head(&self.store, shard)
                .await
                .map_err(|failure| match failure {
                    RecoveryError::Store(error) => errors::Error::from(error),
                    RecoveryError::Permanent(error) => error,
                })?;
            let is_ours = current
                .as_ref()
                .is_some_and(|head| head.prefix == message.prefix);
            // The next attempt is conditional on the current head, if that one is older.
            if current.as_ref().is_none_or(|head| head.seq <= message.seq) {
                self.head = current;
            }
            return if is_ours { Ok(()) } else { Err(error.into()) };
        }
        self.head = Some(Head {
            seq: message.seq,
            prefix: message.prefix.clone(),
            chunks: message.chunks,
            trimmed_seq: message.trimmed_seq,
            bytes: message.bytes,
            revision: put?,
        });
        Ok(())
    }

    /// Deletes the entries that the snapshot in force replaces; failed deletions are retried
    /// after the next snapshot.
    async fn trim(&mut self, shard: ids::ShardId, image: &SnapshotImage) {
        let seals = &image.seals;
        let dropped = self.seals.iter().filter(|seq| !seals.contains(seq));
        let entries = (self.trimmed_seq() + 1..image.seq).filter(|seq| !seals.contains(seq));
        let entries: Vec<u64> = dropped.copied().chain(entries).collect();
        for seq in entries {
            if self.store.delete(&keys::entry(shard, seq)).await.is_err() {
                return;
            }
        }
        self.seals.clone_from(seals);
        if let Some(head) = &mut self.head {
            head.trimmed_seq = image.seq.saturating_sub(1);
        }
        let _ = self.delete_older_chunks(shard).await;
    }

    async fn delete_older_chunks(&self, shard: ids::ShardId) -> Result<(), StoreError> {
        let Some(head) = &self.head else {
            return Ok(());
        };
        let prefix = keys::snapshot_chunks(shard);
        loop {
            // Prefixes sort by epoch and sequence number, so older snapshots come first.
            let found = self.store.range(&prefix, &prefix).await?;
            let older = found.iter().map(|entry| &entry.key);
            let older: Vec<&String> = older.filter(|key| **key < head.prefix).collect();
            if older.is_empty() {
                return Ok(());
            }
            for key in older {
                self.store.delete(key).await?;
            }
        }
    }
}
