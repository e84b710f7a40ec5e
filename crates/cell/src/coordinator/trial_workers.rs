//! Workers that are kept free for tasks on trial.
//!
//! Few workers are used for trials at a time, counting those that are down after one, so that all
//! others serve the work that is not suspected. A worker is kept for as long as a step waits that could
//! use it, so that it becomes free.

use std::{cmp::Reverse, rc::Rc};

use super::{
    Coordinator,
    candidates::{has_label, service_of},
    job::{Job, Step, resources_of},
    pass::Pass,
    reserves::Reservations,
    trials::{TrialRank, WaitingTrial},
};
use crate::{
    collections::{IndexMap, IndexSet},
    contact::Trial,
    ids::StepId,
    jobs::StepSpec,
    placement::Candidate,
    workers::{Resources, Worker},
};

/// Part of a service's workers that may be used for trials at a time, as a divisor.
const TRIAL_DIVISOR: usize = 4;
/// The same for suspects and for jobs that are too late to have value, while other jobs wait for
/// room.
const LATE_TRIAL_DIVISOR: usize = 6;
/// Part of the workers that is left to other work while the service is mostly idle, as a divisor.
const IDLE_REST_DIVISOR: usize = 4;
/// Number of steps for each worker kept for trials that may ask for advice.
const NEXT_TRIALS_PER_WORKER: usize = 3;
/// Number of steps with a ticket from which on no further step asks about a worker kept for trials.
pub(super) const TICKETS_PER_TRIAL_WORKER: usize = 3;
/// Maximum number of new jobs that wait for each worker that trials may use.
const MAX_WAITING_PER_WORKER: usize = 1;
/// Time for which a free worker waits for the advice about repeated trials, in milliseconds.
const MAX_ADVICE_WAIT_MS: u64 = 800;
/// Number of workers about which repeated trials ask at a time.
const MAX_REPEATED_WORKERS: usize = 2;
/// Minimum time between two starts of repeated trials, in milliseconds, in which further ones come
/// together.
const REPEATED_INTERVAL_MS: u64 = 1_000;
/// Interval at which tickets for the kept workers are counted, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 40;

/// Use of a service's workers for trials.
#[derive(Clone, Copy, Debug, Default)]
struct TrialUse {
    /// Workers that are listed.
    listed: usize,
    /// Workers on which a trial is starting, or was when they were lost.
    used: usize,
    /// Those of them that were lost.
    lost: usize,
    /// Whether less than half of the service is in use.
    is_idle: bool,
    /// Whether steps that are not on trial wait for room.
    is_contended: bool,
}

impl TrialUse {
    fn limit(&self, rank: TrialRank) -> usize {
        let limit = match rank {
            _ if self.is_idle && !self.is_contended => {
                self.listed - self.listed / IDLE_REST_DIVISOR
            }
            TrialRank::Suspect | TrialRank::LateJob if self.is_contended => {
                self.listed / LATE_TRIAL_DIVISOR
            }
            _ => self.listed / TRIAL_DIVISOR,
        };
        limit.max(1)
    }
}

/// Use of workers for trials during a pass, by service.
#[derive(Debug, Default)]
pub(super) struct TrialBudget(IndexMap<Rc<str>, TrialUse>);

impl TrialBudget {
    pub(super) fn of(
        workers: &IndexMap<Rc<str>, Worker>,
        reservations: &Reservations,
        contended: &IndexSet<Rc<str>>,
        now_ms: u64,
    ) -> Self {
        let mut uses: IndexMap<Rc<str>, TrialUse> = IndexMap::default();
        for worker in workers.values() {
            let of_service = uses.entry(Rc::clone(&worker.entry.service)).or_default();
            let is_used = worker.is_used_for_trial(now_ms);
            of_service.listed += usize::from(worker.listed);
            of_service.used += usize::from(is_used);
            of_service.lost += usize::from(is_used && worker.lost_contact.is_some());
        }
        for (service, of_service) in &mut uses {
            of_service.is_idle = reservations.is_idle(service);
            of_service.is_contended = contended.contains(service);
        }
        Self(uses)
    }

    /// Number of workers on which trials may start at a time.
    pub(super) fn limit(&self, service: &str, rank: TrialRank) -> usize {
        let of_service = self.0.get(service);
        of_service.map_or(0, |of_service| of_service.limit(rank))
    }

    /// The same beside those that are in use.
    pub(super) fn left(&self, service: &str, rank: TrialRank) -> usize {
        let left = |of_service: &TrialUse| of_service.limit(rank).saturating_sub(of_service.used);
        self.0.get(service).map_or(0, left)
    }

    /// Number of workers that may be kept for trials; lost ones count as used.
    fn keepable(&self, service: &str, rank: TrialRank) -> usize {
        let left = |of_service: &TrialUse| of_service.limit(rank).saturating_sub(of_service.lost);
        self.0.get(service).map_or(0, left)
    }

    pub(super) fn take(&mut self, service: &str, count: usize) {
        if let Some(of_service) = self.0.get_mut(service) {
            of_service.used += count;
        }
    }
}

/// A worker that is kept for trials.
#[derive(Clone, Copy, Debug, Default)]
struct Kept {
    /// Number of steps of [`TrialWorkers::next`] that have a ticket for it.
    tickets: usize,
    /// Since when it may take a trial, in milliseconds of the local clock.
    free_since_ms: Option<u64>,
}

/// Workers kept for trials.
#[derive(Debug, Default)]
pub(super) struct TrialWorkers {
    kept: IndexMap<Rc<str>, Kept>,
    /// Steps with tasks on trial whose turn is near.
    next: IndexSet<StepId>,
    /// Steps of which all waiting tasks are on trial.
    waiting: IndexSet<StepId>,
    /// Steps with repeated trials.
    repeated: IndexSet<StepId>,
    /// Workers on which the next repeated trials may start.
    repeated_workers: Vec<Rc<str>>,
    /// When tickets were last counted, in milliseconds of the local clock.
    counted_ms: u64,
    /// When repeated trials were last started, in milliseconds of the local clock.
    repeated_ms: u64,
}

impl TrialWorkers {
    /// Workers about which a step with tasks on trial is to ask for advice.
    pub(super) fn to_ask_about(
        &self,
        id: StepId,
        spec: &StepSpec,
        step: &Step,
        now_ms: u64,
    ) -> impl Iterator<Item = &Rc<str>> {
        let is_gang = spec.gang;
        let is_repeated = self.repeated.contains(&id);
        let may_ask = is_repeated || self.next.contains(&id);
        let is_wanted = move |name: &Rc<str>, kept: &Kept| {
            if is_repeated {
                self.repeated_workers.contains(name)
            } else {
                may_ask && (is_gang || kept.tickets < TICKETS_PER_TRIAL_WORKER)
            }
        };
        let needs_ticket = move |name: &Rc<str>| {
            !is_ruled_out(step, name) && !step.advice.has_ticket(name, now_ms)
        };
        let wanted = (self.kept.iter()).filter(move |(name, kept)| is_wanted(name, kept));
        wanted
            .map(|(name, _)| name)
            .filter(move |name| needs_ticket(name))
    }

    /// Steps with tasks on trial that may ask for advice. They ask about few workers, and these are
    /// kept idle meanwhile.
    pub(super) fn asking(&self) -> impl Iterator<Item = &StepId> {
        self.repeated.iter().chain(&self.next)
    }

    /// Whether all waiting tasks of a step are on trial.
    pub(super) fn contains_all_of(&self, id: StepId) -> bool {
        self.waiting.contains(&id)
    }

    /// Records that repeated trials were started.
    pub(super) fn record_repeated(&mut self, now_ms: u64) {
        self.repeated_ms = now_ms;
    }
}

/// Whether the advice service has denied a worker to a step.
fn is_ruled_out(step: &Step, worker: &Rc<str>) -> bool {
    step.advice.queried.contains_key(worker) && !step.advice.eligible.contains_key(worker)
}

impl Coordinator {
    /// Whether new jobs of a queue start on trial, and so many wait for it that most of them would
    /// lose their value.
    pub(crate) fn has_full_trial_queue(&self, queue: &str, workers: usize) -> bool {
        if !self.dangerous_queues.iter().any(|name| **name == *queue) {
            return false;
        }
        let waits = |job: &&Job| &*job.queue == queue && !job.started;
        let limit = (workers / TRIAL_DIVISOR).max(1);
        self.open_jobs().filter(waits).count() >= limit * MAX_WAITING_PER_WORKER
    }

    /// Updates the workers that are kept free for trials: one for each step that waits, up to the
    /// limit, the least used first.
    pub(super) fn keep_trial_workers(&mut self, trials: &[WaitingTrial], pass: &mut Pass) {
        let positions = self.choose_trial_workers(trials, pass);
        let mut kept: IndexMap<Rc<str>, Kept> = IndexMap::default();
        for position in positions {
            let Some((name, worker)) = self.workers.get_index(position) else {
                continue;
            };
            let mut state = self
                .trial_workers
                .kept
                .get(name)
                .copied()
                .unwrap_or_default();
            if worker.may_take_trial(pass.now_ms) {
                pass.free_trial_workers.push(position);
                state.free_since_ms.get_or_insert(pass.now_ms);
            } else {
                state.free_since_ms = None;
            }
            kept.insert(Rc::clone(name), state);
        }
        pass.reservations.for_trials = kept.keys().cloned().collect();
        self.trial_workers.kept = kept;
        self.trial_workers.waiting = trials
            .iter()
            .filter(|trial| !trial.has_others)
            .map(|trial| trial.step)
            .collect();
        let is_repeated = |trial: &&WaitingTrial| trial.kind == Trial::Repeated;
        self.trial_workers.repeated = trials
            .iter()
            .filter(is_repeated)
            .map(|trial| trial.step)
            .collect();
        let usable: IndexSet<Rc<str>> = self.workers_for_repeated_trials();
        self.choose_repeated_trial_workers(&usable);
        if pass.now_ms >= self.trial_workers.counted_ms + COUNT_INTERVAL_MS {
            self.trial_workers.counted_ms = pass.now_ms;
            self.count_trial_tickets(trials, pass.now_ms);
        }
        pass.repeated_trial_worker = self.choose_repeated_trial_worker(pass);
    }

    /// Kept workers that the advice service has not denied to all repeated trials.
    fn workers_for_repeated_trials(&self) -> IndexSet<Rc<str>> {
        let steps = self.trial_workers.repeated.iter();
        let steps: Vec<&Step> = steps
            .filter_map(|id| self.jobs.get(&id.job)?.step(*id))
            .collect();
        let may_be_used = |name: &&Rc<str>| steps.iter().any(|step| !is_ruled_out(step, name));
        let kept = self.trial_workers.kept.keys();
        kept.filter(may_be_used).cloned().collect()
    }

    /// Chooses the workers about which repeated trials ask: free ones of those that they may use. A
    /// chosen one remains so while it is kept.
    fn choose_repeated_trial_workers(&mut self, usable: &IndexSet<Rc<str>>) {
        let TrialWorkers {
            kept,
            repeated,
            repeated_workers,
            ..
        } = &mut self.trial_workers;
        if repeated.is_empty() {
            return repeated_workers.clear();
        }
        let is_free = |name: &Rc<str>| kept.get(name).is_some_and(|k| k.free_since_ms.is_some());
        repeated_workers.retain(|name| usable.contains(name));
        for name in usable.iter().filter(|name| is_free(name)) {
            if repeated_workers.len() < MAX_REPEATED_WORKERS && !repeated_workers.contains(name) {
                repeated_workers.push(Rc::clone(name));
            }
        }
    }

    /// Positions of the workers to keep.
    fn choose_trial_workers(&self, trials: &[WaitingTrial], pass: &Pass) -> Vec<usize> {
        if trials.is_empty() {
            return Vec::new();
        }
        let mut spare: Vec<(Reverse<bool>, u64, usize)> = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, (_, worker))| worker.is_usable(pass.now_ms) && worker.can_become_empty())
            .map(|(position, (name, worker))| {
                let is_kept = self.trial_workers.kept.contains_key(name);
                (Reverse(is_kept), worker.used.cpu_millicores, position)
            })
            .collect();
        spare.sort_unstable();
        let mut kept_of: IndexMap<Rc<str>, usize> = IndexMap::default();
        let mut kept = Vec::new();
        for trial in trials {
            let id = trial.step;
            let Some(job) = self.jobs.get(&id.job) else {
                continue;
            };
            let (Some(spec), Some(step)) = (job.step_spec(id.step), job.step(id)) else {
                continue;
            };
            let service = service_of(&self.config, job);
            let kept_count = kept_of.entry(Rc::clone(&service)).or_default();
            let keepable = pass.trial_budget.keepable(&service, trial.rank);
            let mut left = keepable.saturating_sub(*kept_count);
            let mut missing = if spec.gang { u64::from(spec.count) } else { 1 };
            spare.retain(|&(.., position)| {
                if left == 0 || missing == 0 {
                    return true;
                }
                let worker = &self.workers[position];
                if !is_suitable(worker, &service, spec, step) {
                    return true;
                }
                let per_worker = u64::from(tasks_on_empty(worker, spec));
                missing = missing.saturating_sub(per_worker);
                left -= 1;
                *kept_count += 1;
                kept.push(position);
                false
            });
        }
        kept
    }

    /// Whether enough workers for a step's trials can become free within the budget: for one task, or for
    /// all of a gang.
    pub(super) fn can_start_apart(&self, trial: &WaitingTrial, pass: &Pass) -> bool {
        let Some((job, spec, step)) = self.step_of(trial.step) else {
            return false;
        };
        let service = service_of(&self.config, job);
        let mut slots: Vec<u32> = self
            .empty_workers(&service, spec, step)
            .map(|worker| tasks_on_empty(worker, spec))
            .collect();
        slots.sort_unstable_by_key(|&slots| Reverse(slots));
        let limit = pass.trial_budget.limit(&service, trial.rank);
        let slots: u32 = slots.into_iter().take(limit).sum();
        let trials = job.split_waiting(step).0.len();
        let needed = if spec.gang { trials as u32 } else { 1 };
        slots >= needed
    }

    /// Whether a step's trials can start together on one worker. Tasks of a step that is no gang need
    /// not.
    pub(super) fn fits_one_worker(&self, id: StepId, trials: usize) -> bool {
        let Some((job, spec, step)) = self.step_of(id) else {
            return false;
        };
        let service = service_of(&self.config, job);
        let mut workers = self.empty_workers(&service, spec, step);
        !spec.gang || workers.any(|worker| tasks_on_empty(worker, spec) as usize >= trials)
    }

    fn step_of(&self, id: StepId) -> Option<(&Job, &StepSpec, &Step)> {
        let job = self.jobs.get(&id.job)?;
        Some((job, job.step_spec(id.step)?, job.step(id)?))
    }

    /// Workers that a step may use, and that become empty once the runs that end by themselves have
    /// ended.
    fn empty_workers<'a>(
        &'a self,
        service: &'a str,
        spec: &'a StepSpec,
        step: &'a Step,
    ) -> impl Iterator<Item = &'a Worker> {
        let is_usable =
            |worker: &&Worker| worker.listed && !worker.entry.draining && worker.can_become_empty();
        let workers = self.workers.values().filter(is_usable);
        workers.filter(move |worker| is_suitable(worker, service, spec, step))
    }

    fn count_trial_tickets(&mut self, trials: &[WaitingTrial], now_ms: u64) {
        let next_count = self.trial_workers.kept.len() * NEXT_TRIALS_PER_WORKER;
        // Steps that may use none of the workers would keep others from asking about them.
        let may_use_any = |trial: &&WaitingTrial| {
            let job = self.jobs.get(&trial.step.job);
            let step = job.and_then(|job| job.step(trial.step));
            let may_use = |name: &Rc<str>| step.is_some_and(|step| !is_ruled_out(step, name));
            self.trial_workers.kept.keys().any(may_use)
        };
        self.trial_workers.next = trials
            .iter()
            .filter(|trial| trial.kind == Trial::Alone)
            .filter(may_use_any)
            .map(|trial| trial.step)
            .take(next_count)
            .collect();
        for kept in self.trial_workers.kept.values_mut() {
            kept.tickets = 0;
        }
        for id in &self.trial_workers.next {
            let Some(job) = self.jobs.get(&id.job) else {
                continue;
            };
            // A gang may wait for further workers, and then makes no use of the ticket.
            let is_gang = job.step_spec(id.step).is_some_and(|spec| spec.gang);
            let Some(step) = job.step(*id).filter(|_| !is_gang) else {
                continue;
            };
            for name in step.advice.eligible.keys() {
                if let Some(kept) = self.trial_workers.kept.get_mut(name)
                    && step.advice.has_ticket(name, now_ms)
                {
                    kept.tickets += 1;
                }
            }
        }
    }

    /// Position of the worker on which repeated trials start in this pass: the one that most of them
    /// may use, once the advice about it is known.
    fn choose_repeated_trial_worker(&self, pass: &Pass) -> Option<usize> {
        let repeated = &self.trial_workers.repeated;
        if repeated.is_empty()
            || pass.now_ms < self.trial_workers.repeated_ms + REPEATED_INTERVAL_MS
        {
            return None;
        }
        let steps: Vec<(&Step, bool)> = repeated
            .iter()
            .filter_map(|id| {
                let job = self.jobs.get(&id.job)?;
                let queue = self.config.queues.get(&job.queue);
                let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
                Some((job.step(*id)?, needs_ticket))
            })
            .collect();
        let usable_by = |position: &usize| {
            let (name, _) = self.workers.get_index(*position)?;
            let is_chosen = self.trial_workers.repeated_workers.contains(name);
            let free_since_ms = self.trial_workers.kept.get(name)?.free_since_ms?;
            let is_answered = |(step, needs_ticket): &(&Step, bool)| {
                !needs_ticket || step.advice.queried.contains_key(name)
            };
            let is_known =
                pass.now_ms >= free_since_ms + MAX_ADVICE_WAIT_MS || steps.iter().all(is_answered);
            let may_use = |(step, needs_ticket): &&(&Step, bool)| {
                !needs_ticket || step.advice.has_ticket(name, pass.now_ms)
            };
            (is_known && is_chosen).then(|| steps.iter().filter(may_use).count())
        };
        pass.free_trial_workers
            .iter()
            .copied()
            .max_by_key(|position| usable_by(position).unwrap_or(0))
            .filter(|position| usable_by(position).unwrap_or(0) > 0)
    }

    /// Records that a step could not be started, unless all its waiting tasks are on trial.
    pub(super) fn record_contention(&mut self, id: StepId) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let others = job.step(id).map(|step| job.split_waiting(step).1);
        if others.is_some_and(|others| !others.is_empty()) {
            let service = service_of(&self.config, job);
            self.contended_services.insert(service);
        }
    }
}

/// Whether a step could run on a worker once the runs there have ended.
fn is_suitable(worker: &Worker, service: &str, spec: &StepSpec, step: &Step) -> bool {
    *worker.entry.service == *service
        && has_label(worker, spec)
        && !is_ruled_out(step, &worker.entry.id)
        && (worker.entry.capacity).fits(&worker.permanently_used(), &resources_of(spec))
}

/// Number of a step's tasks that fit on a worker without runs.
fn tasks_on_empty(worker: &Worker, spec: &StepSpec) -> u32 {
    let limit = match spec.max_per_worker {
        0 => spec.count,
        limit => limit.min(spec.count),
    };
    let empty = Candidate {
        worker: 0,
        capacity: worker.entry.capacity,
        used: Resources::default(),
        best_effort_millicores: 0,
        rack: "",
        task_limit: limit,
        pace_percent: worker.pace_percent(),
    };
    empty.fitting_tasks(&resources_of(spec), limit)
}
