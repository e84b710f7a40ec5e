//! Read-only queries for operators and for gossip.

use kernel::ids;
use kernel::work;

use super::Group;
use crate::decision;
use crate::lifecycle;
use crate::table;

impl Group {
    /// Returns the total capacity of all present workers.
    pub fn capacity(&self) -> work::Resources {
        self.workers
            .iter()
            .filter(|worker| worker.present)
            .fold(work::Resources::default(), |sum, worker| {
                sum + worker.capacity
            })
    }

    /// Returns the total free capacity of the workers that accept tasks.
    pub fn free(&self) -> work::Resources {
        self.workers
            .iter()
            .filter(|worker| worker.accepts_tasks())
            .fold(work::Resources::default(), |sum, worker| {
                sum + worker.free()
            })
    }

    /// Returns the number of tasks that are not placed.
    pub fn waiting(&self) -> usize {
        (self.task_slots.len() + self.orphans.len()).saturating_sub(self.placed_count)
    }

    /// Returns the number of runs that may exist on workers.
    pub const fn running(&self) -> usize {
        self.placed_count
    }

    fn state_of(&self, slot: u32) -> decision::TaskState {
        let task = &self.tasks[slot];
        match task.run_state {
            lifecycle::RunState::Waiting(_) if task.reserved.is_some() => {
                decision::TaskState::Reserved
            }
            lifecycle::RunState::Waiting(_) => decision::TaskState::Waiting,
            lifecycle::RunState::Starting(_) => decision::TaskState::Starting,
            lifecycle::RunState::Running(_) => decision::TaskState::Running,
            lifecycle::RunState::Stopping(_) => decision::TaskState::Stopping,
        }
    }

    /// Returns the state of a task and the reason for it, in one sentence for
    /// operators.
    ///
    /// A replica that was replaced is explained by its replacement.
    pub fn explain(&self, task: &ids::TaskId) -> decision::Explanation {
        let Some(slot) = self.replica_slot(task) else {
            return decision::Explanation {
                task: task.clone(),
                state: decision::TaskState::Unknown,
                attempt: ids::Attempt::default(),
                worker: None,
                reason: self.unknown_reason(task),
            };
        };
        let state = self.state_of(slot);
        let worker = self.worker_of(slot);
        let reason = match &worker {
            None => self.waiting_reason(slot),
            Some(worker) => format!("It is {state} on worker {worker}."),
        };
        decision::Explanation {
            task: task.clone(),
            state,
            attempt: self.tasks[slot].run_state.attempt(),
            worker,
            reason,
        }
    }

    fn unknown_reason(&self, task: &ids::TaskId) -> String {
        if self.cancelled_works.contains(&task.work) {
            return format!(
                "{} was cancelled; submit it under a new name to run it.",
                task.work
            );
        }
        format!(
            "Group {} has no such task: it has ended, is assigned to another group, or was never submitted.",
            self.config.id
        )
    }

    fn worker_of(&self, slot: u32) -> Option<ids::WorkerId> {
        let placement = self.tasks[slot].run_state.placement()?;
        Some(self.workers[placement.worker as usize].id.clone())
    }

    fn waiting_reason(&self, slot: u32) -> String {
        let task = &self.tasks[slot];
        let entry = &self.works[task.work];
        let demand = entry.work.demand;
        if task.reserved.is_some() {
            return "Capacity is reserved for it; it starts once its whole gang has capacity."
                .to_owned();
        }
        if task.blocked_by > 0 {
            return "An older attempt is still running on another worker and is being stopped."
                .to_owned();
        }
        if let Some(at_ms) = task.restart_at_ms {
            return format!(
                "It failed {} times and is restarted at {at_ms} ms; check its output.",
                task.failures
            );
        }
        let size = format!(
            "{} millicores, {} MB of memory and {} accelerators",
            demand.cpu_milli, demand.memory_mb, demand.accelerators
        );
        match entry.block_reason {
            table::BlockReason::NotEvaluated => {
                "It has not been scheduled yet; a coming scheduling cycle considers it.".to_owned()
            }
            table::BlockReason::NoRoom => format!(
                "No worker of group {} has {size} free; add workers or make the task smaller.",
                self.config.id
            ),
            table::BlockReason::NeverFits => format!(
                "No worker of group {} can hold {size} even when empty; make the task smaller.",
                self.config.id
            ),
            table::BlockReason::Quota => format!(
                "Team {} has used up its quota in this group; raise the quota or wait for its tasks to end.",
                entry.work.team
            ),
            table::BlockReason::NoGangRoom => format!(
                "Its gang of {} tasks with {size} each does not fit at once; add workers or make the gang smaller.",
                entry.work.tasks
            ),
            table::BlockReason::GangIncomplete => {
                "It is waiting for the other members of its gang, which start together with it."
                    .to_owned()
            }
            table::BlockReason::CapacityHeld(at_ms) => format!(
                "Capacity is kept free for its gang, which is expected to start at {at_ms} ms."
            ),
            table::BlockReason::Preempting => {
                "Less urgent tasks are being stopped to make room for it.".to_owned()
            }
        }
    }

    /// Returns all workers and tasks, for listings.
    pub fn snapshot(&self) -> decision::Snapshot {
        let rack_ids: Vec<&ids::RackId> = self.rack_indexes.keys().collect();
        let workers = self
            .workers
            .iter()
            .filter(|worker| worker.present || !worker.tasks.is_empty())
            .map(|worker| decision::WorkerView {
                id: worker.id.clone(),
                rack: rack_ids[worker.rack as usize].clone(),
                capacity: worker.capacity,
                assigned: worker.assigned,
                tasks: worker.tasks.len(),
                state: worker.state(),
            })
            .collect();
        let tasks = self
            .tasks
            .iter()
            .map(|(slot, task)| decision::TaskView {
                run: self.run_of(slot),
                team: self.works[task.work].work.team.clone(),
                state: self.state_of(slot),
                worker: self.worker_of(slot),
                size: task
                    .run_state
                    .placement()
                    .map_or(self.works[task.work].work.demand, |placement| {
                        placement.assigned
                    }),
            })
            .collect();
        decision::Snapshot { workers, tasks }
    }
}
