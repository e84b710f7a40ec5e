//! Changes to be made durable, and the steps that follow once they are.

use std::rc::Rc;

use super::Coordinator;
use crate::{
    ids::JobId,
    jobs::{JobRecord, Outcome},
};

/// Changes to be written to the store together.
#[derive(Debug, Default)]
pub struct Changes {
    /// New versions of job records.
    pub records: Vec<JobRecord>,
    outcomes: Vec<(JobId, Outcome)>,
    ends: Vec<ProcessedEnds>,
}

/// Highest end of a worker whose effect is contained in a set of changes.
#[derive(Debug)]
struct ProcessedEnds {
    worker: Rc<str>,
    started_unix_ms: u64,
    number: u64,
}

impl Coordinator {
    /// Whether there are changes that have not been made durable.
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
            || self
                .workers
                .values()
                .any(|worker| worker.processed_end > worker.durable_end)
    }

    /// Takes all changes since the last call. Pass them to [`Coordinator::changes_durable`] or
    /// [`Coordinator::changes_unconfirmed`] when the write has ended.
    pub fn take_changes(&mut self) -> Changes {
        let dirty = std::mem::take(&mut self.dirty);
        let jobs = dirty.iter().filter_map(|id| self.jobs.get(id));
        let mut changes = Changes::default();
        for job in jobs {
            changes.records.push(job.record());
            changes.outcomes.push((job.id, job.outcome));
        }
        changes.ends = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.processed_end > worker.durable_end)
            .map(|(id, worker)| ProcessedEnds {
                worker: Rc::clone(id),
                started_unix_ms: worker.started_unix_ms,
                number: worker.processed_end,
            })
            .collect();
        changes
    }

    /// Records that the changes are durable: outcomes may be reported and ends acknowledged.
    pub fn changes_durable(&mut self, changes: &Changes) {
        for (id, outcome) in &changes.outcomes {
            if let Some(job) = self.jobs.get_mut(id) {
                job.durable_outcome = *outcome;
            }
        }
        for ends in &changes.ends {
            if let Some(worker) = self.workers.get_mut(&ends.worker)
                && worker.started_unix_ms == ends.started_unix_ms
            {
                worker.durable_end = worker.durable_end.max(ends.number);
            }
        }
    }

    /// Records that the write failed or its result is unknown; the changes are included in the next
    /// [`Coordinator::take_changes`].
    pub fn changes_unconfirmed(&mut self, changes: &Changes) {
        self.dirty
            .extend(changes.outcomes.iter().map(|(id, _)| *id));
    }

    /// Ended jobs whose retention period has passed.
    pub fn expired_jobs(&self, unix_ms: u64) -> Vec<JobId> {
        let retention_ms = self.tuning.retention_ms;
        self.jobs
            .values()
            .filter(|job| job.durable_outcome != Outcome::Open)
            .filter(|job| unix_ms > job.ended_unix_ms + retention_ms)
            .map(|job| job.id)
            .collect()
    }

    /// Removes a job after its record was deleted.
    pub fn remove_job(&mut self, id: JobId) {
        self.jobs.swap_remove(&id);
    }
}
