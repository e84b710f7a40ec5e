//! Applies work that a release adds, changes or withdraws.
//!
//! The state records the latest applied release, because a finished job may be
//! evicted while its work is still in force, and only the version shows that it
//! must not be accepted again. Work that reuses the name of an existing job
//! becomes its *successor*. The successor starts once no run of the older job
//! is live, and continues its attempt numbers, so that no two runs have the
//! same identity.

use std::sync::Arc;

use kernel::ids;
use kernel::work;

use super::{IgnoredReason, Job, ShardState};

impl ShardState {
    /// The latest release whose changes to the shard's work are all applied.
    pub fn followed(&self) -> ids::ReleaseVersion {
        self.followed
    }

    pub(super) fn follow(&mut self, version: ids::ReleaseVersion) -> Result<(), IgnoredReason> {
        if version <= self.followed {
            return Err(IgnoredReason::OldRelease);
        }
        self.followed = version;
        Ok(())
    }

    /// Makes work that a later release added under an existing name the successor of that job.
    ///
    /// A job of an earlier release is cancelled, because its work was withdrawn in
    /// between; a submitted job continues to its end.
    pub(super) fn supersede(&mut self, work: &work::Work) -> Result<(), IgnoredReason> {
        let job = self.jobs.get_mut(&work.id);
        let job = job.filter(|job| work.since > job.newest().since);
        let job = job.ok_or(IgnoredReason::KnownWork)?;
        job.successor = Some(Arc::new(work.clone()));
        job.cancelled |= job.work.is_from_release();
        self.index_job(&work.id);
        Ok(())
    }

    /// Applies a changed definition.
    ///
    /// A finished batch run stays finished, and a gang job that was assigned keeps
    /// its size, because its members run together.
    pub(super) fn change(&mut self, work: &work::Work) -> Result<(), IgnoredReason> {
        let changed = Arc::new(work.clone());
        self.change_live(&work.id, |job| {
            if !work.is_from_release() || job.newest().since != work.since {
                return Err(IgnoredReason::NoSuchWork);
            }
            if *job.newest() == changed {
                return Err(IgnoredReason::KnownWork);
            }
            if job.successor.is_some() {
                job.successor = Some(changed);
                return Ok(());
            }
            if !job.may_change() {
                return Err(IgnoredReason::NotWaiting);
            }
            job.change(changed);
            Ok(())
        })
    }

    pub(super) fn withdraw(&mut self, work: &ids::WorkId) -> Result<(), IgnoredReason> {
        self.change_live(work, |job| {
            let had_successor = job.successor.take().is_some();
            if !had_successor && !job.work.is_from_release() {
                return Err(IgnoredReason::NoSuchWork);
            }
            job.cancelled |= job.work.is_from_release();
            Ok(())
        })
    }

    /// Replaces a job without live runs by its successor.
    pub(super) fn start_successor(&mut self, work: &ids::WorkId) {
        let order = self.next_order;
        let Some(job) = self.jobs.get_mut(work) else {
            return;
        };
        let Some(successor) = job.successor.take() else {
            return;
        };
        let was_finished = job.finished_ms.is_some();
        *job = Job::succeeding(job, successor, order, self.time_ms);
        self.next_order += 1;
        if was_finished {
            self.finished.retain(|(_, finished)| finished != work);
        }
        self.index_job(work);
    }
}
