//! Arrival, fencing, leaving and removal of workers, and adoption of the runs found on them.

use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::life;
use crate::table;
use crate::worker;

impl Group {
    /// Adds a worker, or updates its capacity and rack.
    pub fn set_worker(&mut self, spec: &worker::WorkerSpec, _now_ms: u64) {
        let rack = self.rack_number(&spec.rack);
        let number = self.worker_number(&spec.id, rack);
        if self.workers[number as usize].rack != rack {
            self.move_rack(number, rack);
        }
        let entry = &mut self.workers[number as usize];
        if !entry.present {
            entry.leaving = false;
        }
        if entry.present && entry.capacity == spec.capacity {
            return;
        }
        entry.present = true;
        entry.capacity = spec.capacity;
        self.capacity_stale = true;
        self.reindex(number);
    }

    fn rack_number(&mut self, rack: &ids::RackId) -> u32 {
        let next = self.racks.len() as u32;
        let number = *self.rack_numbers.entry(rack.clone()).or_insert(next);
        if number == next {
            self.racks.push(Vec::new());
        }
        number
    }

    fn worker_number(&mut self, id: &ids::WorkerId, rack: u32) -> u32 {
        if let Some(&number) = self.worker_numbers.get(id) {
            return number;
        }
        let number = self.workers.len() as u32;
        self.worker_numbers.insert(id.clone(), number);
        self.workers.push(worker::Worker::new(id.clone(), rack));
        self.racks[rack as usize].push(number);
        number
    }

    fn move_rack(&mut self, number: u32, rack: u32) {
        let entry = &mut self.workers[number as usize];
        let old = entry.rack;
        entry.rack = rack;
        let tasks = entry.tasks.clone();
        self.racks[old as usize].retain(|&other| other != number);
        self.racks[rack as usize].push(number);
        for slot in tasks.into_iter().filter(|&slot| !self.tasks[slot].orphan) {
            let racks = &mut self.works[self.tasks[slot].work].racks;
            if let Some(count) = racks.get_mut(&old) {
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
        let Some(&number) = self.worker_numbers.get(worker) else {
            return;
        };
        let entry = &mut self.workers[number as usize];
        if entry.leaving == leaving {
            return;
        }
        entry.leaving = leaving;
        let tasks = entry.tasks.clone();
        self.reindex(number);
        if !leaving {
            return;
        }
        for slot in tasks {
            let task = &self.tasks[slot];
            if task.orphan || task.life.is_stopping() {
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
        let Some(&number) = self.worker_numbers.get(worker) else {
            return;
        };
        self.workers[number as usize].unconfirmed_until_ms = Some(until_ms);
        self.watch_time(number);
        self.reindex(number);
    }

    /// Records that the worker has answered under the owner's epoch.
    pub fn worker_confirmed(&mut self, worker: &ids::WorkerId) {
        let Some(&number) = self.worker_numbers.get(worker) else {
            return;
        };
        self.workers[number as usize].unconfirmed_until_ms = None;
        self.reindex(number);
    }

    /// Removes a worker and returns the runs that were on it.
    ///
    /// The runs still count as running. The caller reports their ends with
    /// [`Group::ended`] once it is certain that they have ended.
    pub fn remove_worker(&mut self, worker: &ids::WorkerId, _now_ms: u64) -> Vec<ids::TaskAttempt> {
        let Some(&number) = self.worker_numbers.get(worker) else {
            return Vec::new();
        };
        let entry = &mut self.workers[number as usize];
        entry.present = false;
        if entry.held {
            self.drop_hold();
        }
        self.capacity_stale = true;
        self.reindex(number);
        let tasks = &self.workers[number as usize].tasks;
        tasks.iter().map(|&slot| self.run_of(slot)).collect()
    }

    /// Records a run that was found on a worker.
    ///
    /// A run of a cancelled work or of an outdated attempt is killed.
    pub fn adopt(&mut self, worker: &ids::WorkerId, order: &workers::StartOrder, now_ms: u64) {
        let Some(&number) = self.worker_numbers.get(worker) else {
            return;
        };
        if let Some(slot) = self.placed_slot(&order.run) {
            self.change_life(slot, life::Life::confirm);
            return;
        }
        let placement = life::Placement {
            worker: number,
            assigned: order.demand,
            since_ms: now_ms,
        };
        let work = self.work_of_order(order);
        let slot = self.adopted_slot(work, order, now_ms);
        let mut found = life::Life::Waiting(life::Run::new(order.run.attempt));
        found.start(placement);
        found.confirm();
        self.change_life(slot, |life| *life = found);
        self.tasks[slot].revision = order.revision;
        self.enter(slot, number);
        self.note_outdated(work);
        let cancelled = self.is_cancelled(work);
        let stale = self.tasks[slot].orphan || self.tasks[slot].next_attempt > order.run.attempt;
        if cancelled || stale {
            self.stop(slot, workers::StopMode::Kill);
        } else {
            self.pair(slot);
        }
    }

    /// Returns the slot for an adopted run: that of the waiting task, of a new task or
    /// of a new orphan.
    fn adopted_slot(&mut self, work: u32, order: &workers::StartOrder, now_ms: u64) -> u32 {
        let run = &order.run;
        let known = self.task_numbers.get(&(work, run.task.index)).copied();
        let Some(slot) = known else {
            return self.insert_task(table::Task::new(work, run.task.index, run.attempt, now_ms));
        };
        if self.tasks[slot].life.placement().is_none() {
            let next = self.tasks[slot].life.attempt();
            self.withdraw(slot);
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

    pub(super) fn watch_time(&mut self, worker: u32) {
        if !self.timed.contains(&worker) {
            self.timed.push(worker);
        }
    }

    /// Ends expired states of workers: unconfirmed, refusing and quarantined.
    pub(super) fn expire_workers(&mut self, now_ms: u64) {
        let mut timed = std::mem::take(&mut self.timed);
        timed.retain(|&number| {
            let entry = &mut self.workers[number as usize];
            let due = |at: Option<u64>| at.filter(|&at| now_ms < at);
            entry.unconfirmed_until_ms = due(entry.unconfirmed_until_ms);
            entry.refusing_until_ms = due(entry.refusing_until_ms);
            entry.health.release(now_ms);
            let remains = entry.unconfirmed_until_ms.is_some()
                || entry.refusing_until_ms.is_some()
                || entry.health.quarantined_until().is_some();
            self.reindex(number);
            remains
        });
        self.timed = timed;
    }

    /// Recomputes the group's capacity after workers were added, changed or removed.
    pub(super) fn refresh_capacity(&mut self) {
        if !self.capacity_stale {
            return;
        }
        self.capacity_stale = false;
        let mut sum = work::Resources::default();
        let mut ceiling = work::Resources::default();
        for entry in self.workers.iter().filter(|entry| entry.present) {
            sum += entry.capacity;
            ceiling = crate::estimate::larger(ceiling, entry.capacity);
        }
        self.capacity = sum;
        self.ceiling = ceiling;
        self.teams.set_capacity(sum);
    }
}
