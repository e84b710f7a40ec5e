//! Jobs that have ended and whose outcome is durable.
//!
//! Their states can be queried for the retention period, in which a busy cell ends hundreds of thousands
//! of jobs. Only what queries need is kept of them.

use std::rc::Rc;

use super::{Coordinator, Job};
use crate::{
    collections::{IndexMap, IndexSet},
    ids::JobId,
    jobs::{JobState, Outcome},
};

/// Time after its end for which the full state of a job is kept, in milliseconds: the other members of
/// its gangs end meanwhile, and its runs are stopped.
const FULL_STATE_MS: u64 = 3_000;
/// Memory of an ended job, in bytes, with its revision.
const ENDED_JOB_BYTES: u64 = 128;

/// What is kept of an ended job.
#[derive(Clone, Debug)]
struct EndedJob {
    /// `None` if it was cancelled before it was accepted.
    state: Option<JobState>,
    tenant: Rc<str>,
    ended_unix_ms: u64,
}

/// Ended jobs within the retention period.
#[derive(Debug, Default)]
pub(super) struct EndedJobs {
    jobs: IndexMap<JobId, EndedJob>,
    /// Names of tenants, shared by their jobs.
    tenants: IndexSet<Rc<str>>,
}

impl EndedJobs {
    fn insert(&mut self, job: &Job) {
        let (position, _) = self.tenants.insert_full(Rc::clone(&job.tenant));
        let ended = EndedJob {
            state: job.state(),
            tenant: Rc::clone(&self.tenants[position]),
            ended_unix_ms: job.ended_unix_ms,
        };
        self.jobs.insert(job.id, ended);
    }

    pub(super) fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// State to report to clients; `None` if the job is unknown or was never accepted.
    pub(super) fn state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id)?.state
    }

    pub(super) fn tenant(&self, id: JobId) -> Option<&Rc<str>> {
        self.jobs.get(&id).map(|job| &job.tenant)
    }

    pub(super) fn remove(&mut self, id: JobId) {
        self.jobs.swap_remove(&id);
    }

    /// Jobs that ended before this time, in Unix milliseconds.
    pub(super) fn ended_before(&self, unix_ms: u64) -> impl Iterator<Item = JobId> + '_ {
        let expired = self.jobs.iter();
        let expired = expired.filter(move |(_, job)| job.ended_unix_ms < unix_ms);
        expired.map(|(&id, _)| id)
    }

    /// Memory that the jobs take, in bytes.
    pub(super) fn held_bytes(&self) -> u64 {
        self.jobs.len() as u64 * ENDED_JOB_BYTES
    }
}

impl Coordinator {
    /// Keeps only what queries need of jobs that ended some time ago. Those of a predecessor count for
    /// what its workers may still run until all of them have reported.
    pub fn compact_ended_jobs(&mut self, now_ms: u64, unix_ms: u64) {
        let is_settled = self.outlasted_predecessors(now_ms);
        let is_over = |job: &&Job| {
            job.durable_outcome != Outcome::Open
                && unix_ms > job.ended_unix_ms.saturating_add(FULL_STATE_MS)
                && (is_settled || !job.inherited)
        };
        let over = self.jobs.values().filter(is_over).map(|job| job.id);
        let over: Vec<JobId> = over.filter(|&id| self.is_durable(id)).collect();
        for id in over {
            if let Some(job) = self.jobs.swap_remove(&id) {
                self.ended_jobs.insert(&job);
            }
        }
    }
}
