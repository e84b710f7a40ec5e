//! A simulated worker.

use hickorychute_cell::{
    ids::TaskId,
    jobs::StepSpec,
    workers::{EndKind, ReportedEnd, Resources, WorkerEntry},
};
use indexmap::IndexMap;

/// Behaviour of a worker: how its runs proceed and how it responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerMode {
    /// Runs complete and calls are answered.
    #[default]
    Healthy,
    /// Every run fails halfway.
    FailsRuns,
    /// Runs make no progress.
    StallsRuns,
    /// Runs take this many times as long.
    Slow(u64),
    /// Calls get no response; runs continue until their hold expires.
    Unreachable,
    /// Connections are refused; runs continue until their hold expires.
    Refusing,
    /// Orders to start get no response and are executed after this delay, in milliseconds.
    DelaysStarts(u64),
    /// The first copy of an order to start is executed after this delay, in milliseconds, and gets no
    /// response; the second copy is executed at once.
    DelaysCopies(u64),
    /// The process is down and its runs are lost.
    Down,
}

/// How a crashed worker comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rebirth {
    /// Under its identifier.
    SameId,
    /// Under a new identifier, at the same address.
    NewId,
}

/// Where a delayed order is when the worker restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DelayedStarts {
    /// In the worker process, which loses it.
    InProcess,
    /// In transit; the new process receives it.
    InTransit,
}

#[derive(Clone, Debug)]
pub(super) struct PresentRun {
    pub(super) run: u64,
    pub(super) spec: StepSpec,
    pub(super) since_ms: u64,
    pub(super) working: bool,
    /// Work of the whole task at the typical pace, in milliseconds.
    pub(super) total_ms: u64,
    pub(super) left_ms: u64,
    pub(super) pace_percent: u32,
}

impl PresentRun {
    /// Completed work, in percent.
    pub(super) fn percent(&self) -> u64 {
        100 - (self.left_ms * 100 / self.total_ms.max(1)).min(100)
    }
}

/// An order to start that is executed after its caller timed out.
#[derive(Clone, Debug)]
pub(super) struct DelayedStart {
    pub(super) due_ms: u64,
    pub(super) term: u64,
    pub(super) task: TaskId,
    pub(super) run: u64,
    pub(super) spec: StepSpec,
    pub(super) until_worker_ms: u64,
    pub(super) checkpoint: String,
}

/// State of a simulated worker.
#[derive(Debug)]
pub struct ModelWorker {
    /// Entry in the list of workers.
    pub entry: WorkerEntry,
    /// Time that it takes for the work of 100 ms, in milliseconds.
    pub pace_percent: u64,
    /// Current behaviour.
    pub mode: WorkerMode,
    /// Whether the list of workers contains it.
    pub(super) listed: bool,
    /// Rate of its clock, in thousandths.
    pub(super) clock_per_mille: u64,
    /// When the process starts again after a crash, in simulated milliseconds.
    pub(super) revive_ms: Option<u64>,
    pub(super) present: IndexMap<TaskId, PresentRun>,
    pub(super) ends: Vec<ReportedEnd>,
    pub(super) next_end: u64,
    pub(super) stopped: IndexMap<TaskId, u64>,
    pub(super) held_until_ms: u64,
    pub(super) started_ms: u64,
    pub(super) fence: u64,
    pub(super) delayed: Vec<DelayedStart>,
}

/// Tail latency of a latency-sensitive task without best-effort tasks, in milliseconds.
const BASE_TAIL_MS: u64 = 20;
/// Tail latency added by each best-effort task at its full share, in milliseconds.
const INTERFERENCE_MS: u64 = 30;

impl ModelWorker {
    /// Tail latency of a latency-sensitive task on this worker, in milliseconds.
    pub fn tail_ms(&self) -> u64 {
        let best_effort = self
            .present
            .values()
            .filter(|present| present.spec.best_effort);
        let shares: u64 = best_effort
            .map(|present| u64::from(present.pace_percent))
            .sum();
        BASE_TAIL_MS + shares * INTERFERENCE_MS / 100
    }

    /// Whether orders to start are in transit to it.
    pub fn has_delayed_starts(&self) -> bool {
        !self.delayed.is_empty()
    }

    pub(super) fn is_reachable(&self) -> bool {
        !matches!(
            self.mode,
            WorkerMode::Unreachable | WorkerMode::Refusing | WorkerMode::Down
        )
    }

    pub(super) fn new(entry: WorkerEntry, now_ms: u64) -> Self {
        Self {
            entry,
            pace_percent: 100,
            mode: WorkerMode::Healthy,
            listed: true,
            clock_per_mille: 1_000,
            revive_ms: None,
            present: IndexMap::new(),
            ends: Vec::new(),
            next_end: 1,
            stopped: IndexMap::new(),
            held_until_ms: 0,
            started_ms: now_ms,
            fence: 0,
            delayed: Vec::new(),
        }
    }

    /// Advances the runs by one step of the simulated time.
    pub(super) fn work(&mut self, now_ms: u64, elapsed_ms: u64) {
        let slowdown = match self.mode {
            WorkerMode::StallsRuns => return,
            WorkerMode::Slow(times) => times,
            _ => 1,
        };
        if !(now_ms / elapsed_ms).is_multiple_of(slowdown) {
            return;
        }
        let work_ms = |until_ms: u64| until_ms * 100 / self.pace_percent;
        let done_ms = work_ms(now_ms) - work_ms(now_ms - elapsed_ms);
        for present in self.present.values_mut().filter(|present| present.working) {
            present.left_ms = present.left_ms.saturating_sub(done_ms);
        }
    }

    pub(super) fn clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms - self.started_ms) * self.clock_per_mille / 1_000 + 1_000
    }

    pub(super) fn used(&self) -> Resources {
        let mut used = Resources::default();
        for present in self.present.values() {
            used.add(&Resources {
                cpu_millicores: present.spec.reserved_millicores(),
                memory_mb: present.spec.memory_mb,
                gpus: present.spec.gpus,
            });
        }
        used
    }

    pub(super) fn end(&mut self, task: TaskId, kind: EndKind) {
        if let Some(present) = self.present.swap_remove(&task) {
            let number = self.next_end;
            self.next_end += 1;
            let checkpoint = if present.spec.checkpointing {
                format!("{}", present.percent())
            } else {
                String::new()
            };
            self.ends.push(ReportedEnd {
                number,
                task,
                run: present.run,
                kind,
                checkpoint,
            });
        }
    }
}
