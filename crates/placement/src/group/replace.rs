//! Replacement of service replicas without a gap in capacity.
//!
//! The replacement of a replica is the same replica under its alternate index, which
//! differs in [`ALTERNATE_INDEX_BIT`]; the next replacement changes back. The old
//! replica drains once the replacement runs, so no index ever runs in two places.

use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::table;

/// Bit in which the two indexes of a replica differ. It does not depend on the number
/// of tasks, which may change.
pub const ALTERNATE_INDEX_BIT: u32 = 1 << 31;

/// Returns the number of a replica within its service, for either of its two indexes.
pub const fn replica_of(index: u32) -> u32 {
    index & !ALTERNATE_INDEX_BIT
}

impl Group {
    /// Returns the other index of a replica; `None` while the definition of the work is unknown.
    fn alternate_index(&self, work: u32, index: u32) -> Option<u32> {
        (self.works[work].work.tasks > 0).then_some(index ^ ALTERNATE_INDEX_BIT)
    }

    /// Returns the task with the other index of the same replica, if it exists.
    pub(super) fn alternate_task(&self, work: u32, index: u32) -> Option<u32> {
        let index = self.alternate_index(work, index)?;
        self.task_slots.get(&(work, index)).copied()
    }

    /// Returns the task of a replica: the one with this index, or else the one with its
    /// alternate index.
    pub(super) fn replica_slot(&self, task: &ids::TaskId) -> Option<u32> {
        let alternate = || {
            let work = *self.work_slots.get(&task.work)?;
            let is_service = self.works[work].work.kind == work::WorkKind::Service;
            is_service
                .then(|| self.alternate_task(work, task.index))
                .flatten()
        };
        self.task_slot(task).or_else(alternate)
    }

    /// Queues a replacement of a placed replica ahead of the other tasks.
    pub(super) fn replace(&mut self, slot: u32, now_ms: u64) {
        let task = &self.tasks[slot];
        let (work, index, attempt) = (task.work, task.index, task.run_state.attempt());
        if task.orphan || task.replaced || task.replaces.is_some() || self.is_finished(slot) {
            return;
        }
        let Some(alternate_index) = self.alternate_index(work, index) else {
            return;
        };
        if self.task_slots.contains_key(&(work, alternate_index)) {
            return;
        }
        // A higher attempt keeps runs unique when the index is reused.
        let attempt: ids::Attempt = attempt.next().max(self.tasks[slot].next_attempt);
        let mut replacement = table::Task::new(work, alternate_index, attempt, now_ms);
        replacement.replaces = Some(slot);
        self.tasks[slot].replaced = true;
        let replacement = self.insert_task(replacement);
        self.enqueue(replacement, true);
    }

    /// Restores replacements of a service whose definition has just become known.
    ///
    /// Replicas that were found under both of their indexes are paired again, and
    /// replicas on leaving workers are replaced.
    pub(super) fn restore_replacements(&mut self, work: u32, now_ms: u64) {
        for slot in self.works[work].members.clone() {
            self.pair_replicas(slot);
        }
        for slot in self.works[work].members.clone() {
            let placement = self.tasks[slot].run_state.placement();
            if placement.is_some_and(|placement| self.workers[placement.worker as usize].leaving) {
                self.replace(slot, now_ms);
            }
        }
    }

    /// Keeps only one of two tasks of the same replica after one was found on a worker.
    pub(super) fn pair_replicas(&mut self, slot: u32) {
        let Some(task) = self.tasks.get(slot) else {
            return;
        };
        let is_service = self.works[task.work].work.kind == work::WorkKind::Service;
        if !is_service || task.orphan || task.run_state.placement().is_none() {
            return;
        }
        let Some(other) = self.alternate_task(task.work, task.index) else {
            return;
        };
        let is_paired = |slot: u32| {
            let task = &self.tasks[slot];
            task.replaced || task.replaces.is_some()
        };
        if is_paired(slot) || is_paired(other) {
            return;
        }
        if self.tasks[other].run_state.placement().is_none() {
            self.dequeue(other);
            self.remove_task(other);
            return;
        }
        let attempt = |slot: u32| self.tasks[slot].run_state.attempt();
        let (old, new) = if attempt(slot) < attempt(other) {
            (slot, other)
        } else {
            (other, slot)
        };
        self.tasks[old].replaced = true;
        self.tasks[new].replaces = Some(old);
        if !self.tasks[new].run_state.is_starting() {
            self.drain_replaced(new);
        }
    }

    /// Drains the replica that a task replaces, once the task runs.
    pub(super) fn drain_replaced(&mut self, slot: u32) {
        if let Some(old) = self.tasks[slot].replaces.take() {
            self.stop(old, workers::StopMode::Drain);
        }
    }

    /// Completes a replacement after the replaced replica was removed.
    ///
    /// The remaining task becomes an ordinary replica, and is replaced in turn if its
    /// worker is leaving.
    pub(super) fn complete_replacement(&mut self, work: u32, old: u32, index: u32) {
        let Some(replacement) = self.alternate_task(work, index) else {
            return;
        };
        let task = &mut self.tasks[replacement];
        if task.replaces == Some(old) {
            task.replaces = None;
        }
        let leaving = task
            .run_state
            .placement()
            .is_some_and(|placement| self.workers[placement.worker as usize].leaving);
        if leaving {
            let created_ms = self.tasks[replacement].created_ms;
            self.replace(replacement, created_ms);
        }
    }
}
