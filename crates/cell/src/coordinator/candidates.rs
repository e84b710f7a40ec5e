//! Workers that may run the waiting tasks of a step.

use std::{cmp::Reverse, rc::Rc};

use super::{
    job::{Failure, Job, Step, resources_of},
    pass::Pass,
    patience::Patience,
    reserves::Reservations,
};
use crate::{
    collections::IndexMap,
    config::{Config, Queue},
    ids::{StepId, TaskId},
    jobs::StepSpec,
    placement::{self, Candidate, Request},
    workers::{Demand, Phase, Run, Worker},
};

/// The waiting tasks of a step that are to be placed.
pub(super) struct WaitingStep<'a> {
    pub(super) id: StepId,
    pub(super) spec: &'a StepSpec,
    pub(super) service: &'a str,
    /// Priority of the step's queue.
    pub(super) priority: u32,
    pub(super) needs_ticket: bool,
    pub(super) waiting: &'a [u32],
}

impl<'a> WaitingStep<'a> {
    /// The given waiting tasks of a step; `queue` is `None` if its queue no longer exists.
    pub(super) fn new(
        id: StepId,
        spec: &'a StepSpec,
        service: &'a str,
        queue: Option<&Queue>,
        waiting: &'a [u32],
    ) -> Self {
        Self {
            id,
            spec,
            service,
            priority: queue.map_or(u32::MAX, |queue| queue.priority),
            needs_ticket: queue.is_some_and(|queue| queue.advice.is_some()),
            waiting,
        }
    }
    /// Whether an earlier run of a waiting task still occupies resources on a worker.
    fn has_run_of_waiting(&self, worker: &Worker) -> bool {
        let waits = |task: &TaskId| task.step == self.id && self.waiting.contains(&task.index);
        worker.runs.keys().any(waits)
    }

    /// Whether a worker may run the step, regardless of free resources.
    pub(super) fn may_use(&self, worker: &Worker, step: &Step, now_ms: u64) -> bool {
        let name = &worker.entry.id;
        worker.is_usable(now_ms)
            && *worker.entry.service == *self.service
            && (!self.needs_ticket || step.advice.has_ticket(name, now_ms))
            && has_label(worker, self.spec)
            && !self.has_run_of_waiting(worker)
    }

    /// Eligible workers for the step.
    pub(super) fn candidates<'w>(
        &self,
        workers: &'w IndexMap<Rc<str>, Worker>,
        step: &Step,
        pass: &Pass,
    ) -> Candidates<'w> {
        let millicores = resources_of(self.spec).cpu_millicores;
        let positions = pass.free_cpu.with_at_least(millicores);
        let failures = step.failures(self.waiting.iter().copied());
        let mut candidates = Candidates::default();
        for &position in positions {
            let Some((name, worker)) = workers.get_index(position) else {
                continue;
            };
            if !self.may_use(worker, step, pass.now_ms) {
                continue;
            }
            let is_suspect = worker.is_suspect(pass.now_ms);
            if (is_suspect && worker.is_probed()) || worker.has_starting_trial(pass.now_ms) {
                continue;
            }
            let task_limit = task_limit(worker, self.spec, self.id);
            let choice = if is_suspect {
                &mut candidates.suspect
            } else if pass.reservations.contains_for(name, self.id, self.priority) {
                &mut candidates.reserved
            } else if is_distrusted(worker, &failures) {
                &mut candidates.failed
            } else {
                &mut candidates.preferred
            };
            // One task shows whether a suspect worker is sound.
            let task_limit = if is_suspect {
                task_limit.min(1)
            } else {
                task_limit
            };
            choice.push(candidate(position, worker, task_limit));
        }
        candidates
    }

    /// Those of the workers at the given positions that tasks on trial may use. Workers on which
    /// another trial starts are left out, but for repeated trials of the same pass.
    pub(super) fn trial_candidates<'w>(
        &self,
        workers: &'w IndexMap<Rc<str>, Worker>,
        positions: impl Iterator<Item = usize>,
        step: &Step,
        now_ms: u64,
        room: TrialRoom,
    ) -> Vec<Candidate<'w>> {
        let is_free = |worker: &Worker| match room {
            TrialRoom::Empty => worker.runs.values().all(|r| r.phase == Phase::Ended),
            TrialRoom::SurvivedTrials => worker.may_take_trial(now_ms),
            TrialRoom::Repeated => worker.has_only_new_repeated_trials(now_ms),
            TrialRoom::Any => !worker.has_starting_trial(now_ms),
        };
        let demand = resources_of(self.spec);
        positions
            .filter_map(|position| Some((position, workers.get_index(position)?.1)))
            .filter(|(_, worker)| is_free(worker) && self.may_use(worker, step, now_ms))
            .map(|(position, worker)| {
                candidate(position, worker, task_limit(worker, self.spec, self.id))
            })
            .filter(|candidate| candidate.fitting_tasks(&demand, 1) > 0)
            .collect()
    }

    /// Whether the step waits because of the load, and its turn will come: its service is busy, and
    /// some worker that is neither suspect nor reserved could run it once other runs have ended.
    pub(super) fn awaits_its_turn(
        &self,
        workers: &IndexMap<Rc<str>, Worker>,
        step: &Step,
        reservations: &Reservations,
        now_ms: u64,
    ) -> bool {
        let demand = resources_of(self.spec);
        let becomes_free = |worker: &Worker| {
            let name = &worker.entry.id;
            worker.is_schedulable(now_ms)
                && *worker.entry.service == *self.service
                && has_label(worker, self.spec)
                && (!self.needs_ticket || step.advice.eligible.contains_key(name))
                && !reservations.contains(name)
                && (worker.entry.capacity).fits(&worker.permanently_used(), &demand)
        };
        !reservations.is_idle(self.service) && workers.values().any(becomes_free)
    }
}

/// Which workers a trial may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialRoom {
    /// Workers without runs.
    Empty,
    /// The same, and those with other runs that have just survived a trial.
    SurvivedTrials,
    /// Workers without runs, and those with repeated trials of this pass.
    Repeated,
    /// Workers with room.
    Any,
}

fn candidate(position: usize, worker: &Worker, task_limit: u32) -> Candidate<'_> {
    Candidate {
        worker: position,
        capacity: worker.entry.capacity,
        used: worker.used,
        best_effort_millicores: worker.best_effort_millicores,
        rack: worker.entry.rack(),
        task_limit,
        pace_percent: worker.pace_percent(),
    }
}

/// Eligible workers for a step.
#[derive(Debug, Default)]
pub(super) struct Candidates<'w> {
    /// Workers that are used as soon as they have room.
    preferred: Vec<Candidate<'w>>,
    /// Workers on which a waiting task failed.
    failed: Vec<Candidate<'w>>,
    /// Workers that are reserved for other steps.
    reserved: Vec<Candidate<'w>>,
    /// Workers that count as faulty or slow.
    suspect: Vec<Candidate<'w>>,
}

impl Candidates<'_> {
    /// Reserves room for one task on the worker at a position. Returns whether it has any.
    pub(super) fn take(&mut self, position: usize, demand: &Demand) -> bool {
        let classes = [
            &mut self.preferred,
            &mut self.failed,
            &mut self.reserved,
            &mut self.suspect,
        ];
        let candidate = classes
            .into_iter()
            .flatten()
            .find(|candidate| candidate.worker == position);
        candidate.is_some_and(|candidate| candidate.take(demand))
    }

    /// Chooses a worker for each task of the request, as far as possible; see
    /// [`placement::place`]. Workers that are not preferred are chosen once the step has been
    /// passed over for as long as its patience allows.
    pub(super) fn choose(
        self,
        request: &Request<'_>,
        step: &mut Step,
        patience: &Patience,
        now_ms: u64,
    ) -> Vec<usize> {
        let mut usable = self.preferred;
        let placed = placement::place(request, &mut usable);
        if !placed.is_empty() {
            return placed;
        }
        let others = [
            (self.failed, Some(patience.after_failure_ms())),
            (self.reserved, patience.before_reserved_ms()),
            (self.suspect, patience.before_suspect_ms()),
        ];
        for (candidates, max_passed_over_ms) in others {
            let is_over = max_passed_over_ms
                .is_some_and(|max_ms| max_ms == 0 || step.passed_over_ms(now_ms) >= max_ms);
            if candidates.is_empty() || (!is_over && step.passed_over_since_ms.is_some()) {
                continue;
            }
            let mut extended = usable.clone();
            extended.extend(candidates);
            let placed = placement::place(request, &mut extended);
            match (placed.is_empty(), is_over) {
                (true, true) => usable = extended,
                (true, false) => {}
                (false, true) => return placed,
                (false, false) => step.passed_over_since_ms = Some(now_ms),
            }
        }
        Vec::new()
    }
}

/// Index of usable workers by free CPU, created once per pass.
///
/// In a full cell few workers have room for a task, and a pass searches for room for every waiting
/// step. Starts during the pass only reduce free resources, so the index remains a superset of the
/// workers that fit.
#[derive(Debug)]
pub(super) struct FreeCpuIndex {
    /// Free CPU in millicores, in descending order.
    free_millicores: Vec<u64>,
    /// Indices of the workers, in the same order.
    positions: Vec<usize>,
}

impl FreeCpuIndex {
    pub(super) fn of(workers: &IndexMap<Rc<str>, Worker>, now_ms: u64) -> Self {
        let free = |worker: &Worker| {
            let capacity = worker.entry.capacity.cpu_millicores;
            capacity.saturating_sub(worker.used.cpu_millicores)
        };
        let mut by_free_cpu: Vec<(u64, usize)> = workers
            .values()
            .enumerate()
            .filter(|(_, worker)| worker.is_usable(now_ms))
            .map(|(position, worker)| (free(worker), position))
            .collect();
        by_free_cpu.sort_by_key(|&(free, position)| (Reverse(free), position));
        let (free_millicores, positions) = by_free_cpu.into_iter().unzip();
        Self {
            free_millicores,
            positions,
        }
    }

    /// Whether as many tasks may fit on all workers together, by their CPU alone. Each task needs
    /// `millicores`.
    pub(super) fn may_fit(&self, millicores: u64, count: u32) -> bool {
        let mut tasks = 0;
        for &free_millicores in &self.free_millicores {
            let Some(fitting) = free_millicores.checked_div(millicores) else {
                return true; // Tasks without CPU fit everywhere.
            };
            tasks += fitting;
            if fitting == 0 || tasks >= u64::from(count) {
                break;
            }
        }
        tasks >= u64::from(count)
    }

    /// Indices of the workers with at least this much free CPU.
    pub(super) fn with_at_least(&self, millicores: u64) -> &[usize] {
        let count = self
            .free_millicores
            .partition_point(|&free| free >= millicores);
        &self.positions[..count]
    }
}

/// Whether tasks whose runs failed as given should rather run on another worker: one of them failed
/// on this one, which has not completed a run that was started later.
pub(super) fn is_distrusted(worker: &Worker, failures: &[&Failure]) -> bool {
    failures.iter().any(|failure| {
        failure.worker == worker.entry.id && worker.health.sound_since_ms < failure.at_ms
    })
}

/// The service that runs a job: the current service of its queue, or the recorded one if the queue
/// no longer exists.
pub(super) fn service_of(config: &Config, job: &Job) -> Rc<str> {
    config
        .queues
        .get(&job.queue)
        .map_or(&job.service, |queue| &queue.service)
        .clone()
}

/// Whether a worker has the label required by a step, if any.
pub(super) fn has_label(worker: &Worker, spec: &StepSpec) -> bool {
    spec.required_label.is_empty()
        || worker
            .entry
            .labels
            .iter()
            .any(|label| **label == *spec.required_label)
}

/// Number of further tasks of a step that the worker may run under the step's limit per worker.
pub(super) fn task_limit(worker: &Worker, spec: &StepSpec, step: StepId) -> u32 {
    if spec.max_per_worker == 0 {
        return u32::MAX;
    }
    let occupies = |(task, run): &(&TaskId, &Run)| task.step == step && run.phase != Phase::Ended;
    let active = worker.runs.iter().filter(occupies).count() as u32;
    spec.max_per_worker.saturating_sub(active)
}
