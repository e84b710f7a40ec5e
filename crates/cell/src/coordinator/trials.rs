//! Starts tasks that may crash their workers where little is at stake.
//!
//! A task runs on trial if it is suspected of a crash, or if it has never started and its job came
//! while new jobs of its queue crashed workers (see [`super::crashes`]). The following holds for
//! trials:
//!
//! - no other job's task starts on the worker until the run has survived its start, so that a crash
//!   tells which job is its cause. The other members of a gang start there only if there is no room
//!   elsewhere. Repeated trials, whose tasks have crashed a worker that way, start together on one
//!   worker: one more crash settles all of them;
//! - the worker has no other run that could be lost, as long as such a worker can be had in time (see
//!   [`super::trial_workers`]). A trial that has waited for too long, or for workers that can't become
//!   free, takes any worker with room, and a job that is too late to have value may follow others that
//!   have just survived a trial;
//! - suspects of queues that are not dangerous come first, since most of them are innocent, then new
//!   jobs, the latest of them before older ones: more of them can still meet their objectives.

use std::cmp::Reverse;

use super::{
    Coordinator, Order,
    candidates::{TrialRoom, WaitingStep, service_of},
    job::{Job, Step, Task, demand_of, resources_of},
    pass::{Pass, Urgency},
};
use crate::{
    contact::Trial,
    ids::StepId,
    objective::MAX_LATENESS,
    pace_choice::PaceChoice,
    placement::{self, Candidate, Request},
};

/// Time after which a trial no longer waits for a worker without other runs if its service is mostly
/// idle, its task lasts until its job is cancelled, or no such worker can become free, in milliseconds.
const IDLE_PATIENCE_MS: u64 = 1_000;
/// The same in a busy service, in milliseconds. Jobs of a dangerous queue wait for as long as such a
/// worker can become free, since most of the tasks that are left crash their workers.
const BUSY_PATIENCE_MS: u64 = 8_000;
/// Maximum number of trials in a pass for which all workers are examined.
const MAX_SCANS_PER_PASS: usize = 16;

/// Which tasks on trial come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TrialRank {
    /// Suspects of a queue whose new jobs do not crash workers.
    SafeQueue,
    /// Jobs that have not started and whose results have value.
    NewJob,
    /// Suspects of a dangerous queue.
    Suspect,
    /// Jobs that have not started and whose results have lost their value.
    LateJob,
}

/// A step with waiting tasks on trial, in the order in which they are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingTrial {
    pub(super) rank: TrialRank,
    behind_shares: bool,
    lateness: u8,
    newest_first: Reverse<u64>,
    pub(super) step: StepId,
    pub(super) kind: Trial,
    /// Whether tasks of the step wait that are not on trial.
    pub(super) has_others: bool,
}

/// Tasks of a step that run on trial, and workers for these and the other members of their gang.
#[derive(Debug, Default)]
struct ChosenTrials {
    trials: Vec<u32>,
    /// Position of each task in the step, and that of its worker.
    chosen: Vec<(u32, usize)>,
}

impl Job {
    /// Whether a waiting task must run on trial.
    fn is_on_trial(&self, task: &Task) -> bool {
        task.crashes.is_suspect() || (self.on_trial && !task.has_started)
    }

    /// Positions of a step's waiting tasks that must run on trial, and of the others.
    pub(super) fn split_waiting(&self, step: &Step) -> (Vec<u32>, Vec<u32>) {
        if !self.on_trial && !self.has_crashes {
            return (Vec::new(), step.waiting().collect());
        }
        step.waiting()
            .partition(|&n| self.is_on_trial(&step.tasks[n as usize]))
    }
}

impl Coordinator {
    /// Starts tasks on trial before all others, and keeps workers free for those that wait.
    pub(super) fn start_trials(
        &mut self,
        ready_steps: &[Urgency],
        pass: &mut Pass,
        orders: &mut Vec<Order>,
    ) {
        let mut trials: Vec<WaitingTrial> = ready_steps
            .iter()
            .filter_map(|urgency| self.waiting_trial(urgency, pass))
            .collect();
        trials.sort_unstable();
        if pass.quota.is_active() {
            // No worker is kept free for a trial that its tenant's limit holds back.
            trials.retain(|trial| self.may_start_trial(trial.step, pass));
        }
        self.keep_trial_workers(&trials, pass);
        let mut scans_left = MAX_SCANS_PER_PASS;
        for trial in &trials {
            self.start_step_on_trial(trial, pass, &mut scans_left, orders);
        }
    }

    /// The tasks on trial of a step, if there are any.
    fn waiting_trial(&self, urgency: &Urgency, pass: &Pass) -> Option<WaitingTrial> {
        let id = urgency.step;
        let job = self.jobs.get(&id.job)?;
        if !job.on_trial && !job.has_crashes {
            return None;
        }
        let step = job.step(id)?;
        let (trials, others) = job.split_waiting(step);
        if trials.is_empty() {
            return None;
        }
        let crashes = |n: &u32| &step.tasks[*n as usize].crashes;
        let is_suspected = trials.iter().any(|n| crashes(n).is_suspect());
        let is_repeated = trials.iter().all(|n| !crashes(n).conclusive.is_empty());
        let waits_for_others = || {
            let is_idle = pass.reservations.is_idle(&service_of(&self.config, job));
            !is_idle || trial_waited_ms(step, pass.now_ms) < IDLE_PATIENCE_MS
        };
        let rank = match (self.is_dangerous(job), is_suspected) {
            (false, _) => TrialRank::SafeQueue,
            (true, true) => TrialRank::Suspect,
            (true, false) if urgency.lateness == MAX_LATENESS => TrialRank::LateJob,
            (true, false) => TrialRank::NewJob,
        };
        Some(WaitingTrial {
            rank,
            behind_shares: urgency.behind_shares,
            lateness: urgency.lateness,
            newest_first: Reverse(urgency.accepted_unix_ms),
            step: id,
            kind: if is_repeated && waits_for_others() && self.fits_one_worker(id, trials.len()) {
                Trial::Repeated
            } else {
                Trial::Alone
            },
            has_others: !others.is_empty(),
        })
    }

    /// Whether a job came while new jobs of its queue crashed workers.
    fn is_dangerous(&self, job: &Job) -> bool {
        job.on_trial || self.dangerous_queues.contains(&job.queue)
    }

    /// Starts a step's tasks on trial, of a gang all members.
    fn start_step_on_trial(
        &mut self,
        trial: &WaitingTrial,
        pass: &mut Pass,
        scans_left: &mut usize,
        orders: &mut Vec<Order>,
    ) {
        let id = trial.step;
        let Some(ChosenTrials { trials, chosen }) = self.choose_for_trial(trial, pass, scans_left)
        else {
            return;
        };
        let Some(step) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) else {
            return;
        };
        if chosen.is_empty() {
            step.trial_waiting_since_ms.get_or_insert(pass.now_ms);
            return;
        }
        step.trial_waiting_since_ms = None;
        step.waiting_since_ms = None;
        let mut used: Vec<usize> = chosen
            .iter()
            .filter(|(index, _)| trials.contains(index))
            .map(|&(_, position)| position)
            .collect();
        used.sort_unstable();
        used.dedup();
        if let Some((_, worker)) = used.first().and_then(|&n| self.workers.get_index(n)) {
            pass.trial_budget.take(&worker.entry.service, used.len());
        }
        match trial.kind {
            Trial::Alone => pass.free_trial_workers.retain(|n| !used.contains(n)),
            Trial::Repeated => self.trial_workers.record_repeated(pass.now_ms),
        }
        self.charge_started(id, chosen.len(), pass);
        let trials: Vec<_> = trials.into_iter().map(|n| (n, trial.kind)).collect();
        self.order_runs(id, &chosen, &trials, pass.now_ms, orders);
    }

    /// Chooses workers for a step's tasks on trial, and for the other members of their gang. `None`
    /// if nothing can be started yet.
    fn choose_for_trial(
        &self,
        trial: &WaitingTrial,
        pass: &Pass,
        scans_left: &mut usize,
    ) -> Option<ChosenTrials> {
        let id = trial.step;
        let job = self.jobs.get(&id.job)?;
        let spec = job.step_spec(id.step)?;
        let step = job.step(id)?;
        let service = service_of(&self.config, job);
        let waited_ms = trial_waited_ms(step, pass.now_ms);
        let is_short = pass.reservations.is_idle(&service)
            || spec.long_running
            || !self.can_start_apart(trial, pass);
        let patience_ms = match (is_short, self.is_dangerous(job)) {
            (true, _) => Some(IDLE_PATIENCE_MS),
            (false, false) => Some(BUSY_PATIENCE_MS),
            (false, true) => None,
        };
        let is_patient = patience_ms.is_none_or(|patience_ms| waited_ms < patience_ms);
        let budget = pass.trial_budget.left(&service, trial.rank);
        let may_scan = !is_patient && trial.kind == Trial::Alone && *scans_left > 0;
        if budget == 0 || (pass.free_trial_workers.is_empty() && !may_scan) {
            return Some(ChosenTrials::default());
        }
        let (mut trials, others) = job.split_waiting(step);
        let waiting_count = trials.len() + others.len();
        if spec.gang && waiting_count < step.tasks.len() - step.done_count as usize {
            return None;
        }
        // A task that is bound to a worker can't start apart from what runs there.
        let is_bound = |n: &u32| step.tasks[*n as usize].bound_to.is_some();
        if spec.gang && trials.iter().chain(&others).any(is_bound) {
            return None;
        }
        trials.retain(|n| !is_bound(n));
        let allowed = pass.quota.fitting_tasks(&job.tenant, &resources_of(spec)) as usize;
        if spec.gang && allowed < trials.len() + others.len() {
            return Some(ChosenTrials::default());
        }
        trials.truncate(allowed);
        if trials.is_empty() {
            return None;
        }
        let is_suspect = |n: &u32| step.tasks[*n as usize].crashes.is_suspect();
        if !self.is_durable(id.job) && trials.iter().any(is_suspect) {
            return None;
        }
        let queue = self.config.queues.get(&job.queue);
        let waiting_step = WaitingStep::new(id, spec, &service, queue.map(AsRef::as_ref), &trials);
        let all = || 0..self.workers.len();
        let room = match trial.kind {
            Trial::Repeated => TrialRoom::Repeated,
            Trial::Alone if trial.lateness == MAX_LATENESS => TrialRoom::SurvivedTrials,
            Trial::Alone => TrialRoom::Empty,
        };
        let free = pass.free_trial_workers.iter().copied().filter(|position| {
            trial.kind == Trial::Alone || pass.repeated_trial_worker == Some(*position)
        });
        let mut candidates =
            waiting_step.trial_candidates(&self.workers, free, step, pass.now_ms, room);
        if may_scan && (candidates.is_empty() || spec.gang) {
            *scans_left -= 1;
            let room = TrialRoom::Any;
            candidates =
                waiting_step.trial_candidates(&self.workers, all(), step, pass.now_ms, room);
        }
        // A gang that needs more workers than the budget allows would never start.
        if is_patient || !spec.gang {
            candidates.sort_by_key(|candidate| candidate.used.cpu_millicores);
            candidates.truncate(budget);
        }
        let request = Request {
            demand: demand_of(spec),
            count: trials.len() as u32,
            all_or_nothing: spec.gang,
            same_rack: spec.same_rack,
            affinity_rack: &spec.affinity_rack,
            pace: PaceChoice::Any,
        };
        let placed = placement::place(&request, &mut candidates);
        let mut chosen: Vec<(u32, usize)> = trials.iter().copied().zip(placed).collect();
        if spec.gang && !others.is_empty() && !chosen.is_empty() {
            let waiting_step = WaitingStep {
                waiting: &others,
                ..waiting_step
            };
            let room = TrialRoom::Any;
            let candidates =
                waiting_step.trial_candidates(&self.workers, all(), step, pass.now_ms, room);
            let request = Request {
                count: others.len() as u32,
                ..request
            };
            let placed = place_beside_trials(&request, &chosen, candidates);
            if placed.is_empty() {
                chosen.clear();
            }
            chosen.extend(others.into_iter().zip(placed));
        }
        Some(ChosenTrials { trials, chosen })
    }
}

/// Places the members of a gang that are not on trial: on other workers than those that are, or if these
/// have too little room, beside them. A crash breaks the whole gang in any case, and still tells which
/// job is its cause.
fn place_beside_trials(
    request: &Request<'_>,
    trials: &[(u32, usize)],
    mut candidates: Vec<Candidate<'_>>,
) -> Vec<usize> {
    let trials_on = |worker: usize| trials.iter().filter(|(_, on)| *on == worker).count();
    let is_apart = |candidate: &&Candidate<'_>| trials_on(candidate.worker) == 0;
    let mut apart: Vec<Candidate<'_>> = candidates.iter().filter(is_apart).cloned().collect();
    let placed = placement::place(request, &mut apart);
    if !placed.is_empty() {
        return placed;
    }
    for candidate in &mut candidates {
        for _ in 0..trials_on(candidate.worker) {
            candidate.take(&request.demand);
        }
    }
    placement::place(request, &mut candidates)
}

/// How long a step's tasks on trial have waited for a worker, in milliseconds.
fn trial_waited_ms(step: &Step, now_ms: u64) -> u64 {
    step.trial_waiting_since_ms
        .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
}
