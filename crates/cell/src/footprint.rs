//! What an accepted job costs its coordinator: memory while it is open, and the size of its record.
//!
//! Clients may submit jobs with thousands of steps, tasks or occurrences, all within the limit on the
//! size of a body. Each step and each task has state, so a job can take a hundred times the memory of
//! its text. [`MemoryBudget`] bounds what open jobs take together. One large job is accepted if it fits
//! at all; several of them may use a part of the budget only, so that ordinary jobs find room beside
//! them.

use prost::Message;

use crate::jobs::JobSpec;

/// Specification of a step, in bytes.
const STEP_SPEC_BYTES: u64 = 200;
/// State of a step without its tasks, in bytes: its progress and its advice.
const STEP_STATE_BYTES: u64 = 500;
/// State of a task, in bytes, and that of its run on a worker.
const TASK_STATE_BYTES: u64 = 520;
/// State of a job, in bytes, also of one that has ended lately.
pub(crate) const JOB_STATE_BYTES: u64 = 700;
/// Size of an element of a step's list of steps that must complete first, in bytes.
const AFTER_BYTES: u64 = 4;
/// Entry of a step in a record, in bytes, beside the bitmap of its completed tasks.
const STEP_RECORD_BYTES: u64 = 16;
/// Number of a completed occurrence in a record, in bytes.
const OCCURRENCE_RECORD_BYTES: u64 = 5;
/// State from which on a job counts as large, in bytes.
pub const LARGE_JOB_BYTES: u64 = 256 << 10;
/// Part of the budget that several large jobs may use: one byte in this many.
const LARGE_JOBS_PART: u64 = 2;
/// Part of the budget that small jobs have even if large ones exceed it, because a predecessor had more
/// memory: one byte in this many.
const SMALL_JOBS_PART: u64 = 4;

/// Memory that a job takes while none of its occurrences has begun, in bytes.
pub fn base_bytes(spec: &JobSpec) -> u64 {
    let after: usize = spec.steps.iter().map(|step| step.after.len()).sum();
    let steps_bytes = STEP_SPEC_BYTES * spec.steps.len() as u64;
    JOB_STATE_BYTES + steps_bytes + AFTER_BYTES * after as u64 + spec.encoded_len() as u64
}

/// Memory that each occurrence of a job takes once it has begun, in bytes.
pub fn occurrence_bytes(spec: &JobSpec) -> u64 {
    let step_bytes = |count: u32| STEP_STATE_BYTES + TASK_STATE_BYTES * u64::from(count);
    let steps = spec.steps.iter().map(|step| step_bytes(step.count));
    steps.fold(0, u64::saturating_add)
}

/// Memory that a job takes with its first occurrence, in bytes.
pub fn job_bytes(spec: &JobSpec) -> u64 {
    base_bytes(spec).saturating_add(occurrence_bytes(spec))
}

/// Whether a job counts as large.
pub fn is_large(spec: &JobSpec) -> bool {
    job_bytes(spec) >= LARGE_JOB_BYTES
}

/// Size that the record of a job may reach while all goes well, in bytes.
pub fn record_bytes(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter();
    let done = steps.map(|step| STEP_RECORD_BYTES + u64::from(step.count) / 8);
    let spec_bytes = (spec.encoded_len() - spec.payload.len()) as u64;
    spec_bytes
        .saturating_add(done.fold(0, u64::saturating_add))
        .saturating_add(OCCURRENCE_RECORD_BYTES * u64::from(spec.occurrences))
}

/// What open jobs take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldMemory {
    /// Memory of all open jobs, in bytes.
    pub bytes: u64,
    /// Memory of the large ones, in bytes.
    pub large_bytes: u64,
}

impl HeldMemory {
    /// Adds a job that takes `bytes`.
    pub fn add(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_add(bytes);
        if bytes >= LARGE_JOB_BYTES {
            self.large_bytes = self.large_bytes.saturating_add(bytes);
        }
    }

    /// Removes a job that took `bytes`.
    pub fn remove(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
        if bytes >= LARGE_JOB_BYTES {
            self.large_bytes = self.large_bytes.saturating_sub(bytes);
        }
    }

    /// What both take together.
    #[must_use]
    pub fn plus(mut self, other: Self) -> Self {
        self.bytes = self.bytes.saturating_add(other.bytes);
        self.large_bytes = self.large_bytes.saturating_add(other.large_bytes);
        self
    }
}

/// Limits on what jobs cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Memory of all open jobs, in bytes.
    pub job_bytes: u64,
    /// Size of a record, in bytes.
    pub record_bytes: u64,
}

impl MemoryBudget {
    /// No limits.
    pub const UNLIMITED: Self = Self {
        job_bytes: u64::MAX,
        record_bytes: u64::MAX,
    };

    /// Whether a job could be accepted if no other were open.
    pub fn fits_alone(&self, spec: &JobSpec) -> bool {
        job_bytes(spec) <= self.job_bytes && record_bytes(spec) <= self.record_bytes
    }

    /// Whether there is room for a job that takes `bytes` beside what others hold.
    pub fn has_room(&self, held: HeldMemory, bytes: u64) -> bool {
        let is_within_budget = held.bytes.saturating_add(bytes) <= self.job_bytes;
        if bytes < LARGE_JOB_BYTES {
            let small_bytes = held.bytes.saturating_sub(held.large_bytes);
            let small_share_bytes = self.job_bytes / SMALL_JOBS_PART;
            return is_within_budget || small_bytes.saturating_add(bytes) <= small_share_bytes;
        }
        let large_bytes = held.large_bytes.saturating_add(bytes);
        let is_only_large_one = held.large_bytes == 0;
        is_within_budget && (is_only_large_one || large_bytes <= self.job_bytes / LARGE_JOBS_PART)
    }
}
