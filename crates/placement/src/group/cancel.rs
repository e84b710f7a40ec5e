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
        self.cancelled_works.insert(work);
        self.release_hold_of(work);
        let Some(&work_slot) = self.work_slots.get(work) else {
            return Vec::new();
        };
        let entry = &mut self.works[work_slot];
        entry.status = table::WorkStatus::Cancelled;
        entry.waiting.clear();
        let mode = match entry.work.kind {
            work::WorkKind::Service => workers::StopMode::Drain,
            work::WorkKind::BatchRun | work::WorkKind::GangJob => workers::StopMode::Kill,
        };
        let mut never_started = Vec::new();
        for slot in entry.members.clone() {
            if self.tasks[slot].run_state.placement().is_some() {
                self.stop(slot, mode);
                continue;
            }
            self.unreserve(slot);
            never_started.push(self.run_of(slot));
            if self.tasks[slot].blocked_by == 0 {
                self.remove_task(slot);
            }
        }
        never_started
    }

    /// Allows tasks of a cancelled work to be submitted again.
    ///
    /// The caller must ensure that the assignment is newer than the cancellation.
    pub fn lift_cancellation(&mut self, work: &ids::WorkId) {
        self.cancelled_works.remove(work);
    }

    /// Returns whether a work was cancelled.
    pub(super) fn is_cancelled(&self, work: u32) -> bool {
        self.works[work].status == table::WorkStatus::Cancelled
    }
}
