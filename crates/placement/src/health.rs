//! Attribution of failed runs to workers or to jobs.
//!
//! A failure counts against the worker if the job is known to run elsewhere, whether it
//! succeeded before or does so afterwards. A failure of a job that has never succeeded
//! is only an unproven failure, and does not count at all once the job has failed on
//! several workers, since then the job itself is at fault. A few consecutive failures,
//! or a larger number of unproven failures of different jobs, quarantine the worker.
//! After the quarantine the worker is on probation and gets one task at a time until a
//! run succeeds.

/// Consecutive failures of jobs that run elsewhere after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 3;
/// Different unproven jobs that fail in a row after which a worker is quarantined.
const QUARANTINE_UNPROVEN_JOBS: usize = 6;
/// Length of the first quarantine. Each further one without a success in between is twice as long.
const FIRST_QUARANTINE_MS: u64 = 60_000;
/// Limit on the doublings of the quarantine length.
const MAX_QUARANTINE_DOUBLINGS: u32 = 6;
/// Different workers on which a job without a success fails before the job is at fault.
const JOB_FAULT_WORKERS: usize = 2;

/// Failure record of a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    confirmed_failures: u32,
    unproven_jobs: Vec<u32>,
    quarantines: u32,
    quarantined_until_ms: Option<u64>,
    probation: bool,
}

/// Failure record of a job.
#[derive(Clone, Debug, Default)]
pub struct JobHealth {
    failed_on: Vec<u32>,
    succeeded: bool,
}

impl JobHealth {
    /// Records a success and returns the workers on which the job had failed before.
    pub fn record_success(&mut self) -> Vec<u32> {
        self.succeeded = true;
        std::mem::take(&mut self.failed_on)
    }

    /// Records a failure on a worker.
    fn record_failure(&mut self, worker: u32) {
        let recorded = self.failed_on.contains(&worker);
        if !self.succeeded && !recorded && self.failed_on.len() <= JOB_FAULT_WORKERS {
            self.failed_on.push(worker);
        }
    }

    /// Returns whether the job failed on several workers and never succeeded.
    pub fn is_at_fault(&self) -> bool {
        !self.succeeded && self.failed_on.len() >= JOB_FAULT_WORKERS
    }
}

impl WorkerHealth {
    /// Records a success on the worker, which resets its record.
    pub fn record_success(&mut self) {
        self.confirmed_failures = 0;
        self.unproven_jobs.clear();
        self.probation = false;
        self.quarantines = 0;
    }

    /// Records a failed run of a job. Returns whether the worker is now quarantined.
    ///
    /// `count_unproven` says whether unproven failures alone may quarantine the worker.
    pub fn record_failure(
        &mut self,
        worker: u32,
        job: u32,
        health: &mut JobHealth,
        count_unproven: bool,
        now_ms: u64,
    ) -> bool {
        let at_fault = health.is_at_fault();
        health.record_failure(worker);
        if at_fault {
            return false;
        }
        if health.succeeded {
            self.confirmed_failures += 1;
        } else if !self.unproven_jobs.contains(&job) {
            self.unproven_jobs.push(job);
        }
        let enough_unproven =
            count_unproven && self.unproven_jobs.len() >= QUARANTINE_UNPROVEN_JOBS;
        self.update_quarantine(enough_unproven || self.probation, now_ms)
    }

    /// Records that a job that failed here succeeded elsewhere. Returns whether the
    /// worker is now quarantined.
    pub fn record_confirmed_failure(&mut self, now_ms: u64) -> bool {
        if self.quarantined_until_ms.is_some() {
            return false;
        }
        self.confirmed_failures += 1;
        self.update_quarantine(false, now_ms)
    }

    fn update_quarantine(&mut self, quarantine_now: bool, now_ms: u64) -> bool {
        if !quarantine_now && self.confirmed_failures < QUARANTINE_FAILURES {
            return false;
        }
        let length_ms = FIRST_QUARANTINE_MS << self.quarantines.min(MAX_QUARANTINE_DOUBLINGS);
        self.quarantined_until_ms = Some(now_ms + length_ms);
        self.quarantines += 1;
        self.confirmed_failures = 0;
        self.unproven_jobs.clear();
        true
    }

    /// Ends an expired quarantine and starts the probation. Returns whether a quarantine ended.
    pub fn end_quarantine(&mut self, now_ms: u64) -> bool {
        let Some(quarantined_until_ms) = self.quarantined_until_ms else {
            return false;
        };
        if now_ms < quarantined_until_ms {
            return false;
        }
        self.quarantined_until_ms = None;
        self.probation = true;
        true
    }

    /// Returns the end of the quarantine, or `None` if the worker is not quarantined.
    pub const fn quarantined_until_ms(&self) -> Option<u64> {
        self.quarantined_until_ms
    }

    /// Returns whether the worker is on probation.
    pub const fn is_on_probation(&self) -> bool {
        self.probation
    }
}
