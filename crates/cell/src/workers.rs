//! What is known of a worker, its clock and its room.

use std::rc::Rc;

use derive_more::Display;
use indexmap::IndexMap;

use crate::{
    ids::{JobId, TaskId},
    pacing::FillShare,
    progress::Progress,
};

/// Room of a worker, or what a task takes of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Processor, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Room {
    /// What a run takes whose job is no longer known: more than any worker has.
    pub const UNKNOWN: Self = Self {
        cpu_millicores: 1 << 40,
        memory_mb: 1 << 40,
        gpus: 1 << 40,
    };

    /// Whether `need` fits into what is left of `self` after `used`.
    pub fn fits(&self, used: &Self, need: &Self) -> bool {
        used.cpu_millicores + need.cpu_millicores <= self.cpu_millicores
            && used.memory_mb + need.memory_mb <= self.memory_mb
            && used.gpus + need.gpus <= self.gpus
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.cpu_millicores += other.cpu_millicores;
        self.memory_mb += other.memory_mb;
        self.gpus += other.gpus;
    }

    /// Takes `other` away again.
    pub fn remove(&mut self, other: &Self) {
        self.cpu_millicores = self.cpu_millicores.saturating_sub(other.cpu_millicores);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }
}

/// What a task asks of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// What counts against the worker's room.
    pub room: Room,
    /// Processor that is used where others leave it, in thousandths of a core; 0 for tasks whose
    /// processor counts.
    pub filling_millicores: u64,
}

/// What a worker says of itself in the list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// The worker's name, of one life.
    pub id: Rc<str>,
    /// The service that it belongs to.
    pub service: Rc<str>,
    /// Where it takes orders, as `ip:port`.
    pub address: Rc<str>,
    /// Its availability zone.
    pub zone: Rc<str>,
    /// Its kind and its rack.
    pub labels: Vec<Rc<str>>,
    /// What it can hold.
    pub capacity: Room,
    /// It is about to leave and takes nothing new.
    pub draining: bool,
    /// When this life started, in Unix milliseconds; 0 where it does not say.
    pub born_unix_ms: u64,
}

impl WorkerEntry {
    /// The rack that the worker stands in.
    pub fn rack(&self) -> &str {
        self.labels.get(1).map_or("", |rack| rack)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task's work is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The worker's hold lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang was not complete in time.
    Alone,
}

/// A run that a worker shows as present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShownRun {
    /// The task.
    pub task: TaskId,
    /// The number of its run.
    pub run: u64,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
    /// How much of the task's work is done, in percent.
    pub percent: u64,
    /// A rough figure of the last half second: for a task that serves the tail of its response
    /// times in milliseconds, for any other the processor in use in thousandths of a core.
    pub figure: u64,
}

/// An end that a worker lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShownEnd {
    /// Rises with each end of one life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of its run.
    pub run: u64,
    /// How it ended.
    pub kind: EndKind,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A worker's answer to a hold: its clock and both of its lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HoldReport {
    /// The worker's steady clock when it answered, in milliseconds.
    pub clock_ms: u64,
    /// When this life started, in Unix milliseconds; 0 where it does not say.
    pub born_unix_ms: u64,
    /// What runs there.
    pub running: Vec<ShownRun>,
    /// What has ended and is not acknowledged.
    pub ended: Vec<ShownEnd>,
}

/// A reading of a worker's clock beside our own.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The worker's clock, in milliseconds.
    pub worker_ms: u64,
    /// Our clock when the reading arrived, in milliseconds.
    pub received_ms: u64,
}

impl ClockReading {
    /// Workers' clocks may run slow by this many parts in a thousand.
    pub const SLOW_PER_MILLE: u64 = 20;

    /// The least that the worker's clock shows at `now_ms`.
    pub fn at_least(&self, now_ms: u64) -> u64 {
        let passed = now_ms.saturating_sub(self.received_ms);
        self.worker_ms + passed * (1000 - Self::SLOW_PER_MILLE) / 1000
    }

    /// The worker's clock at `now_ms` if it keeps pace with ours.
    pub fn estimate(&self, now_ms: u64) -> u64 {
        self.worker_ms + now_ms.saturating_sub(self.received_ms)
    }
}

/// Why a run is to end before its work is done.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended.
    #[display("job_ended")]
    JobEnded,
    /// Its task needs no run there, or its job is not known.
    #[display("not_wanted")]
    NotWanted,
    /// The task ended as done elsewhere.
    #[display("done_elsewhere")]
    DoneElsewhere,
    /// Another member of its gang is missing or has ended.
    #[display("gang_broken")]
    GangBroken,
    /// It makes no progress.
    #[display("hung")]
    Hung,
    /// Its worker has turned slow, and it is done sooner elsewhere.
    #[display("worker_slow")]
    WorkerSlow,
    /// Its worker leaves.
    #[display("worker_leaves")]
    WorkerLeaves,
    /// The worker started anew while the order was on its way.
    #[display("worker_restarted")]
    WorkerRestarted,
}

/// How far an order to start is known to have got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The order is on its way or was not answered; it can take effect until this time on the
    /// worker's clock.
    Ordered {
        /// The order's deadline on the worker's clock, in milliseconds.
        until_worker_ms: u64,
        /// A call is still waiting for its answer.
        in_flight: bool,
    },
    /// The worker has it.
    Present {
        /// When we learned so, in milliseconds of our clock.
        since_ms: u64,
    },
}

/// A run that takes room on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// The number of the run.
    pub run: u64,
    /// What it takes.
    pub room: Room,
    /// How far its start has got.
    pub phase: Phase,
    /// It is to end, and why; nothing else may take its room before it has.
    pub stopping: Option<StopReason>,
    /// When the last stop was sent, in milliseconds of our clock.
    pub stop_sent_ms: Option<u64>,
    /// A stop was confirmed: the run is ending or will never start.
    pub stop_confirmed: bool,
    /// How far its work has got.
    pub progress: Progress,
    /// The figure that the worker last showed for it, as in [`ShownRun::figure`].
    pub figure: u64,
    /// Processor that the task uses where others leave it, in thousandths of a core; 0 for tasks
    /// whose processor counts.
    pub filling_millicores: u64,
    /// The share at which a filling task works, in percent; absent while that is not known.
    pub pace_percent: Option<u32>,
    /// When an order about that share was sent that is not answered, in milliseconds of our clock.
    pub pace_sent_ms: Option<u64>,
}

impl Run {
    /// A run in this phase that nothing has happened to yet.
    pub fn new(run: u64, room: Room, phase: Phase, now_ms: u64) -> Self {
        Self {
            run,
            room,
            phase,
            stopping: None,
            stop_sent_ms: None,
            stop_confirmed: false,
            progress: Progress::unseen(now_ms),
            figure: 0,
            filling_millicores: 0,
            pace_percent: None,
            pace_sent_ms: None,
        }
    }
}

/// Record of what a worker did with the runs that it was given.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Jobs of which runs failed in a row; further runs of the last one are not counted.
    pub failures_in_a_row: u32,
    /// The job of the last run that failed.
    pub last_failed_job: Option<JobId>,
    /// Nothing is placed here before this time, in milliseconds of our clock.
    pub avoid_until_ms: u64,
    /// Times that it was set aside in a row.
    pub strikes: u32,
    /// It counts as slow, and nothing is placed here, before this time, in milliseconds of our
    /// clock.
    pub slow_until_ms: u64,
}

/// An order to start that got no answer.
#[derive(Clone, Copy, Debug)]
pub struct DoubtfulOrder {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u64,
    /// What it would take.
    pub room: Room,
    /// It can no longer be carried out after this time, in milliseconds of our clock.
    pub expires_ms: u64,
}

/// A worker, as the coordinator knows it.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each says something of its own, and they change independently"
)]
pub struct Worker {
    /// What it says of itself.
    pub entry: WorkerEntry,
    /// It stands in the list of workers.
    pub listed: bool,
    /// A successor would learn that it may have been given work.
    pub rostered: bool,
    /// It has accepted this coordinator's fence and shown its lists.
    pub fenced: bool,
    /// The last calls were not answered.
    pub silent: bool,
    /// The last reading of its clock.
    pub clock: Option<ClockReading>,
    /// The latest time, on its clock, until which anything may run there.
    pub held_until_worker_ms: u64,
    /// When its current life started, as its lists say.
    pub born_unix_ms: u64,
    /// The highest number of an end that was processed.
    pub processed_end: u64,
    /// The highest number of an end whose effect is durable.
    pub durable_end: u64,
    /// Runs that take room.
    pub runs: IndexMap<TaskId, Run>,
    /// What the runs take together.
    pub used: Room,
    /// Processor that filling runs use where others leave it, in thousandths of a core.
    pub filling_millicores: u64,
    /// The share at which filling runs work.
    pub fill_share: FillShare,
    /// Orders that may still reach this worker, or a later life of it.
    pub doubtful: Vec<DoubtfulOrder>,
    /// How it treats its runs.
    pub health: Health,
}

impl Worker {
    /// A worker of which nothing but its entry is known.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            born_unix_ms: entry.born_unix_ms,
            entry,
            listed: true,
            rostered: false,
            fenced: false,
            silent: false,
            clock: None,
            held_until_worker_ms: 0,
            processed_end: 0,
            durable_end: 0,
            runs: IndexMap::new(),
            used: Room::default(),
            filling_millicores: 0,
            fill_share: FillShare::default(),
            doubtful: Vec::new(),
            health: Health::default(),
        }
    }

    /// Whether new work may be placed here.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.listed
            && self.rostered
            && self.fenced
            && !self.silent
            && !self.entry.draining
            && now_ms >= self.health.avoid_until_ms.max(self.health.slow_until_ms)
    }

    /// Whether all that could run here has certainly lapsed.
    pub fn certainly_lapsed(&self, now_ms: u64) -> bool {
        let Some(clock) = self.clock else {
            return false;
        };
        clock.at_least(now_ms) >= self.held_until_worker_ms
    }

    /// Records an order to start that is about to be sent.
    pub fn order_run(
        &mut self,
        task: TaskId,
        run: u64,
        need: Need,
        until_worker_ms: u64,
        now_ms: u64,
    ) {
        self.held_until_worker_ms = self.held_until_worker_ms.max(until_worker_ms);
        let phase = Phase::Ordered {
            until_worker_ms,
            in_flight: true,
        };
        let ordered = Run {
            filling_millicores: need.filling_millicores,
            pace_percent: Some(100), // Workers start every run at its full share.
            ..Run::new(run, need.room, phase, now_ms)
        };
        self.add_run(task, ordered);
    }

    /// Records a run that takes room.
    pub fn add_run(&mut self, task: TaskId, run: Run) {
        self.used.add(&run.room);
        self.filling_millicores += run.filling_millicores;
        self.runs.insert(task, run);
    }

    /// Frees the room of a run.
    pub fn remove_run(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.swap_remove(&task)?;
        self.used.remove(&run.room);
        self.filling_millicores -= run.filling_millicores;
        Some(run)
    }
}
