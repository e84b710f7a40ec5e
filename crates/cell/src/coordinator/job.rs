//! In-memory state of a job: its occurrences, steps and tasks.

use std::rc::Rc;

use super::{crashes::CrashHistory, placement_wait::PlacementWait};
use crate::{
    collections::{IndexMap, IndexSet},
    config::Queue,
    footprint,
    ids::{JobId, StepId, TaskId},
    jobs::{JobRecord, JobSpec, JobState, Outcome, StepSpec},
    objective,
    progress::StepPace,
    quota,
    worker_pace::StepDurations,
    workers::{Demand, Resources},
};

/// Permission of the advice service to run a step's tasks on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Opaque text to present to the worker.
    pub text: Rc<str>,
    /// Expiry of the ticket, in milliseconds of the local clock.
    pub expires_ms: u64,
    /// When it has expired on the slowest worker's clock too, in milliseconds of the local clock.
    pub void_ms: u64,
}

/// Answers of the advice service for a step.
#[derive(Debug, Default)]
pub struct Advice {
    /// Workers that may run the step, with the latest ticket for each.
    pub eligible: IndexMap<Rc<str>, Ticket>,
    /// Workers that were named in an answered query.
    pub queried: IndexMap<Rc<str>, ()>,
    /// Whether a query is waiting for its answer.
    pub in_flight: bool,
    /// Time before which no query is sent, in milliseconds of the local clock.
    pub not_before_ms: u64,
}

/// Minimum remaining lifetime of a ticket when an order to start is sent, in milliseconds: covers
/// the delivery of the order and the age of the answer that contained the ticket.
const MIN_TICKET_LIFETIME_MS: u64 = 200;

impl Advice {
    /// Whether there is a ticket for a worker that is valid for long enough.
    pub fn has_ticket(&self, worker: &str, now_ms: u64) -> bool {
        let ticket = self.eligible.get(worker);
        ticket.is_some_and(|ticket| ticket.expires_ms > now_ms + MIN_TICKET_LIFETIME_MS)
    }
}

/// The run of a task that is active, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Identifier of the worker that it was placed on.
    pub worker: Rc<str>,
    /// Run number, unique within the task.
    pub run: u64,
}

/// A failed run, by its task or its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Identifier of the worker.
    pub worker: Rc<str>,
    /// When the end was reported, in milliseconds of the local clock.
    pub at_ms: u64,
}

/// State of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether the task has completed.
    pub done: bool,
    /// Numbers of the runs that failed. A successor receives unacknowledged ends again, in any
    /// order, and must count each of them once.
    pub failed_runs: Vec<u64>,
    /// Highest run number assigned so far.
    pub last_run: u64,
    /// Checkpoint from which a later run can resume; empty for none.
    pub checkpoint: String,
    /// Active run, if any.
    pub active: Option<ActiveRun>,
    /// The only worker on which the task may start, because an order without a response may still
    /// take effect there.
    pub bound_to: Option<Rc<str>>,
    /// Number of runs that were stopped as hung.
    pub hung_runs: u32,
    /// Number of runs that were stopped for more urgent work.
    pub preemptions: u32,
    /// The last failed run.
    pub last_failure: Option<Failure>,
    /// Workers that crashed under the task.
    pub crashes: CrashHistory,
    /// Whether a worker has started the task.
    pub has_started: bool,
}

/// State of a step within one occurrence.
#[derive(Debug)]
pub struct Step {
    /// Tasks, by position.
    pub tasks: Vec<Task>,
    /// Number of completed tasks.
    pub done_count: u32,
    /// Answers of the advice service about the workers that may run the step.
    pub advice: Advice,
    /// Time at which the current run of its gang was ordered, in milliseconds of the local clock;
    /// absent once its start has been checked or it was stopped.
    pub gang_ordered_ms: Option<u64>,
    /// Task durations on the fastest workers.
    pub pace: StepPace,
    /// Task durations without the effect of the workers' paces.
    pub durations: StepDurations,
    /// When the waiting tasks were first denied a worker with room because another one is
    /// preferred, in milliseconds of the local clock; absent once any of them was placed.
    pub passed_over_since_ms: Option<u64>,
    /// When the waiting tasks were first found no worker, in milliseconds of the local clock; absent
    /// once any of them was placed.
    pub waiting_since_ms: Option<u64>,
    /// When the tasks on trial were first found no worker, in milliseconds of the local clock;
    /// absent once any of them was placed.
    pub trial_waiting_since_ms: Option<u64>,
    /// Wait of its tasks for a better placement, if they could start on another one.
    pub placement_wait: Option<PlacementWait>,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); spec.count as usize],
            done_count: 0,
            advice: Advice::default(),
            gang_ordered_ms: None,
            pace: StepPace::default(),
            durations: StepDurations::default(),
            passed_over_since_ms: None,
            waiting_since_ms: None,
            trial_waiting_since_ms: None,
            placement_wait: None,
        }
    }

    /// Whether all tasks have completed.
    pub fn is_done(&self) -> bool {
        self.done_count as usize == self.tasks.len()
    }

    /// The last failed run of each of the given tasks.
    pub fn failures(&self, tasks: impl Iterator<Item = u32>) -> Vec<&Failure> {
        tasks
            .filter_map(|n| self.tasks.get(n as usize)?.last_failure.as_ref())
            .collect()
    }

    /// Highest number of counted failures among the given tasks. Those of a gang are counted on its
    /// first member.
    pub fn max_failed_runs(&self, tasks: impl Iterator<Item = u32>) -> usize {
        let failed_runs = |n: u32| {
            self.tasks
                .get(n as usize)
                .map_or(0, |t| t.failed_runs.len())
        };
        tasks.map(failed_runs).max().unwrap_or(0)
    }

    /// How long the waiting tasks have been passed over, in milliseconds.
    pub fn passed_over_ms(&self, now_ms: u64) -> u64 {
        self.passed_over_since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Positions of the tasks that are neither complete nor active.
    pub fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        let waits = |task: &Task| !task.done && task.active.is_none();
        self.tasks
            .iter()
            .enumerate()
            .filter(move |(_, t)| waits(t))
            .map(|(n, _)| n as u32)
    }
}

/// State of one occurrence of a job.
#[derive(Debug)]
pub struct Occurrence {
    /// Steps, by position.
    pub steps: Vec<Step>,
}

/// The coordinator's state of a job.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct Job {
    /// Identifier of the job.
    pub id: JobId,
    /// Name of the queue to which it was submitted.
    pub queue: Rc<str>,
    /// Service of that queue at the time of submission.
    pub service: Rc<str>,
    /// Tenant that submitted it; empty if none is known.
    pub tenant: Rc<str>,
    /// Whether it exceeds its tenant's share.
    pub over_share: bool,
    /// Time of acceptance, in Unix milliseconds; 0 if it was cancelled before that.
    pub accepted_unix_ms: u64,
    /// Specification; absent once the job has ended.
    pub spec: Option<Rc<JobSpec>>,
    /// Whether it was accepted before this coordinator took over.
    pub inherited: bool,
    /// Whether a task has started.
    pub started: bool,
    /// Whether its tasks start on trial, because new jobs of its queue crashed their workers.
    pub on_trial: bool,
    /// Whether a worker crashed under any of its tasks.
    pub has_crashes: bool,
    /// Outcome, whether or not it is durable.
    pub outcome: Outcome,
    /// Outcome that is durable and may be reported to clients.
    pub durable_outcome: Outcome,
    /// Time at which the job ended, in Unix milliseconds; 0 while it is open.
    pub ended_unix_ms: u64,
    /// Occurrences that have begun and are not complete, by number.
    pub occurrences: IndexMap<u32, Occurrence>,
    /// Number of the next occurrence to begin.
    pub next_occurrence: u32,
    /// Numbers of the occurrences whose tasks have all completed.
    pub finished_occurrences: IndexSet<u32>,
    /// Time by which a job that runs once must complete to meet its objective, in Unix
    /// milliseconds.
    pub objective_unix_ms: u64,
    /// Host that keeps the payload, as `ip:port`; empty if unknown.
    pub payload_host: Rc<str>,
    /// Time before which no task starts because the payload was unavailable, in milliseconds of the
    /// local clock.
    pub start_not_before_ms: u64,
    /// Estimated duration of the longest path from each step to the end of the job, including the step,
    /// in milliseconds.
    path_ms: Vec<u64>,
    /// Memory that it takes while no occurrence has begun, in bytes.
    base_bytes: u64,
    /// Memory that each begun occurrence takes, in bytes.
    occurrence_bytes: u64,
    /// Size that its record may reach while all goes well, in bytes.
    record_bytes: u64,
}

impl Job {
    /// Restores a job from its durable record. `queue` supplies the objective; it is `None` if the
    /// queue no longer exists. `limit` is that of the job's tenant, if it has one.
    pub fn new(
        record: &JobRecord,
        queue: Option<&Queue>,
        limit: Option<&Resources>,
        inherited: bool,
    ) -> Self {
        let spec = record.spec.clone().map(Rc::new);
        let critical_path_ms = spec
            .as_ref()
            .map_or(0, |spec| quota::critical_path_ms(spec, limit));
        let (critical_path_factor, base_objective_ms) =
            queue.map_or((1.0, 0), |q| (q.critical_path_factor, q.base_objective_ms));
        let allowed_ms =
            (critical_path_ms as f64 * critical_path_factor + base_objective_ms as f64) as u64;
        let spec_paths_ms = spec
            .as_ref()
            .map_or_else(Vec::new, |s| s.remaining_paths_ms());
        let mut job = Self {
            id: JobId(record.id),
            queue: record.queue.as_str().into(),
            service: record.service.as_str().into(),
            tenant: record.tenant.as_str().into(),
            over_share: record.over_share,
            accepted_unix_ms: record.accepted_unix_ms,
            spec,
            inherited,
            started: record.has_started(),
            on_trial: false,
            has_crashes: false,
            outcome: record.outcome(),
            durable_outcome: record.outcome(),
            ended_unix_ms: record.ended_unix_ms,
            occurrences: IndexMap::default(),
            next_occurrence: 0,
            finished_occurrences: record.finished_occurrences.iter().copied().collect(),
            objective_unix_ms: record.accepted_unix_ms.saturating_add(allowed_ms),
            payload_host: record.payload_host.as_str().into(),
            start_not_before_ms: 0,
            path_ms: spec_paths_ms,
            base_bytes: record.spec.as_ref().map_or(0, footprint::base_bytes),
            occurrence_bytes: record.spec.as_ref().map_or(0, footprint::occurrence_bytes),
            record_bytes: record.spec.as_ref().map_or(0, footprint::record_bytes),
        };
        job.restore_done(&record.done_tasks);
        job.restore_tasks(&record.tasks);
        job
    }

    /// Records that a worker has started a task.
    pub fn record_start(&mut self, id: TaskId) {
        self.started = true;
        if let Some(task) = self.task_mut(id) {
            task.has_started = true;
        }
    }

    /// The first task that matches.
    pub fn find_task(&self, matches: impl Fn(&Task) -> bool) -> Option<TaskId> {
        self.occurrences.iter().find_map(|(&occurrence, state)| {
            state.steps.iter().enumerate().find_map(|(step, state)| {
                let index = state.tasks.iter().position(&matches)?;
                let step = StepId {
                    job: self.id,
                    occurrence,
                    step: step as u32,
                };
                Some(TaskId {
                    step,
                    index: index as u32,
                })
            })
        })
    }

    /// Begins all occurrences of the job up to `last` that have neither begun nor completed.
    pub fn begin_through(&mut self, last: u32) {
        let Some(spec) = self.spec.clone() else {
            return;
        };
        let last = last.min(spec.occurrences.saturating_sub(1));
        while self.next_occurrence <= last {
            let number = self.next_occurrence;
            self.next_occurrence += 1;
            if self.finished_occurrences.contains(&number) {
                continue;
            }
            let steps = spec.steps.iter().map(Step::new).collect();
            self.occurrences.insert(number, Occurrence { steps });
        }
    }

    /// Memory that the job takes while it is open, in bytes.
    pub fn held_bytes(&self) -> u64 {
        let begun = self.occurrences.len() as u64;
        let occurrences_bytes = self.occurrence_bytes.saturating_mul(begun);
        self.base_bytes.saturating_add(occurrences_bytes)
    }

    /// Size that its record may reach while all goes well, in bytes.
    pub fn record_bytes(&self) -> u64 {
        self.record_bytes
    }

    /// Memory that a copy of its record takes, in bytes.
    pub fn record_memory_bytes(&self) -> u64 {
        self.base_bytes
    }

    /// Begins the occurrences that are due, further ones beside the first only within `room_bytes` of
    /// memory. Returns the due time of the next one, in Unix milliseconds.
    pub fn begin_due(&mut self, unix_ms: u64, room_bytes: u64) -> Option<u64> {
        if self.outcome != Outcome::Open {
            return None;
        }
        let spec = self.spec.clone()?;
        if spec.occurrences == 0 {
            self.begin_through(0);
            return None;
        }
        let mut room_left_bytes = room_bytes;
        while self.next_occurrence < spec.occurrences {
            let due_ms = self.due_unix_ms(self.next_occurrence);
            let has_room = self.occurrences.is_empty() || self.occurrence_bytes <= room_left_bytes;
            if due_ms > unix_ms || !has_room {
                return Some(due_ms);
            }
            room_left_bytes = room_left_bytes.saturating_sub(self.occurrence_bytes);
            self.begin_through(self.next_occurrence);
        }
        None
    }

    /// Time from which the objective of an occurrence is measured, in Unix milliseconds.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        match &self.spec {
            Some(spec) if spec.occurrences > 0 => {
                let after_ms = u64::from(occurrence).saturating_mul(spec.interval_ms);
                spec.first_due_unix_ms.saturating_add(after_ms)
            }
            _ => self.accepted_unix_ms,
        }
    }

    /// Mutable state of a step; `None` if its occurrence has not begun or is complete.
    pub fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        self.occurrences
            .get_mut(&id.occurrence)?
            .steps
            .get_mut(id.step as usize)
    }

    /// Mutable state of a task; `None` if its occurrence has not begun or is complete.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// Time that the job, or each occurrence of it, may take to meet its objective, in
    /// milliseconds.
    pub fn allowed_ms(&self) -> u64 {
        self.objective_unix_ms.saturating_sub(self.accepted_unix_ms)
    }

    /// Estimated duration of a step and of the longest path of steps that follow it, in milliseconds.
    pub fn remaining_path_ms(&self, step: u32) -> u64 {
        self.path_ms.get(step as usize).copied().unwrap_or(0)
    }

    /// Lateness of an occurrence that ends at `ends_unix_ms`, as in [`objective::lateness`].
    pub fn lateness(&self, occurrence: u32, ends_unix_ms: u64) -> u8 {
        let since_unix_ms = self.due_unix_ms(occurrence);
        objective::lateness(since_unix_ms, self.allowed_ms(), ends_unix_ms)
    }

    /// State of a step; `None` if its occurrence has not begun or is complete.
    pub fn step(&self, id: StepId) -> Option<&Step> {
        self.occurrences
            .get(&id.occurrence)?
            .steps
            .get(id.step as usize)
    }

    /// State of a task; `None` if its occurrence has not begun or is complete.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id.step)?.tasks.get(id.index as usize)
    }

    /// Stores a checkpoint of a task; the checkpoint of a gang member is valid for all members.
    pub fn store_checkpoint(&mut self, id: TaskId, checkpoint: &str) {
        let gang = self.step_spec(id.step.step).is_some_and(|spec| spec.gang);
        let Some(step) = self.step_mut(id.step) else {
            return;
        };
        for (index, task) in step.tasks.iter_mut().enumerate() {
            if (gang || index as u32 == id.index) && !task.done {
                task.checkpoint.replace_range(.., checkpoint);
            }
        }
    }

    /// Specification of a step; `None` once the job has ended.
    pub fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.spec.as_ref()?.steps.get(step as usize)
    }

    /// Whether all steps on which `step` depends are complete.
    pub fn is_ready(&self, occurrence: &Occurrence, step: u32) -> bool {
        let Some(spec) = self.step_spec(step) else {
            return false;
        };
        let done = |&n: &u32| occurrence.steps.get(n as usize).is_some_and(Step::is_done);
        spec.after.iter().all(done)
    }

    /// Occurrence and position of each step with waiting tasks whose dependencies are complete.
    pub fn ready_steps(&self) -> Vec<(u32, u32)> {
        let mut ready = Vec::new();
        for (&occurrence, state) in &self.occurrences {
            for (step, step_state) in state.steps.iter().enumerate() {
                let step = step as u32;
                let waits = !step_state.is_done() && step_state.waiting().next().is_some();
                if waits && self.is_ready(state, step) {
                    ready.push((occurrence, step));
                }
            }
        }
        ready
    }

    /// Whether any task has an active run.
    pub fn has_active_task(&self) -> bool {
        let steps = self.occurrences.values().flat_map(|o| &o.steps);
        steps
            .flat_map(|step| &step.tasks)
            .any(|task| task.active.is_some())
    }

    /// Estimated CPU time of the waiting tasks, in core-milliseconds.
    pub fn waiting_core_ms(&self) -> u64 {
        let Some(spec) = &self.spec else {
            return 0;
        };
        let waiting = |(spec, step): (&StepSpec, &Step)| {
            let task_ms = (step.waiting().count() as u64).saturating_mul(spec.estimate_ms);
            spec.reserved_millicores().saturating_mul(task_ms) / 1000
        };
        self.occurrences
            .values()
            .flat_map(|occurrence| spec.steps.iter().zip(&occurrence.steps))
            .map(waiting)
            .fold(0, u64::saturating_add)
    }

    /// Resources of the waiting tasks, each times its estimated duration in milliseconds.
    pub fn waiting_resource_ms(&self) -> Resources {
        let mut sum = Resources::default();
        let specs = self.spec.iter().flat_map(|spec| &spec.steps);
        for (number, spec) in specs.enumerate().filter(|(_, spec)| !spec.long_running) {
            let steps = self.occurrences.values();
            let steps = steps.filter_map(|occurrence| occurrence.steps.get(number));
            let waiting: usize = steps.map(|step| step.waiting().count()).sum();
            let task_ms = (waiting as u64).saturating_mul(spec.estimate_ms);
            sum.add(&Resources {
                cpu_millicores: spec.reserved_millicores().saturating_mul(task_ms),
                memory_mb: spec.memory_mb.saturating_mul(task_ms),
                gpus: spec.gpus.saturating_mul(task_ms),
            });
        }
        sum
    }

    /// The job state to report to clients; only durable outcomes are reported. `None` if the job was
    /// never accepted.
    pub fn state(&self) -> Option<JobState> {
        let state = match self.durable_outcome {
            Outcome::Completed => JobState::Completed,
            Outcome::Failed => JobState::Failed,
            Outcome::Cancelled => JobState::Cancelled,
            Outcome::Open if self.started => JobState::Running,
            Outcome::Open => JobState::Queued,
        };
        self.was_accepted().then_some(state)
    }

    /// Whether the job was accepted before it ended.
    pub fn was_accepted(&self) -> bool {
        self.accepted_unix_ms != 0
    }

    /// Closes completed occurrences, and the job after the last one.
    pub fn close_completed(&mut self, unix_ms: u64) {
        let finished_now: Vec<u32> = self
            .occurrences
            .iter()
            .filter(|(_, occurrence)| occurrence.steps.iter().all(Step::is_done))
            .map(|(&number, _)| number)
            .collect();
        for number in finished_now {
            self.occurrences.shift_remove(&number);
            self.finished_occurrences.insert(number);
        }
        let total = self.spec.as_ref().map_or(1, |spec| spec.occurrences.max(1));
        if self.outcome == Outcome::Open && self.finished_occurrences.len() as u32 >= total {
            self.end(Outcome::Completed, unix_ms);
        }
    }

    /// Ends the job and discards the state of its tasks.
    pub fn end(&mut self, outcome: Outcome, unix_ms: u64) {
        self.outcome = outcome;
        self.ended_unix_ms = unix_ms;
        self.occurrences = IndexMap::default();
        self.path_ms = Vec::new();
        self.spec = None;
    }
}

/// Resources that each task of a step occupies on a worker.
pub fn resources_of(spec: &StepSpec) -> Resources {
    spec.resources()
}

/// Resources that each task of a step requires, including idle CPU for a best-effort task.
pub fn demand_of(spec: &StepSpec) -> Demand {
    Demand {
        resources: resources_of(spec),
        best_effort_millicores: spec.cpu_millicores - spec.reserved_millicores(),
        long_running: spec.long_running,
    }
}
