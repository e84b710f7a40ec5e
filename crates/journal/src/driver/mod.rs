//! The journal of one shard: recovery, group commit, fencing, snapshots.

mod config;
mod keys;
mod paced;
mod queue;
mod recovery;
mod shared;
mod snapshots;
mod writer;

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, RwLockReadGuard};
use std::time::Duration;

use kernel::errors;
use kernel::ids;
use platform::store::Store;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::events;
use crate::record::{Entry, Record};
use crate::state::{Applied, ShardState};
use queue::Withdrawal;
use recovery::Recovered;
use shared::Shared;

pub use config::{BATCH_LIMIT_BYTES, Config};
pub use shared::Status;

/// Pause between looks whether an append can be withdrawn.
const WITHDRAW_POLL_MS: u64 = 20;

/// The journal of one shard, open for writing.
///
/// Dropping it stops the writer; records that were not durable are refused, or
/// answered `answer_lost` if their write was under way.
#[derive(Debug)]
pub struct ShardJournal {
    shared: Arc<Shared>,
    writer: task::JoinHandle<()>,
    epoch: ids::Epoch,
}

impl ShardJournal {
    /// Recovers the shard's state from the store and fences all earlier writers.
    ///
    /// # Errors
    ///
    /// - [`errors::ErrorKind::StaleEpoch`]: a higher epoch has the journal.
    /// - [`errors::ErrorKind::StoreUnavailable`]: not done within the configured time.
    /// - [`errors::ErrorKind::Internal`]: the journal cannot be read.
    pub async fn open(
        store: Arc<dyn Store>,
        shard: ids::ShardId,
        host: &ids::HostId,
        epoch: ids::Epoch,
        config: Config,
    ) -> errors::Result<Self> {
        let opening = config.openings.fetch_add(1, Ordering::Relaxed);
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        let session = hasher.hash_one((config.seed, shard, opening));
        let paced = paced::PacedStore::new(store, &config, session);
        let seal = Entry {
            epoch,
            writer: host.clone(),
            session,
            batch: 0,
            at_ms: 0,
            records: Vec::new(),
        };
        let opener = recovery::Opener {
            store: &paced,
            shard,
            limits: config.limits,
            seal: seal.clone(),
        };
        let limit = Duration::from_millis(config.open_timeout_ms);
        let Ok(recovered) = time::timeout(limit, opener.open()).await else {
            let detail = format!("journal of shard {shard} not opened in {limit:?}");
            return Err(errors::Error::new(
                errors::ErrorKind::StoreUnavailable,
                detail,
            ));
        };
        let recovered = recovered.inspect_err(|error| {
            if error.kind == errors::ErrorKind::Internal {
                kernel::log_event!(events::CORRUPT, "shard {shard}: {error}");
            }
        })?;
        kernel::log_event!(
            events::OPENED,
            "shard {shard} at {} under epoch {epoch}",
            recovered.state.seq()
        );
        Ok(Self::start(paced, shard, config, seal, recovered))
    }

    fn start(
        store: paced::PacedStore,
        shard: ids::ShardId,
        config: Config,
        mut header: Entry,
        recovered: Recovered,
    ) -> Self {
        header.at_ms = recovered.state.time_ms();
        let epoch = header.epoch;
        let snapshots =
            snapshots::Snapshots::new(store.clone(), &config, header.session, &recovered);
        let common = Arc::new(Shared::new(shard, recovered.state));
        let writer = writer::Writer {
            shared: Arc::clone(&common),
            store,
            config,
            snapshots,
            header,
            opened_at: time::Instant::now(),
        };
        Self {
            shared: common,
            writer: tokio::spawn(writer.run()),
            epoch,
        }
    }

    /// The shard.
    pub fn shard(&self) -> ids::ShardId {
        self.shared.shard
    }

    /// The epoch under which this host writes.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// The durable state.
    ///
    /// The guard keeps the writer from applying entries; drop it soon.
    pub fn state(&self) -> RwLockReadGuard<'_, ShardState> {
        let state = self.shared.state.read();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether records are taken, and a way to wait for a change of it.
    pub fn status(&self) -> watch::Receiver<Status> {
        self.shared.status.subscribe()
    }

    /// The number of the last applied entry, and a way to wait for the next one.
    pub fn applied_seq(&self) -> watch::Receiver<u64> {
        self.shared.seq.subscribe()
    }

    /// Appends records; the future resolves when they are durable and applied.
    ///
    /// The records are queued at once, in order, and in one entry. The answer says
    /// for each record whether it counted; only one that did may be acted upon.
    ///
    /// # Errors
    ///
    /// - [`errors::ErrorKind::StoreUnavailable`]: not durable within `wait_ms`, and never will be.
    /// - [`errors::ErrorKind::StaleEpoch`]: another host has the journal; the records
    ///   are not durable and never will be.
    /// - [`errors::ErrorKind::AnswerLost`]: not settled within `wait_ms`; the records may
    ///   be or become durable, which [`state`](Self::state) shows if they do.
    /// - [`errors::ErrorKind::TooLarge`]: the records do not fit one entry.
    /// - [`errors::ErrorKind::Draining`]: the journal was closed.
    pub fn append(
        &self,
        records: Vec<Record>,
        wait_ms: u64,
    ) -> impl Future<Output = errors::Result<Vec<Applied>>> + Send + 'static + use<> {
        self.append_with_grace(records, wait_ms, 0)
    }

    /// Appends records as [`append`](Self::append) does, but waits a little longer if a write is
    /// under way when the time is up, since its outcome tells whether the records are durable.
    ///
    /// # Errors
    ///
    /// As [`append`](Self::append); [`errors::ErrorKind::AnswerLost`] only if the write under way
    /// is not settled within `grace_ms` either.
    pub fn append_with_grace(
        &self,
        records: Vec<Record>,
        wait_ms: u64,
        grace_ms: u64,
    ) -> impl Future<Output = errors::Result<Vec<Applied>>> + Send + 'static + use<> {
        let deadline = time::Instant::now() + Duration::from_millis(wait_ms);
        let queued = self.shared.queue().push(records);
        self.shared.wake.notify_one();
        let shared = Arc::clone(&self.shared);
        async move {
            let (id, mut answer) = queued?;
            if let Ok(answer) = time::timeout_at(deadline, &mut answer).await {
                return answer.unwrap_or_else(|_| Err(answer_lost()));
            }
            let last = deadline + Duration::from_millis(grace_ms);
            loop {
                if shared.queue().withdraw(id) == Withdrawal::Withdrawn {
                    return Err(errors::Error::new(
                        errors::ErrorKind::StoreUnavailable,
                        format!("not durable within {wait_ms} ms"),
                    ));
                }
                // The answer may have come between the deadline and the look at the queue.
                if let Ok(answer) = answer.try_recv() {
                    return answer;
                }
                if time::Instant::now() >= last {
                    return Err(answer_lost());
                }
                let pause = Duration::from_millis(WITHDRAW_POLL_MS);
                if let Ok(answer) = time::timeout(pause, &mut answer).await {
                    return answer.unwrap_or_else(|_| Err(answer_lost()));
                }
            }
        }
    }

    /// Takes no more records and waits until those that were taken are settled.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::StoreUnavailable`] if that takes longer than `wait_ms`.
    pub async fn close(&self, wait_ms: u64) -> errors::Result<()> {
        self.shared.queue().stop_taking(errors::ErrorKind::Draining);
        let mut applied = self.applied_seq();
        let settled = async {
            while !self.shared.queue().is_empty() {
                if applied.changed().await.is_err() {
                    return;
                }
            }
        };
        let limit = Duration::from_millis(wait_ms);
        let Ok(()) = time::timeout(limit, settled).await else {
            return Err(errors::Error::new(
                errors::ErrorKind::StoreUnavailable,
                "records were not durable when the journal had to close",
            ));
        };
        self.shared.set_status(Status::Closed);
        Ok(())
    }
}

impl Drop for ShardJournal {
    fn drop(&mut self) {
        self.writer.abort();
        let mut queue = self.shared.queue();
        queue.close(errors::ErrorKind::Draining, "the journal was closed");
        queue.refuse_batch(errors::ErrorKind::AnswerLost, "the journal was closed");
        drop(queue);
        self.shared.set_status(Status::Closed);
    }
}

fn answer_lost() -> errors::Error {
    errors::Error::new(
        errors::ErrorKind::AnswerLost,
        "the store has not said whether the records are durable",
    )
}
