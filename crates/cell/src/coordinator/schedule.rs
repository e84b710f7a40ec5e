//! The scheduling pass: releases expired runs, stops unneeded ones, and starts waiting tasks by
//! urgency.

use std::rc::Rc;

use indexmap::IndexMap;

use super::{
    Coordinator, Order,
    job::{ActiveRun, Job, Step, demand_of, resources_of},
};
use crate::{
    admission::MAX_LATENESS_FACTOR,
    ids::{JobId, StepId, TaskId},
    jobs::{Outcome, StepSpec},
    placement::{self, Candidate, Request},
    workers::{Phase, StopReason, Worker},
};

/// Maximum number of steps for which workers are reserved at a time.
const MAX_RESERVING_STEPS: usize = 2;
/// Workers are reserved for a gang once it has waited for its objective divided by this number:
/// reserved workers idle until enough of them are free.
const RESERVE_AFTER_DIVISOR: u64 = 4;
/// Maximum number of reservation attempts in one pass: each attempt iterates over all workers.
const MAX_RESERVATION_ATTEMPTS: usize = 8;
/// Time within which the entries of live workers are back after a store outage, in milliseconds.
const ENTRY_RETURN_MS: u64 = 2_000;
/// At most the number of workers divided by this may be reserved.
const MAX_RESERVED_DIVISOR: usize = 3;

/// Urgency of a step; the smallest is scheduled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    /// False for long-running tasks, which come first: they should run from submission until they
    /// are cancelled.
    finite: bool,
    /// 0 while the objective can be met, 1 while a late result still has value, 2 afterwards.
    lateness: u8,
    priority: u32,
    not_started: bool,
    accepted_unix_ms: u64,
    step: StepId,
}

impl Coordinator {
    /// Runs a scheduling pass and returns the orders to send.
    pub fn schedule(&mut self, now_ms: u64, unix_ms: u64) -> Vec<Order> {
        self.begin_due_occurrences(unix_ms);
        self.release_expired_workers(now_ms);
        self.stop_unneeded_runs();
        self.stop_incomplete_gangs(now_ms);
        let mut orders = Vec::new();
        self.start_ready_steps(now_ms, unix_ms, &mut orders);
        self.due_stop_orders(now_ms, &mut orders);
        self.due_pace_orders(now_ms, &mut orders);
        orders
    }

    fn begin_due_occurrences(&mut self, unix_ms: u64) {
        if self.next_due_unix_ms.is_none_or(|due| unix_ms < due) {
            return;
        }
        self.next_due_unix_ms = None;
        let open: Vec<JobId> = self.open.iter().copied().collect();
        for id in open {
            let due = self
                .jobs
                .get_mut(&id)
                .and_then(|job| job.begin_due(unix_ms));
            if let Some(due) = due {
                self.schedule_due(due);
            }
        }
    }

    /// Releases the runs of unresponsive workers whose holds and orders have all expired.
    fn release_expired_workers(&mut self, now_ms: u64) {
        self.settle_departed_workers(now_ms);
        let lapsed = |worker: &&Worker| worker.unresponsive && worker.has_certainly_expired(now_ms);
        let ids: Vec<Rc<str>> = self
            .workers
            .values()
            .filter(lapsed)
            .map(|w| Rc::clone(&w.entry.id))
            .collect();
        for id in ids {
            let tasks: Vec<TaskId> = self
                .workers
                .get(&id)
                .map(|w| w.runs.keys().copied().collect())
                .unwrap_or_default();
            for task in tasks {
                self.release(&id, task);
            }
            if self.workers.get(&id).is_some_and(|worker| !worker.listed) {
                self.unreported_workers.swap_remove(&id);
                self.workers.swap_remove(&id);
            }
        }
        let unreported = &self.unreported_workers;
        self.workers
            .retain(|id, worker| unreported.contains(id) || !worker.is_gone(now_ms));
        if now_ms >= self.inherited_expiry_ms {
            self.unreported_workers.clear();
            // Workers of the predecessor that neither sent a report nor are listed have no runs any
            // more.
            self.workers
                .retain(|_, worker| worker.listed || worker.fenced || !worker.runs.is_empty());
        }
    }

    /// Stops waiting for workers of the predecessor that were draining and have left: they do not
    /// answer and their entries stay away longer than a store outage can explain.
    fn settle_departed_workers(&mut self, now_ms: u64) {
        let Some(listed_ms) = self.listed_since_ms else {
            return;
        };
        if self.unreported_workers.is_empty() || now_ms < listed_ms + ENTRY_RETURN_MS {
            return;
        }
        let has_left = |id: &&Rc<str>| self.workers.get(*id).is_some_and(Worker::has_departed);
        let left: Vec<Rc<str>> = self
            .unreported_workers
            .iter()
            .filter(has_left)
            .cloned()
            .collect();
        for id in left {
            self.worker_ended(&id, now_ms);
        }
    }

    /// Stops runs of unknown or ended jobs, and gangs with an unconfirmed start.
    fn stop_unneeded_runs(&mut self) {
        let mut unconfirmed = Vec::new();
        for worker in self.workers.values_mut() {
            for (&task, run) in &mut worker.runs {
                if run.stopping.is_some() {
                    continue;
                }
                let Some(job) = self.jobs.get(&task.step.job) else {
                    run.stopping = Some(StopReason::NotNeeded);
                    continue;
                };
                let Some(spec) = job.step_spec(task.step.step) else {
                    // The other members of a gang that completed the job end on their own.
                    if job.outcome != Outcome::Completed {
                        run.stopping = Some(StopReason::JobEnded);
                    }
                    continue;
                };
                let in_doubt = matches!(
                    run.phase,
                    Phase::Ordered {
                        in_flight: false,
                        ..
                    }
                );
                if in_doubt && spec.gang {
                    unconfirmed.push((task, run.run));
                }
            }
        }
        for (task, run) in unconfirmed {
            self.stop_gang_of(task, run);
        }
    }

    fn stop_incomplete_gangs(&mut self, now_ms: u64) {
        let timeout_ms = self.tuning.gang_patience_ms;
        let mut incomplete = Vec::new();
        for id in &self.open {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            for (&occurrence, state) in &mut job.occurrences {
                for (step, state) in state.steps.iter_mut().enumerate() {
                    let Some(ordered_ms) = state.gang_ordered_ms else {
                        continue;
                    };
                    if now_ms < ordered_ms + timeout_ms {
                        continue;
                    }
                    state.gang_ordered_ms = None;
                    let step = StepId {
                        job: *id,
                        occurrence,
                        step: step as u32,
                    };
                    let present = |(index, task): (usize, &super::job::Task)| {
                        let Some(active) = &task.active else {
                            return task.done;
                        };
                        let task = TaskId {
                            step,
                            index: index as u32,
                        };
                        let run = self
                            .workers
                            .get(&active.worker)
                            .and_then(|w| w.runs.get(&task));
                        run.is_some_and(|run| matches!(run.phase, Phase::Present { .. }))
                    };
                    if state.tasks.iter().enumerate().all(present) {
                        continue;
                    }
                    let run = state
                        .tasks
                        .iter()
                        .find_map(|t| Some(t.active.as_ref()?.run));
                    if let Some(run) = run {
                        incomplete.push((TaskId { step, index: 0 }, run));
                    }
                }
            }
        }
        for (task, run) in incomplete {
            self.stop_gang_of(task, run);
        }
    }

    fn start_ready_steps(&mut self, now_ms: u64, unix_ms: u64, orders: &mut Vec<Order>) {
        let ready_steps = self.ready_steps(now_ms, unix_ms);
        let free_cpu = FreeCpuIndex::of(&self.workers, now_ms);
        let mut reserved: Vec<Rc<str>> = Vec::new();
        let mut reserving = 0;
        let mut attempts = 0;
        for urgency in &ready_steps {
            let started = self.start_step(urgency.step, now_ms, &free_cpu, &reserved, orders);
            if !started
                && urgency.lateness == 0
                && reserving < MAX_RESERVING_STEPS
                && attempts < MAX_RESERVATION_ATTEMPTS
                && self.may_starve(urgency.step)
                && (!urgency.finite || self.has_waited_long(urgency.step, unix_ms))
            {
                attempts += 1;
                reserving += usize::from(self.reserve_for(urgency.step, &mut reserved));
            }
        }
        self.ready_steps = ready_steps
            .into_iter()
            .map(|urgency| urgency.step)
            .collect();
    }

    /// Steps with waiting tasks whose dependencies are complete, most urgent first.
    fn ready_steps(&self, now_ms: u64, unix_ms: u64) -> Vec<Urgency> {
        let settled = self.takeover_complete(now_ms);
        let mut ready = Vec::new();
        for job in self.open_jobs() {
            if (job.inherited && !settled) || now_ms < job.start_not_before_ms {
                continue;
            }
            let priority = self
                .config
                .queues
                .get(&job.queue)
                .map_or(u32::MAX, |q| q.priority);
            for (&occurrence, state) in &job.occurrences {
                for (step, step_state) in state.steps.iter().enumerate() {
                    let step = step as u32;
                    if step_state.is_done()
                        || step_state.waiting().next().is_none()
                        || !job.is_ready(state, step)
                    {
                        continue;
                    }
                    let spec = job.step_spec(step);
                    let finite = !spec.is_some_and(|spec| spec.long_running);
                    let remaining_ms = spec.map_or(0, |spec| spec.estimate_ms) / 2;
                    let lateness = if finite {
                        lateness(job, occurrence, unix_ms + remaining_ms)
                    } else {
                        0
                    };
                    ready.push(Urgency {
                        finite,
                        lateness,
                        priority,
                        not_started: !job.started,
                        accepted_unix_ms: job.due_unix_ms(occurrence),
                        step: StepId {
                            job: job.id,
                            occurrence,
                            step,
                        },
                    });
                }
            }
        }
        ready.sort_unstable();
        ready
    }

    /// Starts as many of a step's waiting tasks as fit. Returns whether any was started.
    fn start_step(
        &mut self,
        id: StepId,
        now_ms: u64,
        free_cpu: &FreeCpuIndex,
        reserved: &[Rc<str>],
        orders: &mut Vec<Order>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return false;
        };
        let Some(job_spec) = job.spec.clone() else {
            return false;
        };
        let Some(spec) = job_spec.steps.get(id.step as usize) else {
            return false;
        };
        let service = service_of(&self.config, job);
        let payload_host = Rc::clone(&job.payload_host);
        let needs_ticket = self
            .config
            .queues
            .get(&job.queue)
            .is_some_and(|q| q.advice.is_some());
        let Some(step) = job.step_mut(id) else {
            return false;
        };
        let waiting: Vec<u32> = step.waiting().collect();
        if spec.gang && waiting.len() < step.tasks.len() - step.done_count as usize {
            return false;
        }
        let waiting_step = WaitingStep {
            id,
            spec,
            service: &service,
            needs_ticket,
            waiting: &waiting,
        };
        let demand = demand_of(spec);
        let positions = free_cpu.with_at_least(demand.resources.cpu_millicores);
        let (mut candidates, mut failed_candidates) =
            waiting_step.candidates(&self.workers, positions, step, reserved, now_ms);
        let request = Request {
            demand,
            count: waiting.len() as u32,
            all_or_nothing: spec.gang,
            same_rack: spec.same_rack,
            affinity_rack: &spec.affinity_rack,
        };
        // A failed task is placed on the same worker again only if no other worker is eligible. A
        // long-running task can fail anywhere at any time and does not wait for room elsewhere.
        let mut placed = placement::place(&request, &mut candidates);
        if placed.is_empty()
            && !failed_candidates.is_empty()
            && (spec.gang
                || spec.long_running
                || !waiting_step.has_other_worker(&self.workers, step, reserved, now_ms))
        {
            candidates.append(&mut failed_candidates);
            placed = placement::place(&request, &mut candidates);
        }
        if placed.is_empty() {
            return false;
        }
        let gang_run = waiting
            .iter()
            .map(|&n| step.tasks[n as usize].last_run)
            .max()
            .unwrap_or(0);
        for (&index, position) in waiting.iter().zip(placed) {
            let Some((name, worker)) = self.workers.get_index_mut(position) else {
                continue;
            };
            let Some(clock) = worker.clock else {
                continue;
            };
            let until_worker_ms = clock.estimate_ms(now_ms) + self.tuning.start_timeout_ms;
            let task_id = TaskId { step: id, index };
            let task = &mut step.tasks[index as usize];
            let last = if spec.gang { gang_run } else { task.last_run };
            let run = last.max(self.run_floor) + 1;
            task.last_run = run;
            task.active = Some(ActiveRun {
                worker: Rc::clone(name),
                run,
            });
            worker.order_run(task_id, run, demand, until_worker_ms, now_ms);
            let ticket = step.advice.eligible.get(name);
            orders.push(Order::Start {
                worker: Rc::clone(name),
                task: task_id,
                run,
                spec: Rc::clone(&job_spec),
                payload_host: Rc::clone(&payload_host),
                until_worker_ms,
                checkpoint: task.checkpoint.clone(),
                ticket: ticket.map(|ticket| Rc::clone(&ticket.text)),
            });
        }
        if spec.gang {
            step.gang_ordered_ms = Some(now_ms);
        }
        true
    }

    /// Whether a step could be starved by smaller ones unless workers are reserved for it.
    fn may_starve(&self, id: StepId) -> bool {
        let job = self.jobs.get(&id.job);
        job.and_then(|job| job.step_spec(id.step))
            .is_some_and(|spec| spec.long_running || (spec.gang && spec.count > 1))
    }

    /// Whether a step's job has waited for the part of its objective after which workers are
    /// reserved.
    fn has_waited_long(&self, id: StepId, unix_ms: u64) -> bool {
        self.jobs.get(&id.job).is_some_and(|job| {
            let waited_ms = unix_ms.saturating_sub(job.due_unix_ms(id.occurrence));
            waited_ms >= job.allowed_ms() / RESERVE_AFTER_DIVISOR
        })
    }

    /// Reserves workers for a gang or for long-running tasks that do not fit among smaller steps.
    /// Returns whether any were reserved.
    fn reserve_for(&self, id: StepId, reserved: &mut Vec<Rc<str>>) -> bool {
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
                    used: crate::workers::Resources::default(),
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

/// The waiting tasks of a step that are to be placed.
struct WaitingStep<'a> {
    id: StepId,
    spec: &'a StepSpec,
    service: &'a str,
    needs_ticket: bool,
    waiting: &'a [u32],
}

impl WaitingStep<'_> {
    /// Whether an earlier run of a waiting task still occupies resources on a worker.
    fn has_run_of_waiting(&self, worker: &Worker) -> bool {
        let waits = |task: &TaskId| task.step == self.id && self.waiting.contains(&task.index);
        worker.runs.keys().any(waits)
    }

    /// Whether a worker may run the step, regardless of free resources.
    fn may_use(&self, worker: &Worker, step: &Step, reserved: &[Rc<str>], now_ms: u64) -> bool {
        let name = &worker.entry.id;
        worker.is_schedulable(now_ms)
            && *worker.entry.service == *self.service
            && (!self.needs_ticket || step.advice.has_ticket(name, now_ms))
            && has_label(worker, self.spec)
            && !reserved.contains(name)
            && !self.has_run_of_waiting(worker)
    }

    /// Workers on which waiting tasks failed.
    fn failed_on<'s>(&self, step: &'s Step) -> Vec<&'s Rc<str>> {
        self.waiting
            .iter()
            .filter_map(|&n| step.tasks[n as usize].failed_on.as_ref())
            .collect()
    }

    /// Whether there is an eligible worker on which no waiting task failed, regardless of free
    /// resources.
    fn has_other_worker(
        &self,
        workers: &IndexMap<Rc<str>, Worker>,
        step: &Step,
        reserved: &[Rc<str>],
        now_ms: u64,
    ) -> bool {
        let failed_on = self.failed_on(step);
        workers.values().any(|worker| {
            !failed_on.contains(&&worker.entry.id) && self.may_use(worker, step, reserved, now_ms)
        })
    }

    /// Eligible workers for the step: those on which no waiting task failed, and the others.
    fn candidates<'w>(
        &self,
        workers: &'w IndexMap<Rc<str>, Worker>,
        positions: &[usize],
        step: &Step,
        reserved: &[Rc<str>],
        now_ms: u64,
    ) -> (Vec<Candidate<'w>>, Vec<Candidate<'w>>) {
        let failed_on = self.failed_on(step);
        let mut candidates = Vec::new();
        let mut failed_candidates = Vec::new();
        for &position in positions {
            let Some((name, worker)) = workers.get_index(position) else {
                continue;
            };
            if !self.may_use(worker, step, reserved, now_ms) {
                continue;
            }
            let choice = if failed_on.contains(&name) {
                &mut failed_candidates
            } else {
                &mut candidates
            };
            choice.push(Candidate {
                worker: position,
                capacity: worker.entry.capacity,
                used: worker.used,
                best_effort_millicores: worker.best_effort_millicores,
                rack: worker.entry.rack(),
                task_limit: task_limit(worker, self.spec, self.id),
            });
        }
        (candidates, failed_candidates)
    }
}

/// Index of schedulable workers by free CPU, created once per pass.
///
/// In a full cell few workers have room for a task, and a pass searches for room for every waiting
/// step. Starts during the pass only reduce free resources, so the index remains a superset of the
/// workers that fit.
#[derive(Debug)]
struct FreeCpuIndex {
    /// Free CPU in millicores, in descending order.
    free_millicores: Vec<u64>,
    /// Indices of the workers, in the same order.
    positions: Vec<usize>,
}

impl FreeCpuIndex {
    fn of(workers: &IndexMap<Rc<str>, Worker>, now_ms: u64) -> Self {
        let free = |worker: &Worker| {
            let capacity = worker.entry.capacity.cpu_millicores;
            capacity.saturating_sub(worker.used.cpu_millicores)
        };
        let mut by_free_cpu: Vec<(u64, usize)> = workers
            .values()
            .enumerate()
            .filter(|(_, worker)| worker.is_schedulable(now_ms))
            .map(|(position, worker)| (free(worker), position))
            .collect();
        by_free_cpu.sort_by_key(|&(free, position)| (std::cmp::Reverse(free), position));
        let (free_millicores, positions) = by_free_cpu.into_iter().unzip();
        Self {
            free_millicores,
            positions,
        }
    }

    /// Indices of the workers with at least this much free CPU.
    fn with_at_least(&self, millicores: u64) -> &[usize] {
        let count = self
            .free_millicores
            .partition_point(|&free| free >= millicores);
        &self.positions[..count]
    }
}

/// The service that runs a job: the current service of its queue, or the recorded one if the queue
/// no longer exists.
pub(super) fn service_of(config: &crate::config::Config, job: &Job) -> Rc<str> {
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
    let active = worker.runs.keys().filter(|task| task.step == step).count() as u32;
    spec.max_per_worker.saturating_sub(active)
}

/// Lateness of a job's occurrence that ends at `ends_unix_ms`: 0 if it meets its objective, 1 if it
/// is late but its result still has value, 2 otherwise.
pub(super) fn lateness(job: &Job, occurrence: u32, ends_unix_ms: u64) -> u8 {
    let since = job.due_unix_ms(occurrence);
    let allowed_ms = job.allowed_ms();
    if ends_unix_ms <= since + allowed_ms {
        0
    } else if ends_unix_ms <= since + allowed_ms * MAX_LATENESS_FACTOR {
        1
    } else {
        2
    }
}
