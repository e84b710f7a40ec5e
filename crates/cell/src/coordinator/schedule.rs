//! The scheduling pass: stops unneeded runs, and starts waiting tasks by urgency.

use std::rc::Rc;

use super::{
    Coordinator, Order,
    candidates::{FreeCpuIndex, WaitingStep, service_of},
    job::{ActiveRun, Step, demand_of},
    pass::{Pass, Urgency},
    patience::Patience,
    placement_wait::WaitBudget,
    reserves::{MAX_RESERVATION_ATTEMPTS, MAX_RESERVING_STEPS, Reservations},
    trial_workers::TrialBudget,
};
use crate::{
    contact::Trial,
    ids::{JobId, StepId, TaskId},
    jobs::Outcome,
    objective::MAX_LATENESS,
    placement::Request,
    quota::{self, Claim},
    workers::{Phase, Run, StopReason},
};

/// Number of steps in a pass whose jobs have no value any more, the most urgent ones. After an overload
/// there can be thousands of them, and a pass over all would delay the steps that still have value.
const FIRST_VALUELESS_STEPS: usize = 16;
/// Number of further ones, others in each pass: the first ones may wait for workers that others do not
/// need.
const FURTHER_VALUELESS_STEPS: usize = 48;
/// Number of ready steps of one job in a pass, the first ones. A job may have thousands, and a pass over
/// all would delay other jobs.
const FIRST_READY_STEPS: usize = 32;
/// Number of further ones, others in each pass: the first ones may wait for workers that others do not
/// need.
const FURTHER_READY_STEPS: usize = 32;

impl Coordinator {
    /// Runs a scheduling pass and returns the orders to send.
    pub fn schedule(&mut self, now_ms: u64, unix_ms: u64) -> Vec<Order> {
        self.pass_unix_ms = unix_ms;
        self.pass_ms = now_ms;
        self.backlog.invalidate();
        self.record_pass(now_ms);
        self.begin_due_occurrences(unix_ms);
        self.refresh_paces(now_ms);
        self.judge_lost_workers(now_ms, unix_ms);
        self.release_expired_workers(now_ms);
        self.give_up_convicted_tasks(now_ms, unix_ms);
        self.put_dangerous_queues_on_trial(unix_ms);
        self.stop_unneeded_runs();
        self.stop_incomplete_gangs(now_ms);
        let mut orders = Vec::new();
        self.repeat_orders(now_ms, &mut orders);
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
        let mut room_bytes = self.memory_room_bytes();
        for id in open {
            let due = self.jobs.get_mut(&id).and_then(|job| {
                let held_bytes = job.held_bytes();
                let due = job.begin_due(unix_ms, room_bytes);
                room_bytes = room_bytes.saturating_sub(job.held_bytes() - held_bytes);
                due
            });
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
        self.valueless_offset = self.valueless_offset.wrapping_add(FURTHER_VALUELESS_STEPS);
        self.further_offset = self.further_offset.wrapping_add(FURTHER_READY_STEPS);
        let ready_steps = self.ready_steps(now_ms, unix_ms);
        let reservations = Reservations::of(&self.workers, now_ms);
        let mut pass = Pass {
            now_ms,
            unix_ms,
            free_cpu: FreeCpuIndex::of(&self.workers, now_ms),
            trial_budget: TrialBudget::of(
                &self.workers,
                &reservations,
                &self.contended_services,
                now_ms,
            ),
            reservations,
            quota: self.quota_ledger(now_ms),
            free_trial_workers: Vec::new(),
            repeated_trial_worker: None,
            start_budget: self
                .tuning
                .max_starts_in_flight
                .saturating_sub(self.starts_in_flight()),
            waits: WaitBudget::default(),
        };
        let may_preempt = self.may_preempt();
        if may_preempt {
            self.begin_preemption(&mut pass);
        }
        self.start_trials(&ready_steps, &mut pass, orders);
        let mut reserving = 0;
        let mut attempts = 0;
        self.contended_services.clear();
        for urgency in &ready_steps {
            if pass.start_budget == 0 {
                break;
            }
            let started = self.start_step(urgency.step, &mut pass, orders);
            // Free workers would not help a step that its tenant's limit holds back.
            if pass.quota.is_held(urgency.step) {
                continue;
            }
            if !started && urgency.lateness < MAX_LATENESS {
                self.record_contention(urgency.step);
            }
            if may_preempt && started {
                self.release_hold(urgency.step);
            } else if may_preempt {
                self.preempt_for(urgency, &mut pass);
            }
            if !started
                && urgency.lateness == 0
                && reserving < MAX_RESERVING_STEPS
                && attempts < MAX_RESERVATION_ATTEMPTS
                && self.may_starve(urgency.step)
                && (!urgency.finite || self.has_waited_long(urgency.step, unix_ms))
            {
                attempts += 1;
                let reserved = self.reserve_for(urgency.step, &mut pass.reservations, now_ms);
                reserving += usize::from(reserved);
            }
        }
        // Steps that their tenants' limits hold back are the last to ask for advice.
        let (held, others): (Vec<StepId>, Vec<StepId>) = ready_steps
            .into_iter()
            .map(|urgency| urgency.step)
            .partition(|&step| pass.quota.is_held(step));
        self.advice_cursor = 0;
        self.ready_steps = others;
        self.ready_steps.extend(held);
        self.tenants.quota = pass.quota;
        self.reservations = pass.reservations;
    }

    /// Number of orders to start that wait for their responses.
    fn starts_in_flight(&self) -> usize {
        let runs = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        let in_flight = |run: &&Run| {
            matches!(
                run.phase,
                Phase::Ordered {
                    in_flight: true,
                    ..
                }
            )
        };
        runs.filter(in_flight).count()
    }

    /// Steps with waiting tasks whose dependencies are complete, most urgent first.
    fn ready_steps(&self, now_ms: u64, unix_ms: u64) -> Vec<Urgency> {
        let settled = self.takeover_complete(now_ms);
        let mut ready = Vec::new();
        let mut valueless = Vec::new();
        for job in self.open_jobs() {
            if (job.inherited && !settled)
                || now_ms < job.start_not_before_ms
                || self.awaits_late_orders(job)
            {
                continue;
            }
            let priority = self
                .config
                .queues
                .get(&job.queue)
                .map_or(u32::MAX, |q| q.priority);
            let steps_of_job = job.ready_steps();
            for (occurrence, step) in first_and_further(
                &steps_of_job,
                FIRST_READY_STEPS,
                FURTHER_READY_STEPS,
                self.further_offset,
            ) {
                let spec = job.step_spec(step);
                let finite = !spec.is_some_and(|spec| spec.long_running);
                let remaining_ms = spec.map_or(0, |spec| spec.estimate_ms) / 2;
                let lateness = if finite {
                    job.lateness(occurrence, unix_ms + remaining_ms)
                } else {
                    0
                };
                let steps = if lateness == MAX_LATENESS {
                    &mut valueless
                } else {
                    &mut ready
                };
                steps.push(Urgency {
                    behind_shares: lateness == MAX_LATENESS || self.is_behind_shares(job),
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
        valueless.sort_unstable();
        ready.extend(first_and_further(
            &valueless,
            FIRST_VALUELESS_STEPS,
            FURTHER_VALUELESS_STEPS,
            self.valueless_offset,
        ));
        ready.sort_unstable();
        ready
    }

    /// Starts as many of a step's waiting tasks as fit. Returns whether any was started, or could have
    /// been and waits for a better placement.
    fn start_step(&mut self, id: StepId, pass: &mut Pass, orders: &mut Vec<Order>) -> bool {
        let mut chosen = if self.may_fit(id, pass) {
            self.choose_workers(id, pass)
        } else {
            Vec::new()
        };
        let waits = self.hold_back(id, &mut chosen, pass);
        if self.exceeds_starts_in_flight(id, &mut chosen, pass) {
            return true;
        }
        let Some(step) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) else {
            return false;
        };
        if chosen.is_empty() {
            step.waiting_since_ms.get_or_insert(pass.now_ms);
            return waits;
        }
        step.waiting_since_ms = None;
        step.passed_over_since_ms = None;
        self.order_runs(id, &chosen, &[], pass.now_ms, orders);
        true
    }

    /// Reduces the starts of a step to those that may be in flight. Returns whether all of them have to
    /// wait, because they are a gang's, whose members start together.
    fn exceeds_starts_in_flight(
        &self,
        id: StepId,
        chosen: &mut Vec<(u32, usize)>,
        pass: &mut Pass,
    ) -> bool {
        if chosen.len() > pass.start_budget {
            let job = self.jobs.get(&id.job);
            let is_gang = job
                .and_then(|job| job.step_spec(id.step))
                .is_some_and(|spec| spec.gang);
            if !is_gang {
                chosen.truncate(pass.start_budget);
            } else if pass.start_budget < self.tuning.max_starts_in_flight {
                return true;
            }
        }
        pass.start_budget = pass.start_budget.saturating_sub(chosen.len());
        false
    }

    /// Whether the workers together have room for a step, before any of them is looked at. In a full
    /// cell most waiting steps need no more than this.
    fn may_fit(&self, id: StepId, pass: &Pass) -> bool {
        let job = self.jobs.get(&id.job);
        let spec = job.and_then(|job| job.step_spec(id.step));
        spec.is_some_and(|spec| {
            let required = if spec.gang { spec.count } else { 1 };
            pass.free_cpu.may_fit(spec.reserved_millicores(), required)
        })
    }

    /// Chooses workers for as many of a step's waiting tasks as fit. Returns the position of each
    /// task in the step and that of its worker.
    fn choose_workers(&mut self, id: StepId, pass: &mut Pass) -> Vec<(u32, usize)> {
        let pace = self.pace_choice(id, pass.unix_ms);
        let has_waited_long = pass.quota.is_active() && self.has_waited_long(id, pass.unix_ms);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return Vec::new();
        };
        let Some(job_spec) = job.spec.clone() else {
            return Vec::new();
        };
        let Some(spec) = job_spec.steps.get(id.step as usize) else {
            return Vec::new();
        };
        let service = service_of(&self.config, job);
        let tenant = Rc::clone(&job.tenant);
        let queue = self.config.queues.get(&job.queue);
        let max_attempts = queue.map_or(u32::MAX, |queue| queue.max_attempts);
        let objective_unix_ms = job.due_unix_ms(id.occurrence) + job.allowed_ms();
        // Whether the job has a run matters only once the step has been passed over.
        let passed_over = |step: &Step| step.passed_over_since_ms.is_some();
        let stands_still =
            job.step(id).is_some_and(passed_over) && (spec.long_running || !job.has_active_task());
        let Some((trials, waiting)) = job.step(id).map(|step| job.split_waiting(step)) else {
            return Vec::new();
        };
        if waiting.is_empty() || (spec.gang && !trials.is_empty()) {
            return Vec::new();
        }
        let Some(step) = job.step_mut(id) else {
            return Vec::new();
        };
        if spec.gang && waiting.len() < step.tasks.len() - step.done_count as usize {
            return Vec::new();
        }
        let demand = demand_of(spec);
        let (bound, mut free): (Vec<u32>, Vec<u32>) = waiting
            .iter()
            .partition(|&&n| step.tasks[n as usize].bound_to.is_some());
        // The orders that bind tasks are counted as running already.
        let allowed = pass.quota.claim(&Claim {
            tenant: &tenant,
            step: id,
            demand: demand.resources,
            count: free.len() as u32,
            is_gang: spec.gang,
            has_waited_long,
        }) as usize;
        if allowed < free.len() {
            free.truncate(allowed);
            if spec.gang || (free.is_empty() && bound.is_empty()) {
                return Vec::new();
            }
        }
        let waiting_step = WaitingStep::new(id, spec, &service, queue.map(Rc::as_ref), &waiting);
        let mut candidates = waiting_step.candidates(&self.workers, step, pass);
        let mut chosen = Vec::with_capacity(waiting.len());
        for &n in &bound {
            let worker = step.tasks[n as usize].bound_to.as_ref();
            let position = worker.and_then(|worker| self.workers.get_index_of(worker));
            let placed = position.filter(|&position| candidates.take(position, &demand));
            chosen.extend(placed.map(|position| (n, position)));
        }
        if spec.gang && chosen.len() < bound.len() {
            return Vec::new();
        }
        if free.is_empty() {
            return chosen;
        }
        let request = Request {
            demand,
            count: free.len() as u32,
            all_or_nothing: spec.gang,
            same_rack: spec.same_rack,
            affinity_rack: &spec.affinity_rack,
            pace,
        };
        let failed_runs = step.max_failed_runs(waiting.iter().copied());
        let patience = Patience {
            awaits_its_turn: !stands_still
                || waiting_step.awaits_its_turn(
                    &self.workers,
                    step,
                    &pass.reservations,
                    pass.now_ms,
                ),
            long_running: spec.long_running,
            last_attempt: failed_runs + 1 >= max_attempts as usize,
            slack_ms: objective_unix_ms.saturating_sub(pass.unix_ms + spec.estimate_ms),
        };
        let placed = candidates.choose(&request, step, &patience, pass.now_ms);
        if spec.gang && placed.is_empty() {
            return Vec::new();
        }
        let started = quota::times(&demand.resources, placed.len() as u32);
        pass.quota.charge(&tenant, &started);
        chosen.extend(free.into_iter().zip(placed));
        chosen
    }

    /// Orders runs of a step's tasks, each on the worker at the given position.
    pub(super) fn order_runs(
        &mut self,
        id: StepId,
        chosen: &[(u32, usize)],
        trials: &[(u32, Trial)],
        now_ms: u64,
        orders: &mut Vec<Order>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(job_spec) = job.spec.clone() else {
            return;
        };
        let Some(spec) = job_spec.steps.get(id.step as usize) else {
            return;
        };
        let payload_host = Rc::clone(&job.payload_host);
        let Some(step) = job.step_mut(id) else {
            return;
        };
        let gang_run = chosen
            .iter()
            .map(|&(index, _)| step.tasks[index as usize].last_run)
            .max()
            .unwrap_or(0);
        for &(index, position) in chosen {
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
            let trial = trials.iter().find(|(on_trial, _)| *on_trial == index);
            let trial = trial.map(|&(_, trial)| trial);
            worker.order_run(
                task_id,
                run,
                trial,
                demand_of(spec),
                until_worker_ms,
                now_ms,
            );
            let ticket = step.advice.eligible.get(name);
            if let Some(ordered) = worker.runs.get_mut(&task_id) {
                ordered.ticket_void_ms = ticket.map(|ticket| ticket.void_ms);
            }
            orders.push(Order::Start {
                worker: Rc::clone(name),
                task: task_id,
                run,
                spec: Rc::clone(&job_spec),
                payload_host: Rc::clone(&payload_host),
                until_worker_ms,
                checkpoint: task.checkpoint.clone(),
                ticket: ticket.map(|ticket| Rc::clone(&ticket.text)),
                on_trial: trial.is_some(),
            });
        }
        if spec.gang {
            step.gang_ordered_ms = Some(now_ms);
        }
    }
}

/// The first steps, and others that follow them from `offset` on, which may exceed their number.
fn first_and_further<T: Copy>(
    steps: &[T],
    first: usize,
    further: usize,
    offset: usize,
) -> impl Iterator<Item = T> {
    let (first, rest) = steps.split_at(steps.len().min(first));
    let count = rest.len().min(further);
    let further = rest.iter().cycle().skip(offset % rest.len().max(1));
    first.iter().chain(further.take(count)).copied()
}
