//! Queries on the state of a shard.

use std::sync::Arc;

use kernel::ids;
use kernel::work;

use super::claims::ClaimState;
use super::{Job, Limits, ShardState};
use crate::record::Run;

/// Runs of one work item.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Definition of the work.
    pub work: Arc<work::Work>,
    /// The runs, in ascending order of their index.
    pub runs: Vec<Run>,
}

impl ShardState {
    /// Limits on the state that the shard retains.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Sequence number of the last applied entry; zero before the first.
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

    /// Sequence numbers of the entries with which the latest writers opened the journal.
    pub(crate) fn seals(&self) -> impl Iterator<Item = u64> + '_ {
        self.seals.iter().copied()
    }

    /// Looks up a job by the name of its work.
    pub fn job(&self, work: &ids::WorkId) -> Option<&Job> {
        self.jobs.get(work)
    }

    /// Looks up a job by the submitter's idempotency key.
    pub fn job_by_key(&self, key: &ids::IdempotencyKey) -> Option<&Job> {
        self.jobs.get(self.job_keys.get(key)?)
    }

    /// All open jobs and retained finished jobs, in no particular order.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Number of unfinished jobs.
    pub fn open_jobs(&self) -> usize {
        self.open.len()
    }

    /// The next attempts of waiting tasks, oldest job first, up to `limit` runs.
    ///
    /// The tasks of a gang job are returned together or not at all. The first job may
    /// exceed the limit if it is a gang job.
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

    /// Live attempts assigned to a group, to be resent after its takeover.
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

    /// Live attempts of one work item that are assigned to a group; `None` if there are none.
    pub fn assigned_of(&self, work: &ids::WorkId, group: &ids::GroupId) -> Option<Assignment> {
        let job = self.jobs.get(work)?;
        let number = self.groups.get_index_of(group)?;
        let runs: Vec<Run> = job.runs_in(number as u16).collect();
        (!runs.is_empty()).then(|| Assignment {
            work: Arc::clone(&job.work),
            runs,
        })
    }

    /// The group to which the live attempt of a task is assigned.
    pub fn group_of(&self, task: &ids::TaskId) -> Option<&ids::GroupId> {
        let progress = self.jobs.get(&task.work)?.task_table.get(task.index)?;
        let is_live = progress.state == super::TaskState::Assigned;
        is_live.then(|| self.groups.get_index(usize::from(progress.group)))?
    }

    /// Highest epoch of a group whose owner gets assignments; zero before the first.
    pub fn group_epoch(&self, group: &ids::GroupId) -> ids::Epoch {
        self.group_epochs.get(group).copied().unwrap_or_default()
    }

    /// Cancelled work with live attempts, which are to be stopped.
    pub fn cancelled_work(&self) -> impl Iterator<Item = &ids::WorkId> {
        let open = self.open.values().filter_map(|work| self.jobs.get(work));
        open.filter(|job| job.is_cancelled())
            .map(|job| &job.work.id)
    }

    /// State of the claim of a key.
    pub fn claim(&self, key: &ids::IdempotencyKey) -> ClaimState {
        let Some(claim) = self.claims.get(key) else {
            return ClaimState::Absent;
        };
        if let Some((_, answer)) = &claim.answer {
            return ClaimState::Answered(answer.clone());
        }
        // A claim under an earlier writer may or may not have been followed by the request.
        let is_current = claim.epoch == self.epoch.0 && claim.session == self.session;
        if claim.unknown || !is_current {
            ClaimState::Unknown(claim.owner.clone())
        } else {
            ClaimState::Claimed(claim.owner.clone())
        }
    }

    /// Digest of the request that is claimed under a key.
    pub fn claim_digest(&self, key: &ids::IdempotencyKey) -> Option<u64> {
        self.claims.get(key).map(|claim| claim.request_digest)
    }

    /// Keys of the claims for which it is not known whether the request ran.
    pub fn unknown_claims(&self) -> Vec<ids::IdempotencyKey> {
        let keys = self.claims.iter().map(|(key, _)| key);
        keys.filter(|key| matches!(self.claim(key), ClaimState::Unknown(_)))
            .cloned()
            .collect()
    }

    /// Number of open claims and retained answered ones.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }
}
