//! Stops runs so that the most urgent step without capacity can start.
//!
//! The capacity of the stopped runs becomes free when their workers list the ends. Until then the
//! workers are held for the step, also from steps that are more urgent: each of them would have to
//! stop further runs otherwise. What a stopped run saved goes with its task.

use std::rc::Rc;

use derive_more::Display;
use indexmap::IndexMap;

use super::{
    Coordinator,
    candidates::{has_label, service_of, task_limit},
    job::{Job, Step, resources_of},
    pass::{Pass, Urgency},
};
use crate::{
    contention::{self, Claimant, StopCost, StopRank, Victim},
    ids::{StepId, TaskId},
    jobs::StepSpec,
    placement::Candidate,
    workers::{Phase, Resources, Run, StopReason, Worker},
};

/// Maximum number of steps for which workers are held at a time.
const MAX_HOLDING_STEPS: usize = 24;
/// Maximum number of wide gangs whose queries to the advice service go first.
const MAX_ASKING_FIRST: usize = 8;
/// Maximum number of steps in one pass for which victims are searched: each search iterates over the
/// runs of the workers that the step may use.
const MAX_SEARCHES_PER_PASS: usize = 6;
/// Part of the service's workers that may be held, as a divisor.
const MAX_HELD_DIVISOR: usize = 6;
/// How long held workers may take beyond the stop, in milliseconds: the end is listed, the ticket is
/// renewed, and the next pass orders the start.
const HOLD_MARGIN_MS: u64 = 1_500;
/// Time from the end of a stopped run to the order that starts a task, in milliseconds: the end is
/// listed, and the next pass orders the start. Tickets must be valid for that long.
const START_DELAY_MS: u64 = 250;
/// Time after a failed attempt before runs are stopped for the same step again, in milliseconds.
const RETRY_DELAY_MS: u64 = 1_000;
/// Time after a search without a result before the next one for the same step, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 200;
/// Time that a step that is not wide waits for capacity that becomes free by itself, in milliseconds.
const NARROW_STEP_PATIENCE_MS: u64 = 400;

/// Workers held for a step while runs on them are stopped.
#[derive(Clone, Debug)]
struct Hold {
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
    /// Steps for which no further runs are stopped before the given time, in milliseconds of the
    /// local clock.
    resting: IndexMap<StepId, u64>,
    /// Events that have not been taken for the log.
    reports: Vec<PreemptionReport>,
}

impl Preemptions {
    /// Ends holds that have expired or whose step no longer waits.
    pub(super) fn prune(&mut self, now_ms: u64, waits: impl Fn(StepId) -> bool) {
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

    /// Workers that are held, with the step that may use them.
    pub(super) fn held(&self) -> impl Iterator<Item = (&Rc<str>, StepId, u32)> {
        let of_step = |(&step, hold)| {
            let hold: &Hold = hold;
            hold.workers
                .iter()
                .map(move |worker| (worker, step, hold.priority))
        };
        self.holds.iter().flat_map(of_step)
    }

    /// Workers that are held for a step.
    pub(super) fn held_for(&self, step: StepId) -> Option<&[Rc<str>]> {
        self.holds.get(&step).map(|hold| hold.workers.as_slice())
    }

    /// Records that a step has started.
    pub(super) fn step_started(&mut self, step: StepId) {
        self.holds.swap_remove(&step);
    }

    fn may_search(&self, step: StepId) -> bool {
        self.holds.len() < MAX_HOLDING_STEPS
            && !self.holds.contains_key(&step)
            && !self.resting.contains_key(&step)
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

/// Searches that a pass may still make, for wide gangs and for other steps.
#[derive(Debug)]
pub(super) struct SearchBudget {
    wide: usize,
    narrow: usize,
}

impl Default for SearchBudget {
    fn default() -> Self {
        Self {
            wide: MAX_SEARCHES_PER_PASS,
            narrow: MAX_SEARCHES_PER_PASS,
        }
    }
}

impl SearchBudget {
    fn take(&mut self, is_wide: bool) -> bool {
        let left = if is_wide {
            &mut self.wide
        } else {
            &mut self.narrow
        };
        let is_left = *left > 0;
        *left = left.saturating_sub(1);
        is_left
    }
}

/// A worker on which tasks of the claimant fit once some runs have been stopped.
#[derive(Debug)]
struct Vacatable<'a> {
    worker: &'a Worker,
    /// Runs that may be stopped, the most readily stopped one first.
    victims: Vec<(StopRank, TaskId, &'a Run)>,
    used: Resources,
    tasks: u32,
    stopped: usize,
}

impl Vacatable<'_> {
    fn candidate(&self, limit: u32) -> Candidate<'_> {
        Candidate {
            worker: 0,
            capacity: self.worker.entry.capacity,
            used: self.used,
            best_effort_millicores: 0,
            rack: "",
            task_limit: limit,
        }
    }

    /// Number of runs to stop before one further task fits; the maximum if it cannot fit.
    fn stops_for_one(&self, demand: &Resources) -> usize {
        let mut used = self.used;
        for stops in 0..=self.victims.len() {
            if self.worker.entry.capacity.fits(&used, demand) {
                return stops;
            }
            if let Some((_, _, victim)) = self.victims.get(stops) {
                used.remove(&victim.resources);
            }
        }
        usize::MAX
    }

    /// Stops as many runs as one further task needs. Returns false if it cannot fit.
    fn vacate_for_one(&mut self, demand: &Resources, limit: u32) -> bool {
        if self.tasks >= limit {
            return false;
        }
        let (used, stopped) = (self.used, self.stopped);
        loop {
            if self.candidate(u32::MAX).fitting_tasks(demand, 1) == 1 {
                self.used.add(demand);
                self.tasks += 1;
                return true;
            }
            let Some((_, _, victim)) = self.victims.get(self.stopped) else {
                (self.used, self.stopped) = (used, stopped);
                return false;
            };
            self.used.remove(&victim.resources);
            self.stopped += 1;
        }
    }
}

impl Coordinator {
    /// Reports on preemptions that have not been taken yet.
    pub fn take_preemptions(&mut self) -> Vec<PreemptionReport> {
        std::mem::take(&mut self.preemptions.reports)
    }

    /// Whether runs are stopped for more urgent ones.
    pub fn may_preempt(&self) -> bool {
        self.tuning.preemption || self.config.tenants.is_some()
    }

    /// Whether a step is a gang that no single worker can hold. Capacity that becomes free by itself
    /// goes to smaller steps long before such a gang fits.
    pub(super) fn is_wide(&self, spec: &StepSpec) -> bool {
        let total_millicores = spec.reserved_millicores() * u64::from(spec.count);
        let largest = self
            .workers
            .values()
            .map(|w| w.entry.capacity.cpu_millicores);
        spec.gang && total_millicores > largest.max().unwrap_or(0)
    }

    /// Steps for which advice is asked first while capacity is short: those for which workers are
    /// held, and wide gangs that nothing is known about. Among many waiting steps of small tasks,
    /// their turn would not come before they are late.
    pub(super) fn asking_first(&self, now_ms: u64) -> Vec<StepId> {
        let held = self.preemptions.holds.keys().copied();
        let may_ask = |id: &&StepId| {
            let step = self.jobs.get(&id.job).and_then(|job| job.step(**id));
            step.is_some_and(|step| !step.advice.in_flight) && self.claim_of(**id, now_ms).is_some()
        };
        let unasked = self.ready_steps.iter().filter(may_ask);
        held.chain(unasked.copied().take(MAX_ASKING_FIRST))
            .collect()
    }

    /// The claim of a wide gang that may take capacity from other runs; `None` for other steps.
    pub(super) fn claim_of(&self, id: StepId, now_ms: u64) -> Option<Claim> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.step_spec(id.step)?;
        if !self.may_preempt() || !self.is_wide(spec) {
            return None;
        }
        let unix_ms = self.pass_unix_ms;
        let ends_unix_ms = unix_ms + spec.estimate_ms / 2;
        let claimant = Claimant {
            priority: self.config.queues.get(&job.queue)?.priority,
            lateness: job.lateness(id.occurrence, ends_unix_ms),
        };
        (claimant.lateness == 0).then_some(Claim {
            claimant,
            unix_ms,
            ticket_until_ms: now_ms + self.tuning.stop_timeout_ms + START_DELAY_MS,
        })
    }

    /// Resources in use on a worker once all runs have been stopped that a claim may stop.
    pub(super) fn used_after_stops(&self, worker: &Worker, claim: &Claim) -> Resources {
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
    pub(super) fn renew_holds(&mut self, now_ms: u64, pass: &mut Pass) {
        let jobs = &self.jobs;
        let waits = |id: StepId| {
            let step = jobs.get(&id.job).and_then(|job| job.step(id));
            step.is_some_and(|step| step.waiting().next().is_some())
        };
        self.preemptions.prune(now_ms, waits);
        for (worker, step, priority) in self.preemptions.held() {
            pass.reservations.hold(worker, step, priority);
        }
    }

    /// Stops runs in favour of a step that found no capacity, if that is enough for all its tasks if
    /// it is a gang, or else for one.
    pub(super) fn preempt_for(
        &mut self,
        urgency: &Urgency,
        pass: &mut Pass,
        budget: &mut SearchBudget,
    ) {
        let id = urgency.step;
        if urgency.lateness > 0 || !urgency.finite || !self.preemptions.may_search(id) {
            return;
        }
        let Some((victims, workers, waited_ms)) = self.choose_victims(urgency, pass, budget) else {
            let until_ms = pass.now_ms + SEARCH_INTERVAL_MS;
            self.preemptions.resting.insert(id, until_ms);
            return;
        };
        for (worker, task, run) in &victims {
            self.mark_stopping(worker, *task, *run, StopReason::Preempted);
            let task = (self.jobs.get_mut(&task.step.job)).and_then(|job| job.task_mut(*task));
            if let Some(task) = task {
                task.preemptions += 1;
            }
        }
        for worker in &workers {
            pass.reservations.hold(worker, id, urgency.priority);
        }
        self.preemptions.reports.push(PreemptionReport {
            step: id,
            stopped: victims.len(),
            workers: workers.len(),
            waited_ms,
        });
        let expires_ms = pass.now_ms + self.tuning.stop_timeout_ms + HOLD_MARGIN_MS;
        let hold = Hold {
            priority: urgency.priority,
            workers,
            expires_ms,
        };
        self.preemptions.holds.insert(id, hold);
    }

    /// The runs to stop for a step, the workers to hold, and how long its job has waited.
    #[expect(clippy::type_complexity, reason = "used once")]
    fn choose_victims(
        &self,
        urgency: &Urgency,
        pass: &Pass,
        budget: &mut SearchBudget,
    ) -> Option<(Vec<(Rc<str>, TaskId, u64)>, Vec<Rc<str>>, u64)> {
        let id = urgency.step;
        let job = self.jobs.get(&id.job)?;
        let spec = job.step_spec(id.step)?;
        let step = job.step(id)?;
        let waited_ms = pass.unix_ms.saturating_sub(job.due_unix_ms(id.occurrence));
        let passed_ms = step
            .waiting_since_ms
            .map_or(0, |since_ms| pass.now_ms.saturating_sub(since_ms));
        if !self.is_wide(spec) {
            return None;
        }
        if !budget.take(self.is_wide(spec)) {
            return None;
        }
        let claimant = Claimant {
            priority: urgency.priority,
            lateness: urgency.lateness,
        };
        let mut vacatable = self.vacatable_workers(id, job, spec, step, claimant, pass);
        let demand = resources_of(spec);
        let waiting = step.waiting().count() as u32;
        let required = if spec.gang { waiting } else { 1 };
        let mut found = 0;
        // Workers on which the fewest stops make room for a task first.
        vacatable.sort_by_cached_key(|candidate| {
            let stops = candidate.stops_for_one(&demand);
            (stops, candidate.victims.first().map(|(rank, _, _)| *rank))
        });
        for candidate in &mut vacatable {
            let limit = task_limit(candidate.worker, spec, id);
            while found < waiting && candidate.vacate_for_one(&demand, limit) {
                found += 1;
            }
        }
        if found < required {
            return None;
        }
        let mut victims = Vec::new();
        let mut workers = Vec::new();
        for candidate in vacatable.iter().filter(|candidate| candidate.tasks > 0) {
            let name = &candidate.worker.entry.id;
            workers.push(Rc::clone(name));
            let stopped = candidate.victims.iter().take(candidate.stopped);
            victims.extend(stopped.map(|(_, task, run)| (Rc::clone(name), *task, run.run)));
        }
        let held = self.preemptions.held().count() + workers.len();
        let within_limit = held <= self.workers.len() / MAX_HELD_DIVISOR;
        (within_limit && !victims.is_empty()).then_some((victims, workers, waited_ms))
    }

    /// Workers that the step may use, with the runs that may be stopped there.
    fn vacatable_workers(
        &self,
        id: StepId,
        job: &Job,
        spec: &StepSpec,
        step: &Step,
        claimant: Claimant,
        pass: &Pass,
    ) -> Vec<Vacatable<'_>> {
        let service = service_of(&self.config, job);
        let queue = self.config.queues.get(&job.queue);
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        let ticket_until_ms = pass.now_ms + self.tuning.stop_timeout_ms + START_DELAY_MS;
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
                Vacatable {
                    worker,
                    victims,
                    used,
                    tasks: 0,
                    stopped: 0,
                }
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
