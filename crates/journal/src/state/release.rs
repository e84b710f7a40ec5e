//! Work that a release adds and withdraws.
//!
//! The state remembers durably up to which release it has followed, because a
//! finished job is forgotten while its work may still be in force: only the
//! version says that it must not be accepted once more. A name that a later
//! release uses again gets a *successor* of the job that has it. The successor
//! starts when no run of the older job is live any more, and its attempts go on
//! counting, so that no two runs ever have the same identity.

use std::sync::Arc;

use kernel::ids;
use kernel::work;

use super::{IgnoredReason, Job, ShardState};

impl ShardState {
    /// The release up to which all work of the shard was accepted or withdrawn.
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

    /// Lets work that a later release added under a known name follow the job of that name.
    ///
    /// A job of an earlier release is cancelled, because its work was withdrawn in
    /// between; a submitted job goes on to its end.
    pub(super) fn supersede(&mut self, work: &work::Work) -> Result<(), IgnoredReason> {
        let job = self.jobs.get_mut(&work.id);
        let job = job.filter(|job| work.since > job.newest().since);
        let job = job.ok_or(IgnoredReason::KnownWork)?;
        job.successor = Some(Arc::new(work.clone()));
        job.cancelled |= job.work.is_from_release();
        self.index_job(&work.id);
        Ok(())
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

    /// Puts the successor in the place of a job that has no live run any more.
    pub(super) fn start_successor(&mut self, work: &ids::WorkId) {
        let order = self.next_order;
        let Some(job) = self.jobs.get_mut(work) else {
            return;
        };
        let Some(successor) = job.successor.take() else {
            return;
        };
        let was_finished = job.finished_ms.is_some();
        *job = Job::after(job, successor, order, self.time_ms);
        self.next_order += 1;
        if was_finished {
            self.finished.retain(|(_, finished)| finished != work);
        }
        self.index_job(work);
    }
}
