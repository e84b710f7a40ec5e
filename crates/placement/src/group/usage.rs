//! Reported usage: sizes learned from it, and measures against runs that exceed their
//! assigned size.

use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::estimate;
use crate::table;

/// Usage reports of a service replica after which its peak is recorded for the learned size.
const SERVICE_REPORTS: u32 = 8;
/// How long a throttled run may exceed its assigned size before it is checkpointed.
const THROTTLED_LIMIT_MS: u64 = 5_000;
/// How long a run that exceeds its assigned size may take to save its state before it is killed.
const ENDING_LIMIT_MS: u64 = 5_000;

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
        let Some(placement) = self.tasks[slot].life.placement() else {
            return;
        };
        if self.workers[placement.worker as usize].id != *worker {
            return;
        }
        let task = &mut self.tasks[slot];
        task.peak = estimate::larger(task.peak, used);
        task.reports += 1;
        let service = self.works[task.work].work.kind == work::WorkKind::Service;
        if service && !task.learned && task.reports >= SERVICE_REPORTS {
            self.learn(slot);
        }
        let excess = used.saturating_sub(placement.assigned);
        if excess == work::Resources::default() {
            self.tasks[slot].overuse = table::Overuse::Within;
        } else if !self.grow(slot, excess) {
            self.hold_back(slot, service, now_ms);
        }
    }

    fn learn(&mut self, slot: u32) {
        let task = &mut self.tasks[slot];
        task.learned = true;
        let class = self.works[task.work].class;
        self.estimates.learn(class, task.peak);
    }

    /// Records the peak of a run that completed, and resets the task's usage state.
    pub(super) fn learn_end(&mut self, slot: u32, end: workers::RunEnd) {
        let task = &mut self.tasks[slot];
        let representative = end == workers::RunEnd::Completed;
        if representative && !task.learned && !task.orphan {
            self.learn(slot);
        }
        let task = &mut self.tasks[slot];
        task.learned = false;
        task.reports = 0;
        task.overuse = table::Overuse::Within;
    }

    /// Assigns more to a run if its worker has room. Returns whether it had.
    fn grow(&mut self, slot: u32, excess: work::Resources) -> bool {
        let Some(placement) = self.tasks[slot].life.placement() else {
            return false;
        };
        if !excess.fits_in(self.workers[placement.worker as usize].free()) {
            return false;
        }
        self.change_life(slot, |life| life.grow(excess));
        self.reindex(placement.worker);
        true
    }

    /// Takes the next measure against a run that exceeds its assigned size.
    fn hold_back(&mut self, slot: u32, service: bool, now_ms: u64) {
        let task = &mut self.tasks[slot];
        let since_ms = task.overuse_since_ms;
        match task.overuse {
            table::Overuse::Within => {
                task.overuse = table::Overuse::Throttled;
                task.overuse_since_ms = now_ms;
                self.push_stop(slot, workers::StopMode::Throttle);
            }
            table::Overuse::Throttled if now_ms >= since_ms + THROTTLED_LIMIT_MS && !service => {
                task.overuse = table::Overuse::Ending;
                self.stop(slot, workers::StopMode::Checkpoint);
                let work = &self.works[self.tasks[slot].work].work;
                if work.idempotent {
                    self.kill_at(slot, now_ms + ENDING_LIMIT_MS);
                }
            }
            table::Overuse::Throttled | table::Overuse::Ending => {}
        }
    }
}
