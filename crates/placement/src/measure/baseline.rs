//! Baseline algorithms for the choice of a worker, for comparison in the same run.

use kernel::random;
use kernel::work;
use rand::Rng;

use super::loaded_group::WORKER_CAPACITY;

/// Random probes before a random choice falls back to a scan.
const MAX_RANDOM_PROBES: usize = 64;

/// Free capacity of all workers, as filled by a first-fit scan.
#[derive(Debug)]
pub struct Baseline {
    free: Vec<work::Resources>,
    tasks: Vec<(usize, work::Resources)>,
    random: random::Random,
}

impl Baseline {
    /// Places the same load as that of a [`LoadedGroup`](super::LoadedGroup) by first fit.
    pub fn new(workers: u32, tasks: u32, seed: u64) -> Self {
        let mut baseline = Self {
            free: vec![WORKER_CAPACITY; workers as usize],
            tasks: Vec::new(),
            random: random::from_seed(seed),
        };
        let per_task = |capacity: u64| {
            (capacity * u64::from(workers) * 8 / 10 / u64::from(tasks)).clamp(2, capacity / 2)
        };
        let (cpu, memory) = (
            per_task(WORKER_CAPACITY.cpu_milli),
            per_task(WORKER_CAPACITY.memory_mb),
        );
        for _ in 0..tasks {
            let demand = work::Resources::new(
                (cpu / 2 + baseline.random.next_u64() % cpu).max(1),
                (memory / 2 + baseline.random.next_u64() % memory).max(1),
                0,
            );
            if let Some(worker) = baseline.first_fit(demand) {
                baseline.place(worker, demand);
            }
        }
        baseline
    }

    /// Ends a random task and returns its size, for the next choice.
    ///
    /// # Panics
    ///
    /// If no task runs.
    pub fn end_random_task(&mut self) -> work::Resources {
        let index = self.random.next_u64() as usize % self.tasks.len();
        let (worker, demand) = self.tasks.swap_remove(index);
        self.free[worker] += demand;
        demand
    }

    /// Places a task on a worker, whether or not it has room.
    pub fn place(&mut self, worker: usize, demand: work::Resources) {
        self.free[worker] = self.free[worker].saturating_sub(demand);
        self.tasks.push((worker, demand));
    }

    /// Returns the first worker with room.
    pub fn first_fit(&self, demand: work::Resources) -> Option<usize> {
        self.free.iter().position(|free| demand.fits_in(*free))
    }

    /// Returns a random worker with room, or the first fit after too many misses.
    pub fn random_choice(&mut self, demand: work::Resources) -> Option<usize> {
        for _ in 0..MAX_RANDOM_PROBES {
            let worker = self.random.next_u64() as usize % self.free.len();
            if demand.fits_in(self.free[worker]) {
                return Some(worker);
            }
        }
        self.first_fit(demand)
    }

    /// Returns the one with more free CPU of two random workers with room.
    pub fn two_choices(&mut self, demand: work::Resources) -> Option<usize> {
        let first = self.random_choice(demand)?;
        let second = self.random_choice(demand)?;
        if self.free[first].cpu_milli >= self.free[second].cpu_milli {
            Some(first)
        } else {
            Some(second)
        }
    }
}
