//! Changes to be made durable, and the steps that follow once they are.

use std::rc::Rc;

use super::{Coordinator, Job};
use crate::{
    collections::IndexSet,
    ids::JobId,
    jobs::{JobRecord, Outcome},
    workers::Worker,
};

/// A new version of a job's record, to be written to the store. No other version of it is taken
/// before this one is durable.
#[derive(Debug)]
pub struct RecordChange {
    /// The record to write.
    pub record: Rc<JobRecord>,
    outcome: Outcome,
}

impl RecordChange {
    fn id(&self) -> JobId {
        JobId(self.record.id)
    }
}

/// How many records may be taken at once.
#[derive(Clone, Copy, Debug)]
pub struct ChangeLimits {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum number of records of open jobs: their writes only save work after a takeover, while
    /// the callers of ended jobs wait for theirs.
    pub open_records: usize,
    /// Maximum memory of the records of open jobs, in bytes; a larger one is taken alone.
    pub open_bytes: u64,
}

/// Records of open jobs from this size on are written in turn, in bytes: the record of a job with
/// thousands of steps would otherwise be copied and sent whole at each end of a task.
const LARGE_RECORD_BYTES: u64 = 32 << 10;
/// Rate at which those are written together, in bytes per millisecond.
const LARGE_RECORD_BYTES_PER_MS: u64 = 512;

/// Highest processed end of a worker.
#[derive(Debug)]
struct ProcessedEnds {
    worker: Rc<str>,
    started_unix_ms: u64,
    number: u64,
}

/// Ends that may be acknowledged once all records that their effects may be in are durable.
#[derive(Debug)]
pub(super) struct PendingEnds {
    ends: Vec<ProcessedEnds>,
    /// Jobs whose record has not been taken since.
    dirty: IndexSet<JobId>,
    /// Jobs whose record is being written.
    writing: IndexSet<JobId>,
}

impl PendingEnds {
    fn is_durable(&self) -> bool {
        self.dirty.is_empty() && self.writing.is_empty()
    }
}

impl Coordinator {
    /// Whether there are changes to take.
    pub fn has_changes(&self) -> bool {
        self.dirty.iter().any(|id| !self.writing.contains(id))
            || self.workers.values().any(Worker::has_new_ends)
    }

    /// Whether the record of a job is durable in its latest version.
    pub fn is_durable(&self, id: JobId) -> bool {
        !self.dirty.contains(&id) && !self.writing.contains(&id)
    }

    /// Takes changed records, those of ended jobs first. Pass each to
    /// [`Coordinator::record_durable`] once it is written.
    pub fn take_changes(&mut self, limits: ChangeLimits) -> Vec<RecordChange> {
        let idle = self.dirty.iter().filter(|id| !self.writing.contains(*id));
        let (mut taken, mut open): (Vec<JobId>, Vec<JobId>) = idle.copied().partition(|id| {
            self.jobs
                .get(id)
                .is_none_or(|job| job.outcome != Outcome::Open)
        });
        self.keep_one_large(&mut open);
        open.truncate(limits.open_records);
        let mut left_bytes = limits.open_bytes;
        let within_memory = |id: &&JobId| {
            let bytes = self.jobs.get(*id).map_or(0, Job::record_memory_bytes);
            let fits = bytes <= left_bytes || left_bytes == limits.open_bytes;
            left_bytes = left_bytes.saturating_sub(bytes);
            fits
        };
        let count = open.iter().take_while(within_memory).count();
        open.truncate(count);
        taken.append(&mut open);
        taken.truncate(limits.records);
        self.collect_pending_ends();
        let mut changes = Vec::with_capacity(taken.len());
        for id in taken {
            self.dirty.swap_remove(&id);
            for pending in &mut self.pending_ends {
                if pending.dirty.swap_remove(&id) && self.jobs.contains_key(&id) {
                    pending.writing.insert(id);
                }
            }
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.outcome == Outcome::Open && job.record_bytes() >= LARGE_RECORD_BYTES {
                let interval_ms = job.record_bytes() / LARGE_RECORD_BYTES_PER_MS;
                self.large_record_after_ms = self.pass_ms + interval_ms;
            }
            self.writing.insert(id);
            changes.push(RecordChange {
                record: Rc::new(job.record()),
                outcome: job.outcome,
            });
        }
        self.acknowledge_durable_ends();
        changes
    }

    /// Drops the large records but the first, and that one as well until it is its turn.
    fn keep_one_large(&self, open: &mut Vec<JobId>) {
        let mut may_take = self.pass_ms >= self.large_record_after_ms;
        open.retain(|id| {
            let bytes = self.jobs.get(id).map_or(0, Job::record_bytes);
            bytes < LARGE_RECORD_BYTES || std::mem::replace(&mut may_take, false)
        });
    }

    /// Collects the ends processed since the last call, with the jobs that they may have changed.
    fn collect_pending_ends(&mut self) {
        let new_ends = self.workers.iter_mut().filter(|(_, w)| w.has_new_ends());
        let ends: Vec<ProcessedEnds> = new_ends
            .map(|(id, worker)| {
                worker.pending_end = worker.processed_end;
                ProcessedEnds {
                    worker: Rc::clone(id),
                    started_unix_ms: worker.started_unix_ms,
                    number: worker.processed_end,
                }
            })
            .collect();
        if !ends.is_empty() {
            self.pending_ends.push(PendingEnds {
                ends,
                dirty: self.dirty.clone(),
                writing: self.writing.clone(),
            });
        }
    }

    /// Records that a record is durable: its outcome may be reported, and ends whose effects are all
    /// durable may be acknowledged.
    pub fn record_durable(&mut self, change: &RecordChange) {
        let id = change.id();
        self.writing.swap_remove(&id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.durable_outcome = change.outcome;
        }
        for pending in &mut self.pending_ends {
            pending.writing.swap_remove(&id);
        }
        self.acknowledge_durable_ends();
    }

    fn acknowledge_durable_ends(&mut self) {
        for pending in self.pending_ends.extract_if(.., |p| p.is_durable()) {
            for ends in pending.ends {
                if let Some(worker) = self.workers.get_mut(&ends.worker)
                    && worker.started_unix_ms == ends.started_unix_ms
                {
                    worker.durable_end = worker.durable_end.max(ends.number);
                }
            }
        }
    }

    /// Ended jobs whose retention period has passed.
    pub fn expired_jobs(&self, unix_ms: u64) -> Vec<JobId> {
        let retention_ms = self.tuning.retention_ms;
        let full = self
            .jobs
            .values()
            .filter(|job| job.durable_outcome != Outcome::Open)
            .filter(|job| unix_ms > job.ended_unix_ms + retention_ms)
            .map(|job| job.id);
        let ended = &self.ended_jobs;
        full.chain(ended.ended_before(unix_ms.saturating_sub(retention_ms)))
            .collect()
    }

    /// Removes a job after its record was deleted.
    pub fn remove_job(&mut self, id: JobId) {
        self.jobs.swap_remove(&id);
        self.ended_jobs.remove(id);
    }
}
