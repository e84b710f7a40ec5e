//! Group commit of accepted jobs and of task results.
//!
//! Each transaction is conditional on our leader key and on the last known revision of each record,
//! so that a transaction applied late, after its retry, changes nothing.

use std::{iter, ops::ControlFlow, rc::Rc, sync::Arc, time::Duration};

use adapter::store::{Committed, Item, MAX_TXN_ENTRIES, StoreError, Txn};
use cell::{
    coordinator::{ChangeLimits, RecordChange},
    ids::JobId,
    jobs::{JobRecord, Outcome},
    outage::{self, Health, RequestDecision},
};
use kernel::log_event;
use prost::Message;
use tokio::{
    sync::{Semaphore, oneshot},
    time,
};

use super::{Leader, Submission, arrivals::AppliedArrival};
use crate::{
    clock, events,
    records::{self, LEADER_KEY, ROSTER_KEY, Roster},
};

/// Delay in which further jobs join a commit while a client waits for it.
const BATCH_DELAY: Duration = Duration::from_millis(12);
/// Minimum time between the starts of two commits.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(40);
/// The same while the network link is close to its limit: more ends go into one write of a record.
const SATURATED_COMMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Records written by one transaction: each needs a condition, a put, and a put or deletion of its
/// payload, and the transaction has one more condition on the leader key.
const MAX_WRITES_PER_TXN: usize = (MAX_TXN_ENTRIES - 1) / 3;
/// Maximum concurrent transactions with accepted jobs.
const MAX_PARALLEL_ACCEPTS: usize = 8;
/// Maximum concurrent transactions with task results.
const MAX_PARALLEL_COMMITS: usize = 12;
/// Concurrent transactions with task results of which only ended jobs are part.
const RESERVED_COMMITS: usize = 4;
/// Maximum size of the records that one transaction writes, in bytes; a larger record is written alone.
const MAX_TXN_BYTES: usize = 256 << 10;
/// Maximum memory of the records of open jobs that are being written, in bytes.
const MAX_OPEN_BYTES: u64 = 4 << 20;
/// Failed commits are logged at most once in this time, in milliseconds.
const FAILURE_LOG_INTERVAL_MS: u64 = 500;
/// Interval at which jobs that wait for a failing store are checked.
const STALLED_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Delay after a failed commit.
const RETRY_DELAY: Duration = Duration::from_millis(90);

/// A record to be written to the store.
#[derive(Debug)]
struct Write {
    id: JobId,
    record: Rc<JobRecord>,
    expected: u64,
    /// Payload of a new job; empty otherwise.
    payload: String,
    /// The record is that of a new job.
    is_new_job: bool,
    /// Receives the outcome for a new job.
    accepted: Option<oneshot::Sender<bool>>,
}

/// Commits accepted jobs until the term ends. Transactions run concurrently: they write different
/// records, and must not queue behind one another on a slow store. Their number is bounded; at the
/// bound, jobs wait for the next transaction. Nothing is sent to a store whose answers are overdue,
/// because that would leave more jobs in doubt.
pub(super) async fn accept(leader: Rc<Leader>) {
    let slots = Arc::new(Semaphore::new(MAX_PARALLEL_ACCEPTS));
    loop {
        if leader.submissions.borrow().is_empty() {
            leader.submitted.notified().await;
        }
        time::sleep(BATCH_DELAY).await;
        let health = leader.context.store.health();
        let slot = Arc::clone(&slots).try_acquire_owned();
        // Jobs in doubt may hold all slots until the store recovers.
        let (Health::Serving, Ok(slot)) = (health, slot) else {
            leader.reject_waiting(health);
            leader.context.store.recovered(STALLED_RETRY_DELAY).await;
            continue;
        };
        let batch = leader.next_submissions();
        if batch.is_empty() {
            continue;
        }
        let committing = Rc::clone(&leader);
        leader.spawn(async move {
            committing.commit_batch(batch).await;
            drop(slot);
        });
    }
}

/// Commits task results until the term ends. Transactions run concurrently, since each record is
/// in at most one of them: with a slow store, the end of a job does not wait for other jobs' writes.
pub(super) async fn run(leader: Rc<Leader>) {
    let slots = Arc::new(Semaphore::new(MAX_PARALLEL_COMMITS));
    loop {
        if !leader.coordinator.borrow().has_changes() {
            leader.commit.notified().await;
        }
        time::sleep(BATCH_DELAY).await;
        let began = time::Instant::now();
        let free = slots.available_permits();
        let limits = ChangeLimits {
            records: free * MAX_WRITES_PER_TXN,
            open_records: free.saturating_sub(RESERVED_COMMITS) * MAX_WRITES_PER_TXN,
            open_bytes: MAX_OPEN_BYTES,
        };
        let mut changes = leader
            .coordinator
            .borrow_mut()
            .take_changes(limits)
            .into_iter()
            .peekable();
        loop {
            let mut left_bytes = MAX_TXN_BYTES;
            let next = iter::from_fn(|| {
                let fits = |change: &RecordChange| take_size(&mut left_bytes, &change.record);
                changes.next_if(fits)
            });
            let batch: Vec<RecordChange> = next.take(MAX_WRITES_PER_TXN).collect();
            if batch.is_empty() {
                break;
            }
            let slot = Arc::clone(&slots).acquire_owned().await;
            let committing = Rc::clone(&leader);
            leader.spawn(async move {
                if committing.commit_changes(&batch).await {
                    committing.finish_commit(&batch);
                    drop(slot);
                }
            });
        }
        // Ends without an effect on any record are acknowledged without a commit.
        leader.committed.notify_waiters();
        if !leader.applied_arrivals.borrow().is_empty() {
            let deleting = Rc::clone(&leader);
            leader.spawn(async move { deleting.delete_arrivals().await });
        }
        let interval = if leader.is_link_saturated() {
            SATURATED_COMMIT_INTERVAL
        } else {
            MIN_COMMIT_INTERVAL
        };
        time::sleep_until(began + interval).await;
    }
}

/// Takes the size of a record from what is left of a transaction; false if there is too little of it.
fn take_size(left_bytes: &mut usize, record: &JobRecord) -> bool {
    let bytes = record.encoded_len();
    let fits = bytes <= *left_bytes || *left_bytes == MAX_TXN_BYTES;
    *left_bytes = left_bytes.saturating_sub(bytes);
    fits
}

/// Keeps the durable roster equal to the known workers until the term ends.
pub(super) async fn maintain_roster(leader: Rc<Leader>) {
    /// Maximum time between two comparisons.
    const MAX_INTERVAL: Duration = Duration::from_millis(500);
    loop {
        let _tick = time::timeout(MAX_INTERVAL, leader.roster.notified()).await;
        leader.write_roster().await;
    }
}

impl Leader {
    /// Takes the next jobs to commit: those within shares first, by queue priority, then by the caller's
    /// deadline.
    fn next_submissions(&self) -> Vec<Write> {
        let mut waiting = self.submissions.borrow_mut();
        // Nothing was written for callers that have left, and they submit again if they still want to.
        waiting.retain(|submission| !submission.accepted.is_closed());
        self.drop_revoked(&mut waiting);
        waiting.sort_by_key(|submission| {
            let over_share = submission.record.over_share;
            (
                over_share,
                submission.priority,
                submission.client_deadline_ms,
            )
        });
        let mut left_bytes = MAX_TXN_BYTES;
        let next = waiting.iter().take(MAX_WRITES_PER_TXN);
        let count = next
            .take_while(|submission| take_size(&mut left_bytes, &submission.record))
            .count();
        let write = |submission: Submission| Write {
            id: JobId(submission.record.id),
            record: Rc::new(submission.record),
            expected: 0,
            payload: submission.payload,
            is_new_job: true,
            accepted: Some(submission.accepted),
        };
        waiting.drain(..count).map(write).collect()
    }

    /// Rejects jobs that were not sent to the store and cannot wait for it, so that their callers
    /// can retry.
    fn reject_waiting(&self, health: Health) {
        let now_ms = clock::now_ms();
        let submissions = std::mem::take(&mut *self.submissions.borrow_mut());
        let (waiting, rejected): (Vec<_>, Vec<_>) = submissions.into_iter().partition(|waiting| {
            let left_ms = waiting.client_deadline_ms.saturating_sub(now_ms);
            now_ms < waiting.response_deadline_ms
                && outage::decide_request(health, now_ms - waiting.waiting_since_ms, left_ms)
                    == RequestDecision::Wait
        });
        *self.submissions.borrow_mut() = waiting;
        for submission in rejected {
            // If the receiver is gone, the host has timed out and uses the store directly.
            let _receiver_dropped = submission.accepted.send(false);
        }
    }

    async fn commit_changes(&self, changes: &[RecordChange]) -> bool {
        let write = |change: &RecordChange| {
            let id = JobId(change.record.id);
            Write {
                id,
                record: Rc::clone(&change.record),
                expected: self.revisions.borrow().get(&id).copied().unwrap_or(0),
                payload: String::new(),
                is_new_job: false,
                accepted: None,
            }
        };
        self.commit_batch(changes.iter().map(write).collect()).await
    }

    /// Performs what waits for the changes to be durable.
    fn finish_commit(&self, changes: &[RecordChange]) {
        {
            let mut coordinator = self.coordinator.borrow_mut();
            for change in changes {
                coordinator.record_durable(change);
            }
            if coordinator.has_draining_workers() {
                self.roster.notify_one();
            }
        }
        for record in changes.iter().map(|change| &change.record) {
            if record.outcome() != Outcome::Open {
                let id = JobId(record.id);
                log_event!(events::JOB_ENDED, "job={id} outcome={:?}", record.outcome());
            }
        }
        self.notify_cancelled();
        self.committed.notify_waiters();
        self.commit.notify_one();
    }

    /// Deletes the keys of arrivals whose effect is durable.
    async fn delete_arrivals(&self) {
        let durable: Vec<AppliedArrival> = {
            let coordinator = self.coordinator.borrow();
            self.applied_arrivals
                .borrow_mut()
                .extract_if(.., |arrival| coordinator.is_durable(arrival.job))
                .collect()
        };
        for arrivals in durable.chunks(MAX_TXN_ENTRIES) {
            let txn = arrivals
                .iter()
                .fold(Txn::default(), |txn, arrival| txn.delete(&arrival.key));
            if self.context.store.commit(&txn).await.is_err() {
                // Keys that remain are applied again at the next takeover, which changes nothing.
                self.applied_arrivals
                    .borrow_mut()
                    .extend_from_slice(arrivals);
            }
        }
    }

    fn notify_cancelled(&self) {
        let coordinator = self.coordinator.borrow();
        let mut waiting = self.cancellations.borrow_mut();
        let durable = |id: JobId| {
            !coordinator.job_state(id).is_some_and(|state| {
                matches!(
                    state,
                    cell::jobs::JobState::Queued | cell::jobs::JobState::Running
                )
            })
        };
        let (done, rest): (Vec<_>, Vec<_>) = waiting.drain(..).partition(|(id, _)| durable(*id));
        *waiting = rest;
        for (_, sender) in done {
            // The receiver is gone if the client has disconnected.
            let _receiver_dropped = sender.send(());
        }
    }

    /// Commits records in one transaction, retrying until it succeeds; false once the term has
    /// ended.
    async fn commit_batch(&self, mut writes: Vec<Write>) -> bool {
        let mut in_doubt = false;
        while !writes.is_empty() {
            let mut txn = Txn::default().expect(LEADER_KEY, self.term.fence);
            for write in &writes {
                let key = records::job_key(write.id);
                txn = txn
                    .expect(&key, write.expected)
                    .put(&key, &write.record.encode_to_vec(), 0);
                if write.is_new_job {
                    let payload_key = records::payload_key(write.id);
                    txn = txn.put(&payload_key, write.payload.as_bytes(), 0);
                } else if write.record.outcome() != Outcome::Open {
                    txn = txn.delete(&records::payload_key(write.id));
                }
            }
            let sent_ms = clock::now_ms();
            self.record_bytes_sent(txn.encoded_len());
            match self.context.store.commit(&txn).await {
                Ok(Committed::Done { revision }) => {
                    self.last_confirmed_ms
                        .set(self.last_confirmed_ms.get().max(sent_ms));
                    for write in writes {
                        self.handle_written(write, revision);
                    }
                    return true;
                }
                Ok(Committed::Conflict { items }) => {
                    if !items
                        .iter()
                        .any(|i| i.key == LEADER_KEY && i.revision == self.term.fence)
                    {
                        self.end_term("key_taken");
                        return false;
                    }
                    writes = self.resolve_conflict(writes, &items);
                }
                Err(StoreError::LeaseEnded) => {
                    self.end_term("lease_ended");
                    return false;
                }
                Err(error) => {
                    in_doubt |= error != StoreError::Unavailable;
                    if in_doubt {
                        self.mark_in_doubt(&writes);
                    } else {
                        writes = Self::reject_unsent(writes);
                    }
                    self.log_failed_commit(writes.len(), error);
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
        true
    }

    /// Rejects new jobs that the store has certainly not accepted, and returns the other writes.
    fn reject_unsent(writes: Vec<Write>) -> Vec<Write> {
        let (new, kept): (Vec<Write>, Vec<Write>) = writes.into_iter().partition(|w| w.is_new_job);
        for accepted in new.into_iter().filter_map(|write| write.accepted) {
            // If the receiver is gone, the host has timed out and uses the store directly.
            let _receiver_dropped = accepted.send(false);
        }
        kept
    }

    /// Marks jobs that may already be durable or may become so: a retry of such a job must not be
    /// refused.
    fn mark_in_doubt(&self, writes: &[Write]) {
        let accepting = writes.iter().filter(|write| write.is_new_job);
        self.in_doubt
            .borrow_mut()
            .extend(accepting.map(|write| write.id));
    }

    /// Logs failed commits, at most one line per [`FAILURE_LOG_INTERVAL_MS`].
    fn log_failed_commit(&self, records: usize, error: StoreError) {
        let now_ms = clock::now_ms();
        let failures = self.failed_commits.get() + 1;
        self.failed_commits.set(failures);
        if now_ms < self.failure_logged_ms.get() + FAILURE_LOG_INTERVAL_MS {
            return;
        }
        self.failed_commits.set(0);
        self.failure_logged_ms.set(now_ms);
        let unconfirmed_ms = now_ms - self.last_confirmed_ms.get();
        log_event!(
            events::COMMIT_FAILED,
            "records={records} failures={failures} unconfirmed_ms={unconfirmed_ms} error={error}"
        );
    }

    fn handle_written(&self, write: Write, revision: u64) {
        self.revisions.borrow_mut().insert(write.id, revision);
        if !write.is_new_job {
            return;
        }
        self.accept_record(&write.record);
        self.in_doubt.borrow_mut().swap_remove(&write.id);
        if let Some(accepted) = write.accepted {
            // If the receiver is gone, the host has timed out and uses the store directly.
            let _receiver_dropped = accepted.send(write.record.was_accepted());
        }
    }

    /// Passes a durable record that is not yet known to the coordinator.
    pub(super) fn accept_record(&self, record: &JobRecord) {
        let (id, unix_ms) = (JobId(record.id), clock::unix_ms());
        let mut coordinator = self.coordinator.borrow_mut();
        coordinator.add_job(record, false, unix_ms);
        if self.early_cancellations.borrow_mut().swap_remove(&id) {
            coordinator.cancellation_durable(id, unix_ms);
        }
        self.schedule.notify_one();
    }

    /// Returns the writes that remain after a conflict, with the expected revisions corrected.
    fn resolve_conflict(&self, writes: Vec<Write>, items: &[Item]) -> Vec<Write> {
        let mut remaining = Vec::with_capacity(writes.len());
        for mut write in writes {
            let key = records::job_key(write.id);
            let stored = items.iter().find(|item| item.key == key);
            match stored {
                Some(item) if write.is_new_job => {
                    // The job was accepted before: by a retry, or by this transaction without an
                    // answer.
                    if let Ok(record) = JobRecord::decode(item.value.as_slice()) {
                        write.record = Rc::new(record);
                    }
                    self.handle_written(write, item.revision);
                }
                Some(item) if item.value == write.record.encode_to_vec() => {
                    // This transaction was applied without an answer.
                    self.handle_written(write, item.revision);
                }
                Some(item) => {
                    // An earlier transaction of this leader was applied without an answer.
                    write.expected = item.revision;
                    remaining.push(write);
                }
                None => {
                    write.expected = 0;
                    remaining.push(write);
                }
            }
        }
        remaining
    }

    /// Writes the roster if it has changed. It must be durable before any of its workers is given
    /// work.
    async fn write_roster(&self) {
        let now_ms = clock::now_ms();
        let roster = {
            let mut coordinator = self.coordinator.borrow_mut();
            let settled_fence = if coordinator.outlasted_predecessors(now_ms) {
                self.term.fence
            } else {
                0
            };
            Roster::of(coordinator.roster(now_ms), settled_fence)
        };
        if roster.is_due(&self.durable_roster.borrow()) {
            if self.commit_roster(&roster).await.is_break() {
                return;
            }
            *self.durable_roster.borrow_mut() = roster;
        }
        // A worker that was removed and is listed again may need this although the roster is the same.
        self.confirm_roster();
    }

    /// Commits a roster, retrying until it succeeds; breaks if the term has ended.
    async fn commit_roster(&self, roster: &Roster) -> ControlFlow<()> {
        let value = roster.encode_to_vec();
        loop {
            // The condition on the roster keeps a write that is executed late from undoing this one.
            let txn = Txn::default()
                .expect(LEADER_KEY, self.term.fence)
                .expect(ROSTER_KEY, self.roster_revision.get())
                .put(ROSTER_KEY, &value, 0);
            match self.context.store.commit(&txn).await {
                Ok(Committed::Done { revision }) => {
                    self.roster_revision.set(revision);
                    return ControlFlow::Continue(());
                }
                Ok(Committed::Conflict { items }) => {
                    let revision_of = |key| {
                        let item = items.iter().find(|item| item.key == key);
                        item.map_or(0, |item| item.revision)
                    };
                    if revision_of(LEADER_KEY) != self.term.fence {
                        self.end_term("key_taken");
                        return ControlFlow::Break(());
                    }
                    // An earlier write of this leader was applied without an answer.
                    self.roster_revision.set(revision_of(ROSTER_KEY));
                }
                Err(_) => time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Tells the coordinator which workers the durable roster allows to be given work.
    fn confirm_roster(&self) {
        let names: Vec<Rc<str>> = {
            let roster = self.durable_roster.borrow();
            let open = roster.workers.iter().filter(|worker| !worker.closed);
            open.map(|worker| worker.id.as_str().into()).collect()
        };
        self.coordinator.borrow_mut().roster_durable(&names);
        self.schedule.notify_one();
    }
}
