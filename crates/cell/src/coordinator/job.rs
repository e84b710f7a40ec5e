//! A job while it is open: its occurrences, steps and tasks.

use std::rc::Rc;

use indexmap::IndexMap;

use crate::{
    config::Queue,
    ids::{JobId, StepId, TaskId},
    jobs::{DoneTasks, JobRecord, JobSpec, JobState, Outcome, StepSpec, TaskRecord},
    progress::StepPace,
    workers::{Need, Room},
};

/// Permission to run a step's tasks on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// What the worker is shown.
    pub text: Rc<str>,
    /// When it can no longer be used, in milliseconds of our clock.
    pub expires_ms: u64,
}

/// What is known of the workers that may run a step.
#[derive(Debug, Default)]
pub struct Advice {
    /// Workers that may run the step, with the newest ticket for each.
    pub good: IndexMap<Rc<str>, Ticket>,
    /// Workers that were named in an answered question.
    pub asked: IndexMap<Rc<str>, ()>,
    /// A question is waiting for its answer.
    pub in_flight: bool,
    /// No question before this time, in milliseconds of our clock.
    pub not_before_ms: u64,
}

/// Time that a ticket must still be good for when a start is sent, in milliseconds: the order's
/// way to the worker and the age of the answer that brought the ticket.
const TICKET_MARGIN_MS: u64 = 200;

impl Advice {
    /// Whether there is a ticket for a worker that can still be used.
    pub fn has_ticket(&self, worker: &str, now_ms: u64) -> bool {
        let ticket = self.good.get(worker);
        ticket.is_some_and(|ticket| ticket.expires_ms > now_ms + TICKET_MARGIN_MS)
    }
}

/// A run of a task that has not been seen to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Where it runs.
    pub worker: Rc<str>,
    /// Its number.
    pub run: u64,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// It has ended as done.
    pub done: bool,
    /// Numbers of the runs that ended as failed. A successor sees ends again that were not
    /// acknowledged, in any order, and must count each once.
    pub failed_runs: Vec<u64>,
    /// The highest run number that was used.
    pub last_run: u64,
    /// Progress that a later run can resume from; empty for none.
    pub checkpoint: String,
    /// The run that has not ended.
    pub active: Option<ActiveRun>,
    /// How often a run of it was taken for hung.
    pub hung_stops: u32,
    /// Where it failed last.
    pub failed_on: Option<Rc<str>>,
}

/// One step of one occurrence.
#[derive(Debug)]
pub struct Step {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// How many tasks are done.
    pub done_count: u32,
    /// Which workers may run it.
    pub advice: Advice,
    /// When the runs of its gang were ordered, in milliseconds of our clock.
    pub gang_ordered_ms: Option<u64>,
    /// How fast its tasks are done.
    pub pace: StepPace,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); spec.count as usize],
            done_count: 0,
            advice: Advice::default(),
            gang_ordered_ms: None,
            pace: StepPace::default(),
        }
    }

    /// All tasks are done.
    pub fn is_done(&self) -> bool {
        self.done_count as usize == self.tasks.len()
    }

    /// Positions of the tasks that wait for a run.
    pub fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        let waits = |task: &Task| !task.done && task.active.is_none();
        self.tasks
            .iter()
            .enumerate()
            .filter(move |(_, t)| waits(t))
            .map(|(n, _)| n as u32)
    }
}

/// One time that a job's steps run.
#[derive(Debug)]
pub struct Occurrence {
    /// The steps.
    pub steps: Vec<Step>,
}

/// A job, as the coordinator knows it.
#[derive(Debug)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// The queue that it was handed in at.
    pub queue: Rc<str>,
    /// The service whose workers run it.
    pub service: Rc<str>,
    /// When it was accepted, in Unix milliseconds.
    pub accepted_unix_ms: u64,
    /// What the client asked for; absent once it has ended and nothing of it runs.
    pub spec: Option<Rc<JobSpec>>,
    /// It was accepted before this coordinator took over.
    pub inherited: bool,
    /// A task has started.
    pub started: bool,
    /// How it ended, durable or not.
    pub outcome: Outcome,
    /// How it ended, as far as that is durable.
    pub durable_outcome: Outcome,
    /// When it ended, in Unix milliseconds.
    pub ended_unix_ms: u64,
    /// Occurrences that have begun and are not finished.
    pub occurrences: IndexMap<u32, Occurrence>,
    /// The next occurrence to begin.
    pub next_occurrence: u32,
    /// Occurrences of which all tasks are done.
    pub finished_occurrences: Vec<u32>,
    /// When it must be done to count in full, in Unix milliseconds.
    pub objective_unix_ms: u64,
    /// Which host has its text at hand, as `ip:port`; empty where that is not known.
    pub home: Rc<str>,
    /// Its text could not be had; nothing of it starts before this time, in milliseconds of our clock.
    pub start_not_before_ms: u64,
}

impl Job {
    /// A job from its durable record.
    pub fn new(record: &JobRecord, queue: Option<&Queue>, inherited: bool) -> Self {
        let spec = record.spec.clone().map(Rc::new);
        let chain_ms = spec.as_ref().map_or(0, |spec| spec.longest_chain_ms());
        let (stretch, target_ms) = queue.map_or((1.0, 0), |q| (q.stretch, q.target_ms));
        let allowed_ms = (chain_ms as f64 * stretch) as u64 + target_ms;
        let mut job = Self {
            id: JobId(record.id),
            queue: record.queue.as_str().into(),
            service: record.service.as_str().into(),
            accepted_unix_ms: record.accepted_unix_ms,
            spec,
            inherited,
            started: record.has_started(),
            outcome: record.outcome(),
            durable_outcome: record.outcome(),
            ended_unix_ms: record.ended_unix_ms,
            occurrences: IndexMap::new(),
            next_occurrence: 0,
            finished_occurrences: record.finished_occurrences.clone(),
            objective_unix_ms: record.accepted_unix_ms + allowed_ms,
            home: record.home.as_str().into(),
            start_not_before_ms: 0,
        };
        job.restore_done(&record.done_tasks);
        job.restore_tasks(&record.tasks);
        job
    }

    fn restore_done(&mut self, steps: &[DoneTasks]) {
        for record in steps {
            self.begin_through(record.occurrence);
            let id = StepId {
                job: self.id,
                occurrence: record.occurrence,
                step: record.step,
            };
            let Some(step) = self.step_mut(id) else {
                continue;
            };
            for position in record.positions() {
                if let Some(task) = step.tasks.get_mut(position as usize) {
                    task.done = true;
                    step.done_count += 1;
                }
            }
        }
    }

    fn restore_tasks(&mut self, tasks: &[TaskRecord]) {
        for record in tasks {
            self.begin_through(record.occurrence);
            let id = TaskId {
                step: StepId {
                    job: self.id,
                    occurrence: record.occurrence,
                    step: record.step,
                },
                index: record.index,
            };
            let Some(task) = self.task_mut(id) else {
                continue;
            };
            task.failed_runs.clone_from(&record.failed_runs);
            task.last_run = record.last_run;
            task.checkpoint.clone_from(&record.checkpoint);
        }
    }

    /// Begins all occurrences up to `last` that have neither begun nor finished.
    pub fn begin_through(&mut self, last: u32) {
        let Some(spec) = self.spec.clone() else {
            return;
        };
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

    /// Begins the occurrences that are due; returns when the next one is, in Unix milliseconds.
    pub fn begin_due(&mut self, unix_ms: u64) -> Option<u64> {
        if self.outcome != Outcome::Open {
            return None;
        }
        let spec = self.spec.clone()?;
        if spec.occurrences == 0 {
            self.begin_through(0);
            return None;
        }
        while self.next_occurrence < spec.occurrences {
            let due_ms =
                spec.first_due_unix_ms + u64::from(self.next_occurrence) * spec.interval_ms;
            if due_ms > unix_ms {
                return Some(due_ms);
            }
            self.begin_through(self.next_occurrence);
        }
        None
    }

    /// When an occurrence counts as handed in, in Unix milliseconds.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        match &self.spec {
            Some(spec) if spec.occurrences > 0 => {
                spec.first_due_unix_ms + u64::from(occurrence) * spec.interval_ms
            }
            _ => self.accepted_unix_ms,
        }
    }

    /// A step's state.
    pub fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        self.occurrences
            .get_mut(&id.occurrence)?
            .steps
            .get_mut(id.step as usize)
    }

    /// A task's state.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// How long the job, or each occurrence of it, may take to count in full, in milliseconds.
    pub fn allowed_ms(&self) -> u64 {
        self.objective_unix_ms.saturating_sub(self.accepted_unix_ms)
    }

    /// A step's state, to read.
    pub fn step(&self, id: StepId) -> Option<&Step> {
        self.occurrences
            .get(&id.occurrence)?
            .steps
            .get(id.step as usize)
    }

    /// A task, unless it is not known or its occurrence has not begun.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id.step)?.tasks.get(id.index as usize)
    }

    /// Keeps progress of a task; what one member of a gang saved serves all of them.
    pub fn keep_checkpoint(&mut self, id: TaskId, checkpoint: &str) {
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

    /// What the client asked for in a step.
    pub fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.spec.as_ref()?.steps.get(step as usize)
    }

    /// Whether all steps before `step` are done.
    pub fn is_ready(&self, occurrence: &Occurrence, step: u32) -> bool {
        let Some(spec) = self.step_spec(step) else {
            return false;
        };
        let done = |&n: &u32| occurrence.steps.get(n as usize).is_some_and(Step::is_done);
        spec.after.iter().all(done)
    }

    /// Processor time that tasks without a run are estimated to need, in core-milliseconds.
    pub fn waiting_core_ms(&self) -> u64 {
        let Some(spec) = &self.spec else {
            return 0;
        };
        let waiting = |(spec, step): (&StepSpec, &Step)| {
            step.waiting().count() as u64 * spec.counted_millicores() * spec.estimate_ms / 1000
        };
        self.occurrences
            .values()
            .flat_map(|occurrence| spec.steps.iter().zip(&occurrence.steps))
            .map(waiting)
            .sum()
    }

    /// The state that clients are told: nothing that is not durable.
    pub fn state(&self) -> JobState {
        match self.durable_outcome {
            Outcome::Completed => JobState::Completed,
            Outcome::Failed => JobState::Failed,
            Outcome::Cancelled => JobState::Cancelled,
            Outcome::Open if self.started => JobState::Running,
            Outcome::Open => JobState::Queued,
        }
    }

    /// Closes finished occurrences, and the job after the last one.
    pub fn settle(&mut self, unix_ms: u64) {
        let finished_now: Vec<u32> = self
            .occurrences
            .iter()
            .filter(|(_, occurrence)| occurrence.steps.iter().all(Step::is_done))
            .map(|(&number, _)| number)
            .collect();
        for number in finished_now {
            self.occurrences.shift_remove(&number);
            self.finished_occurrences.push(number);
        }
        let total = self.spec.as_ref().map_or(1, |spec| spec.occurrences.max(1));
        if self.outcome == Outcome::Open && self.finished_occurrences.len() as u32 >= total {
            self.end(Outcome::Completed, unix_ms);
        }
    }

    /// Ends the job; its tasks need no further runs.
    pub fn end(&mut self, outcome: Outcome, unix_ms: u64) {
        self.outcome = outcome;
        self.ended_unix_ms = unix_ms;
        self.occurrences.clear();
        self.spec = None;
    }

    /// The record that outlives this coordinator.
    pub fn record(&self) -> JobRecord {
        let mut tasks = Vec::new();
        let mut done_tasks = Vec::new();
        for (&occurrence, state) in &self.occurrences {
            for (step, state) in state.steps.iter().enumerate() {
                let step = step as u32;
                if state.done_count > 0 {
                    let done = state.tasks.iter().enumerate().filter(|(_, task)| task.done);
                    let positions = done.map(|(position, _)| position);
                    done_tasks.push(DoneTasks::new(occurrence, step, positions));
                }
                for (index, task) in state.tasks.iter().enumerate() {
                    let counts = !task.failed_runs.is_empty() || !task.checkpoint.is_empty();
                    if counts && !task.done {
                        tasks.push(TaskRecord {
                            occurrence,
                            step,
                            index: index as u32,
                            failed_runs: task.failed_runs.clone(),
                            last_run: task.last_run,
                            checkpoint: task.checkpoint.clone(),
                        });
                    }
                }
            }
        }
        JobRecord {
            id: self.id.0,
            queue: self.queue.to_string(),
            service: self.service.to_string(),
            accepted_unix_ms: self.accepted_unix_ms,
            spec: self.spec.as_deref().cloned(),
            outcome: self.outcome.into(),
            tasks,
            done_tasks,
            finished_occurrences: self.finished_occurrences.clone(),
            ended_unix_ms: self.ended_unix_ms,
            home: self.home.to_string(),
        }
    }
}

/// What one task of a step takes of a worker's room.
pub fn room_of(spec: &StepSpec) -> Room {
    Room {
        cpu_millicores: spec.counted_millicores(),
        memory_mb: spec.memory_mb,
        gpus: spec.gpus,
    }
}

/// What one task of a step asks of a worker.
pub fn need_of(spec: &StepSpec) -> Need {
    Need {
        room: room_of(spec),
        filling_millicores: spec.cpu_millicores - spec.counted_millicores(),
    }
}
