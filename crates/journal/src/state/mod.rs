//! The state of a shard: what its journal says.
//!
//! [`ShardState`] is a pure function of the entries that were applied, in the
//! order of their numbers. A record that no longer makes sense when its turn
//! comes (a task that is assigned already, a key that is claimed already) is
//! ignored, by every host that replays the journal alike. The outcome,
//! [`Applied`], is how the writer learns whether its record counted, so races
//! between requests are decided by the journal's order and by nothing else.
//!
//! Times are *journal times*: milliseconds that pass only while a writer has
//! the journal open. They need no agreement between clocks, and retention
//! counted in them is never shorter than it says.
//!
//! Memory: a job costs its work plus 16 bytes for each stretch of neighbouring
//! tasks in the same state; see `docs/design/journal.md` for the measurement.

mod cells;
mod claims;
mod job;
mod query;
mod release;
mod snapshot;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use kernel::errors;
use kernel::ids;
use kernel::work;

use crate::record::{Answer, Entry, Record, Run};

pub use cells::TaskState;
pub use claims::{ClaimOwner, ClaimState};
pub use job::{Job, JobPhase, TaskCounts};
pub use query::Assignment;

/// Bounds on what a shard keeps; they must be the same on all hosts of a firm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long an answered claim is remembered, in milliseconds of journal time.
    pub claim_retention_ms: u64,
    /// Largest sum of kept answer bodies; above it the oldest bodies are dropped.
    pub claim_body_bytes: usize,
    /// Largest number of claims; above it new claims are ignored.
    pub claims: usize,
    /// How long a finished job is remembered, in milliseconds of journal time.
    pub job_retention_ms: u64,
    /// Largest number of finished jobs; above it the oldest are forgotten.
    pub finished_jobs: usize,
    /// Largest number of jobs that are not finished; above it new work is ignored.
    pub open_jobs: usize,
    /// How many of the latest changes of writer stay in the store when entries are trimmed.
    pub seals: usize,
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
            seals: 1024,
        }
    }
}

/// What became of a record.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Applied {
    /// The record counted.
    #[display("changed")]
    Changed,
    /// The record changed nothing.
    #[display("ignored: {_0}")]
    Ignored(IgnoredReason),
}

impl Applied {
    /// Whether the record counted.
    pub fn is_changed(self) -> bool {
        self == Self::Changed
    }
}

/// Why a record changed nothing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum IgnoredReason {
    /// Work of this name, or under this key, is known already.
    #[display("the work is known already")]
    KnownWork,
    /// No such work, or it is no longer remembered.
    #[display("no such work")]
    NoSuchWork,
    /// A task has a live attempt, is finished, or expects another attempt number.
    #[display("a task does not wait for this attempt")]
    NotWaiting,
    /// The run is not the live attempt of its task.
    #[display("not the live attempt")]
    NotLive,
    /// The key is claimed already.
    #[display("the key is claimed already")]
    KnownClaim,
    /// No open claim with this key and attempt.
    #[display("no such claim")]
    NoSuchClaim,
    /// The release was followed already.
    #[display("the release was followed already")]
    OldRelease,
    /// The shard holds as much as its limits allow.
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
    /// Unfinished jobs in the order of their acceptance.
    open: BTreeMap<u64, ids::WorkId>,
    /// Open jobs with tasks to assign, in the order of their acceptance.
    waiting: BTreeMap<u64, ids::WorkId>,
    finished: VecDeque<(u64, ids::WorkId)>,
    groups: IndexSet<ids::GroupId>,
    claims: claims::Claims,
    seals: VecDeque<u64>,
    followed: ids::ReleaseVersion,
}

impl ShardState {
    /// The state of a journal without entries.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies the entry with the next number and says what became of each record.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the entry is of another writer than
    /// the last one that opened the journal; nothing is changed then.
    pub fn apply_entry(&mut self, entry: &Entry) -> errors::Result<Vec<Applied>> {
        let opens = matches!(entry.records.first(), Some(Record::Opened { .. }));
        let is_current = entry.epoch == self.epoch
            && entry.session == self.session
            && self.writer.as_ref() == Some(&entry.writer);
        if opens && entry.epoch < self.epoch || !opens && !is_current {
            let detail = format!(
                "entry {} is of {} under epoch {} and not of the journal's writer",
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
            Record::Assigned { work, runs, group } => self.assign(work, runs, group),
            Record::HandedBack { work, runs } => self.hand_back(work, runs),
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
        while self.seals.len() > self.limits.seals {
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
        // The work of a release is accepted already, so it cannot be refused here.
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
    ) -> Result<(), IgnoredReason> {
        let (group, _) = self.groups.insert_full(group.clone());
        let group = u16::try_from(group).map_err(|_| IgnoredReason::Full)?;
        self.change_live(work, |job| {
            if !job.may_assign(runs) {
                return Err(IgnoredReason::NotWaiting);
            }
            job.assign(runs, group);
            Ok(())
        })
    }

    /// Takes back those of the runs that are live; the others are known to be over.
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

    /// Brings the indexes of open, waiting and finished jobs up to date.
    fn index_job(&mut self, work: &ids::WorkId) {
        let Some(job) = self.jobs.get_mut(work) else {
            return;
        };
        let order = job.order;
        if job.phase() != JobPhase::Open {
            self.open.remove(&order);
            self.waiting.remove(&order);
            if job.successor.is_some() {
                self.start_successor(work);
                return;
            }
            if job.finished_ms.is_none() {
                job.finished_ms = Some(self.time_ms);
                self.finished.push_back((self.time_ms, work.clone()));
            }
            return;
        }
        self.open.insert(order, work.clone());
        if job.counts().waiting > 0 {
            self.waiting.insert(order, work.clone());
        } else {
            self.waiting.remove(&order);
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
