//! The journal of one shard: recovery, group commit, fencing and snapshots.

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

pub use config::{Config, MAX_BATCH_BYTES};
pub use shared::Status;

/// Interval at which an append past its deadline is checked for withdrawal.
const WITHDRAW_POLL_INTERVAL_MS: u64 = 20;

/// The journal of one shard, open for writing.
///
/// Dropping it stops the writer. Records that are not durable are refused, or
/// answered with `answer_lost` if their write is in flight.
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
    /// - [`errors::ErrorKind::StaleEpoch`]: the journal is written under a higher epoch.
    /// - [`errors::ErrorKind::StoreUnavailable`]: not completed within the configured timeout.
    /// - [`errors::ErrorKind::Internal`]: the journal is malformed or incomplete.
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

    /// The shard that the journal belongs to.
    pub fn shard(&self) -> ids::ShardId {
        self.shared.shard
    }

    /// The epoch of this writer.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// The durable state.
    ///
    /// The writer cannot apply entries while the guard is held.
    pub fn state(&self) -> RwLockReadGuard<'_, ShardState> {
        let state = self.shared.state.read();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// A receiver of the journal's status.
    pub fn status(&self) -> watch::Receiver<Status> {
        self.shared.status.subscribe()
    }

    /// A receiver of the sequence number of the last applied entry.
    pub fn applied_seq(&self) -> watch::Receiver<u64> {
        self.shared.seq.subscribe()
    }

    /// Appends records; the future resolves when they are durable and applied.
    ///
    /// The records are queued when this function is called, in order, and are written in
    /// one entry. The result states for each record whether it took effect; a record that
    /// was ignored must not be acted upon.
    ///
    /// # Errors
    ///
    /// - [`errors::ErrorKind::StoreUnavailable`]: not durable within `wait_ms`, and never will be.
    /// - [`errors::ErrorKind::StaleEpoch`]: another host writes the journal; the records
    ///   are not durable and never will be.
    /// - [`errors::ErrorKind::AnswerLost`]: the outcome was unknown after `wait_ms`; the records
    ///   may be or become durable, in which case [`state`](Self::state) contains them.
    /// - [`errors::ErrorKind::TooLarge`]: the records exceed the size of one entry.
    /// - [`errors::ErrorKind::Draining`]: the journal was closed.
    pub fn append(
        &self,
        records: Vec<Record>,
        wait_ms: u64,
    ) -> impl Future<Output = errors::Result<Vec<Applied>>> + Send + 'static + use<> {
        self.append_with_grace(records, wait_ms, 0)
    }

    /// Like [`append`](Self::append), but waits up to `grace_ms` longer for a write that is in
    /// flight at the deadline, whose outcome decides whether the records are durable.
    ///
    /// # Errors
    ///
    /// Those of [`append`](Self::append); [`errors::ErrorKind::AnswerLost`] only if the outcome of
    /// the write in flight is still unknown after `grace_ms`.
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
                // The answer may have arrived between the deadline and the check of the queue.
                if let Ok(answer) = answer.try_recv() {
                    return answer;
                }
                if time::Instant::now() >= last {
                    return Err(answer_lost());
                }
                let pause = Duration::from_millis(WITHDRAW_POLL_INTERVAL_MS);
                if let Ok(answer) = time::timeout(pause, &mut answer).await {
                    return answer.unwrap_or_else(|_| Err(answer_lost()));
                }
            }
        }
    }

    /// Refuses further records and waits until all accepted ones have an outcome.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::StoreUnavailable`] if that takes longer than `wait_ms`.
    pub async fn close(&self, wait_ms: u64) -> errors::Result<()> {
        self.shared
            .queue()
            .stop_accepting(errors::ErrorKind::Draining);
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
                "the journal was closed before all records were durable",
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
        "the store has not confirmed whether the records are durable",
    )
}
