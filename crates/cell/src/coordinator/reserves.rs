//! Workers kept free for gangs and long-running tasks that would otherwise starve among smaller
//! steps.

use std::rc::Rc;

use super::{
    Coordinator,
    candidates::{has_label, service_of, task_limit},
    job::resources_of,
};
use crate::{ids::StepId, placement::Candidate, workers::Resources};

/// Maximum number of steps for which workers are reserved at a time.
pub(super) const MAX_RESERVING_STEPS: usize = 2;
/// Maximum number of reservation attempts in one pass: each attempt iterates over all workers.
pub(super) const MAX_RESERVATION_ATTEMPTS: usize = 8;
/// Workers are reserved for a gang once it has waited for its objective divided by this number:
/// reserved workers idle until enough of them are free.
const RESERVE_AFTER_DIVISOR: u64 = 4;
/// At most the number of workers divided by this may be reserved.
const MAX_RESERVED_DIVISOR: usize = 3;

impl Coordinator {
    /// Whether a step could be starved by smaller ones unless workers are reserved for it.
    pub(super) fn may_starve(&self, id: StepId) -> bool {
        let job = self.jobs.get(&id.job);
        job.and_then(|job| job.step_spec(id.step))
            .is_some_and(|spec| spec.long_running || (spec.gang && spec.count > 1))
    }

    /// Whether a step's job has waited for the part of its objective after which workers are
    /// reserved.
    pub(super) fn has_waited_long(&self, id: StepId, unix_ms: u64) -> bool {
        self.jobs.get(&id.job).is_some_and(|job| {
            let waited_ms = unix_ms.saturating_sub(job.due_unix_ms(id.occurrence));
            waited_ms >= job.allowed_ms() / RESERVE_AFTER_DIVISOR
        })
    }

    /// Reserves workers for a gang or for long-running tasks that do not fit among smaller steps.
    /// Returns whether any were reserved.
    pub(super) fn reserve_for(&self, id: StepId, reserved: &mut Vec<Rc<str>>) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(spec) = job.step_spec(id.step) else {
            return false;
        };
        let Some(step) = job
            .occurrences
            .get(&id.occurrence)
            .and_then(|occurrence| occurrence.steps.get(id.step as usize))
        else {
            return false;
        };
        let service = service_of(&self.config, job);
        let demand = resources_of(spec);
        let advised = self
            .config
            .queues
            .get(&job.queue)
            .is_some_and(|q| q.advice.is_some());
        let mut fitting: Vec<(u64, u32, &Rc<str>)> = self
            .workers
            .values()
            .filter(|worker| worker.listed && !worker.unresponsive && !worker.entry.draining)
            .filter(|worker| worker.entry.service == service && has_label(worker, spec))
            .filter(|worker| !advised || step.advice.eligible.contains_key(&worker.entry.id))
            .filter(|worker| !reserved.contains(&worker.entry.id))
            .map(|worker| {
                let empty = Candidate {
                    worker: 0,
                    capacity: worker.entry.capacity,
                    used: Resources::default(),
                    best_effort_millicores: 0,
                    rack: "",
                    task_limit: task_limit(worker, spec, id),
                };
                (
                    worker.used.cpu_millicores,
                    empty.fitting_tasks(&demand, spec.count),
                    &worker.entry.id,
                )
            })
            .filter(|(_, fitting_tasks, _)| *fitting_tasks > 0)
            .collect();
        fitting.sort_unstable();
        let mut missing = step.waiting().count() as u32;
        let mut chosen = Vec::new();
        for (_, fitting_tasks, name) in fitting {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(fitting_tasks);
            chosen.push(Rc::clone(name));
        }
        if missing > 0 || reserved.len() + chosen.len() > self.workers.len() / MAX_RESERVED_DIVISOR
        {
            return false;
        }
        reserved.extend(chosen);
        true
    }
}
