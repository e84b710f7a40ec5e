//! The scheduling pass: stops unneeded runs, and starts waiting tasks by urgency.

use std::rc::Rc;

use super::{
    Coordinator, Order,
    candidates::{FreeCpuIndex, WaitingStep, service_of},
    job::{ActiveRun, Job, demand_of},
    patience::Patience,
    reserves::{MAX_RESERVATION_ATTEMPTS, MAX_RESERVING_STEPS},
};
use crate::{
    admission::MAX_LATENESS_FACTOR,
    ids::{JobId, StepId, TaskId},
    jobs::Outcome,
    placement::Request,
    workers::{Phase, StopReason},
};

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
            let started = self.start_step(
                urgency.step,
                (now_ms, unix_ms),
                &free_cpu,
                &reserved,
                orders,
            );
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
        self.reserved = reserved;
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
        (now_ms, unix_ms): (u64, u64),
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
        let max_attempts = self
            .config
            .queues
            .get(&job.queue)
            .map_or(u32::MAX, |queue| queue.max_attempts);
        let objective_unix_ms = job.due_unix_ms(id.occurrence) + job.allowed_ms();
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
        let candidates = waiting_step.candidates(&self.workers, positions, step, reserved, now_ms);
        let request = Request {
            demand,
            count: waiting.len() as u32,
            all_or_nothing: spec.gang,
            same_rack: spec.same_rack,
            affinity_rack: &spec.affinity_rack,
        };
        let failed_runs = step.max_failed_runs(waiting.iter().copied());
        let patience = Patience {
            long_running: spec.long_running,
            last_attempt: failed_runs + 1 >= max_attempts as usize,
            slack_ms: objective_unix_ms.saturating_sub(unix_ms + spec.estimate_ms),
        };
        let placed = candidates.choose(&request, step, &patience, now_ms);
        if placed.is_empty() {
            step.waiting_since_ms.get_or_insert(now_ms);
            return false;
        }
        step.waiting_since_ms = None;
        step.passed_over_since_ms = None;
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
