//! Conversion between a job's state and its durable record.

use super::{Job, crashes::CrashHistory};
use crate::{
    ids::{StepId, TaskId},
    jobs::{DoneTasks, JobRecord, TaskRecord},
};

impl Job {
    pub(super) fn restore_done(&mut self, steps: &[DoneTasks]) {
        for record in steps {
            self.begin_through(record.occurrence);
            let id = StepId {
                job: self.id,
                occurrence: record.occurrence,
                step: record.step,
            };
            let Some(step) = self.step_mut(id) else {
                continue;
            };
            for position in record.positions() {
                if let Some(task) = step.tasks.get_mut(position as usize) {
                    task.done = true;
                    step.done_count += 1;
                }
            }
        }
    }

    pub(super) fn restore_tasks(&mut self, tasks: &[TaskRecord]) {
        for record in tasks {
            self.begin_through(record.occurrence);
            let id = TaskId {
                step: StepId {
                    job: self.id,
                    occurrence: record.occurrence,
                    step: record.step,
                },
                index: record.index,
            };
            let Some(task) = self.task_mut(id) else {
                continue;
            };
            task.failed_runs.clone_from(&record.failed_runs);
            task.last_run = record.last_run;
            task.checkpoint.clone_from(&record.checkpoint);
            task.crashes = CrashHistory {
                suspected: record.suspected_runs.clone(),
                conclusive: record.conclusive_runs.clone(),
                nearby: record.nearby_runs.clone(),
            };
            self.has_crashes |= !task.crashes.is_empty();
        }
    }

    /// Creates the durable record of the current state.
    pub fn record(&self) -> JobRecord {
        let mut tasks = Vec::new();
        let mut done_tasks = Vec::new();
        for (&occurrence, state) in &self.occurrences {
            for (step, state) in state.steps.iter().enumerate() {
                let step = step as u32;
                if state.done_count > 0 {
                    let done = state.tasks.iter().enumerate().filter(|(_, task)| task.done);
                    let positions = done.map(|(position, _)| position);
                    done_tasks.push(DoneTasks::new(occurrence, step, positions));
                }
                for (index, task) in state.tasks.iter().enumerate() {
                    let counts = !task.failed_runs.is_empty()
                        || !task.checkpoint.is_empty()
                        || !task.crashes.is_empty();
                    if counts && !task.done {
                        tasks.push(TaskRecord {
                            occurrence,
                            step,
                            index: index as u32,
                            failed_runs: task.failed_runs.clone(),
                            last_run: task.last_run,
                            checkpoint: task.checkpoint.clone(),
                            suspected_runs: task.crashes.suspected.clone(),
                            conclusive_runs: task.crashes.conclusive.clone(),
                            nearby_runs: task.crashes.nearby.clone(),
                        });
                    }
                }
            }
        }
        JobRecord {
            id: self.id.0,
            queue: self.queue.to_string(),
            service: self.service.to_string(),
            accepted_unix_ms: self.accepted_unix_ms,
            spec: self.spec.as_deref().cloned(),
            outcome: self.outcome.into(),
            tasks,
            done_tasks,
            finished_occurrences: self.finished_occurrences.iter().copied().collect(),
            ended_unix_ms: self.ended_unix_ms,
            payload_host: self.payload_host.to_string(),
            tenant: self.tenant.to_string(),
            over_share: self.over_share,
        }
    }
}
