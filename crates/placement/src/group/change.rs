//! Changes of the number of tasks of a work.
//!
//! A task whose index is not below the number of tasks is *surplus*. A waiting surplus
//! task is handed back. A running surplus replica of a service is drained; a running
//! surplus task of a batch run continues to its end and is not started again.

use kernel::work;
use platform::workers;

use super::{Group, replace};
use crate::decision;

impl Group {
    /// Returns whether the index of a task is not below the number of tasks of its work.
    pub(super) fn is_surplus(&self, slot: u32) -> bool {
        let task = &self.tasks[slot];
        let work = &self.works[task.work].work;
        let is_sized = work.kind != work::WorkKind::GangJob && work.tasks > 0;
        is_sized && replace::replica_of(task.index) >= work.tasks
    }

    /// Drains the surplus replicas of a service whose definition has changed.
    pub(super) fn drain_surplus(&mut self, work: u32) {
        if self.works[work].work.kind != work::WorkKind::Service {
            return;
        }
        for slot in self.works[work].members.clone() {
            if self.is_surplus(slot) {
                self.stop(slot, workers::StopMode::Drain);
            }
        }
    }

    /// Hands back the surplus task at the front of its work's queue.
    pub(super) fn hand_back_surplus(&mut self, slot: u32) -> decision::Decision {
        let run = self.run_of(slot);
        let work = self.tasks[slot].work;
        self.works[work].waiting.pop_front();
        self.remove_task(slot);
        decision::Decision::HandBack {
            run,
            reason: decision::HandBackReason::Surplus,
        }
    }
}
