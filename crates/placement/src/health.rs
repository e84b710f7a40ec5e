//! Attribution of failures to workers and to jobs.
//!
//! A failure counts against the worker unless the job has already failed on
//! other workers without ever succeeding. Unlike jobs that fail in a row on one
//! worker put it into quarantine; afterwards it is on probation, with one task
//! at a time, until a run succeeds.

/// Failures of blameless work in a row that put a worker into quarantine.
const QUARANTINE_FAILURES: usize = 3;
/// Length of a first quarantine; each further one is twice as long.
const QUARANTINE_MS: u64 = 60_000;
/// Doublings of the length of a quarantine at most.
const QUARANTINE_DOUBLINGS: u32 = 6;
/// Different workers on which a job fails before the job is blamed.
const JOB_BLAME_WORKERS: usize = 2;

/// What is known about a worker's failures.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    suspects: Vec<u32>,
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
    /// A run of the job succeeded.
    pub fn success(&mut self) {
        self.succeeded = true;
    }

    /// A run of the job failed on a worker.
    fn failure(&mut self, worker: u32) {
        if self.failed_on.len() <= JOB_BLAME_WORKERS && !self.failed_on.contains(&worker) {
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
        self.suspects.clear();
        self.probation = false;
        self.quarantines = 0;
    }

    /// A run failed; returns whether the worker is now in quarantine.
    pub fn failure(&mut self, worker: u32, job: u32, health: &mut JobHealth, now_ms: u64) -> bool {
        let blamed = health.is_blamed();
        health.failure(worker);
        if blamed {
            return false;
        }
        // The same job counts again only if it is known to run elsewhere.
        if health.succeeded || !self.suspects.contains(&job) {
            self.suspects.push(job);
        }
        if !self.probation && self.suspects.len() < QUARANTINE_FAILURES {
            return false;
        }
        let length = QUARANTINE_MS << self.quarantines.min(QUARANTINE_DOUBLINGS);
        self.until_ms = Some(now_ms + length);
        self.quarantines += 1;
        self.suspects.clear();
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
