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
const QUARANTINE_SUSPICIONS: usize = 6;
/// Length of the first quarantine. Each further one without a success in between is twice as long.
const QUARANTINE_MS: u64 = 60_000;
/// Limit on the doublings of the quarantine length.
const QUARANTINE_DOUBLINGS: u32 = 6;
/// Different workers on which a job without a success fails before the job is at fault.
const JOB_BLAME_WORKERS: usize = 2;

/// Failure record of a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    failures: u32,
    suspicions: Vec<u32>,
    quarantines: u32,
    until_ms: Option<u64>,
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
    pub fn success(&mut self) -> Vec<u32> {
        self.succeeded = true;
        std::mem::take(&mut self.failed_on)
    }

    /// Records a failure on a worker.
    fn failure(&mut self, worker: u32) {
        let known = self.failed_on.contains(&worker);
        if !self.succeeded && !known && self.failed_on.len() <= JOB_BLAME_WORKERS {
            self.failed_on.push(worker);
        }
    }

    /// Returns whether the job failed on several workers and never succeeded.
    pub fn is_blamed(&self) -> bool {
        !self.succeeded && self.failed_on.len() >= JOB_BLAME_WORKERS
    }
}

impl WorkerHealth {
    /// Records a success on the worker, which resets its record.
    pub fn success(&mut self) {
        self.failures = 0;
        self.suspicions.clear();
        self.probation = false;
        self.quarantines = 0;
    }

    /// Records a failed run of a job. Returns whether the worker is now quarantined.
    ///
    /// `count_unproven` says whether unproven failures alone may quarantine the worker.
    pub fn failure(
        &mut self,
        worker: u32,
        job: u32,
        health: &mut JobHealth,
        on_suspicion: bool,
        now_ms: u64,
    ) -> bool {
        let blamed = health.is_blamed();
        health.failure(worker);
        if blamed {
            return false;
        }
        if health.succeeded {
            self.failures += 1;
        } else if !self.suspicions.contains(&job) {
            self.suspicions.push(job);
        }
        let suspected = on_suspicion && self.suspicions.len() >= QUARANTINE_SUSPICIONS;
        self.judge(suspected || self.probation, now_ms)
    }

    /// Records that a job that failed here succeeded elsewhere. Returns whether the
    /// worker is now quarantined.
    pub fn proven(&mut self, now_ms: u64) -> bool {
        if self.until_ms.is_some() {
            return false;
        }
        self.failures += 1;
        self.judge(false, now_ms)
    }

    fn judge(&mut self, suspected: bool, now_ms: u64) -> bool {
        if !suspected && self.failures < QUARANTINE_FAILURES {
            return false;
        }
        let length = QUARANTINE_MS << self.quarantines.min(QUARANTINE_DOUBLINGS);
        self.until_ms = Some(now_ms + length);
        self.quarantines += 1;
        self.failures = 0;
        self.suspicions.clear();
        true
    }

    /// Ends an expired quarantine and starts the probation. Returns whether a quarantine ended.
    pub fn release(&mut self, now_ms: u64) -> bool {
        let Some(until_ms) = self.until_ms else {
            return false;
        };
        if now_ms < until_ms {
            return false;
        }
        self.until_ms = None;
        self.probation = true;
        true
    }

    /// Returns the end of the quarantine, or `None` if the worker is not quarantined.
    pub const fn quarantined_until(&self) -> Option<u64> {
        self.until_ms
    }

    /// Returns whether the worker is on probation.
    pub const fn is_on_probation(&self) -> bool {
        self.probation
    }
}
