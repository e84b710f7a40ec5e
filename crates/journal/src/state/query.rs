//! Questions to the state of a shard.

use std::sync::Arc;

use kernel::ids;
use kernel::work;

use super::claims::ClaimState;
use super::{Job, Limits, ShardState};
use crate::record::Run;

/// Runs of one piece of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The work.
    pub work: Arc<work::Work>,
    /// The runs, by index.
    pub runs: Vec<Run>,
}

impl ShardState {
    /// Bounds on what the shard keeps.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The number of the last entry that was applied; zero before the first.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The epoch of the last writer that opened the journal.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// The host of the last writer that opened the journal.
    pub fn writer(&self) -> Option<&ids::HostId> {
        self.writer.as_ref()
    }

    /// Journal time in milliseconds.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Numbers of the entries in which the latest writers opened the journal.
    pub(crate) fn seals(&self) -> impl Iterator<Item = u64> + '_ {
        self.seals.iter().copied()
    }

    /// A job by its name.
    pub fn job(&self, work: &ids::WorkId) -> Option<&Job> {
        self.jobs.get(work)
    }

    /// The job that was submitted under a key.
    pub fn job_by_key(&self, key: &ids::IdempotencyKey) -> Option<&Job> {
        self.jobs.get(self.job_keys.get(key)?)
    }

    /// All remembered jobs, in no particular order.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// The number of jobs that are not finished.
    pub fn open_jobs(&self) -> usize {
        self.open.len()
    }

    /// The next attempts of waiting tasks, oldest job first, up to `limit` runs.
    ///
    /// A gang job's tasks are given together or not at all, beyond the limit if
    /// it is the first one.
    pub fn tasks_to_assign(&self, limit: usize) -> Vec<Assignment> {
        let mut found = Vec::new();
        let mut room = limit;
        for job in self.waiting.values().filter_map(|work| self.jobs.get(work)) {
            let waiting = job.counts().waiting as usize;
            let is_gang = job.work.kind == work::WorkKind::GangJob;
            if room == 0 || is_gang && waiting > room && !found.is_empty() {
                break;
            }
            let taken = if is_gang { waiting } else { room };
            let runs: Vec<Run> = job.waiting_runs().take(taken).collect();
            room = room.saturating_sub(runs.len());
            found.push(Assignment {
                work: Arc::clone(&job.work),
                runs,
            });
        }
        found
    }

    /// Live attempts that were assigned to a group, to be sent again after its takeover.
    pub fn assigned_to(&self, group: &ids::GroupId) -> Vec<Assignment> {
        let Some(number) = self.groups.get_index_of(group) else {
            return Vec::new();
        };
        let open = self.open.values().filter_map(|work| self.jobs.get(work));
        let assignments = open.map(|job| Assignment {
            work: Arc::clone(&job.work),
            runs: job.runs_in(number as u16).collect(),
        });
        assignments.filter(|found| !found.runs.is_empty()).collect()
    }

    /// Live attempts of one piece of work that were assigned to a group.
    pub fn assigned_of(&self, work: &ids::WorkId, group: &ids::GroupId) -> Option<Assignment> {
        let job = self.jobs.get(work)?;
        let number = self.groups.get_index_of(group)?;
        let runs: Vec<Run> = job.runs_in(number as u16).collect();
        (!runs.is_empty()).then(|| Assignment {
            work: Arc::clone(&job.work),
            runs,
        })
    }

    /// The group to which the live attempt of a task was assigned.
    pub fn group_of(&self, task: &ids::TaskId) -> Option<&ids::GroupId> {
        let cell = self.jobs.get(&task.work)?.cells.get(task.index)?;
        let is_live = cell.state == super::TaskState::Assigned;
        is_live.then(|| self.groups.get_index(usize::from(cell.group)))?
    }

    /// Cancelled work of which attempts are still live, to be stopped.
    pub fn cancelled_work(&self) -> impl Iterator<Item = &ids::WorkId> {
        let open = self.open.values().filter_map(|work| self.jobs.get(work));
        open.filter(|job| job.is_cancelled())
            .map(|job| &job.work.id)
    }

    /// What is known about the request with a key.
    pub fn claim(&self, key: &ids::IdempotencyKey) -> ClaimState {
        let Some(claim) = self.claims.get(key) else {
            return ClaimState::Absent;
        };
        if let Some((_, answer)) = &claim.answer {
            return ClaimState::Answered(answer.clone());
        }
        // Whoever claimed under an earlier writer may have sent the request or not.
        let is_current = claim.epoch == self.epoch.0 && claim.session == self.session;
        if claim.unknown || !is_current {
            ClaimState::Unknown(claim.owner.clone())
        } else {
            ClaimState::Claimed(claim.owner.clone())
        }
    }

    /// Digest of the request that was claimed under a key.
    pub fn claim_digest(&self, key: &ids::IdempotencyKey) -> Option<u64> {
        self.claims.get(key).map(|claim| claim.request_digest)
    }

    /// Keys of claims of which it is not known whether the request ran.
    pub fn unknown_claims(&self) -> Vec<ids::IdempotencyKey> {
        let keys = self.claims.iter().map(|(key, _)| key);
        keys.filter(|key| matches!(self.claim(key), ClaimState::Unknown(_)))
            .cloned()
            .collect()
    }

    /// The number of remembered claims.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }
}
