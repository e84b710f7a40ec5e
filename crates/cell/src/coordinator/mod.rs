//! The state machine of the cell's coordinator.
//!
//! Inputs are method calls: configuration, the list of workers, accepted and cancelled jobs,
//! workers' responses, and advice. Outputs are [`Order`]s from [`Coordinator::schedule`], queries
//! to the advice service from [`Coordinator::next_advice_query`], and changed records from
//! [`Coordinator::take_changes`].
//!
//! The following rules prevent a task from running twice at the same time:
//!
//! - a task has at most one active run; the run is released only once its worker reports its end, or
//!   for one of the reasons in [`EndProof`];
//! - an unconfirmed order to start keeps its resources reserved until its deadline on the worker's
//!   clock has passed or a stop of its run is confirmed, and its task bound to the worker for as long as
//!   it may take effect in any process there (see [`crate::late_orders`]);
//! - after a takeover, a task of an inherited job starts only once every worker used by the
//!   predecessor has accepted the new fencing token and reported all its runs and ends, or the
//!   predecessor's last hold must have expired. The latter stands for silent workers only: one that
//!   answers may still list ends. The runs that a draining worker may have are in the durable roster,
//!   and only their tasks wait for it;
//! - ends are acknowledged to a worker only after their effect is durable.

mod advice;
mod backlog;
mod candidates;
mod changes;
mod crash_log;
mod crashes;
mod end_proof;
mod ended;
mod ends;
mod expiry;
mod inherited;
mod job;
mod job_access;
mod job_record;
mod late_orders;
mod movement;
mod pace;
mod pass;
mod patience;
mod placement_wait;
mod preemption;
mod reports;
mod reserves;
mod schedule;
mod tenants;
mod trial_workers;
mod trials;
mod vacating;
mod waiting;
mod worker_pace;

use std::rc::Rc;

pub use advice::{AdviceOutcome, AdviceQuery};
pub(crate) use backlog::AheadOf;
pub use changes::{ChangeLimits, RecordChange};
pub use crash_log::{CrashEvent, CrashReport, WorkerLoss};
pub use crashes::CrashHistory;
pub use end_proof::{EndProof, ReleasedRun};
use job::ActiveRun;
pub use job::{Job, Ticket};
pub use placement_wait::{PlacementWait, WaitChange, WaitEvent};
pub use preemption::PreemptionReport;
pub use reports::{HoldFailure, HoldTerms, StartResponse};
pub use waiting::WaitingReport;

use crate::{
    collections::{IndexMap, IndexSet},
    config::Config,
    departure::Withdrawal,
    footprint::{HeldMemory, MemoryBudget},
    ids::{JobId, StepId, TaskId},
    jobs::{JobRecord, JobState, Outcome},
    progress::AveragePace,
    worker_pace::PaceTable,
    workers::{StopReason, Worker, WorkerEntry},
};

/// Time limits of the coordinator.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Time during which an order to start can take effect, in milliseconds. Bounds the time for
    /// which an unconfirmed order keeps resources reserved.
    pub start_timeout_ms: u64,
    /// Duration of a hold, in milliseconds. Must be longer than a takeover.
    pub hold_ms: u64,
    /// Time after which a gang that has not fully started is stopped, in milliseconds. Must be well
    /// below the time after which workers abort an incomplete gang.
    pub gang_patience_ms: u64,
    /// Time for which an ended job can be queried, in milliseconds.
    pub retention_ms: u64,
    /// Minimum time between the last write of a worker's entry and its lapse, in milliseconds. An
    /// entry that is removed sooner was removed by its worker.
    pub entry_lapse_ms: u64,
    /// Maximum hold that workers grant, in milliseconds; they shorten longer ones.
    pub max_hold_ms: u64,
    /// Time that a worker takes at most to stop a run, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Time that a run needs to resume from a checkpoint, in milliseconds.
    pub restore_ms: u64,
    /// Whether runs are stopped for more urgent work also in a cell without tenants.
    pub preemption: bool,
    /// Duration of tasks away from the rack of their data or of their group, relative to the duration
    /// there, in percent.
    pub cross_rack_percent: u32,
    /// Duration of the sliding window over which the jobs of a tenant count towards its share, in
    /// milliseconds.
    pub quota_window_ms: u64,
    /// Limits on what open jobs cost.
    pub memory: MemoryBudget,
    /// Maximum number of orders to start that wait for their responses, but for a gang that has more
    /// members. Each takes memory here and at the host that relays it.
    pub max_starts_in_flight: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            start_timeout_ms: 1_000,
            hold_ms: 5_000,
            gang_patience_ms: 1_600,
            retention_ms: 120_000,
            entry_lapse_ms: 4_000,
            max_hold_ms: 6_000,
            stop_timeout_ms: 1_000,
            restore_ms: 600,
            preemption: false,
            cross_rack_percent: 100,
            quota_window_ms: 5_000,
            memory: MemoryBudget::UNLIMITED,
            max_starts_in_flight: 4_096,
        }
    }
}

/// An instruction to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a run.
    Start {
        /// Identifier of the worker.
        worker: Rc<str>,
        /// Task that the run executes.
        task: TaskId,
        /// Run number, unique within the task.
        run: u64,
        /// Specification of the task's job.
        spec: Rc<crate::jobs::JobSpec>,
        /// Host that keeps the job's payload, as `ip:port`; empty if unknown.
        payload_host: Rc<str>,
        /// Deadline of the order on the worker's clock, in milliseconds.
        until_worker_ms: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Ticket from the advice service, if the queue requires one.
        ticket: Option<Rc<str>>,
        /// Whether the task may crash the worker.
        on_trial: bool,
    },
    /// Stop a run, or prevent it from starting.
    Stop {
        /// Identifier of the worker.
        worker: Rc<str>,
        /// Task that the run executes.
        task: TaskId,
        /// Run number, unique within the task.
        run: u64,
        /// Reason, for the log.
        reason: StopReason,
    },
    /// Set the CPU share of a best-effort run.
    SetCpuShare {
        /// Identifier of the worker.
        worker: Rc<str>,
        /// Task that the run executes.
        task: TaskId,
        /// Run number, unique within the task.
        run: u64,
        /// CPU share, in percent.
        percent: u32,
    },
}

/// A worker that the predecessor may have given work.
#[derive(Clone, Debug)]
pub struct InheritedWorker {
    /// Entry of the worker.
    pub entry: WorkerEntry,
    /// All runs that the worker may have, as in [`Worker::closed_runs`]; absent if it may have any.
    pub closed_runs: Option<Vec<(TaskId, u64)>>,
    /// Orders without a response that may reach a later process of the worker.
    pub late_orders: Vec<(TaskId, u64)>,
    /// Duration of tasks relative to a typical worker, in percent; absent if unknown.
    pub pace_percent: Option<u32>,
}

/// State that a new coordinator takes over from its predecessor.
#[derive(Clone, Debug, Default)]
pub struct TakeoverState {
    /// Workers that the predecessor may have given work.
    pub roster: Vec<InheritedWorker>,
    /// Time at which the predecessor's last orders and holds have expired, in milliseconds of the
    /// local clock.
    pub expiry_ms: u64,
    /// Time after which no order of the predecessor can take effect in any process, in milliseconds of
    /// the local clock.
    pub orders_expiry_ms: u64,
    /// Lower bound, exclusive, of new run numbers.
    pub run_floor: u64,
}

/// State of the cell's jobs and workers, from which the coordinator derives its orders.
#[derive(Debug)]
pub struct Coordinator {
    tuning: Tuning,
    config: Rc<Config>,
    workers: IndexMap<Rc<str>, Worker>,
    jobs: IndexMap<JobId, Job>,
    /// Ended jobs of which only the outcome is kept.
    ended_jobs: ended::EndedJobs,
    open: IndexSet<JobId>,
    /// Jobs changed since their record was last taken.
    dirty: IndexSet<JobId>,
    /// Jobs whose record is being written.
    writing: IndexSet<JobId>,
    /// Processed ends whose effects are not durable, oldest first.
    pending_ends: Vec<changes::PendingEnds>,
    /// Workers of the predecessor that have not reported all their runs and ends yet, and may have
    /// any run.
    unreported_workers: IndexSet<Rc<str>>,
    /// Workers of the predecessor whose possible runs are known and that have not answered yet.
    unheard_workers: IndexSet<Rc<str>>,
    /// Runs that those may have, by job, until the job is added.
    inherited_runs: IndexMap<JobId, Vec<(TaskId, ActiveRun)>>,
    /// Orders of the predecessor that may take effect late, by job, until the job is added.
    inherited_orders: IndexMap<JobId, Vec<(TaskId, ActiveRun)>>,
    inherited_expiry_ms: u64,
    /// Number of hosts that have not told yet which orders of the predecessor may take effect late.
    awaited_hosts: usize,
    run_floor: u64,
    next_due_unix_ms: Option<u64>,
    /// Steps with waiting tasks at the last scheduling pass, most urgent first.
    ready_steps: Vec<StepId>,
    /// From where on further steps of jobs without value are part of a pass.
    valueless_offset: usize,
    /// From where on further ready steps of jobs with many are part of a pass.
    further_offset: usize,
    /// Number of those that were examined for queries to the advice service at `advice_cursor_ms`.
    advice_cursor: usize,
    /// Time of the last query, in milliseconds of the local clock.
    advice_cursor_ms: u64,
    /// Workers that were kept free for a step at the last scheduling pass.
    reservations: reserves::Reservations,
    /// Steps for which runs are stopped.
    preemptions: preemption::Preemptions,
    /// Moving average of the ratio of measured to declared task durations.
    average_pace: AveragePace,
    /// Paces of the workers relative to each other.
    paces: PaceTable,
    /// Lost workers of the last seconds.
    recent_crashes: crashes::RecentCrashes,
    /// Queues whose new jobs run on trial.
    dangerous_queues: Vec<Rc<str>>,
    /// Workers that are kept free for trials.
    trial_workers: trial_workers::TrialWorkers,
    /// Services in which steps that are not on trial waited for room in the last scheduling pass.
    contended_services: IndexSet<Rc<str>>,
    /// What tenants have running, and their shares.
    tenants: tenants::Tenants,
    /// Events that have not been taken for the log.
    crash_events: Vec<CrashEvent>,
    /// Released runs that have not been taken for the log.
    released_runs: Vec<ReleasedRun>,
    /// Begins and ends of waits for a better placement that have not been taken for the log.
    wait_events: Vec<WaitEvent>,
    /// Time before which no other large record of an open job is taken, in milliseconds of the local clock.
    large_record_after_ms: u64,
    /// Sums for admission control.
    backlog: backlog::Backlog,
    /// Memory of jobs that are about to be accepted.
    pending_memory: HeldMemory,
    /// Time of the last scheduling pass, in Unix milliseconds.
    pass_unix_ms: u64,
    /// The same, in milliseconds of the local clock.
    pass_ms: u64,
}

impl Coordinator {
    /// Creates a coordinator from the state of its predecessor.
    pub fn new(tuning: Tuning, config: Rc<Config>, takeover: TakeoverState) -> Self {
        let mut coordinator = Self {
            tuning,
            config,
            workers: IndexMap::default(),
            jobs: IndexMap::default(),
            ended_jobs: ended::EndedJobs::default(),
            open: IndexSet::default(),
            dirty: IndexSet::default(),
            writing: IndexSet::default(),
            pending_ends: Vec::new(),
            unreported_workers: IndexSet::default(),
            unheard_workers: IndexSet::default(),
            inherited_runs: IndexMap::default(),
            inherited_orders: IndexMap::default(),
            inherited_expiry_ms: takeover.expiry_ms,
            awaited_hosts: 0,
            run_floor: takeover.run_floor,
            next_due_unix_ms: None,
            ready_steps: Vec::new(),
            valueless_offset: 0,
            further_offset: 0,
            advice_cursor: 0,
            advice_cursor_ms: 0,
            reservations: reserves::Reservations::default(),
            preemptions: preemption::Preemptions::default(),
            average_pace: AveragePace::default(),
            paces: PaceTable::default(),
            recent_crashes: crashes::RecentCrashes::default(),
            dangerous_queues: Vec::new(),
            trial_workers: trial_workers::TrialWorkers::default(),
            contended_services: IndexSet::default(),
            tenants: tenants::Tenants::default(),
            crash_events: Vec::new(),
            released_runs: Vec::new(),
            wait_events: Vec::new(),
            large_record_after_ms: 0,
            backlog: backlog::Backlog::default(),
            pending_memory: HeldMemory::default(),
            pass_unix_ms: 0,
            pass_ms: 0,
        };
        for inherited in takeover.roster {
            coordinator.inherit_worker(inherited, takeover.orders_expiry_ms);
        }
        coordinator
    }

    /// Replaces the time limits; holds and orders already granted keep their deadlines.
    pub fn tune(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Applies a configuration if it is newer than the current one.
    pub fn apply_config(&mut self, config: Rc<Config>) {
        if config.version > self.config.version {
            self.backlog.invalidate();
            self.config = config;
        }
    }

    /// Limits on what open jobs cost.
    pub fn memory_budget(&self) -> MemoryBudget {
        self.tuning.memory
    }

    /// The current configuration.
    pub fn config(&self) -> &Rc<Config> {
        &self.config
    }

    /// All known workers by identifier, whether listed or not.
    pub fn workers(&self) -> &IndexMap<Rc<str>, Worker> {
        &self.workers
    }

    /// Whether any known worker is draining.
    pub fn has_draining_workers(&self) -> bool {
        self.workers.values().any(|worker| worker.entry.draining)
    }

    /// Adds or updates a worker from the list of workers. Returns whether it was unknown.
    pub fn update_worker(&mut self, entry: WorkerEntry) -> bool {
        if let Some(worker) = self.workers.get_mut(&entry.id) {
            let is_counted = worker.listed
                && worker.entry.capacity == entry.capacity
                && worker.entry.service == entry.service;
            if !is_counted {
                self.backlog.invalidate();
            }
            worker.listed = true;
            worker.entry_written_ms = None;
            worker.withdrawal = None;
            if !entry.draining {
                worker.reopen();
            }
            // A successor has to ask for its runs at the address in the durable roster.
            worker.in_roster &= worker.entry.address == entry.address;
            worker.entry = entry;
            return false;
        }
        self.backlog.invalidate();
        self.workers
            .insert(Rc::clone(&entry.id), Worker::new(entry));
        true
    }

    /// Records that the entry of a worker was written at `not_before_ms` or later.
    pub fn entry_written(&mut self, id: &str, not_before_ms: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.entry_written_ms = Some(not_before_ms);
        }
    }

    /// Records that a worker is missing from the list of workers. Its entry may have lapsed.
    pub fn remove_from_list(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
            self.backlog.invalidate();
        }
    }

    /// Records that the entry of a worker was removed by `now_ms`, with no write since the last one
    /// recorded.
    pub fn entry_removed(&mut self, id: &str, now_ms: u64) {
        let lapse_ms = self.tuning.entry_lapse_ms;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.listed = false;
        self.backlog.invalidate();
        let entry_age_ms = worker
            .entry_written_ms
            .map(|written_ms| now_ms.saturating_sub(written_ms))
            .filter(|age_ms| *age_ms < lapse_ms);
        worker.withdrawal = entry_age_ms.map(|entry_age_ms| Withdrawal {
            entry_age_ms,
            seen_ms: now_ms,
        });
        self.end_departed_worker(id, now_ms);
    }

    /// Adds an accepted job. A second record of the same job is ignored.
    pub fn add_job(&mut self, record: &JobRecord, inherited: bool, unix_ms: u64) {
        let id = JobId(record.id);
        if self.contains_job(id) {
            return;
        }
        let mut job = self.restore_job(record, inherited, unix_ms);
        let room_bytes = self.memory_room_bytes();
        if let Some(due) = job.begin_due(unix_ms, room_bytes) {
            self.schedule_due(due);
        }
        if job.outcome == Outcome::Open {
            self.open.insert(id);
            job.close_completed(unix_ms);
        }
        self.add_to_backlog(&job);
        self.jobs.insert(id, job);
        self.restore_inherited_runs(id);
        self.restore_bound_tasks(id);
    }

    fn schedule_due(&mut self, due_unix_ms: u64) {
        let earliest = self
            .next_due_unix_ms
            .map_or(due_unix_ms, |known| known.min(due_unix_ms));
        self.next_due_unix_ms = Some(earliest);
    }

    /// Records that the cancellation of a job is durable.
    pub fn cancellation_durable(&mut self, id: JobId, unix_ms: u64) {
        self.end_job(id, Outcome::Cancelled, unix_ms);
        if let Some(job) = self.jobs.get_mut(&id)
            && job.outcome == Outcome::Cancelled
        {
            job.durable_outcome = Outcome::Cancelled;
        }
    }

    /// Cancels a job on request of a client; the cancellation is reported to clients once it is
    /// durable. Returns whether the job is known and was accepted.
    pub fn request_cancel(&mut self, id: JobId, unix_ms: u64) -> bool {
        self.end_job(id, Outcome::Cancelled, unix_ms);
        self.job_state(id).is_some()
    }

    /// Workers about which a successor must know: all but those that are draining and have nothing to
    /// report, and those of which nothing is left. It waits for the report of each before it schedules
    /// inherited tasks, except for those whose possible runs are listed. A worker left out receives no
    /// tasks until it is in the durable roster again.
    pub fn roster(&mut self, now_ms: u64) -> impl Iterator<Item = &Worker> {
        let unreported = &self.unreported_workers;
        // A worker that has not reported all its ends may have runs that are not known yet.
        let is_known = move |id: &str, worker: &Worker| {
            let is_drained = worker.is_drained(now_ms) && !unreported.contains(id);
            !is_drained && !worker.is_spent(now_ms)
        };
        for (id, worker) in &mut self.workers {
            if !unreported.contains(id) {
                worker.close_runs(now_ms);
            }
            worker.in_roster &= is_known(id, worker);
        }
        self.workers
            .iter()
            .filter(move |(id, worker)| is_known(id, worker))
            .map(|(_, worker)| worker)
    }

    /// Records that workers are in the durable roster without a list of their runs, so that they may
    /// be given work.
    pub fn roster_durable(&mut self, names: &[Rc<str>]) {
        for name in names {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.in_roster = true;
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

    /// Returns the job state to report to clients, or `None` if the job is unknown or was never
    /// accepted.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        match self.jobs.get(&id) {
            Some(job) => job.state(),
            None => self.ended_jobs.state(id),
        }
    }

    /// Whether the job has a record and has not been forgotten.
    pub fn contains_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.ended_jobs.contains(id)
    }

    /// Number of open jobs of a queue of which no task has started; jobs with scheduled occurrences
    /// are not counted.
    pub fn pending_job_count(&self, queue: &str) -> usize {
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

    /// Jobs that have not ended, in unspecified order.
    pub fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Workers of the predecessor for which inherited tasks wait.
    pub fn unreported_workers(&self) -> impl Iterator<Item = &Worker> {
        self.unreported_workers
            .iter()
            .filter_map(|id| self.workers.get(id))
    }

    /// Time left until the predecessor's orders and holds have certainly expired, in milliseconds.
    pub fn inherited_left_ms(&self, now_ms: u64) -> u64 {
        self.inherited_expiry_ms.saturating_sub(now_ms)
    }

    /// Whether every worker of the predecessor that may have any run has reported all its runs and
    /// ends, or does not answer and the predecessor's orders and holds have expired.
    pub fn takeover_complete(&self, now_ms: u64) -> bool {
        let expired = now_ms >= self.inherited_expiry_ms;
        let is_settled = |worker: &Worker| expired && !worker.fenced;
        self.unreported_workers().all(is_settled)
    }

    /// Whether no hold or order of a predecessor is left on any worker.
    pub fn outlasted_predecessors(&self, now_ms: u64) -> bool {
        self.takeover_complete(now_ms) && self.unheard_workers.is_empty()
    }
}
