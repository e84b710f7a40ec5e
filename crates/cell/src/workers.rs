//! State of a worker: its capacity, its clock, its runs and its health.

use std::rc::Rc;

use derive_more::Display;

use crate::{
    collections::IndexMap,
    contact::{LostContact, Trial},
    departure::Withdrawal,
    ids::{JobId, TaskId},
    late_orders::UnconfirmedOrder,
    pacing::BestEffortShare,
    progress::Progress,
    worker_pace,
};

/// Resources of a worker, or the part of them that a task requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// CPU, in millicores.
    pub cpu_millicores: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Assumed for a run whose job is unknown: more than any worker has, so that nothing is placed
    /// next to it.
    pub const UNKNOWN: Self = Self {
        cpu_millicores: 1 << 40,
        memory_mb: 1 << 40,
        gpus: 1 << 40,
    };

    /// Whether `demand` fits into the part of `self` that `used` leaves free.
    pub fn fits(&self, used: &Self, demand: &Self) -> bool {
        used.cpu_millicores + demand.cpu_millicores <= self.cpu_millicores
            && used.memory_mb + demand.memory_mb <= self.memory_mb
            && used.gpus + demand.gpus <= self.gpus
    }

    /// Adds `other` to each resource.
    pub fn add(&mut self, other: &Self) {
        self.cpu_millicores = self.cpu_millicores.saturating_add(other.cpu_millicores);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.gpus = self.gpus.saturating_add(other.gpus);
    }

    /// Subtracts `other` from each resource, down to zero.
    pub fn remove(&mut self, other: &Self) {
        self.cpu_millicores = self.cpu_millicores.saturating_sub(other.cpu_millicores);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }
}

/// Resources that a task requires of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Resources counted against the worker's capacity.
    pub resources: Resources,
    /// Idle CPU that a best-effort task can use, in millicores; 0 for other tasks.
    pub best_effort_millicores: u64,
    /// Whether the task runs until its job is cancelled.
    pub long_running: bool,
}

/// Entry of a worker in the list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// Identifier of the worker; a restarted process may reuse it.
    pub id: Rc<str>,
    /// Name of the service that the worker belongs to.
    pub service: Rc<str>,
    /// Address at which the worker accepts orders, as `ip:port`.
    pub address: Rc<str>,
    /// Availability zone of the worker.
    pub zone: Rc<str>,
    /// Labels: the kind of the worker, then its rack.
    pub labels: Vec<Rc<str>>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is about to shut down and accepts no new tasks.
    pub draining: bool,
    /// Start time of the worker process, in Unix milliseconds; 0 if it is not reported.
    pub started_unix_ms: u64,
}

impl WorkerEntry {
    /// Rack of the worker; empty if it has no rack label.
    pub fn rack(&self) -> &str {
        self.labels.get(1).map_or("", |rack| rack)
    }
}

/// Result of a run that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The run failed, because of the task or of the worker.
    Failed,
    /// The coordinator ordered it to stop.
    Stopped,
    /// The worker's hold expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// An active run in a worker's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRun {
    /// Task that the run executes.
    pub task: TaskId,
    /// Run number, unique within the task.
    pub run: u64,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Completed work of the task, in percent.
    pub percent: u64,
    /// Approximate value over the last half second: the tail latency in milliseconds for a
    /// latency-sensitive task, the CPU usage in millicores for any other task.
    pub measured_value: u64,
}

/// The end of a run, reported by a worker until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedEnd {
    /// Sequence number, increasing with each end within one worker process.
    pub number: u64,
    /// Task that the run executed.
    pub task: TaskId,
    /// Run number, unique within the task.
    pub run: u64,
    /// How the run ended.
    pub kind: EndKind,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A worker's response to a hold: its clock, its active runs, and the ends of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HoldReport {
    /// Monotonic clock of the worker at the time of the response, in milliseconds.
    pub clock_ms: u64,
    /// Start time of the worker process, in Unix milliseconds; 0 if it is not reported.
    pub started_unix_ms: u64,
    /// Active runs.
    pub running: Vec<ReportedRun>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<ReportedEnd>,
    /// Whether there may be further ends that are not listed. A run that such a report does not
    /// contain is not known to have left no end.
    pub ends_truncated: bool,
}

/// A reading of a worker's clock and the local time at which it was received.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Clock of the worker, in milliseconds.
    pub worker_ms: u64,
    /// Local time at which the reading was received, in milliseconds.
    pub received_ms: u64,
}

impl ClockReading {
    /// Maximum rate by which a worker's clock may lag behind the local clock, in parts per
    /// thousand.
    pub const MAX_LAG_PER_MILLE: u64 = 20;

    /// Lower bound of the worker's clock at `now_ms`, in milliseconds.
    pub fn lower_bound_ms(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.received_ms);
        self.worker_ms + elapsed_ms * (1000 - Self::MAX_LAG_PER_MILLE) / 1000
    }

    /// Longest local time in which a worker's clock may advance by `worker_ms`, in milliseconds.
    pub fn max_local_ms(worker_ms: u64) -> u64 {
        (worker_ms * 1000).div_ceil(1000 - Self::MAX_LAG_PER_MILLE)
    }

    /// Estimate of the worker's clock at `now_ms`, in milliseconds, assuming no clock drift.
    pub fn estimate_ms(&self, now_ms: u64) -> u64 {
        self.worker_ms + now_ms.saturating_sub(self.received_ms)
    }
}

/// Reason for stopping a run before its task completes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopReason {
    /// The job has ended.
    #[display("job_ended")]
    JobEnded,
    /// The task does not need this run, or its job is unknown.
    #[display("not_wanted")]
    NotNeeded,
    /// The task completed on another worker.
    #[display("done_elsewhere")]
    DoneElsewhere,
    /// Another member of the gang did not start or has ended.
    #[display("gang_broken")]
    GangBroken,
    /// The run makes no progress.
    #[display("hung")]
    Hung,
    /// The worker has become slow, and the task is expected to complete sooner elsewhere.
    #[display("worker_slow")]
    WorkerSlow,
    /// The worker is draining.
    #[display("worker_leaves")]
    WorkerDraining,
    /// More urgent work needs its capacity.
    #[display("preempted")]
    Preempted,
    /// The worker restarted while the order was in transit.
    #[display("worker_restarted")]
    WorkerRestarted,
}

/// Known state of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The order is in transit or got no response. It can take effect until its deadline.
    Ordered {
        /// Deadline of the order on the worker's clock, in milliseconds.
        until_worker_ms: u64,
        /// Whether the call is still waiting for a response.
        in_flight: bool,
    },
    /// The worker has the run.
    Present {
        /// Time at which this became known, in milliseconds of the local clock.
        since_ms: u64,
    },
    /// The worker no longer has the run, and its end has not been listed. The run may have ended in
    /// any way, so its task keeps waiting for the end, but it occupies no resources.
    Ended,
}

impl Phase {
    /// Whether the worker is known to have the run.
    pub fn is_present(&self) -> bool {
        matches!(self, Self::Present { .. })
    }
}

/// A run that occupies resources on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Run number, unique within the task.
    pub run: u64,
    /// When the run was ordered or, if a predecessor ordered it, first reported, in milliseconds of
    /// the local clock.
    pub ordered_ms: u64,
    /// Set if the task may crash its worker, so that nothing else starts there meanwhile.
    pub trial: Option<Trial>,
    /// Whether the run has survived its start, because a predecessor ordered it and the worker still
    /// has it.
    pub survived: bool,
    /// Resources that the run occupies.
    pub resources: Resources,
    /// State of the order to start the run.
    pub phase: Phase,
    /// When the ticket of that order has expired on any worker's clock, in milliseconds of the local
    /// clock; absent without a ticket.
    pub ticket_void_ms: Option<u64>,
    /// Set once the run is to be stopped. Its resources stay occupied until it has ended.
    pub stopping: Option<StopReason>,
    /// Time of the last stop order, in milliseconds of the local clock.
    pub stop_sent_ms: Option<u64>,
    /// Whether the worker confirmed a stop: the run is ending or will never start.
    pub stop_confirmed: bool,
    /// Progress of the task.
    pub progress: Progress,
    /// Value last reported by the worker, as in [`ReportedRun::measured_value`].
    pub measured_value: u64,
    /// Idle CPU that a best-effort task can use, in millicores; 0 for other tasks.
    pub best_effort_millicores: u64,
    /// Whether the run does not end by itself.
    pub long_running: bool,
    /// CPU share last confirmed for a best-effort task, in percent; absent if unknown.
    pub pace_percent: Option<u32>,
    /// Time at which an unconfirmed order to change the share was sent, in milliseconds of the
    /// local clock.
    pub pace_sent_ms: Option<u64>,
}

impl Run {
    /// Creates a run in the given phase, without reported progress.
    pub fn new(run: u64, demand: &Demand, phase: Phase, now_ms: u64) -> Self {
        Self {
            run,
            ordered_ms: now_ms,
            trial: None,
            survived: false,
            resources: demand.resources,
            phase,
            ticket_void_ms: None,
            stopping: None,
            stop_sent_ms: None,
            stop_confirmed: false,
            progress: Progress::unreported(now_ms),
            measured_value: 0,
            best_effort_millicores: demand.best_effort_millicores,
            long_running: demand.long_running,
            pace_percent: None,
            pace_sent_ms: None,
        }
    }
}

/// Failure history of a worker, from which other workers are preferred to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerHealth {
    /// Number of consecutive failed runs; runs of the same job as the previous failure are not
    /// counted.
    pub consecutive_failures: u32,
    /// Job of the last failed run.
    pub last_failed_job: Option<JobId>,
    /// When the latest of the runs that completed had started, in milliseconds of the local clock; 0
    /// if none has completed.
    pub sound_since_ms: u64,
    /// Time before which nothing is placed on the worker because it refused an order or did not
    /// answer it, in milliseconds of the local clock.
    pub refusal_until_ms: u64,
    /// Time until which the worker counts as faulty, in milliseconds of the local clock.
    pub backoff_until_ms: u64,
    /// Number of consecutive back-offs, reset when a task completes.
    pub consecutive_backoffs: u32,
    /// Time until which the worker counts as slow, in milliseconds of the local clock.
    pub slow_until_ms: u64,
    /// Task last placed on the worker while it counted as faulty or slow.
    pub probe: Option<TaskId>,
}

/// The coordinator's state of a worker.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct Worker {
    /// Latest entry from the list of workers.
    pub entry: WorkerEntry,
    /// Whether the list of workers contains the worker.
    pub listed: bool,
    /// Time at or after which the entry was last written, in milliseconds of the local clock; absent
    /// if unknown.
    pub entry_written_ms: Option<u64>,
    /// Set if the worker has removed its entry itself, and has not answered since.
    pub withdrawal: Option<Withdrawal>,
    /// Whether the worker is in the durable roster as one that may be given any task, so that a
    /// successor waits for its report.
    pub in_roster: bool,
    /// While the worker drains, all runs that it may have, once that is known: it gets no further
    /// ones. May contain runs that have ended since.
    pub closed_runs: Option<Vec<(TaskId, u64)>>,
    /// Address to which the last hold was sent.
    pub polled_address: Option<Rc<str>>,
    /// Address at which the current process has answered, or under which the predecessor knew it.
    pub known_address: Option<Rc<str>>,
    /// Whether the worker has accepted this coordinator's fencing token and reported its runs.
    pub fenced: bool,
    /// Whether the last hold got no response.
    pub unresponsive: bool,
    /// Set while the worker does not answer, if this coordinator has heard it before.
    pub lost_contact: Option<LostContact>,
    /// Last reading of the worker's clock.
    pub clock: Option<ClockReading>,
    /// Latest expiry of all holds and orders granted to the worker, in milliseconds of its clock.
    /// Nothing runs there after it unless it is extended.
    pub held_until_worker_ms: u64,
    /// Start time of the current worker process as reported, in Unix milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
    /// Highest sequence number of a processed end.
    pub processed_end: u64,
    /// Highest sequence number of an end whose effect is being made durable.
    pub pending_end: u64,
    /// Highest sequence number of an end whose effect is durable.
    pub durable_end: u64,
    /// Runs that occupy resources, by task.
    pub runs: IndexMap<TaskId, Run>,
    /// Total resources occupied by the runs.
    pub used: Resources,
    /// Number of runs on trial.
    pub(crate) trial_runs: usize,
    /// Total CPU requested by best-effort runs, in millicores; it is not part of `used`.
    pub best_effort_millicores: u64,
    /// CPU share of the best-effort runs.
    pub best_effort_share: BestEffortShare,
    /// When the worker last answered an order to start or to stop a run, in milliseconds of the local
    /// clock; 0 if it has not.
    pub order_answered_ms: u64,
    /// Orders without a response that may still take effect in this process or in a later one with
    /// the same identifier; at most one a task.
    pub unconfirmed_orders: Vec<UnconfirmedOrder>,
    /// Failure history, from which other workers are preferred.
    pub health: WorkerHealth,
    /// Duration of tasks relative to a typical worker, in percent, as in
    /// [`PaceTable::percent`](crate::worker_pace::PaceTable::percent); absent if unknown.
    pub relative_pace_percent: Option<u32>,
}

impl Worker {
    /// Creates the state of a worker that has only been listed.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            started_unix_ms: entry.started_unix_ms,
            entry,
            listed: true,
            entry_written_ms: None,
            withdrawal: None,
            in_roster: false,
            closed_runs: None,
            polled_address: None,
            known_address: None,
            fenced: false,
            unresponsive: false,
            lost_contact: None,
            clock: None,
            held_until_worker_ms: 0,
            processed_end: 0,
            pending_end: 0,
            durable_end: 0,
            runs: IndexMap::default(),
            used: Resources::default(),
            trial_runs: 0,
            best_effort_millicores: 0,
            best_effort_share: BestEffortShare::default(),
            order_answered_ms: 0,
            unconfirmed_orders: Vec::new(),
            health: WorkerHealth::default(),
            relative_pace_percent: None,
        }
    }

    /// Duration of tasks relative to a typical worker, in percent; that of a typical one if unknown.
    pub fn pace_percent(&self) -> u32 {
        self.relative_pace_percent
            .unwrap_or(worker_pace::TYPICAL_PERCENT)
    }

    /// Whether the entry describes the process that reports. A later process under the same identifier
    /// may be of another kind, with another capacity.
    fn has_current_entry(&self) -> bool {
        let of_entry = self.entry.started_unix_ms;
        of_entry == 0 || self.started_unix_ms == 0 || of_entry == self.started_unix_ms
    }

    /// Whether new tasks can be placed on the worker.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.listed
            && self.in_roster
            && self.fenced
            && self.has_current_entry()
            && !self.unresponsive
            && !self.entry.draining
            && now_ms >= self.health.refusal_until_ms
    }

    /// Whether the worker counts as faulty or slow, so that tasks should run elsewhere.
    pub fn is_suspect(&self, now_ms: u64) -> bool {
        now_ms < self.health.backoff_until_ms.max(self.health.slow_until_ms)
    }

    /// Whether new tasks may be placed on the worker as on any other.
    pub fn is_schedulable(&self, now_ms: u64) -> bool {
        self.is_usable(now_ms) && !self.is_suspect(now_ms)
    }

    /// Whether a task that was placed on the worker while it was suspect still runs there.
    pub fn is_probed(&self) -> bool {
        let probe = self.health.probe.as_ref();
        probe.is_some_and(|task| self.runs.contains_key(task))
    }

    /// Whether ends were processed whose effect is not being made durable yet.
    pub fn has_new_ends(&self) -> bool {
        self.processed_end > self.pending_end
    }

    /// Whether every hold and order granted to the worker has expired, even if its clock runs as
    /// slow as permitted.
    pub fn has_certainly_expired(&self, now_ms: u64) -> bool {
        let Some(clock) = self.clock else {
            return false;
        };
        clock.lower_bound_ms(now_ms) >= self.held_until_worker_ms
    }

    /// Records an order to start a run before it is sent.
    pub fn order_run(
        &mut self,
        task: TaskId,
        run: u64,
        trial: Option<Trial>,
        demand: Demand,
        until_worker_ms: u64,
        now_ms: u64,
    ) {
        self.held_until_worker_ms = self.held_until_worker_ms.max(until_worker_ms);
        if self.is_suspect(now_ms) {
            self.health.probe = Some(task);
        }
        let phase = Phase::Ordered {
            until_worker_ms,
            in_flight: true,
        };
        let ordered = Run {
            trial,
            pace_percent: Some(100), // Workers start every run with its full share.
            ..Run::new(run, &demand, phase, now_ms)
        };
        self.add_run(task, ordered);
    }

    /// Records the repetition of an order whose deadline has passed, before it is sent.
    pub(crate) fn repeat_order(
        &mut self,
        task: TaskId,
        until_worker_ms: u64,
        ticket_void_ms: Option<u64>,
    ) -> Option<&Run> {
        let run = self.runs.get_mut(&task)?;
        run.phase = Phase::Ordered {
            until_worker_ms,
            in_flight: true,
        };
        run.ticket_void_ms = ticket_void_ms;
        self.held_until_worker_ms = self.held_until_worker_ms.max(until_worker_ms);
        Some(run)
    }

    /// Resources of the runs that do not end by themselves. What remains of the worker becomes free
    /// once all other runs have ended.
    pub fn permanently_used(&self) -> Resources {
        let mut used = Resources::default();
        let is_permanent =
            |run: &&Run| run.long_running && run.stopping.is_none() && run.phase != Phase::Ended;
        for run in self.runs.values().filter(is_permanent) {
            used.add(&run.resources);
        }
        used
    }

    /// Adds a run and reserves its resources.
    pub fn add_run(&mut self, task: TaskId, run: Run) {
        self.used.add(&run.resources);
        self.best_effort_millicores += run.best_effort_millicores;
        self.trial_runs += usize::from(run.trial.is_some());
        self.runs.insert(task, run);
    }

    /// Removes a run and releases its resources.
    pub fn remove_run(&mut self, task: TaskId) -> Option<Run> {
        self.vacate_run(task);
        let run = self.runs.swap_remove(&task)?;
        self.trial_runs -= usize::from(run.trial.is_some());
        Some(run)
    }

    /// Releases the resources of a run that the worker no longer has, and keeps the run until its
    /// end is known.
    pub fn vacate_run(&mut self, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.phase != Phase::Ended {
            self.used.remove(&run.resources);
            self.best_effort_millicores -= run.best_effort_millicores;
            run.phase = Phase::Ended;
        }
    }
}
