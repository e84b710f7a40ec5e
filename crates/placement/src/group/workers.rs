//! Arrival, fencing, leaving and removal of workers, and adoption of the runs found on them.

use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::lifecycle;
use crate::table;
use crate::worker;

impl Group {
    /// Adds a worker, or updates its capacity and rack.
    pub fn set_worker(&mut self, spec: &worker::WorkerSpec, _now_ms: u64) {
        let rack = self.intern_rack(&spec.rack);
        let worker_index = self.intern_worker(&spec.id, rack);
        if self.workers[worker_index as usize].rack != rack {
            self.move_rack(worker_index, rack);
        }
        let entry = &mut self.workers[worker_index as usize];
        if !entry.present {
            entry.leaving = false;
        }
        if entry.present && entry.capacity == spec.capacity {
            return;
        }
        entry.present = true;
        entry.capacity = spec.capacity;
        self.capacity_outdated = true;
        self.reindex(worker_index);
    }

    fn intern_rack(&mut self, rack: &ids::RackId) -> u32 {
        let next = self.rack_workers.len() as u32;
        let rack_index = *self.rack_indexes.entry(rack.clone()).or_insert(next);
        if rack_index == next {
            self.rack_workers.push(Vec::new());
        }
        rack_index
    }

    fn intern_worker(&mut self, id: &ids::WorkerId, rack: u32) -> u32 {
        if let Some(&worker_index) = self.worker_indexes.get(id) {
            return worker_index;
        }
        let worker_index = self.workers.len() as u32;
        self.worker_indexes.insert(id.clone(), worker_index);
        self.workers.push(worker::Worker::new(id.clone(), rack));
        self.rack_workers[rack as usize].push(worker_index);
        worker_index
    }

    fn move_rack(&mut self, worker_index: u32, rack: u32) {
        let entry = &mut self.workers[worker_index as usize];
        let old_rack = entry.rack;
        entry.rack = rack;
        let tasks = entry.tasks.clone();
        self.rack_workers[old_rack as usize].retain(|&other| other != worker_index);
        self.rack_workers[rack as usize].push(worker_index);
        for slot in tasks.into_iter().filter(|&slot| !self.tasks[slot].orphan) {
            let racks = &mut self.works[self.tasks[slot].work].racks;
            if let Some(count) = racks.get_mut(&old_rack) {
                *count -= 1;
            }
            racks.retain(|_, count| *count > 0);
            *racks.entry(rack).or_insert(0) += 1;
        }
    }

    /// Marks a worker as leaving or as live again.
    ///
    /// A leaving worker gets no new tasks. Its service replicas are replaced before
    /// they drain; its other tasks are checkpointed and restarted elsewhere.
    pub fn set_worker_state(&mut self, worker: &ids::WorkerId, leaving: bool, now_ms: u64) {
        let Some(&worker_index) = self.worker_indexes.get(worker) else {
            return;
        };
        let entry = &mut self.workers[worker_index as usize];
        if entry.leaving == leaving {
            return;
        }
        entry.leaving = leaving;
        let tasks = entry.tasks.clone();
        self.reindex(worker_index);
        if !leaving {
            return;
        }
        for slot in tasks {
            let task = &self.tasks[slot];
            if task.orphan || task.run_state.is_stopping() {
                continue;
            }
            if self.works[task.work].work.kind == work::WorkKind::Service {
                self.replace(slot, now_ms);
            } else {
                self.stop(slot, workers::StopMode::Checkpoint);
            }
        }
    }

    /// Treats a worker as full until [`Group::worker_confirmed`] is called or
    /// `until_ms` has passed.
    pub fn fence_pending(&mut self, worker: &ids::WorkerId, until_ms: u64) {
        let Some(&worker_index) = self.worker_indexes.get(worker) else {
            return;
        };
        self.workers[worker_index as usize].unconfirmed_until_ms = Some(until_ms);
        self.watch_expiry(worker_index);
        self.reindex(worker_index);
    }

    /// Records that the worker has answered under the owner's epoch.
    pub fn worker_confirmed(&mut self, worker: &ids::WorkerId) {
        let Some(&worker_index) = self.worker_indexes.get(worker) else {
            return;
        };
        self.workers[worker_index as usize].unconfirmed_until_ms = None;
        self.reindex(worker_index);
    }

    /// Removes a worker and returns the runs that were on it.
    ///
    /// The runs still count as running. The caller reports their ends with
    /// [`Group::ended`] once it is certain that they have ended.
    pub fn remove_worker(&mut self, worker: &ids::WorkerId, _now_ms: u64) -> Vec<ids::TaskAttempt> {
        let Some(&worker_index) = self.worker_indexes.get(worker) else {
            return Vec::new();
        };
        let entry = &mut self.workers[worker_index as usize];
        entry.present = false;
        if entry.held_for_gang {
            self.release_hold();
        }
        self.capacity_outdated = true;
        self.reindex(worker_index);
        let tasks = &self.workers[worker_index as usize].tasks;
        tasks.iter().map(|&slot| self.run_of(slot)).collect()
    }

    /// Records a run that was found on a worker.
    ///
    /// A run of a cancelled work or of an outdated attempt is killed.
    pub fn adopt(&mut self, worker: &ids::WorkerId, order: &workers::StartOrder, now_ms: u64) {
        let Some(&worker_index) = self.worker_indexes.get(worker) else {
            return;
        };
        if let Some(slot) = self.placed_slot(&order.run) {
            self.update_run_state(slot, lifecycle::RunState::confirm);
            return;
        }
        let placement = lifecycle::Placement {
            worker: worker_index,
            assigned: order.demand,
            decided_ms: now_ms,
        };
        let work = self.work_for_order(order);
        let slot = self.slot_for_adopted(work, order, now_ms);
        let mut found = lifecycle::RunState::Waiting(lifecycle::Run::new(order.run.attempt));
        found.start(placement);
        found.confirm();
        self.update_run_state(slot, |run_state| *run_state = found);
        self.tasks[slot].revision = order.revision;
        self.record_placed(slot, worker_index);
        self.record_outdated(work);
        let cancelled = self.is_cancelled(work);
        let stale = self.tasks[slot].orphan || self.tasks[slot].next_attempt > order.run.attempt;
        if cancelled || stale {
            self.stop(slot, workers::StopMode::Kill);
        } else {
            self.pair_replicas(slot);
        }
    }

    /// Returns the slot for an adopted run: that of the waiting task, of a new task or
    /// of a new orphan.
    fn slot_for_adopted(&mut self, work: u32, order: &workers::StartOrder, now_ms: u64) -> u32 {
        let run = &order.run;
        let known = self.task_slots.get(&(work, run.task.index)).copied();
        let Some(slot) = known else {
            return self.insert_task(table::Task::new(work, run.task.index, run.attempt, now_ms));
        };
        if self.tasks[slot].run_state.placement().is_none() {
            let next = self.tasks[slot].run_state.attempt();
            self.dequeue(slot);
            let task = &mut self.tasks[slot];
            task.next_attempt = task.next_attempt.max(next);
            return slot;
        }
        self.tasks[slot].blocked_by += 1;
        let mut orphan = table::Task::new(work, run.task.index, run.attempt, now_ms);
        orphan.orphan = true;
        let slot = self.insert_task(orphan);
        self.orphans.insert(run.clone(), slot);
        slot
    }

    pub(super) fn watch_expiry(&mut self, worker: u32) {
        if !self.expiring.contains(&worker) {
            self.expiring.push(worker);
        }
    }

    /// Ends expired states of workers: unconfirmed, refusing and quarantined.
    pub(super) fn expire_workers(&mut self, now_ms: u64) {
        let mut expiring = std::mem::take(&mut self.expiring);
        expiring.retain(|&worker_index| {
            let entry = &mut self.workers[worker_index as usize];
            let unless_expired = |at: Option<u64>| at.filter(|&at| now_ms < at);
            entry.unconfirmed_until_ms = unless_expired(entry.unconfirmed_until_ms);
            entry.refusing_until_ms = unless_expired(entry.refusing_until_ms);
            entry.health.end_quarantine(now_ms);
            let is_still_expiring = entry.unconfirmed_until_ms.is_some()
                || entry.refusing_until_ms.is_some()
                || entry.health.quarantined_until_ms().is_some();
            self.reindex(worker_index);
            is_still_expiring
        });
        self.expiring = expiring;
    }

    /// Recomputes the group's capacity after workers were added, changed or removed.
    pub(super) fn refresh_capacity(&mut self) {
        if !self.capacity_outdated {
            return;
        }
        self.capacity_outdated = false;
        let mut sum = work::Resources::default();
        let mut ceiling = work::Resources::default();
        for entry in self.workers.iter().filter(|entry| entry.present) {
            sum += entry.capacity;
            ceiling = crate::estimate::component_max(ceiling, entry.capacity);
        }
        self.capacity = sum;
        self.max_worker_capacity = ceiling;
        self.teams.set_capacity(sum);
    }
}
