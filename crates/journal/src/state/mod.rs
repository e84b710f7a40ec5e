//! The replicated state machine of a shard.
//!
//! [`ShardState`] is a deterministic function of the applied entries, in the
//! order of their sequence numbers. A record that is invalid when it is applied
//! (for a task that is already assigned, or a key that is already claimed) is
//! ignored, identically on every host that replays the journal. [`Applied`]
//! returns the outcome to the writer, so races between requests are decided by
//! the order of the journal alone.
//!
//! Times are *journal times*: milliseconds that elapse only while a writer has
//! the journal open. They require no clock synchronization, and retention
//! measured in them is never shorter than configured.
//!
//! Memory: a job takes the size of its work plus 16 bytes for each span of
//! adjacent tasks in the same state; `docs/design/journal.md` has measurements.

mod claims;
mod job;
mod query;
mod release;
mod snapshot;
mod task_table;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use kernel::errors;
use kernel::ids;
use kernel::work;

use crate::record::{Answer, Entry, Record, Run};

pub use claims::{ClaimOwner, ClaimState};
pub use job::{Job, JobPhase, TaskCounts};
pub use query::Assignment;
pub use task_table::TaskState;

/// Limits on the state that a shard retains; must be equal on all hosts of a firm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Retention of an answered claim, in milliseconds of journal time.
    pub claim_retention_ms: u64,
    /// Maximum total size of retained answer bodies, in bytes; the oldest are dropped first.
    pub claim_body_bytes: usize,
    /// Maximum number of claims; further claims are ignored.
    pub claims: usize,
    /// Retention of a finished job, in milliseconds of journal time.
    pub job_retention_ms: u64,
    /// Maximum number of finished jobs; the oldest are evicted first.
    pub finished_jobs: usize,
    /// Maximum number of unfinished jobs; further submitted work is ignored.
    pub open_jobs: usize,
    /// Number of the latest seals that trimming retains in the store.
    pub retained_seals: usize,
}

impl Default for Limits {
    fn default() -> Self {
        const DAY_MS: u64 = 24 * 60 * 60 * 1000;
        Self {
            claim_retention_ms: DAY_MS,
            claim_body_bytes: 4 * 1024 * 1024,
            claims: 100_000,
            job_retention_ms: DAY_MS,
            finished_jobs: 5_000,
            open_jobs: 20_000,
            retained_seals: 1024,
        }
    }
}

/// Outcome of applying a record.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Applied {
    /// The record changed the state.
    #[display("changed")]
    Changed,
    /// The record had no effect.
    #[display("ignored: {_0}")]
    Ignored(IgnoredReason),
}

impl Applied {
    /// Whether the record changed the state.
    pub fn is_changed(self) -> bool {
        self == Self::Changed
    }
}

/// Why a record had no effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum IgnoredReason {
    /// Work of this name, or under this key, already exists.
    #[display("the work already exists")]
    KnownWork,
    /// The work does not exist or is past its retention.
    #[display("no such work")]
    NoSuchWork,
    /// A task has a live attempt, is finished, or expects another attempt number.
    #[display("a task is not waiting for this attempt")]
    NotWaiting,
    /// The run is not the live attempt of its task.
    #[display("not the live attempt")]
    NotLive,
    /// The key is already claimed.
    #[display("the key is already claimed")]
    KnownClaim,
    /// A later owner of the group gets assignments, or already did.
    #[display("not from the owner of the group")]
    StaleGroup,
    /// There is no open claim with this key and attempt.
    #[display("no such claim")]
    NoSuchClaim,
    /// The release, or a later one, is already applied.
    #[display("the release is already applied")]
    OldRelease,
    /// The shard has reached one of its [`Limits`].
    #[display("the shard is full")]
    Full,
}

/// The state of one shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardState {
    limits: Limits,
    seq: u64,
    epoch: ids::Epoch,
    writer: Option<ids::HostId>,
    session: u64,
    time_ms: u64,
    next_order: u64,
    jobs: IndexMap<ids::WorkId, Job>,
    job_keys: IndexMap<ids::IdempotencyKey, ids::WorkId>,
    /// Unfinished jobs, by order of acceptance.
    open: BTreeMap<u64, ids::WorkId>,
    /// Open jobs with tasks to assign, by order of acceptance.
    waiting: BTreeMap<u64, ids::WorkId>,
    finished: VecDeque<(u64, ids::WorkId)>,
    groups: IndexSet<ids::GroupId>,
    /// Highest epoch of each group whose owner gets assignments.
    group_epochs: IndexMap<ids::GroupId, ids::Epoch>,
    claims: claims::Claims,
    seals: VecDeque<u64>,
    followed: ids::ReleaseVersion,
    /// Jobs without open tasks, to be finished after the last record of the current entry.
    ending: Vec<ids::WorkId>,
}

impl ShardState {
    /// Creates the state of an empty journal.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies the next entry and returns the outcome of each record.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the entry is not from the writer that
    /// opened the journal last; the state is unchanged then.
    pub fn apply_entry(&mut self, entry: &Entry) -> errors::Result<Vec<Applied>> {
        let opens = matches!(entry.records.first(), Some(Record::Opened { .. }));
        let is_current = entry.epoch == self.epoch
            && entry.session == self.session
            && self.writer.as_ref() == Some(&entry.writer);
        if opens && entry.epoch < self.epoch || !opens && !is_current {
            let detail = format!(
                "entry {} is from {} under epoch {}, which is not the journal's writer",
                self.seq + 1,
                entry.writer,
                entry.epoch
            );
            return Err(errors::Error::new(errors::ErrorKind::Internal, detail));
        }
        self.seq += 1;
        self.time_ms = self.time_ms.max(entry.at_ms);
        if opens {
            self.session = entry.session;
        }
        let records = entry.records.iter();
        let applied = records.map(|record| self.apply(record)).collect();
        for work in std::mem::take(&mut self.ending) {
            self.end_job(&work);
        }
        self.prune();
        Ok(applied)
    }

    fn apply(&mut self, record: &Record) -> Applied {
        let applied = match record {
            Record::Opened { epoch, writer } => {
                self.open(*epoch, writer);
                Ok(())
            }
            Record::Accepted { work, key } => self.accept(work, key.as_ref()),
            Record::Assigned { work, runs, group } => {
                self.assign(work, runs, group, Job::may_assign)
            }
            Record::Restarted { work, runs, group } => {
                self.assign(work, runs, group, Job::may_restart)
            }
            Record::HandedBack { work, runs } => self.hand_back(work, runs),
            Record::GroupEpoch { group, epoch } => self.raise_group_epoch(group, *epoch),
            Record::Reported {
                group,
                epoch,
                records,
            } => self.apply_report(group, *epoch, records),
            Record::Ended { run, end } => self.change_live(&run.task.work, |job| {
                job.note_attempt(run);
                if !job.is_live(run.task.index, run.attempt) {
                    return Err(IgnoredReason::NotLive);
                }
                job.end(run.task.index, *end);
                Ok(())
            }),
            Record::Cancelled { work } => self.change_live(work, |job| {
                job.cancelled = true;
                Ok(())
            }),
            Record::Changed { work } => self.change(work),
            Record::Withdrawn { work } => self.withdraw(work),
            Record::Followed { version } => self.follow(*version),
            Record::Claimed {
                key,
                request_digest,
                attempt_id,
                host,
            } => self.add_claim(key, *request_digest, *attempt_id, host),
            Record::Answered {
                key,
                attempt_id,
                answer,
            } => self.add_answer(key, *attempt_id, answer),
            Record::ClaimUnknown { key, attempt_id } => {
                let open = self.open_claim(key, *attempt_id);
                open.map(|()| self.claims.set_unknown(key))
            }
        };
        applied.map_or_else(Applied::Ignored, |()| Applied::Changed)
    }

    fn open(&mut self, epoch: ids::Epoch, writer: &ids::HostId) {
        self.epoch = epoch;
        self.writer = Some(writer.clone());
        self.seals.push_back(self.seq);
        while self.seals.len() > self.limits.retained_seals {
            self.seals.pop_front();
        }
    }

    fn accept(
        &mut self,
        work: &work::Work,
        key: Option<&ids::IdempotencyKey>,
    ) -> Result<(), IgnoredReason> {
        let known_key = key.is_some_and(|key| self.job_keys.contains_key(key));
        if known_key {
            return Err(IgnoredReason::KnownWork);
        }
        if self.jobs.contains_key(&work.id) {
            return self.supersede(work);
        }
        // The release has already been accepted, so its work cannot be refused here.
        if !work.is_from_release() && self.open.len() >= self.limits.open_jobs {
            return Err(IgnoredReason::Full);
        }
        let order = self.next_order;
        self.next_order += 1;
        if let Some(key) = key {
            self.job_keys.insert(key.clone(), work.id.clone());
        }
        let job = Job::new(Arc::new(work.clone()), key.cloned(), order, self.time_ms);
        self.jobs.insert(work.id.clone(), job);
        self.index_job(&work.id);
        Ok(())
    }

    fn assign(
        &mut self,
        work: &ids::WorkId,
        runs: &[Run],
        group: &ids::GroupId,
        allowed: fn(&Job, &[Run]) -> bool,
    ) -> Result<(), IgnoredReason> {
        let (group, _) = self.groups.insert_full(group.clone());
        let group = u16::try_from(group).map_err(|_| IgnoredReason::Full)?;
        self.change_live(work, |job| {
            if !allowed(job, runs) {
                return Err(IgnoredReason::NotWaiting);
            }
            job.assign(runs, group);
            Ok(())
        })
    }

    fn raise_group_epoch(
        &mut self,
        group: &ids::GroupId,
        epoch: ids::Epoch,
    ) -> Result<(), IgnoredReason> {
        if epoch <= self.group_epoch(group) {
            return Err(IgnoredReason::StaleGroup);
        }
        self.group_epochs.insert(group.clone(), epoch);
        Ok(())
    }

    /// Applies a report unless a later owner may have got, and started, the same runs.
    fn apply_report(
        &mut self,
        group: &ids::GroupId,
        epoch: ids::Epoch,
        records: &[Record],
    ) -> Result<(), IgnoredReason> {
        if epoch < self.group_epoch(group) {
            return Err(IgnoredReason::StaleGroup);
        }
        for record in records {
            self.apply(record);
        }
        Ok(())
    }

    /// Returns the live ones of the runs to waiting; the others have ended.
    fn hand_back(&mut self, work: &ids::WorkId, runs: &[Run]) -> Result<(), IgnoredReason> {
        self.change_live(work, |job| {
            let mut changed = Err(IgnoredReason::NotLive);
            for run in runs {
                if job.is_live(run.index, run.attempt) {
                    job.hand_back(run.index);
                    changed = Ok(());
                }
            }
            changed
        })
    }

    fn change_live(
        &mut self,
        work: &ids::WorkId,
        change: impl FnOnce(&mut Job) -> Result<(), IgnoredReason>,
    ) -> Result<(), IgnoredReason> {
        let Some(job) = self.jobs.get_mut(work) else {
            return Err(IgnoredReason::NoSuchWork);
        };
        change(job)?;
        self.index_job(work);
        Ok(())
    }

    /// Updates the indexes of open and waiting jobs.
    fn index_job(&mut self, work: &ids::WorkId) {
        let Some(job) = self.jobs.get_mut(work) else {
            return;
        };
        let order = job.order;
        if job.phase() != JobPhase::Open {
            self.open.remove(&order);
            self.waiting.remove(&order);
            self.ending.push(work.clone());
            return;
        }
        self.open.insert(order, work.clone());
        if job.counts().waiting > 0 {
            self.waiting.insert(order, work.clone());
        } else {
            self.waiting.remove(&order);
        }
    }

    /// Marks a job as finished, or replaces it by its successor.
    fn end_job(&mut self, work: &ids::WorkId) {
        let Some(job) = self.jobs.get_mut(work) else {
            return;
        };
        if job.phase() != JobPhase::Open && job.successor.is_some() {
            self.start_successor(work);
        } else if job.phase() != JobPhase::Open && job.finished_ms.is_none() {
            job.finished_ms = Some(self.time_ms);
            self.finished.push_back((self.time_ms, work.clone()));
        }
    }

    fn add_claim(
        &mut self,
        key: &ids::IdempotencyKey,
        request_digest: u64,
        attempt_id: u64,
        host: &ids::HostId,
    ) -> Result<(), IgnoredReason> {
        if self.claims.get(key).is_some() {
            return Err(IgnoredReason::KnownClaim);
        }
        if self.claims.len() >= self.limits.claims {
            return Err(IgnoredReason::Full);
        }
        let claim = claims::Claim {
            request_digest,
            owner: ClaimOwner {
                attempt_id,
                host: host.clone(),
            },
            epoch: self.epoch.0,
            session: self.session,
            unknown: false,
            answer: None,
        };
        self.claims.insert(key.clone(), claim);
        Ok(())
    }

    fn add_answer(
        &mut self,
        key: &ids::IdempotencyKey,
        attempt_id: u64,
        answer: &Answer,
    ) -> Result<(), IgnoredReason> {
        self.open_claim(key, attempt_id)?;
        if answer.outcome == errors::Outcome::Unknown {
            self.claims.set_unknown(key);
        } else {
            self.claims.answer(key, self.time_ms, answer.clone());
        }
        Ok(())
    }

    fn open_claim(&self, key: &ids::IdempotencyKey, attempt_id: u64) -> Result<(), IgnoredReason> {
        let claim = self.claims.get(key);
        let claim = claim.filter(|claim| claim.answer.is_none());
        let claim = claim.filter(|claim| claim.owner.attempt_id == attempt_id);
        claim.map(|_| ()).ok_or(IgnoredReason::NoSuchClaim)
    }

    fn prune(&mut self) {
        self.claims.prune(self.time_ms, &self.limits);
        while let Some((at_ms, work)) = self.finished.front() {
            let is_old = at_ms.saturating_add(self.limits.job_retention_ms) <= self.time_ms;
            if !is_old && self.finished.len() <= self.limits.finished_jobs {
                break;
            }
            let job = self.jobs.swap_remove(work);
            if let Some(key) = job.and_then(|job| job.key) {
                self.job_keys.swap_remove(&key);
            }
            self.finished.pop_front();
        }
    }
}
