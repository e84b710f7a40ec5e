//! Attribution of failures to workers and to jobs.
//!
//! A failure is held against the worker if the job is known to run elsewhere,
//! before or after. The failure of a job that has never run is a suspicion
//! only, and none if the job has failed on several workers: such a job is to
//! blame itself. A few failures, or more suspicions from unlike jobs, with no
//! success between them put a worker into quarantine; afterwards it is on
//! probation, with one task at a time, until a run succeeds.

/// Failures of proven jobs in a row that put a worker into quarantine.
const QUARANTINE_FAILURES: u32 = 3;
/// Unproven jobs that fail in a row and put a worker into quarantine.
const QUARANTINE_SUSPICIONS: usize = 6;
/// Length of a first quarantine; each further one is twice as long.
const QUARANTINE_MS: u64 = 60_000;
/// Doublings of the length of a quarantine at most.
const QUARANTINE_DOUBLINGS: u32 = 6;
/// Different workers on which a job fails before the job is blamed.
const JOB_BLAME_WORKERS: usize = 2;

/// What is known about a worker's failures.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    failures: u32,
    suspicions: Vec<u32>,
    quarantines: u32,
    until_ms: Option<u64>,
    probation: bool,
}

/// What is known about a job's failures.
#[derive(Clone, Debug, Default)]
pub struct JobHealth {
    failed_on: Vec<u32>,
    succeeded: bool,
}

impl JobHealth {
    /// A run of the job succeeded; returns the workers on which it had failed before.
    pub fn success(&mut self) -> Vec<u32> {
        self.succeeded = true;
        std::mem::take(&mut self.failed_on)
    }

    /// A run of the job failed on a worker.
    fn failure(&mut self, worker: u32) {
        let known = self.failed_on.contains(&worker);
        if !self.succeeded && !known && self.failed_on.len() <= JOB_BLAME_WORKERS {
            self.failed_on.push(worker);
        }
    }

    /// Whether the job failed on several workers and never succeeded.
    pub fn is_blamed(&self) -> bool {
        !self.succeeded && self.failed_on.len() >= JOB_BLAME_WORKERS
    }
}

impl WorkerHealth {
    /// A run on the worker succeeded.
    pub fn success(&mut self) {
        self.failures = 0;
        self.suspicions.clear();
        self.probation = false;
        self.quarantines = 0;
    }

    /// A run failed; returns whether the worker is now in quarantine.
    ///
    /// `on_suspicion` says whether suspicions alone are enough.
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

    /// A job that failed here has run elsewhere; returns whether the worker is now in quarantine.
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

    /// Ends a quarantine whose time has come; returns whether it ended.
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

    /// Until when the worker is in quarantine.
    pub const fn quarantined_until(&self) -> Option<u64> {
        self.until_ms
    }

    /// Whether the worker gets one task at a time.
    pub const fn is_on_probation(&self) -> bool {
        self.probation
    }
}
