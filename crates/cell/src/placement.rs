//! Assigns the tasks of a step to workers.
//!
//! Tasks are packed: each goes to the eligible worker with the least free CPU, which leaves room
//! for large tasks on other workers. The rack takes precedence over packing if a step runs slower
//! away from its data or on several racks. Best-effort tasks are spread: each goes to the worker
//! with the most idle CPU.
//!
//! Where workers differ in pace, a step uses fast or slow ones first, as its request says. The members
//! of a gang advance at the pace of the slowest one, so a gang is placed on workers of one pace if it
//! fits there. Otherwise its slowest member is as fast as possible, and as few faster workers as
//! possible are used.

use std::{cmp::Reverse, ops::RangeInclusive};

use crate::{
    pace_choice::PaceChoice,
    workers::{Demand, Resources},
};

/// A worker that may run the tasks of a step.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Index of the worker in the caller's list.
    pub worker: usize,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources in use.
    pub used: Resources,
    /// CPU requested by best-effort tasks, in millicores; it is not part of `used`.
    pub best_effort_millicores: u64,
    /// Rack of the worker; empty if unknown.
    pub rack: &'a str,
    /// Maximum number of further tasks of the step.
    pub task_limit: u32,
    /// Duration of tasks relative to a typical worker, in percent.
    pub pace_percent: u32,
}

impl Candidate<'_> {
    /// Number of tasks of size `demand` that fit now, at most `limit`.
    pub fn fitting_tasks(&self, demand: &Resources, limit: u32) -> u32 {
        let per = |free: u64, demand: u64| free.checked_div(demand).map_or(u64::from(limit), |n| n);
        let free_cpu = self
            .capacity
            .cpu_millicores
            .saturating_sub(self.used.cpu_millicores);
        let free_memory = self.capacity.memory_mb.saturating_sub(self.used.memory_mb);
        let free_gpus = self.capacity.gpus.saturating_sub(self.used.gpus);
        let fits = per(free_cpu, demand.cpu_millicores)
            .min(per(free_memory, demand.memory_mb))
            .min(per(free_gpus, demand.gpus));
        (fits.min(u64::from(limit)) as u32).min(self.task_limit)
    }

    /// Reserves the resources of one task. Returns whether it fits.
    pub fn take(&mut self, demand: &Demand) -> bool {
        let fits = self.fitting_tasks(&demand.resources, 1) == 1;
        if fits {
            self.used.add(&demand.resources);
            self.best_effort_millicores += demand.best_effort_millicores;
            self.task_limit -= 1;
        }
        fits
    }

    /// CPU that is neither in use nor requested by best-effort tasks, in millicores.
    fn unused_millicores(&self) -> u64 {
        let taken = self.used.cpu_millicores + self.best_effort_millicores;
        self.capacity.cpu_millicores.saturating_sub(taken)
    }
}

/// A placement request for the waiting tasks of a step.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Resources that each task requires.
    pub demand: Demand,
    /// Number of tasks to place.
    pub count: u32,
    /// Whether to place either all tasks or none.
    pub all_or_nothing: bool,
    /// Whether to prefer a single rack that holds all tasks.
    pub same_rack: bool,
    /// Rack that holds the input data; empty for none.
    pub affinity_rack: &'a str,
    /// Which workers to use first if they differ in pace.
    pub pace: PaceChoice,
}

/// Places up to `count` tasks. Returns the index of the chosen worker for each placed task.
pub fn place(request: &Request<'_>, candidates: &mut [Candidate<'_>]) -> Vec<usize> {
    let total: u32 = candidates
        .iter()
        .map(|candidate| candidate.fitting_tasks(&request.demand.resources, request.count))
        .sum();
    if total == 0 || (request.all_or_nothing && total < request.count) {
        return Vec::new();
    }
    if request.same_rack
        && let Some(rack) = tightest_rack(request, candidates)
    {
        let mut inside: Vec<Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.rack == rack)
            .cloned()
            .collect();
        return pack(request, &mut inside);
    }
    pack(request, candidates)
}

/// Paces of the workers that a gang may use, or `None` if all are equal.
fn gang_paces(request: &Request<'_>, candidates: &[Candidate<'_>]) -> Option<RangeInclusive<u32>> {
    let fitting = |candidate: &Candidate<'_>| {
        candidate.fitting_tasks(&request.demand.resources, request.count)
    };
    let paces = || {
        let fits = |candidate: &&Candidate<'_>| fitting(candidate) > 0;
        candidates.iter().filter(fits).map(|c| c.pace_percent)
    };
    let room = |paces: RangeInclusive<u32>| -> u32 {
        let is_inside = |candidate: &&Candidate<'_>| paces.contains(&candidate.pace_percent);
        candidates.iter().filter(is_inside).map(fitting).sum()
    };
    let (fastest, slowest) = (paces().min()?, paces().max()?);
    if fastest == slowest {
        return None;
    }
    let mut mixed = None;
    let mut alone = None;
    let mut next = Some(fastest);
    while let Some(pace) = next {
        if room(pace..=pace) >= request.count {
            alone = Some(pace..=pace);
            if request.pace == PaceChoice::Fast {
                break;
            }
        }
        if mixed.is_none() && room(fastest..=pace) >= request.count {
            mixed = Some(fastest..=pace);
            if request.pace == PaceChoice::Fast {
                break;
            }
        }
        next = paces().filter(|&slower| slower > pace).min();
    }
    alone.or(mixed)
}

/// Finds a rack that holds all tasks: the one with the data if possible, otherwise the one with the
/// least spare capacity.
fn tightest_rack<'a>(request: &Request<'_>, candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let mut racks: Vec<(&str, u32)> = Vec::new();
    for candidate in candidates {
        let fitting_tasks = candidate.fitting_tasks(&request.demand.resources, request.count);
        match racks.iter_mut().find(|(rack, _)| *rack == candidate.rack) {
            Some((_, sum)) => *sum += fitting_tasks,
            None => racks.push((candidate.rack, fitting_tasks)),
        }
    }
    racks
        .into_iter()
        .filter(|(_, sum)| *sum >= request.count)
        .min_by_key(|(rack, sum)| (*rack != request.affinity_rack, *sum))
        .map(|(rack, _)| rack)
}

fn pack(request: &Request<'_>, candidates: &mut [Candidate<'_>]) -> Vec<usize> {
    let best_effort = request.demand.best_effort_millicores > 0;
    let is_gang = request.all_or_nothing && request.pace != PaceChoice::Any;
    let gang_paces = is_gang.then(|| gang_paces(request, candidates)).flatten();
    // The fast workers of a mixed gang wait for the slow ones, so as few as possible are used.
    let order = if gang_paces.is_some() {
        PaceChoice::Slow
    } else {
        request.pace
    };
    let is_usable = |candidate: &Candidate<'_>| {
        let paces = gang_paces.as_ref();
        paces.is_none_or(|paces| paces.contains(&candidate.pace_percent))
    };
    let mut placed = Vec::with_capacity(request.count as usize);
    for _ in 0..request.count {
        let is_remote = |candidate: &Candidate<'_>| {
            !request.affinity_rack.is_empty() && candidate.rack != request.affinity_rack
        };
        let free_millicores = |candidate: &Candidate<'_>| {
            candidate
                .capacity
                .cpu_millicores
                .saturating_sub(candidate.used.cpu_millicores)
        };
        let best = candidates
            .iter_mut()
            .filter(|candidate| candidate.fitting_tasks(&request.demand.resources, 1) == 1)
            .filter(|candidate| !best_effort || candidate.unused_millicores() > 0)
            .filter(|candidate| is_usable(candidate))
            .min_by_key(|candidate| {
                let idle_first = Reverse(if best_effort {
                    candidate.unused_millicores()
                } else {
                    0
                });
                let rank = (is_remote(candidate), order.rank(candidate.pace_percent));
                (rank, idle_first, free_millicores(candidate))
            });
        let Some(candidate) = best else {
            break;
        };
        if candidate.take(&request.demand) {
            placed.push(candidate.worker);
        }
    }
    placed
}
