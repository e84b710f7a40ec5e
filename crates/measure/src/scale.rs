//! The sizes at which a run measures.

/// The sizes at which a run measures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scale {
    /// Workers of the cells and of the real process.
    pub workers: Vec<u32>,
    /// Entry hosts of the cells whose workers stay the same.
    pub hosts: Vec<usize>,
    /// Zones of the cells whose workers and entry hosts stay the same.
    pub zones: Vec<usize>,
    /// Workers of the groups whose decisions are timed.
    pub decision_workers: Vec<u32>,
    /// Tasks that run in those groups.
    pub decision_tasks: u32,
    /// Jobs that the journal is measured with.
    pub journal_jobs: u64,
    /// Time for which a cell is counted, on its own clock.
    pub window_ms: u64,
    /// Time for which a real process is watched.
    pub process_window_ms: u64,
}

impl Scale {
    /// The sizes that `docs/design/capacity-hickoryd.md` quotes.
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

    /// The smallest sizes that still give a line.
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
