//! The owner of one journal shard.
//!
//! A [`ShardOwner`] manages one shard under one epoch. It accepts work, assigns tasks to
//! groups, and claims non-idempotent requests. Nothing is answered or sent before it is in the
//! journal: the journal is the only state that outlives the process, and opening it fences
//! earlier owners.

mod assign;
mod balance;
mod jobs;
mod outbox;
mod release_work;
mod reports;

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time;

use journal::{Applied, Record, ShardJournal};
use kernel::errors;
use kernel::ids;
use kernel::random;
use rand::RngExt as _;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{events, journals, shared};

/// Interval of steps without a wake-up.
const TICK_INTERVAL_MS: u64 = 50;
/// Initial delay between attempts to open the journal.
const MIN_OPEN_RETRY_DELAY_MS: u64 = 100;
/// Maximum delay between attempts to open the journal.
const MAX_OPEN_RETRY_DELAY_MS: u64 = 2_000;

/// The owner of one shard under one epoch.
#[derive(Debug)]
pub struct ShardOwner {
    id: ids::ShardId,
    epoch: ids::Epoch,
    shared: Arc<shared::Shared>,
    started_at_ms: u64,
    journal: OnceLock<Arc<ShardJournal>>,
    outbox: Mutex<outbox::Outbox>,
    selector: Mutex<balance::GroupSelector>,
    wake: Notify,
    stopped: CancellationToken,
}

impl ShardOwner {
    /// Starts the owner of a shard; a separate task opens the journal.
    pub fn start(shared: &Arc<shared::Shared>, id: ids::ShardId, epoch: ids::Epoch) -> Arc<Self> {
        let owner = Arc::new(Self {
            id,
            epoch,
            shared: Arc::clone(shared),
            started_at_ms: shared.now_ms(),
            journal: OnceLock::new(),
            outbox: Mutex::default(),
            selector: Mutex::default(),
            wake: Notify::new(),
            stopped: CancellationToken::new(),
        });
        let running = Arc::clone(&owner);
        tokio::spawn(async move {
            let stopped = running.stopped.clone();
            stopped.run_until_cancelled(running.run()).await;
        });
        owner
    }

    /// The shard.
    pub fn id(&self) -> ids::ShardId {
        self.id
    }

    /// The epoch under which this host owns the shard.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// Stops accepting work and assigning tasks.
    pub fn stop(&self) {
        self.stopped.cancel();
    }

    async fn run(self: Arc<Self>) {
        self.open().await;
        let mut ticks = tokio::time::interval(time::Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = self.wake.notified() => {}
                _ = ticks.tick() => {}
            }
            if let Err(error) = self.step().await {
                log::debug!("step of shard {} failed: {error}", self.id);
                if error.kind == errors::ErrorKind::StaleEpoch {
                    kernel::log_event!(events::SHARD_FENCED, "shard {}: {error}", self.id);
                    self.stop();
                    return;
                }
            }
        }
    }

    /// Opens the journal, with retries under jittered exponential backoff.
    async fn open(&self) {
        let mut random = random::from_seed(self.shared.config.seed ^ u64::from(self.id.0));
        let mut pause_ms = MIN_OPEN_RETRY_DELAY_MS;
        loop {
            match journals::open(&self.shared, self.id, self.epoch).await {
                Ok(journal) => {
                    let _ = self.journal.set(Arc::new(journal));
                    kernel::log_event!(
                        events::SHARD_OPENED,
                        "shard {} under epoch {}",
                        self.id,
                        self.epoch
                    );
                    return;
                }
                Err(error) => {
                    kernel::log_event!(events::SHARD_OPEN_FAILED, "shard {}: {error}", self.id);
                    let jittered_ms = random.random_range(pause_ms / 2..=pause_ms);
                    tokio::time::sleep(time::Duration::from_millis(jittered_ms)).await;
                    pause_ms = (pause_ms * 2).min(MAX_OPEN_RETRY_DELAY_MS);
                }
            }
        }
    }

    /// Runs one step of the main loop: applies the release, assigns tasks, sends messages to
    /// groups.
    async fn step(self: &Arc<Self>) -> errors::Result<()> {
        self.apply_release().await?;
        self.assign().await?;
        let recorded = self.record_group_epochs().await;
        self.send_assignments();
        recorded
    }

    /// The journal; fails if it is not open or this host no longer owns the shard.
    fn journal(&self) -> errors::Result<&Arc<ShardJournal>> {
        if self.stopped.is_cancelled() {
            return Err(errors::Error::new(
                errors::ErrorKind::StaleEpoch,
                format!("this host no longer owns shard {}", self.id),
            ));
        }
        self.journal.get().ok_or_else(|| {
            errors::Error::new(
                errors::ErrorKind::StoreUnavailable,
                format!("the journal of shard {} is not open yet", self.id),
            )
        })
    }

    /// Appends records. If the outcome of the write is unknown, the outbox sends everything
    /// again, so that groups receive records that became durable.
    ///
    /// # Errors
    ///
    /// As [`ShardJournal::append`].
    async fn append(&self, records: Vec<Record>) -> errors::Result<Vec<Applied>> {
        let journal = self.journal()?;
        let result = journal
            .append_with_grace(records, journals::APPEND_WAIT_MS, journals::APPEND_GRACE_MS)
            .await;
        if let Err(error) = &result
            && error.kind == errors::ErrorKind::AnswerLost
        {
            let applied_seq = *journal.applied_seq().borrow();
            self.outbox().mark_unsettled(applied_seq);
        }
        result
    }

    /// The journal as a shared handle, for tasks that outlive a request.
    pub(crate) fn shared_journal(&self) -> errors::Result<Arc<ShardJournal>> {
        self.journal().cloned()
    }

    fn outbox(&self) -> MutexGuard<'_, outbox::Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn selector(&self) -> MutexGuard<'_, balance::GroupSelector> {
        self.selector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
