//! Snapshots in the store, and the trimming of entries that they replace.
//!
//! A snapshot is written as chunks under a prefix of its own and comes into
//! force when the *head* names it. The head is changed by compare-and-swap, so
//! a writer that was fenced cannot put an older snapshot over a newer one.
//! Chunks are deleted only after a newer head is in force, and only those of
//! lower epoch or number, so that a fenced writer cannot delete chunks which
//! its successor is about to name.
//!
//! Two kinds of entries outlive trimming. The entry that the snapshot ends
//! with stays, so that a reader sees a gap instead of an empty journal. The
//! latest seals stay, because the number after a fenced writer's last entry is
//! always that of a seal: as long as it is in the store, the fenced writer
//! cannot create it.

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
use super::recovery::Failure;
use super::shared::Shared;
use crate::events;
use crate::record;
use crate::state::{Limits, ShardState};

/// Size of entries after which a snapshot is taken, in bytes after compression.
const SNAPSHOT_ENTRY_BYTES: usize = 8 * 1024 * 1024;
/// Most chunks of a snapshot.
const CHUNK_LIMIT: u32 = 512;
/// Largest head after decompression, in bytes.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

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
}

/// The head of the snapshot in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Head {
    /// The last entry that the snapshot contains.
    pub seq: u64,
    prefix: String,
    chunks: u32,
    /// All entries up to this one had been trimmed before the snapshot.
    trimmed_seq: u64,
    revision: Revision,
}

/// Reads the head of the snapshot in force.
pub(super) async fn read_head(
    store: &PacedStore,
    shard: ids::ShardId,
) -> Result<Option<Head>, Failure> {
    let Some(stored) = store.get(&keys::snapshot_head(shard)).await? else {
        return Ok(None);
    };
    let plain = record::decompress(&stored.value, HEAD_LIMIT_BYTES)?;
    let message = HeadMessage::decode(plain.as_slice()).map_err(|error| {
        let detail = "malformed head of a snapshot";
        errors::Error::with_source(errors::ErrorKind::Internal, detail, error)
    })?;
    Ok(Some(Head {
        seq: message.seq,
        prefix: message.prefix,
        chunks: message.chunks.min(CHUNK_LIMIT),
        trimmed_seq: message.trimmed_seq,
        revision: stored.revision,
    }))
}

/// Reads the snapshot that a head names; `None` if a newer one has replaced it meanwhile.
pub(super) async fn read(
    store: &PacedStore,
    shard: ids::ShardId,
    head: &Head,
    limits: Limits,
) -> Result<Option<ShardState>, Failure> {
    let mut bytes = Vec::new();
    for index in 0..head.chunks {
        let Some(chunk) = store.get(&keys::chunk(&head.prefix, index)).await? else {
            let newer = read_head(store, shard).await?;
            if newer.as_ref() == Some(head) {
                let detail = format!("chunk {index} of {} is missing", head.prefix);
                let error = errors::Error::new(errors::ErrorKind::Internal, detail);
                return Err(Failure::Final(error));
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
    bytes: usize,
    entries_limit: u64,
}

impl Snapshots {
    pub fn new(
        store: PacedStore,
        config: &Config,
        session: u64,
        recovered: &super::Recovered,
    ) -> Self {
        let snapshot_seq = recovered.head.as_ref().map_or(0, |head| head.seq);
        let snapshotter = Snapshotter {
            store,
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
        }
    }

    /// Counts an entry and takes a snapshot if it is time and none is being taken.
    pub fn after_entry(&mut self, shared: &Arc<Shared>, bytes: usize) {
        self.entries += 1;
        self.bytes += bytes;
        let is_due = self.entries >= self.entries_limit || self.bytes >= SNAPSHOT_ENTRY_BYTES;
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

#[derive(Debug)]
struct Snapshotter {
    store: PacedStore,
    chunk_bytes: usize,
    session: u64,
    head: Option<Head>,
    /// Seals that earlier trimming left in the store.
    seals: Vec<u64>,
}

impl Snapshotter {
    async fn run(&mut self, shared: &Shared) {
        let state = {
            let state = shared.state.read();
            state.unwrap_or_else(PoisonError::into_inner).clone()
        };
        match self.write(shared.shard, &state).await {
            Ok(()) => {
                kernel::log_event!(
                    events::SNAPSHOT,
                    "shard {} at {}",
                    shared.shard,
                    state.seq()
                );
                self.trim(shared.shard, &state).await;
            }
            Err(error) => {
                kernel::log_event!(events::SNAPSHOT_FAILED, "shard {}: {error}", shared.shard);
            }
        }
    }

    async fn write(&mut self, shard: ids::ShardId, state: &ShardState) -> errors::Result<()> {
        let bytes = state.snapshot()?;
        let prefix = keys::snapshot(shard, state.epoch(), state.seq(), self.session);
        let mut chunks = 0;
        for chunk in bytes.chunks(self.chunk_bytes) {
            let key = keys::chunk(&prefix, chunks);
            let value = Bytes::copy_from_slice(chunk);
            self.store.put(&key, value, Condition::Any).await?;
            chunks += 1;
        }
        if chunks > CHUNK_LIMIT {
            let detail = format!("a snapshot of {} bytes is too large", bytes.len());
            return Err(errors::Error::new(errors::ErrorKind::TooLarge, detail));
        }
        let message = HeadMessage {
            seq: state.seq(),
            prefix,
            chunks,
            trimmed_seq: self.trimmed_seq(),
        };
        self.install(shard, &message).await
    }

    /// Entries up to this one were trimmed after the snapshot before.
    fn trimmed_seq(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.trimmed_seq)
    }

    /// Puts the head in force unless a newer one is there.
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
                    Failure::Store(error) => errors::Error::from(error),
                    Failure::Final(error) => error,
                })?;
            let is_ours = current
                .as_ref()
                .is_some_and(|head| head.prefix == message.prefix);
            // The next try starts from the head that is there now, if it is an older one.
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
            revision: put?,
        });
        Ok(())
    }

    /// Deletes what the snapshot in force replaces; whatever fails is tried after the next one.
    async fn trim(&mut self, shard: ids::ShardId, state: &ShardState) {
        let seals: Vec<u64> = state.seals().collect();
        let dropped = self.seals.iter().filter(|seq| !seals.contains(seq));
        let entries = (self.trimmed_seq() + 1..state.seq()).filter(|seq| !seals.contains(seq));
        let entries: Vec<u64> = dropped.copied().chain(entries).collect();
        for seq in entries {
            if self.store.delete(&keys::entry(shard, seq)).await.is_err() {
                return;
            }
        }
        self.seals = seals;
        if let Some(head) = &mut self.head {
            head.trimmed_seq = state.seq().saturating_sub(1);
        }
        let _ = self.delete_older_chunks(shard).await;
    }

    async fn delete_older_chunks(&self, shard: ids::ShardId) -> Result<(), StoreError> {
        let Some(head) = &self.head else {
            return Ok(());
        };
        let prefix = keys::snapshot_chunks(shard);
        loop {
            // Prefixes sort as epoch and number, so the older ones come first.
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
