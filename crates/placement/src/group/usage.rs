//! Reported usage: sizes learned from it, and measures against runs that exceed their
//! assigned size.

use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::estimate;
use crate::table;

/// Usage reports of a service replica after which its peak is recorded for the learned size.
const MIN_SERVICE_REPORTS: u32 = 8;
/// How long a throttled run may exceed its assigned size before it is checkpointed.
const MAX_THROTTLED_MS: u64 = 5_000;
/// How long a run that exceeds its assigned size may take to save its state before it is killed.
const CHECKPOINT_TIMEOUT_MS: u64 = 5_000;

impl Group {
    /// Records the usage of a run that a worker reported.
    ///
    /// A run that exceeds its assigned size is assigned more if its worker has room.
    /// Otherwise it is throttled, then asked to save its state, then killed. Service
    /// replicas are only throttled, and runs that are not idempotent are not killed.
    pub fn usage(
        &mut self,
        worker: &ids::WorkerId,
        run: &ids::TaskAttempt,
        used: work::Resources,
        now_ms: u64,
    ) {
        let Some(slot) = self.placed_slot(run) else {
            return;
        };
        let Some(placement) = self.tasks[slot].run_state.placement() else {
            return;
        };
        if self.workers[placement.worker as usize].id != *worker {
            return;
        }
        let task = &mut self.tasks[slot];
        task.peak_usage = estimate::component_max(task.peak_usage, used);
        task.usage_reports += 1;
        let is_service = self.works[task.work].work.kind == work::WorkKind::Service;
        if is_service && !task.peak_recorded && task.usage_reports >= MIN_SERVICE_REPORTS {
            self.record_peak(slot);
        }
        let excess = used.saturating_sub(placement.assigned);
        if excess == work::Resources::default() {
            self.tasks[slot].overuse = table::Overuse::WithinLimit;
        } else if !self.grow_assigned(slot, excess) {
            self.escalate_overuse(slot, is_service, now_ms);
        }
    }

    fn record_peak(&mut self, slot: u32) {
        let task = &mut self.tasks[slot];
        task.peak_recorded = true;
        let class = self.works[task.work].class;
        self.estimates.record_peak(class, task.peak_usage);
    }

    /// Records the peak of a run that completed, and resets the task's usage state.
    pub(super) fn record_end_usage(&mut self, slot: u32, end: workers::RunEnd) {
        let task = &mut self.tasks[slot];
        let completed = end == workers::RunEnd::Completed;
        if completed && !task.peak_recorded && !task.orphan {
            self.record_peak(slot);
        }
        let task = &mut self.tasks[slot];
        task.peak_recorded = false;
        task.usage_reports = 0;
        task.overuse = table::Overuse::WithinLimit;
    }

    /// Assigns more to a run if its worker has room. Returns whether it had.
    fn grow_assigned(&mut self, slot: u32, excess: work::Resources) -> bool {
        let Some(placement) = self.tasks[slot].run_state.placement() else {
            return false;
        };
        if !excess.fits_in(self.workers[placement.worker as usize].free()) {
            return false;
        }
        self.update_run_state(slot, |run_state| run_state.grow(excess));
        self.reindex(placement.worker);
        true
    }

    /// Takes the next measure against a run that exceeds its assigned size.
    fn escalate_overuse(&mut self, slot: u32, is_service: bool, now_ms: u64) {
        let task = &mut self.tasks[slot];
        let since_ms = task.overuse_since_ms;
        match task.overuse {
            table::Overuse::WithinLimit => {
                task.overuse = table::Overuse::Throttled;
                task.overuse_since_ms = now_ms;
                self.queue_stop(slot, workers::StopMode::Throttle);
            }
            table::Overuse::Throttled if now_ms >= since_ms + MAX_THROTTLED_MS && !is_service => {
                task.overuse = table::Overuse::Checkpointing;
                self.stop(slot, workers::StopMode::Checkpoint);
                let work = &self.works[self.tasks[slot].work].work;
                if work.idempotent {
                    self.schedule_kill(slot, now_ms + CHECKPOINT_TIMEOUT_MS);
                }
            }
            table::Overuse::Throttled | table::Overuse::Checkpointing => {}
        }
    }
}
