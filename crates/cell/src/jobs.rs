//! What clients ask for, and the durable record of a job.
//!
//! A [`JobRecord`] is all that outlives a host: what was asked, when it was accepted, and which
//! ends of its tasks count. Runs that are under way are not recorded; a coordinator learns them
//! from the workers.

/// One step of a job, as a client asked for it.
#[expect(
    clippy::struct_excessive_bools,
    reason = "clients set each of them independently"
)]
#[derive(Clone, PartialEq, prost::Message)]
pub struct StepSpec {
    /// How many tasks the step has.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Processor of each task, in thousandths of a core.
    #[prost(uint64, tag = "2")]
    pub cpu_millicores: u64,
    /// Memory of each task, in megabytes.
    #[prost(uint64, tag = "3")]
    pub memory_mb: u64,
    /// Accelerators of each task.
    #[prost(uint64, tag = "4")]
    pub gpus: u64,
    /// The client's rough estimate of a task's duration, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    /// Positions of the steps that must be done before.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Tasks save their progress and can resume from it.
    #[prost(bool, tag = "7")]
    pub checkpointing: bool,
    /// Tasks work only while all of them are present, and end together.
    #[prost(bool, tag = "8")]
    pub gang: bool,
    /// Tasks are slower when they run on more than one rack.
    #[prost(bool, tag = "9")]
    pub same_rack: bool,
    /// Label that a worker must have; empty for none.
    #[prost(string, tag = "10")]
    pub required_label: String,
    /// Rack that holds the data; tasks are slower elsewhere. Empty for none.
    #[prost(string, tag = "11")]
    pub affinity_rack: String,
    /// At most this many tasks on one worker; 0 for no limit.
    #[prost(uint32, tag = "12")]
    pub max_per_worker: u32,
    /// Several copies of a task may run; the first to finish counts.
    #[prost(bool, tag = "13")]
    pub speculative: bool,
    /// Tasks run until the job is cancelled and are restarted however they end.
    #[prost(bool, tag = "14")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike. Empty for none.
    #[prost(string, tag = "15")]
    pub image: String,
    /// Bound on the tail of a long-running task's response times, in milliseconds; 0 for none.
    #[prost(uint64, tag = "16")]
    pub target_ms: u64,
    /// The tasks use only what others leave; their processor is not counted against a worker.
    #[prost(bool, tag = "17")]
    pub fills: bool,
    /// How many tasks of a long-running step may be away at once through the system's doing.
    #[prost(uint32, tag = "18")]
    pub may_miss: u32,
}

impl StepSpec {
    /// The part of the processor that counts against a worker, in thousandths of a core.
    pub fn counted_millicores(&self) -> u64 {
        if self.fills { 0 } else { self.cpu_millicores }
    }

    /// Processor time that the whole step is estimated to need, in core-milliseconds.
    pub fn estimated_core_ms(&self) -> u64 {
        u64::from(self.count) * self.counted_millicores() * self.estimate_ms / 1000
    }
}

/// A job as a client asked for it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobSpec {
    /// Text that is handed to each task unchanged.
    #[prost(string, tag = "1")]
    pub payload: String,
    /// The job's steps.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<StepSpec>,
    /// How many times the steps run at set times; 0 for a job that runs once, at once.
    #[prost(uint32, tag = "3")]
    pub occurrences: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub first_due_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub interval_ms: u64,
}

impl JobSpec {
    /// Longest chain of estimated durations over the steps, in milliseconds.
    pub fn longest_chain_ms(&self) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step
                .after
                .iter()
                .filter_map(|&n| ends_ms.get(n as usize))
                .max();
            ends_ms.push(before.copied().unwrap_or(0) + step.estimate_ms);
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }

    /// Whether the steps refer only to earlier ones and each has a task.
    pub fn is_well_formed(&self) -> bool {
        let ordered = |(n, step): (usize, &StepSpec)| {
            step.count > 0 && step.after.iter().all(|&before| (before as usize) < n)
        };
        !self.steps.is_empty() && self.steps.iter().enumerate().all(ordered)
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// It has not ended.
    Open = 0,
    /// All tasks have ended as done.
    Completed = 1,
    /// A task or gang used up its attempts.
    Failed = 2,
    /// A client cancelled it.
    Cancelled = 3,
}

/// What counts of one task.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskRecord {
    /// The task's occurrence.
    #[prost(uint32, tag = "1")]
    pub occurrence: u32,
    /// The task's step.
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// The task's position in the step.
    #[prost(uint32, tag = "3")]
    pub index: u32,
    /// Numbers of the runs that ended as failed.
    #[prost(uint64, repeated, tag = "5")]
    pub failed_runs: Vec<u64>,
    /// The highest run number that is known.
    #[prost(uint64, tag = "6")]
    pub last_run: u64,
    /// Progress that a later run can resume from; empty for none.
    #[prost(string, tag = "7")]
    pub checkpoint: String,
}

/// Tasks of a step that have ended as done, one bit each.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DoneTasks {
    /// The step's occurrence.
    #[prost(uint32, tag = "1")]
    pub occurrence: u32,
    /// The step.
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// Bit `n % 8` of byte `n / 8` stands for the task at position `n`.
    #[prost(bytes = "vec", tag = "3")]
    pub bits: Vec<u8>,
}

impl DoneTasks {
    /// The tasks at these positions.
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

    /// Positions of the tasks.
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
    /// The job's name.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The queue that it was handed in at.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// The service of that queue at the time.
    #[prost(string, tag = "3")]
    pub service: String,
    /// When it was accepted, in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub accepted_unix_ms: u64,
    /// What the client asked for; absent once the job has ended.
    #[prost(message, optional, tag = "5")]
    pub spec: Option<JobSpec>,
    /// How it ended.
    #[prost(enumeration = "Outcome", tag = "6")]
    pub outcome: i32,
    /// Tasks that are not done and of which something counts.
    #[prost(message, repeated, tag = "7")]
    pub tasks: Vec<TaskRecord>,
    /// Tasks that are done, for each step with any.
    #[prost(message, repeated, tag = "10")]
    pub done_tasks: Vec<DoneTasks>,
    /// Occurrences of which all tasks are done.
    #[prost(uint32, repeated, tag = "8")]
    pub finished_occurrences: Vec<u32>,
    /// When it ended, in Unix milliseconds; 0 while it is open.
    #[prost(uint64, tag = "9")]
    pub ended_unix_ms: u64,
    /// Which host took it from its client and has its text at hand, as `ip:port`; empty where that is
    /// not known.
    #[prost(string, tag = "11")]
    pub home: String,
}

/// What a client is told about its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Accepted, and no task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have ended as done.
    Completed,
    /// A task or gang used up its attempts.
    Failed,
    /// A client cancelled it.
    Cancelled,
}

impl JobRecord {
    /// Whether a task of it has started, as far as the record shows.
    pub fn has_started(&self) -> bool {
        !self.tasks.is_empty() || !self.done_tasks.is_empty()
    }

    /// The state that the record alone shows.
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
