//! Stops runs so that a wide gang can start.
//!
//! A gang that no single worker can hold starves in a full cell: capacity that becomes free in small
//! parts goes to steps that can start one task at a time. While such a gang can meet its objective,
//! runs of queues with a lower priority are stopped for it if they can resume from a checkpoint. The
//! capacity becomes free when their workers list the ends; until then the workers are held for the
//! gang, and only more urgent steps may use them.

use std::{cell::RefCell, rc::Rc};

use derive_more::Display;

use super::{
    Coordinator,
    candidates::{has_label, service_of, task_limit},
    job::{Job, Step, resources_of},
    pass::{Pass, Urgency},
    vacating::Vacatable,
};
use crate::{
    collections::IndexMap,
    contention::{self, Claimant, StopCost, Victim},
    ids::{StepId, TaskId},
    jobs::StepSpec,
    workers::{Phase, Resources, Run, StopReason, Worker},
};

/// Maximum number of steps for which workers are held at a time.
const MAX_HOLDS: usize = 24;
/// Maximum number of wide gangs in a pass whose queries to the advice service go first.
const MAX_ASKING_FIRST: usize = 4;
/// Maximum number of searches for runs to stop in a pass: each iterates over the runs of all workers
/// that the step may use.
const MAX_SEARCHES_PER_PASS: usize = 4;
/// Part of the workers that may be held, as a divisor: held workers are partly idle.
const MAX_HELD_DIVISOR: usize = 10;
/// How long workers are held beyond the time that a stop may take, in milliseconds: the ends are
/// listed, and the next pass orders the starts.
const HOLD_MARGIN_MS: u64 = 1_500;
/// Time from the end of a stopped run to the order that starts a task, in milliseconds. Tickets must
/// be valid for that long.
const START_DELAY_MS: u64 = 250;
/// Average time between two passes from which the coordinator counts as saturated, in milliseconds.
/// With 3,000 workers, stops for gangs made a saturated coordinator so late that it started tasks on
/// workers that had been draining for seconds.
const MAX_PASS_GAP_MS: f64 = 80.0;
/// Time for which the coordinator then counts as saturated, in milliseconds: a backlog that has built up
/// takes seconds to shrink.
const SATURATION_MS: u64 = 3_000;
/// Inverse weight of one gap in the moving average.
const GAP_AVERAGE_DIVISOR: f64 = 16.0;
/// Time for which the sums of what stops could free are used, in milliseconds. They choose the workers to
/// ask about; with 3,000 workers they take several milliseconds.
const SUMS_VALID_MS: u64 = 200;
/// Time after a hold has expired before runs are stopped for the same step again, in milliseconds.
const RETRY_DELAY_MS: u64 = 1_000;
/// Time after a search without a result before the next one for the same step, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 200;

/// Workers held for a step while runs on them are stopped.
#[derive(Clone, Debug)]
struct Hold {
    /// Priority of the step's queue.
    priority: u32,
    workers: Vec<Rc<str>>,
    /// When the workers are released, in milliseconds of the local clock.
    expires_ms: u64,
}

/// Runs that are stopped in favour of a step.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("step={step} stopped={stopped} workers={workers} waited_ms={waited_ms}")]
pub struct PreemptionReport {
    /// The step that needs the capacity.
    pub step: StepId,
    /// Number of runs that are stopped.
    pub stopped: usize,
    /// Number of workers that are held for it.
    pub workers: usize,
    /// Time since its job was due, in milliseconds.
    pub waited_ms: u64,
}

/// Steps for which runs are stopped.
#[derive(Debug, Default)]
pub(super) struct Preemptions {
    holds: IndexMap<StepId, Hold>,
    /// Steps for which no runs are stopped before the given time, in milliseconds of the local clock.
    resting: IndexMap<StepId, u64>,
    /// Steps whose queries to the advice service go first.
    asking: Vec<StepId>,
    /// Resources in use on each worker once all runs of lower priority have been stopped that may be, by
    /// priority.
    used_after_stops: RefCell<IndexMap<u32, Rc<Vec<Resources>>>>,
    /// When those were last discarded, in milliseconds of the local clock.
    sums_ms: u64,
    /// Time of the last pass, in milliseconds of the local clock; 0 before the first one.
    pass_ms: u64,
    /// Moving average of the time between two passes, in milliseconds.
    average_gap_ms: f64,
    /// Until when the coordinator counts as saturated, in milliseconds of the local clock.
    saturated_until_ms: u64,
    /// CPU of the largest worker, in millicores.
    largest_millicores: u64,
    /// Searches that the pass may still make.
    searches_left: usize,
    /// Reports that have not been taken for the log.
    reports: Vec<PreemptionReport>,
}

impl Preemptions {
    /// Ends holds that have expired or whose step no longer waits.
    fn prune(&mut self, now_ms: u64, waits: impl Fn(StepId) -> bool) {
        let resting = &mut self.resting;
        self.holds.retain(|&step, hold| {
            let expired = now_ms >= hold.expires_ms;
            if expired {
                resting.insert(step, now_ms + RETRY_DELAY_MS);
            }
            !expired && waits(step)
        });
        self.resting.retain(|_, until_ms| now_ms < *until_ms);
    }

    /// Workers that are held for a step.
    pub(super) fn held_for(&self, step: StepId) -> Option<&[Rc<str>]> {
        self.holds.get(&step).map(|hold| hold.workers.as_slice())
    }

    /// Steps whose queries to the advice service go first: among many waiting steps of small tasks, the
    /// turn of wide gangs would come too late.
    pub(super) fn asking_first(&self) -> &[StepId] {
        &self.asking
    }

    /// Whether a step is a gang that no single worker can hold.
    fn is_wide(&self, spec: &StepSpec) -> bool {
        let total_millicores = spec.reserved_millicores() * u64::from(spec.count);
        spec.gang && total_millicores > self.largest_millicores
    }

    fn held_workers(&self) -> usize {
        self.holds.values().map(|hold| hold.workers.len()).sum()
    }

    fn take_search(&mut self, step: StepId) -> bool {
        let may_search = self.searches_left > 0
            && self.holds.len() < MAX_HOLDS
            && !self.resting.contains_key(&step);
        if may_search {
            self.searches_left -= 1;
        }
        may_search
    }
}

/// What a wide gang may take from other runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    claimant: Claimant,
    unix_ms: u64,
    /// Until when tickets must be valid, in milliseconds of the local clock.
    pub(super) ticket_until_ms: u64,
}

/// Runs to stop, and the workers to hold meanwhile.
#[derive(Debug)]
struct Plan {
    /// Worker, task and number of each run.
    victims: Vec<(Rc<str>, TaskId, u64)>,
    workers: Vec<Rc<str>>,
}

impl Coordinator {
    /// Reports on preemptions that have not been taken yet.
    pub fn take_preemptions(&mut self) -> Vec<PreemptionReport> {
        std::mem::take(&mut self.preemptions.reports)
    }

    /// Whether runs are stopped for wide gangs: in cells with tenants, unless the coordinator is
    /// saturated. Searches and the additional orders would delay all others then.
    pub fn may_preempt(&self) -> bool {
        let is_enabled = self.tuning.preemption || self.config.tenants.is_some();
        is_enabled && self.preemptions.pass_ms >= self.preemptions.saturated_until_ms
    }

    /// Records the time of a scheduling pass.
    pub(super) fn record_pass(&mut self, now_ms: u64) {
        let preemptions = &mut self.preemptions;
        if preemptions.pass_ms > 0 {
            let gap_ms = now_ms.saturating_sub(preemptions.pass_ms) as f64;
            let change_ms = gap_ms - preemptions.average_gap_ms;
            preemptions.average_gap_ms += change_ms / GAP_AVERAGE_DIVISOR;
        }
        preemptions.pass_ms = now_ms;
        if preemptions.average_gap_ms >= MAX_PASS_GAP_MS {
            preemptions.saturated_until_ms = now_ms + SATURATION_MS;
        }
    }

    /// The claim of a wide gang that can meet its objective; `None` for other steps.
    pub(super) fn claim_of(&self, id: StepId, now_ms: u64) -> Option<Claim> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.step_spec(id.step)?;
        if !self.may_preempt() || !self.preemptions.is_wide(spec) {
            return None;
        }
        let unix_ms = self.pass_unix_ms;
        let claimant = Claimant {
            priority: self.config.queues.get(&job.queue)?.priority,
            lateness: job.lateness(id.occurrence, unix_ms + spec.estimate_ms / 2),
        };
        (claimant.lateness == 0).then_some(Claim {
            claimant,
            unix_ms,
            ticket_until_ms: self.ticket_needed_until_ms(now_ms),
        })
    }

    fn ticket_needed_until_ms(&self, now_ms: u64) -> u64 {
        now_ms + self.tuning.stop_timeout_ms + START_DELAY_MS
    }

    /// Resources in use on each worker, by position, once all runs have been stopped that a claim may
    /// stop. Claims of one priority share the result for a while: it takes a look at each run.
    pub(super) fn used_after_stops(&self, claim: &Claim) -> Rc<Vec<Resources>> {
        let priority = claim.claimant.priority;
        let mut cached = self.preemptions.used_after_stops.borrow_mut();
        let used = cached.entry(priority).or_insert_with(|| {
            let workers = self.workers.values();
            Rc::new(
                workers
                    .map(|worker| self.used_after_stops_on(worker, claim))
                    .collect(),
            )
        });
        Rc::clone(used)
    }

    fn used_after_stops_on(&self, worker: &Worker, claim: &Claim) -> Resources {
        let cost = self.stop_cost();
        let mut used = worker.used;
        for (&task, run) in &worker.runs {
            let victim = self.victim(task, run, claim.unix_ms);
            let rank = victim.and_then(|v| contention::stop_rank(claim.claimant, &v, &cost));
            if rank.is_some() {
                used.remove(&run.resources);
            }
        }
        used
    }

    fn stop_cost(&self) -> StopCost {
        StopCost {
            stop_timeout_ms: self.tuning.stop_timeout_ms,
            restore_ms: self.tuning.restore_ms,
        }
    }

    /// Ends the holds of steps that no longer wait, and keeps the held workers from other steps.
    pub(super) fn begin_preemption(&mut self, pass: &mut Pass) {
        let capacities = self.workers.values();
        let largest = capacities.map(|worker| worker.entry.capacity.cpu_millicores);
        self.preemptions.largest_millicores = largest.max().unwrap_or(0);
        self.preemptions.searches_left = MAX_SEARCHES_PER_PASS;
        let jobs = &self.jobs;
        let waits = |id: StepId| {
            let step = jobs.get(&id.job).and_then(|job| job.step(id));
            step.is_some_and(|step| step.waiting().next().is_some())
        };
        self.preemptions.prune(pass.now_ms, waits);
        if pass.now_ms >= self.preemptions.sums_ms + SUMS_VALID_MS {
            self.preemptions.sums_ms = pass.now_ms;
            self.preemptions.used_after_stops.take();
        }
        self.preemptions.asking.clear();
        self.preemptions
            .asking
            .extend(self.preemptions.holds.keys());
        for (&step, hold) in &self.preemptions.holds {
            for worker in &hold.workers {
                pass.reservations.hold(worker, step, hold.priority);
            }
        }
    }

    /// Releases the workers that were held for a step, since it has started.
    pub(super) fn release_hold(&mut self, step: StepId) {
        self.preemptions.holds.swap_remove(&step);
    }

    /// Stops runs in favour of a wide gang that found no capacity, if that makes room for all of it.
    pub(super) fn preempt_for(&mut self, urgency: &Urgency, pass: &mut Pass) {
        let id = urgency.step;
        if urgency.lateness > 0 || !urgency.finite || self.preemptions.holds.contains_key(&id) {
            return;
        }
        let Some(claim) = self.claim_of(id, pass.now_ms) else {
            return;
        };
        if self.preemptions.asking.len() < MAX_ASKING_FIRST {
            self.preemptions.asking.push(id);
        }
        if !self.preemptions.take_search(id) {
            return;
        }
        let Some(plan) = self.plan_stops(id, &claim, pass) else {
            let until_ms = pass.now_ms + SEARCH_INTERVAL_MS;
            self.preemptions.resting.insert(id, until_ms);
            return;
        };
        for (worker, task, run) in &plan.victims {
            self.mark_stopping(worker, *task, *run, StopReason::Preempted);
            let job = self.jobs.get_mut(&task.step.job);
            if let Some(task) = job.and_then(|job| job.task_mut(*task)) {
                task.preemptions += 1;
            }
        }
        for worker in &plan.workers {
            pass.reservations.hold(worker, id, urgency.priority);
        }
        self.preemptions.reports.push(PreemptionReport {
            step: id,
            stopped: plan.victims.len(),
            workers: plan.workers.len(),
            waited_ms: pass.unix_ms.saturating_sub(urgency.accepted_unix_ms),
        });
        let hold = Hold {
            priority: urgency.priority,
            workers: plan.workers,
            expires_ms: pass.now_ms + self.tuning.stop_timeout_ms + HOLD_MARGIN_MS,
        };
        self.preemptions.holds.insert(id, hold);
    }

    /// The runs to stop for a gang; `None` if that does not make room for all of it, if its tenant's
    /// limit holds it back, or if too many workers would be held.
    fn plan_stops(&self, id: StepId, claim: &Claim, pass: &Pass) -> Option<Plan> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.step_spec(id.step)?;
        let step = job.step(id)?;
        let demand = resources_of(spec);
        let mut missing = step.waiting().count() as u32;
        if pass.quota.fitting_tasks(&job.tenant, &demand) < missing {
            return None;
        }
        let mut vacatable = self.vacatable_workers(job, spec, step, claim.claimant, pass);
        vacatable.sort_by_cached_key(|candidate| candidate.rank(&demand));
        let mut plan = Plan {
            victims: Vec::new(),
            workers: Vec::new(),
        };
        for candidate in &mut vacatable {
            let tasks =
                candidate.vacate(&demand, missing.min(task_limit(candidate.worker, spec, id)));
            if tasks == 0 {
                continue;
            }
            missing -= tasks;
            let name = &candidate.worker.entry.id;
            plan.workers.push(Rc::clone(name));
            let stopped = candidate.stopped_runs();
            plan.victims
                .extend(stopped.map(|(task, run)| (Rc::clone(name), task, run)));
            if missing == 0 {
                break;
            }
        }
        let held = self.preemptions.held_workers() + plan.workers.len();
        let is_possible = missing == 0 && held <= self.workers.len() / MAX_HELD_DIVISOR;
        // Without a run to stop, the gang starts in a later pass by itself.
        (is_possible && !plan.victims.is_empty()).then_some(plan)
    }

    /// Workers that the step may use, with the runs that may be stopped there.
    fn vacatable_workers(
        &self,
        job: &Job,
        spec: &StepSpec,
        step: &Step,
        claimant: Claimant,
        pass: &Pass,
    ) -> Vec<Vacatable<'_>> {
        let service = service_of(&self.config, job);
        let queue = self.config.queues.get(&job.queue);
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        let ticket_until_ms = self.ticket_needed_until_ms(pass.now_ms);
        let may_use = |worker: &&Worker| {
            worker.is_schedulable(pass.now_ms)
                && worker.entry.service == service
                && has_label(worker, spec)
                && (!needs_ticket || step.advice.has_ticket(&worker.entry.id, ticket_until_ms))
                && !pass.reservations.contains(&worker.entry.id)
                && !worker.has_starting_trial(pass.now_ms)
        };
        let cost = self.stop_cost();
        let workers = self.workers.values().filter(may_use);
        workers
            .map(|worker| {
                let mut victims: Vec<_> = worker
                    .runs
                    .iter()
                    .filter_map(|(&task, run)| {
                        let victim = self.victim(task, run, pass.unix_ms)?;
                        let rank = contention::stop_rank(claimant, &victim, &cost)?;
                        Some((rank, task, run))
                    })
                    .collect();
                victims.sort_unstable_by_key(|(rank, task, _)| (*rank, *task));
                // What stops already becomes free as well.
                let mut used = worker.used;
                let stopping = |run: &&Run| run.stopping.is_some() && run.phase.is_present();
                for run in worker.runs.values().filter(stopping) {
                    used.remove(&run.resources);
                }
                Vacatable::new(worker, victims, used)
            })
            .collect()
    }

    /// What stopping a run would cost its job; `None` if it must not be stopped.
    fn victim(&self, task: TaskId, run: &Run, unix_ms: u64) -> Option<Victim> {
        let is_stoppable = matches!(run.phase, Phase::Present { .. })
            && run.stopping.is_none()
            && run.trial.is_none()
            && !run.long_running;
        if !is_stoppable {
            return None;
        }
        let job = self.jobs.get(&task.step.job)?;
        let job_spec = job.spec.as_ref()?;
        let spec = job_spec.steps.get(task.step.step as usize)?;
        let priority = self.config.queues.get(&job.queue)?.priority;
        let expected_ms = self.average_pace.expected_ms(spec.estimate_ms);
        let remaining_ms = run.progress.remaining_ms(expected_ms);
        let path_ms = job_spec.remaining_paths_ms();
        let later_ms = path_ms.get(task.step.step as usize)? - spec.estimate_ms;
        let later_ms = self.average_pace.expected_ms(later_ms);
        let ends_unix_ms = unix_ms + remaining_ms + later_ms;
        let objective_unix_ms = job.due_unix_ms(task.step.occurrence) + job.allowed_ms();
        Some(Victim {
            priority,
            lateness: job.lateness(task.step.occurrence, ends_unix_ms),
            over_share: job.over_share,
            resumes: spec.checkpointing,
            gang: spec.gang && spec.count > 1,
            remaining_ms,
            slack_ms: objective_unix_ms.saturating_sub(ends_unix_ms),
            preemptions: job.task(task)?.preemptions,
        })
    }
}
