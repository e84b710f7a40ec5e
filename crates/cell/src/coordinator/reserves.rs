//! Workers kept free for gangs and long-running tasks that would otherwise starve among smaller
//! steps.
//!
//! Room that is kept must be able to serve the step for which it is kept: only workers count that
//! may be used now and that have enough room once all runs that end by themselves have ended. Nor
//! may it stop others: while a service is mostly idle, or for a step that can run on no other
//! worker, a reservation delays a job without a run by its patience at most.

use std::rc::Rc;

use super::{
    Coordinator,
    candidates::{has_label, service_of, task_limit},
    job::resources_of,
};
use crate::{
    collections::IndexMap,
    {ids::StepId, placement::Candidate, workers::Worker},
};

/// Maximum number of steps for which workers are reserved at a time.
pub(super) const MAX_RESERVING_STEPS: usize = 2;
/// Maximum number of reservation attempts in one pass: each attempt iterates over all workers.
pub(super) const MAX_RESERVATION_ATTEMPTS: usize = 8;
/// Workers are reserved for a gang once it has waited for its objective divided by this number:
/// reserved workers idle until enough of them are free.
const RESERVE_AFTER_DIVISOR: u64 = 4;
/// At most the number of workers of the service divided by this may be reserved.
const MAX_RESERVED_DIVISOR: usize = 3;
/// A service of whose CPU less than one part in this number is in use is mostly idle: a step waits
/// because few workers may run it, not because of the load.
const IDLE_DIVISOR: u64 = 2;

/// Workers reserved during a scheduling pass.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    /// Identifiers of the workers.
    pub(super) workers: Vec<Rc<str>>,
    /// Workers that are kept free for trials.
    pub(super) for_trials: Vec<Rc<str>>,
    /// Workers that are held for a step while runs on them are stopped.
    held: IndexMap<Rc<str>, (StepId, u32)>,
    /// Services that are mostly idle.
    idle_services: Vec<Rc<str>>,
}

impl Reservations {
    /// No reservations yet.
    pub(super) fn of(workers: &IndexMap<Rc<str>, Worker>, now_ms: u64) -> Self {
        let mut cpu: IndexMap<&Rc<str>, (u64, u64)> = IndexMap::default();
        for worker in workers.values().filter(|w| w.is_schedulable(now_ms)) {
            let (used, total) = cpu.entry(&worker.entry.service).or_default();
            *used += worker.used.cpu_millicores;
            *total += worker.entry.capacity.cpu_millicores;
        }
        let is_idle = |(used, total): (u64, u64)| used < total / IDLE_DIVISOR;
        let idle = cpu.into_iter().filter(|(_, usage)| is_idle(*usage));
        Self {
            workers: Vec::new(),
            for_trials: Vec::new(),
            held: IndexMap::default(),
            idle_services: idle.map(|(service, _)| Rc::clone(service)).collect(),
        }
    }

    /// Whether a worker is reserved.
    pub(super) fn contains(&self, worker: &Rc<str>) -> bool {
        self.is_kept(worker) || self.held.contains_key(worker)
    }

    /// Whether a worker is reserved for another step than the given one.
    pub(super) fn contains_for(&self, worker: &Rc<str>, step: StepId, priority: u32) -> bool {
        let holder = self.held.get(worker);
        holder.map_or_else(
            || self.is_kept(worker),
            |&(holder, holder_priority)| holder != step && holder_priority <= priority,
        )
    }

    fn is_kept(&self, worker: &Rc<str>) -> bool {
        self.workers.contains(worker) || self.for_trials.contains(worker)
    }

    /// Holds a worker for a step.
    pub(super) fn hold(&mut self, worker: &Rc<str>, step: StepId, priority: u32) {
        self.held.insert(Rc::clone(worker), (step, priority));
    }

    /// Whether a service is mostly idle.
    pub(super) fn is_idle(&self, service: &str) -> bool {
        self.idle_services.iter().any(|idle| **idle == *service)
    }
}

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
    pub(super) fn reserve_for(&self, id: StepId, kept: &mut Reservations, now_ms: u64) -> bool {
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
        // The fastest workers first, so that the members of a gang are of like pace.
        let mut fitting: Vec<(u32, u64, u32, &Rc<str>)> = self
            .workers
            .values()
            .filter(|worker| worker.is_schedulable(now_ms))
            .filter(|worker| worker.entry.service == service && has_label(worker, spec))
            .filter(|worker| !advised || step.advice.eligible.contains_key(&worker.entry.id))
            .filter(|worker| !kept.contains(&worker.entry.id))
            .map(|worker| {
                let vacated = Candidate {
                    worker: 0,
                    capacity: worker.entry.capacity,
                    used: worker.permanently_used(),
                    best_effort_millicores: 0,
                    rack: "",
                    task_limit: task_limit(worker, spec, id),
                    pace_percent: worker.pace_percent(),
                };
                (
                    if spec.long_running {
                        0
                    } else {
                        vacated.pace_percent
                    },
                    worker.used.cpu_millicores,
                    vacated.fitting_tasks(&demand, spec.count),
                    &worker.entry.id,
                )
            })
            .filter(|(_, _, fitting_tasks, _)| *fitting_tasks > 0)
            .collect();
        fitting.sort_unstable();
        let mut missing = step.waiting().count() as u32;
        let mut chosen = Vec::new();
        for (_, _, fitting_tasks, name) in fitting {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(fitting_tasks);
            chosen.push(Rc::clone(name));
        }
        let of_service = |worker: &&Worker| worker.entry.service == service;
        let worker_count = self.workers.values().filter(of_service).count();
        if missing > 0 || kept.workers.len() + chosen.len() > worker_count / MAX_RESERVED_DIVISOR {
            return false;
        }
        kept.workers.extend(chosen);
        true
    }
}
