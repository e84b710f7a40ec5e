//! Which runs of a worker to stop so that further tasks fit.

use crate::{
    contention::StopRank,
    ids::TaskId,
    workers::{Resources, Run, Worker},
};

/// A worker on which tasks fit once some runs have been stopped.
#[derive(Debug)]
pub(super) struct Vacatable<'a> {
    pub(super) worker: &'a Worker,
    /// Runs that may be stopped, the most readily stopped one first.
    victims: Vec<(StopRank, TaskId, &'a Run)>,
    /// Resources in use beside the stopped runs, with the tasks that were placed.
    used: Resources,
    /// Number of victims that are stopped.
    stopped: usize,
}

impl<'a> Vacatable<'a> {
    /// A worker with the runs that may be stopped, in the order in which they are.
    pub(super) fn new(
        worker: &'a Worker,
        victims: Vec<(StopRank, TaskId, &'a Run)>,
        used: Resources,
    ) -> Self {
        Self {
            worker,
            victims,
            used,
            stopped: 0,
        }
    }

    /// Order in which workers are vacated: those first on which the fewest stops make room for a task,
    /// then those whose runs are stopped most readily.
    pub(super) fn rank(&self, demand: &Resources) -> (usize, Option<StopRank>) {
        let mut used = self.used;
        let mut stops = 0;
        while !self.worker.entry.capacity.fits(&used, demand) {
            let Some((_, _, victim)) = self.victims.get(stops) else {
                return (usize::MAX, None);
            };
            used.remove(&victim.resources);
            stops += 1;
        }
        (stops, self.victims.first().map(|(rank, _, _)| *rank))
    }

    /// Stops as many runs as up to `limit` tasks need, and returns how many tasks fit.
    pub(super) fn vacate(&mut self, demand: &Resources, limit: u32) -> u32 {
        (0..limit)
            .take_while(|_| self.vacate_for_one(demand))
            .count() as u32
    }

    fn vacate_for_one(&mut self, demand: &Resources) -> bool {
        let (mut used, mut stopped) = (self.used, self.stopped);
        while !self.worker.entry.capacity.fits(&used, demand) {
            let Some((_, _, victim)) = self.victims.get(stopped) else {
                return false;
            };
            used.remove(&victim.resources);
            stopped += 1;
        }
        used.add(demand);
        (self.used, self.stopped) = (used, stopped);
        true
    }

    /// Tasks and numbers of the runs that are stopped.
    pub(super) fn stopped_runs(&self) -> impl Iterator<Item = (TaskId, u64)> {
        let stopped = self.victims.iter().take(self.stopped);
        stopped.map(|(_, task, run)| (*task, run.run))
    }
}
