//! Cancellation of works.

use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::table;

impl Group {
    /// Cancels a work and returns its waiting runs, which now never start.
    ///
    /// The cost per task is constant. Placed tasks are stopped by the next decisions:
    /// replicas of a service are drained, other tasks are killed.
    pub fn cancel(&mut self, work: &ids::WorkId, _now_ms: u64) -> Vec<ids::TaskAttempt> {
        self.cancelled.insert(work);
        self.drop_hold_of(work);
        let Some(&number) = self.work_numbers.get(work) else {
            return Vec::new();
        };
        let entry = &mut self.works[number];
        entry.standing = table::Standing::Cancelled;
        entry.waiting.clear();
        let mode = match entry.work.kind {
            work::WorkKind::Service => workers::StopMode::Drain,
            work::WorkKind::BatchRun | work::WorkKind::GangJob => workers::StopMode::Kill,
        };
        let mut dropped = Vec::new();
        for slot in entry.members.clone() {
            if self.tasks[slot].life.placement().is_some() {
                self.stop(slot, mode);
                continue;
            }
            self.unreserve(slot);
            dropped.push(self.run_of(slot));
            if self.tasks[slot].blocked_by == 0 {
                self.remove_task(slot);
            }
        }
        dropped
    }

    /// Allows tasks of a cancelled work to be submitted again.
    ///
    /// The caller must ensure that the assignment is newer than the cancellation.
    pub fn lift_cancellation(&mut self, work: &ids::WorkId) {
        self.cancelled.remove(work);
    }

    /// Returns whether a work was cancelled.
    pub(super) fn is_cancelled(&self, work: u32) -> bool {
        self.works[work].standing == table::Standing::Cancelled
    }
}
