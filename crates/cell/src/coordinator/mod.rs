//! The state machine of the cell's coordinator.
//!
//! Inputs are method calls: configuration, the list of workers, accepted and cancelled jobs,
//! workers' answers, advice. Outputs are [`Order`]s from [`Coordinator::schedule`], questions from
//! [`Coordinator::next_question`], and changed records from [`Coordinator::take_changes`].
//!
//! What keeps a task from running twice:
//!
//! - a task has at most one active run, and that run is given up only when a worker lists its
//!   end, shows that it never began, or when everything on that worker has certainly lapsed;
//! - an order in doubt keeps its room until its deadline on the worker's clock has passed or a
//!   stop of its run was confirmed;
//! - after a takeover, a task of an inherited job starts only once every worker that the
//!   predecessor used has accepted the new fence and shown its lists, or the predecessor's last
//!   hold must have lapsed;
//! - ends are acknowledged to a worker only after their effect is durable.

mod advice;
mod changes;
mod ends;
mod job;
mod movement;
mod pace;
mod reports;
mod schedule;

use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};

pub use advice::{AdviceOutcome, Question};
pub use changes::Changes;
pub use job::{Job, Ticket};
pub use reports::{HoldTerms, StartAnswer};

use crate::{
    config::Config,
    ids::{JobId, StepId, TaskId},
    jobs::{JobRecord, JobState, Outcome},
    progress::UsualPace,
    workers::{StopReason, Worker, WorkerEntry},
};

/// Figures that the coordinator works with.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// How long an order to start may take effect, in milliseconds. Bounds how long an order
    /// without an answer keeps its room.
    pub start_window_ms: u64,
    /// How long a hold lasts, in milliseconds. Must outlast a takeover.
    pub hold_ms: u64,
    /// A gang that is not complete by then is stopped, in milliseconds; well below the time after
    /// which workers give up on it.
    pub gang_patience_ms: u64,
    /// How long clients may ask for an ended job, in milliseconds.
    pub retention_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            start_window_ms: 1_000,
            hold_ms: 5_000,
            gang_patience_ms: 1_600,
            retention_ms: 120_000,
        }
    }
}

/// Something that a worker is to be told.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a run.
    Start {
        /// The worker.
        worker: Rc<str>,
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u64,
        /// The job that the task is of.
        spec: Rc<crate::jobs::JobSpec>,
        /// Which host has the job's text at hand; empty where that is not known.
        home: Rc<str>,
        /// The order's deadline on the worker's clock, in milliseconds.
        until_worker_ms: u64,
        /// Progress to resume from; empty for none.
        checkpoint: String,
        /// Permission, where the queue needs one.
        ticket: Option<Rc<str>>,
    },
    /// Stop a run, or keep it from ever starting.
    Stop {
        /// The worker.
        worker: Rc<str>,
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u64,
        /// Why, for the log.
        reason: StopReason,
    },
    /// Let a filling run work at a share.
    Pace {
        /// The worker.
        worker: Rc<str>,
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u64,
        /// The share, in percent.
        percent: u32,
    },
}

/// Where the coordinator takes over from.
#[derive(Clone, Debug, Default)]
pub struct Inheritance {
    /// Workers that the predecessor may have used.
    pub roster: Vec<WorkerEntry>,
    /// When the predecessor's last orders and holds have lapsed, in milliseconds of our clock.
    pub lapsed_ms: u64,
    /// Runs are numbered above this.
    pub run_floor: u64,
}

/// The coordinator's knowledge of the cell.
#[derive(Debug)]
pub struct Coordinator {
    tuning: Tuning,
    config: Rc<Config>,
    workers: IndexMap<Rc<str>, Worker>,
    jobs: IndexMap<JobId, Job>,
    open: IndexSet<JobId>,
    dirty: IndexSet<JobId>,
    /// Workers of the predecessor that have not shown their lists.
    unheard: IndexSet<Rc<str>>,
    inherited_lapse_ms: u64,
    run_floor: u64,
    next_due_unix_ms: Option<u64>,
    /// Steps that can start, most urgent first, as the last scheduling pass saw them.
    agenda: Vec<StepId>,
    /// How long tasks take against what was declared.
    usual_pace: UsualPace,
}

impl Coordinator {
    /// A coordinator that has just taken over.
    pub fn new(tuning: Tuning, config: Rc<Config>, inheritance: Inheritance) -> Self {
        let mut coordinator = Self {
            tuning,
            config,
            workers: IndexMap::new(),
            jobs: IndexMap::new(),
            open: IndexSet::new(),
            dirty: IndexSet::new(),
            unheard: IndexSet::new(),
            inherited_lapse_ms: inheritance.lapsed_ms,
            run_floor: inheritance.run_floor,
            next_due_unix_ms: None,
            agenda: Vec::new(),
            usual_pace: UsualPace::default(),
        };
        for entry in inheritance.roster {
            coordinator.unheard.insert(Rc::clone(&entry.id));
            let mut worker = Worker::new(entry);
            worker.listed = false;
            worker.rostered = true;
            coordinator
                .workers
                .insert(Rc::clone(&worker.entry.id), worker);
        }
        coordinator
    }

    /// Works with other figures from now on.
    pub fn tune(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Puts a newer configuration in force; older ones are ignored.
    pub fn apply_config(&mut self, config: Rc<Config>) {
        if config.version > self.config.version {
            self.config = config;
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &Rc<Config> {
        &self.config
    }

    /// The workers, by name.
    pub fn workers(&self) -> &IndexMap<Rc<str>, Worker> {
        &self.workers
    }

    /// Takes over what a worker says of itself. Returns whether it was unknown.
    pub fn list_worker(&mut self, entry: WorkerEntry) -> bool {
        if let Some(worker) = self.workers.get_mut(&entry.id) {
            worker.listed = true;
            worker.entry = entry;
            return false;
        }
        self.workers
            .insert(Rc::clone(&entry.id), Worker::new(entry));
        true
    }

    /// A worker no longer stands in the list.
    pub fn unlist_worker(&mut self, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.listed = false;
        if worker.entry.draining && worker.silent {
            self.worker_ended(id, now_ms);
        }
    }

    /// A job was accepted. A second record of the same job changes nothing.
    pub fn accept(&mut self, record: &JobRecord, inherited: bool, unix_ms: u64) {
        let id = JobId(record.id);
        if self.jobs.contains_key(&id) {
            return;
        }
        let queue = self.config.queues.get(record.queue.as_str());
        let mut job = Job::new(record, queue.map(Rc::as_ref), inherited);
        if let Some(due) = job.begin_due(unix_ms) {
            self.note_due(due);
        }
        if job.outcome == Outcome::Open {
            self.open.insert(id);
            job.settle(unix_ms);
        }
        self.jobs.insert(id, job);
    }

    fn note_due(&mut self, due_unix_ms: u64) {
        let earliest = self
            .next_due_unix_ms
            .map_or(due_unix_ms, |known| known.min(due_unix_ms));
        self.next_due_unix_ms = Some(earliest);
    }

    /// A client's cancelling of a job is durable.
    pub fn cancel(&mut self, id: JobId, unix_ms: u64) {
        self.end_job(id, Outcome::Cancelled, unix_ms);
        if let Some(job) = self.jobs.get_mut(&id)
            && job.outcome == Outcome::Cancelled
        {
            job.durable_outcome = Outcome::Cancelled;
        }
    }

    /// A client asks to cancel a job; it counts once the change is durable. Returns whether the
    /// job is known.
    pub fn request_cancel(&mut self, id: JobId, unix_ms: u64) -> bool {
        self.end_job(id, Outcome::Cancelled, unix_ms);
        self.jobs.contains_key(&id)
    }

    /// Workers stand in the durable roster and may be given work.
    pub fn roster_durable(&mut self, names: &[Rc<str>]) {
        for name in names {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.rostered = true;
            }
        }
    }

    fn end_job(&mut self, id: JobId, outcome: Outcome, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.outcome != Outcome::Open {
            return;
        }
        job.end(outcome, unix_ms);
        self.open.swap_remove(&id);
        self.dirty.insert(id);
        for worker in self.workers.values_mut() {
            for (task, run) in &mut worker.runs {
                if task.step.job == id {
                    run.stopping.get_or_insert(StopReason::JobEnded);
                }
            }
        }
    }

    /// The state of a job that clients are told, or `None` for a job that is not known here.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(Job::state)
    }

    /// Whether the job is known here.
    pub fn knows(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Accepted jobs of a queue that wait for their first start; timed jobs are not counted.
    pub fn pending(&self, queue: &str) -> usize {
        let waits = |job: &&Job| {
            &*job.queue == queue
                && !job.started
                && job.spec.as_ref().is_some_and(|spec| spec.occurrences == 0)
        };
        self.open
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(waits)
            .count()
    }

    /// Open jobs.
    pub fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Whether all workers of the predecessor are accounted for.
    pub fn inheritance_settled(&self, now_ms: u64) -> bool {
        self.unheard.is_empty() || now_ms >= self.inherited_lapse_ms
    }
}
