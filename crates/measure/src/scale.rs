//! The sizes and durations of a measurement run.

/// Sizes and durations of a measurement run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scale {
    /// Numbers of workers of the in-process cells and of the real process.
    pub workers: Vec<u32>,
    /// Numbers of entry hosts, at a fixed number of workers.
    pub hosts: Vec<usize>,
    /// Numbers of zones, at a fixed number of workers.
    pub zones: Vec<usize>,
    /// Numbers of workers of the groups whose placement decisions are timed.
    pub decision_workers: Vec<u32>,
    /// Tasks of each group whose placement decisions are timed.
    pub decision_tasks: u32,
    /// Jobs in each journal measurement.
    pub journal_jobs: u64,
    /// Window in which the traffic of a cell is counted, in paused-clock time.
    pub window_ms: u64,
    /// Window in which the usage of a real process is measured, in real time.
    pub process_window_ms: u64,
}

impl Scale {
    /// The sizes of the figures in `docs/design/capacity-hickoryd.md`.
    pub fn full() -> Self {
        Self {
            workers: vec![50, 100, 200, 400],
            hosts: vec![3, 7, 14, 28],
            zones: vec![1, 2, 4, 8],
            decision_workers: vec![50, 100, 200, 400, 6_600],
            decision_tasks: 97_000,
            journal_jobs: 29_000,
            window_ms: 30_000,
            process_window_ms: 5_000,
        }
    }

    /// Small sizes for tests: two per dimension, as a linear fit needs.
    pub fn quick() -> Self {
        Self {
            workers: vec![16, 32],
            hosts: vec![2, 4],
            zones: vec![1, 2],
            decision_workers: vec![50, 100],
            decision_tasks: 1_000,
            journal_jobs: 1_000,
            window_ms: 4_000,
            process_window_ms: 1_000,
        }
    }
}
