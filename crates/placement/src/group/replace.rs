//! Replacement of service replicas without a gap.
//!
//! A replica on a leaving worker gets a twin: the same replica under another
//! index (`index + tasks`, and back again the next time). The old one drains
//! once the twin runs, so no index ever runs in two places.

use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::table;

impl Group {
    fn twin_index(&self, work: u32, index: u32) -> Option<u32> {
        match self.works[work].work.tasks {
            0 => None,
            tasks if index < tasks => index.checked_add(tasks),
            tasks => Some(index - tasks),
        }
    }

    /// The other task of the same replica, if it exists.
    pub(super) fn twin(&self, work: u32, index: u32) -> Option<u32> {
        let index = self.twin_index(work, index)?;
        self.task_numbers.get(&(work, index)).copied()
    }

    /// Queues a twin of a placed replica ahead of other tasks.
    pub(super) fn replace(&mut self, slot: u32, now_ms: u64) {
        let task = &self.tasks[slot];
        let (work, index, attempt) = (task.work, task.index, task.life.attempt());
        if task.orphan || task.replaced || task.replaces.is_some() || self.works[work].cancelled {
            return;
        }
        let Some(twin_index) = self.twin_index(work, index) else {
            return;
        };
        if self.task_numbers.contains_key(&(work, twin_index)) {
            return;
        }
        // A higher attempt keeps runs unique when the index is used again.
        let attempt: ids::Attempt = attempt.next();
        let mut twin = table::Task::new(work, twin_index, attempt, now_ms);
        twin.replaces = Some(slot);
        self.tasks[slot].replaced = true;
        let twin = self.insert_task(twin);
        self.enqueue(twin, true);
    }

    /// Replaces the replicas of a service that run on leaving workers.
    pub(super) fn replace_leaving(&mut self, number: u32, now_ms: u64) {
        if self.works[number].work.kind != work::WorkKind::Service {
            return;
        }
        for slot in self.works[number].members.clone() {
            let placement = self.tasks[slot].life.placement();
            if placement.is_some_and(|placement| self.workers[placement.worker as usize].leaving) {
                self.replace(slot, now_ms);
            }
        }
    }

    /// Drains the replica that a task replaces, now that the task runs.
    pub(super) fn drain_replaced(&mut self, slot: u32) {
        if let Some(old) = self.tasks[slot].replaces.take() {
            self.stop(old, workers::StopMode::Drain);
        }
    }

    /// A replaced replica is gone: its twin is an ordinary replica from now on.
    pub(super) fn forget_replaced(&mut self, work: u32, old: u32, index: u32) {
        let Some(twin) = self.twin(work, index) else {
            return;
        };
        let task = &mut self.tasks[twin];
        if task.replaces == Some(old) {
            task.replaces = None;
        }
        let leaving = task
            .life
            .placement()
            .is_some_and(|placement| self.workers[placement.worker as usize].leaving);
        if leaving {
            let since_ms = self.tasks[twin].since_ms;
            self.replace(twin, since_ms);
        }
    }
}
