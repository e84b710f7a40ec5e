//! Job specifications, and the durable record of a job.
//!
//! A [`JobRecord`] is all job state that survives a failure of the coordinator: the specification,
//! the time of acceptance, and the completed and failed runs of its tasks. Active runs are not
//! recorded; a new coordinator learns them from the workers' reports.

use crate::{ids::JobId, workers::Resources};

/// Specification of a step, as submitted by the client.
#[expect(
    clippy::struct_excessive_bools,
    reason = "clients set each of them independently"
)]
#[derive(Clone, PartialEq, prost::Message)]
pub struct StepSpec {
    /// Number of tasks in the step.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// CPU of each task, in millicores.
    #[prost(uint64, tag = "2")]
    pub cpu_millicores: u64,
    /// Memory of each task, in megabytes.
    #[prost(uint64, tag = "3")]
    pub memory_mb: u64,
    /// Number of accelerators of each task.
    #[prost(uint64, tag = "4")]
    pub gpus: u64,
    /// The client's estimate of a task's duration, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    /// Positions of the steps that must complete first.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints and can resume from them.
    #[prost(bool, tag = "7")]
    pub checkpointing: bool,
    /// Whether the tasks form a gang: they make progress only while all of them run, and end
    /// together.
    #[prost(bool, tag = "8")]
    pub gang: bool,
    /// Whether tasks run slower if they are spread over several racks.
    #[prost(bool, tag = "9")]
    pub same_rack: bool,
    /// Label required of a worker; empty for none.
    #[prost(string, tag = "10")]
    pub required_label: String,
    /// Rack that holds the input data; tasks run slower elsewhere. Empty for none.
    #[prost(string, tag = "11")]
    pub affinity_rack: String,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    #[prost(uint32, tag = "12")]
    pub max_per_worker: u32,
    /// Whether several copies of a task may run; the first to complete counts.
    #[prost(bool, tag = "13")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled, and are restarted however they end.
    #[prost(bool, tag = "14")]
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image perform alike. Empty for none.
    #[prost(string, tag = "15")]
    pub image: String,
    /// Target for the tail latency of a long-running task, in milliseconds; 0 for none.
    #[prost(uint64, tag = "16")]
    pub latency_target_ms: u64,
    /// Whether the tasks are best-effort: they use only idle CPU, which is not counted against a
    /// worker.
    #[prost(bool, tag = "17")]
    pub best_effort: bool,
    /// Maximum number of a long-running step's tasks that the system may take down at once.
    #[prost(uint32, tag = "18")]
    pub max_unavailable: u32,
}

impl StepSpec {
    /// CPU counted against a worker's capacity for each task, in millicores.
    pub fn reserved_millicores(&self) -> u64 {
        if self.best_effort {
            0
        } else {
            self.cpu_millicores
        }
    }

    /// Resources that each task occupies on a worker.
    pub fn resources(&self) -> Resources {
        Resources {
            cpu_millicores: self.reserved_millicores(),
            memory_mb: self.memory_mb,
            gpus: self.gpus,
        }
    }

    /// Estimated CPU time of the whole step, in core-milliseconds.
    pub fn estimated_core_ms(&self) -> u64 {
        u64::from(self.count)
            .saturating_mul(self.reserved_millicores())
            .saturating_mul(self.estimate_ms)
            / 1000
    }
}

/// Specification of a job, as submitted by the client.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobSpec {
    /// Opaque text that is passed to each task unchanged.
    #[prost(string, tag = "1")]
    pub payload: String,
    /// Steps, each after the steps that it depends on.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<StepSpec>,
    /// Number of scheduled occurrences of the steps; 0 for a job that runs once, immediately.
    #[prost(uint32, tag = "3")]
    pub occurrences: u32,
    /// Due time of the first occurrence, in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub first_due_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub interval_ms: u64,
}

impl JobSpec {
    /// Estimated duration of the critical path through the steps, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        self.longest_chain_ms(|step| step.estimate_ms)
    }

    /// Duration of the longest chain of steps that depend on each other, in milliseconds.
    pub fn longest_chain_ms(&self, duration_ms: impl Fn(&StepSpec) -> u64) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step
                .after
                .iter()
                .filter_map(|&n| ends_ms.get(n as usize))
                .max();
            ends_ms.push(
                before
                    .copied()
                    .unwrap_or(0)
                    .saturating_add(duration_ms(step)),
            );
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }

    /// Estimated duration of the longest path from each step to the end, including the step, in
    /// milliseconds.
    pub fn remaining_paths_ms(&self) -> Vec<u64> {
        let mut paths_ms: Vec<u64> = self.steps.iter().map(|step| step.estimate_ms).collect();
        for (position, step) in self.steps.iter().enumerate().rev() {
            let path_ms = paths_ms[position];
            for &before in step.after.iter().filter(|&&n| (n as usize) < position) {
                let before_ms = self.steps[before as usize].estimate_ms;
                let known_ms = &mut paths_ms[before as usize];
                *known_ms = (*known_ms).max(before_ms.saturating_add(path_ms));
            }
        }
        paths_ms
    }

    /// Whether there are steps, each has a task, and each depends only on earlier ones.
    pub fn is_well_formed(&self) -> bool {
        let ordered = |(n, step): (usize, &StepSpec)| {
            step.count > 0 && step.after.iter().all(|&before| (before as usize) < n)
        };
        !self.steps.is_empty() && self.steps.iter().enumerate().all(ordered)
    }
}

/// Final outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// The job has not ended.
    Open = 0,
    /// All tasks have completed.
    Completed = 1,
    /// A task or gang used up its attempts, or a task crashes its workers.
    Failed = 2,
    /// A client cancelled it.
    Cancelled = 3,
}

/// Durable state of a task that has not completed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskRecord {
    /// Zero-based occurrence of the job.
    #[prost(uint32, tag = "1")]
    pub occurrence: u32,
    /// Position of the step in the job.
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// Position of the task in the step.
    #[prost(uint32, tag = "3")]
    pub index: u32,
    /// Numbers of the runs that failed.
    #[prost(uint64, repeated, tag = "5")]
    pub failed_runs: Vec<u64>,
    /// Highest run number assigned so far.
    #[prost(uint64, tag = "6")]
    pub last_run: u64,
    /// Checkpoint from which a later run can resume; empty for none.
    #[prost(string, tag = "7")]
    pub checkpoint: String,
    /// Numbers of the runs that are suspected of a crash of their worker.
    #[prost(uint64, repeated, tag = "8")]
    pub suspected_runs: Vec<u64>,
    /// Numbers of the suspected runs beside which no other run was starting.
    #[prost(uint64, repeated, tag = "9")]
    pub conclusive_runs: Vec<u64>,
    /// Numbers of the runs that were starting when a worker crashed under another suspect.
    #[prost(uint64, repeated, tag = "10")]
    pub nearby_runs: Vec<u64>,
}

/// Bitmap of the completed tasks of a step.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DoneTasks {
    /// Zero-based occurrence of the job.
    #[prost(uint32, tag = "1")]
    pub occurrence: u32,
    /// Position of the step in the job.
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// Bit `n % 8` of byte `n / 8` is set if the task at position `n` has completed.
    #[prost(bytes = "vec", tag = "3")]
    pub bits: Vec<u8>,
}

impl DoneTasks {
    /// Creates the bitmap of the tasks at `positions`.
    pub fn new(occurrence: u32, step: u32, positions: impl Iterator<Item = usize>) -> Self {
        let mut bits = Vec::new();
        for position in positions {
            if bits.len() <= position / 8 {
                bits.resize(position / 8 + 1, 0);
            }
            bits[position / 8] |= 1 << (position % 8);
        }
        Self {
            occurrence,
            step,
            bits,
        }
    }

    /// Iterates over the positions of the completed tasks, in ascending order.
    pub fn positions(&self) -> impl Iterator<Item = u32> + '_ {
        let is_set = |position: &usize| self.bits[position / 8] & (1 << (position % 8)) != 0;
        (0..self.bits.len() * 8)
            .filter(is_set)
            .map(|position| position as u32)
    }
}

/// The durable record of an accepted job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobRecord {
    /// Identifier of the job.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Name of the queue to which it was submitted.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Service of that queue at the time of submission.
    #[prost(string, tag = "3")]
    pub service: String,
    /// When it was accepted, in Unix milliseconds; 0 if it was cancelled before that.
    #[prost(uint64, tag = "4")]
    pub accepted_unix_ms: u64,
    /// Specification; absent once the job has ended.
    #[prost(message, optional, tag = "5")]
    pub spec: Option<JobSpec>,
    /// Final outcome, or `Open`.
    #[prost(enumeration = "Outcome", tag = "6")]
    pub outcome: i32,
    /// Incomplete tasks with a failed run, a checkpoint or a crash of their worker.
    #[prost(message, repeated, tag = "7")]
    pub tasks: Vec<TaskRecord>,
    /// Completed tasks, one entry for each step with any.
    #[prost(message, repeated, tag = "10")]
    pub done_tasks: Vec<DoneTasks>,
    /// Occurrences whose tasks have all completed.
    #[prost(uint32, repeated, tag = "8")]
    pub finished_occurrences: Vec<u32>,
    /// Time at which the job ended, in Unix milliseconds; 0 while it is open.
    #[prost(uint64, tag = "9")]
    pub ended_unix_ms: u64,
    /// Host that accepted the job from its client and keeps its payload, as `ip:port`; empty if
    /// unknown.
    #[prost(string, tag = "11")]
    pub payload_host: String,
    /// Tenant that submitted the job; empty if the cell has no tenants or the queue is public.
    #[prost(string, tag = "12")]
    pub tenant: String,
    /// Whether the job exceeds its tenant's share, so that jobs within shares come first.
    #[prost(bool, tag = "13")]
    pub over_share: bool,
}

/// Job state as reported to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// The job is accepted; no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task or gang used up its attempts, or a task crashes its workers.
    Failed,
    /// A client cancelled it.
    Cancelled,
}

impl JobRecord {
    /// Creates the record of a job that was cancelled before it was accepted. It prevents the job
    /// from being accepted, and is not shown to clients.
    pub fn cancelled_unaccepted(id: JobId, unix_ms: u64) -> Self {
        Self {
            id: id.0,
            outcome: Outcome::Cancelled.into(),
            ended_unix_ms: unix_ms,
            ..Self::default()
        }
    }

    /// Whether the job was accepted before it ended.
    pub fn was_accepted(&self) -> bool {
        self.accepted_unix_ms != 0
    }

    /// Whether the record shows that a task has started. A run that has neither completed, failed
    /// nor saved a checkpoint is not recorded.
    pub fn has_started(&self) -> bool {
        !self.tasks.is_empty() || !self.done_tasks.is_empty()
    }

    /// The job state according to the record alone.
    pub fn state(&self) -> JobState {
        match self.outcome() {
            Outcome::Completed => JobState::Completed,
            Outcome::Failed => JobState::Failed,
            Outcome::Cancelled => JobState::Cancelled,
            Outcome::Open if self.has_started() => JobState::Running,
            Outcome::Open => JobState::Queued,
        }
    }
}
