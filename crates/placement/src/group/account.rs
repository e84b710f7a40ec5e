//! Accounting of placements in the totals of workers, racks and teams. Every change of
//! a placement goes through this module.

use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::decision;
use crate::lifecycle;
use crate::table;

impl Group {
    /// Returns the run of a task that is placed or will be placed next.
    pub(super) fn run_of(&self, slot: u32) -> ids::TaskAttempt {
        let task = &self.tasks[slot];
        ids::TaskAttempt {
            task: ids::TaskId::new(&self.works[task.work].work.id, task.index),
            attempt: task.run_state.attempt(),
        }
    }

    /// Returns the slot of a placed run.
    pub(super) fn placed_slot(&self, run: &ids::TaskAttempt) -> Option<u32> {
        let main = self.task_slot(&run.task).filter(|&slot| {
            let run_state = &self.tasks[slot].run_state;
            run_state.attempt() == run.attempt && run_state.placement().is_some()
        });
        main.or_else(|| self.orphans.get(run).copied())
    }

    /// Returns the slot of a task in any state.
    pub(super) fn task_slot(&self, task: &ids::TaskId) -> Option<u32> {
        let work = *self.work_slots.get(&task.work)?;
        self.task_slots.get(&(work, task.index)).copied()
    }

    /// Returns whether urgent work may preempt a task.
    pub(super) fn is_preemptible(&self, slot: u32) -> bool {
        let task = &self.tasks[slot];
        let work = &self.works[task.work].work;
        !task.orphan
            && work.kind != work::WorkKind::Service
            && work.urgency != work::Urgency::Urgent
            && matches!(
                task.run_state,
                lifecycle::RunState::Starting(_) | lifecycle::RunState::Running(_)
            )
    }

    /// Changes the state of a run and updates the totals of its worker.
    pub(super) fn update_run_state(
        &mut self,
        slot: u32,
        change: impl FnOnce(&mut lifecycle::RunState),
    ) {
        self.adjust_totals(slot, false);
        change(&mut self.tasks[slot].run_state);
        self.adjust_totals(slot, true);
    }

    /// Subtracts a run from its worker's totals, before its work changes.
    pub(super) fn subtract_from_totals(&mut self, slot: u32) {
        self.adjust_totals(slot, false);
    }

    /// Adds a run to its worker's totals again, after its work changed.
    pub(super) fn add_to_totals(&mut self, slot: u32) {
        self.adjust_totals(slot, true);
        if let Some(placement) = self.tasks[slot].run_state.placement() {
            self.reindex(placement.worker);
        }
    }

    fn adjust_totals(&mut self, slot: u32, add: bool) {
        let Some(placement) = self.tasks[slot].run_state.placement() else {
            return;
        };
        let is_preemptible = self.is_preemptible(slot);
        let is_starting = self.tasks[slot].run_state.is_starting();
        let worker = &mut self.workers[placement.worker as usize];
        if add {
            worker.assigned += placement.assigned;
            worker.starting += u32::from(is_starting);
            if is_preemptible {
                worker.preemptible += placement.assigned;
            }
        } else {
            worker.assigned = worker.assigned.saturating_sub(placement.assigned);
            worker.starting -= u32::from(is_starting);
            if is_preemptible {
                worker.preemptible = worker.preemptible.saturating_sub(placement.assigned);
            }
        }
    }

    /// Places a waiting task on a worker.
    pub(super) fn attach(&mut self, slot: u32, placement: lifecycle::Placement) {
        self.update_run_state(slot, |run_state| {
            run_state.start(placement);
        });
        let task = &mut self.tasks[slot];
        task.revision = self.works[task.work].work.revision;
        self.record_placed(slot, placement.worker);
    }

    /// Records a placed run with its worker, rack and team.
    pub(super) fn record_placed(&mut self, slot: u32, worker: u32) {
        let entry = &mut self.workers[worker as usize];
        entry.tasks.push(slot);
        let rack = entry.rack;
        let task = &self.tasks[slot];
        if !task.orphan {
            *self.works[task.work].racks.entry(rack).or_insert(0) += 1;
        }
        self.charge(slot);
        self.placed_count += 1;
        self.reindex(worker);
    }

    pub(super) fn charge(&mut self, slot: u32) {
        let work = &self.works[self.tasks[slot].work];
        let charged = (work.team, work.work.demand);
        self.tasks[slot].charged = Some(charged);
        self.teams.charge(charged.0, charged.1);
    }

    pub(super) fn refund(&mut self, slot: u32) {
        if let Some((team, demand)) = self.tasks[slot].charged.take() {
            self.teams.refund(team, demand);
        }
    }

    /// Removes a placed task from its worker; it becomes a waiting task under attempt `next`.
    pub(super) fn detach(&mut self, slot: u32, next: ids::Attempt) {
        let Some(placement) = self.tasks[slot].run_state.placement() else {
            return;
        };
        self.update_run_state(slot, |run_state| {
            *run_state = lifecycle::RunState::Waiting(lifecycle::Run::new(next));
        });
        let worker = &mut self.workers[placement.worker as usize];
        if let Some(position) = worker.tasks.iter().position(|&other| other == slot) {
            worker.tasks.swap_remove(position);
        }
        let rack = worker.rack;
        let task = &mut self.tasks[slot];
        task.last_worker = Some(placement.worker);
        let work = &mut self.works[task.work];
        if !task.orphan
            && let Some(count) = work.racks.get_mut(&rack)
        {
            *count -= 1;
            if *count == 0 {
                work.racks.swap_remove(&rack);
            }
        }
        self.refund(slot);
        self.placed_count -= 1;
        self.cancel_kill(slot);
        self.record_victim_end(slot);
        self.reindex(placement.worker);
    }

    /// Updates a worker's entries in the free-capacity indexes.
    pub(super) fn reindex(&mut self, worker: u32) {
        let entry = &self.workers[worker as usize];
        if !entry.accepts_tasks() {
            self.free_index.remove(worker);
            self.reclaimable_index.remove(worker);
            return;
        }
        let free = entry.free();
        let idle = entry.tasks.is_empty();
        self.free_index.set(worker, free, idle);
        self.reclaimable_index
            .set(worker, free + entry.preemptible, idle);
    }

    /// Decides a stop of a placed run, unless one was decided before.
    pub(super) fn stop(&mut self, slot: u32, mode: workers::StopMode) {
        let run_state = self.tasks[slot].run_state;
        let Some(placement) = run_state.placement() else {
            return;
        };
        if run_state.is_stopping() {
            return;
        }
        self.update_run_state(slot, lifecycle::RunState::stop);
        self.reindex(placement.worker);
        self.queue_stop(slot, mode);
    }

    /// Queues a stop order for a placed run, regardless of earlier ones.
    pub(super) fn queue_stop(&mut self, slot: u32, mode: workers::StopMode) {
        let Some(placement) = self.tasks[slot].run_state.placement() else {
            return;
        };
        self.pending_decisions.push_back(decision::Decision::Stop {
            worker: self.workers[placement.worker as usize].id.clone(),
            run: self.run_of(slot),
            mode,
        });
    }

    /// Schedules a kill of a run at `at_ms`, unless it ends before.
    pub(super) fn schedule_kill(&mut self, slot: u32, at_ms: u64) {
        self.cancel_kill(slot);
        self.tasks[slot].kill_at_ms = Some(at_ms);
        self.scheduled_kills.insert((at_ms, slot));
    }

    fn cancel_kill(&mut self, slot: u32) {
        if let Some(at_ms) = self.tasks[slot].kill_at_ms.take() {
            self.scheduled_kills.remove(&(at_ms, slot));
        }
    }

    fn cancel_restart(&mut self, slot: u32) {
        if let Some(at_ms) = self.tasks[slot].restart_at_ms.take() {
            self.scheduled_restarts.remove(&(at_ms, slot));
        }
    }

    /// Adds a waiting task to its work's queue, at the front if `first` is set.
    pub(super) fn enqueue(&mut self, slot: u32, first: bool) {
        let work = self.tasks[slot].work;
        let entry = &mut self.works[work];
        if first {
            entry.waiting.push_front(slot);
        } else {
            entry.waiting.push_back(slot);
        }
        self.enqueue_work(work);
    }

    /// Adds a work with waiting tasks to its team's queue.
    pub(super) fn enqueue_work(&mut self, work: u32) {
        let entry = &mut self.works[work];
        if entry.queued || entry.waiting.is_empty() {
            return;
        }
        entry.queued = true;
        let urgency = entry.work.urgency as usize;
        self.teams.get_mut(entry.team).queues[urgency].push_back(work);
    }

    /// Adds a task to the table and to the members of its work.
    pub(super) fn insert_task(&mut self, mut task: table::Task) -> u32 {
        let (work, index, orphan) = (task.work, task.index, task.orphan);
        task.member_index = self.works[work].members.len() as u32;
        let slot = self.tasks.insert(task);
        self.works[work].members.push(slot);
        if !orphan {
            self.task_slots.insert((work, index), slot);
        }
        slot
    }

    /// Removes a task that is neither placed nor in its work's queue.
    pub(super) fn remove_task(&mut self, slot: u32) {
        self.cancel_restart(slot);
        let Some(task) = self.tasks.remove(slot) else {
            return;
        };
        let work = &mut self.works[task.work];
        work.members.swap_remove(task.member_index as usize);
        if let Some(&moved) = work.members.get(task.member_index as usize) {
            self.tasks[moved].member_index = task.member_index;
        }
        if !task.orphan {
            self.task_slots.swap_remove(&(task.work, task.index));
        }
        if task.replaced {
            self.complete_replacement(task.work, slot, task.index);
        }
        self.remove_unused_work(task.work);
    }

    /// Removes a work without tasks, unless a queue or a preemption refers to it.
    pub(super) fn remove_unused_work(&mut self, work: u32) {
        let Some(entry) = self.works.get(work) else {
            return;
        };
        if entry.queued || entry.pending_preemptions > 0 || !entry.members.is_empty() {
            return;
        }
        let id = entry.work.id.clone();
        self.work_slots.swap_remove(&id);
        self.works.remove(work);
    }
}
