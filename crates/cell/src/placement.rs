//! Which workers a step's tasks go to.
//!
//! Tasks are packed: each goes to the worker that is left with the least free processor, so that
//! room for wide tasks stays together on other workers. Racks come before packing where a step
//! is slower away from its data or when it is spread. Tasks that fill are spread: each goes to the
//! worker with the most processor that nobody uses.

use std::cmp::Reverse;

use crate::workers::{Need, Room};

/// A worker that may run a step's tasks.
#[derive(Clone, Debug)]
pub struct Spot<'a> {
    /// The worker's position in the caller's list.
    pub worker: usize,
    /// What it can hold in all.
    pub capacity: Room,
    /// What is taken.
    pub used: Room,
    /// Processor that filling tasks use where others leave it, in thousandths of a core.
    pub filling_millicores: u64,
    /// Its rack.
    pub rack: &'a str,
    /// How many more tasks of the step it may run.
    pub task_limit: u32,
}

impl Spot<'_> {
    /// How many tasks of the size `need` it can take now, up to `most`.
    pub fn takes(&self, need: &Room, most: u32) -> u32 {
        let per = |free: u64, need: u64| free.checked_div(need).map_or(u64::from(most), |n| n);
        let free_cpu = self
            .capacity
            .cpu_millicores
            .saturating_sub(self.used.cpu_millicores);
        let free_memory = self.capacity.memory_mb.saturating_sub(self.used.memory_mb);
        let free_gpus = self.capacity.gpus.saturating_sub(self.used.gpus);
        let fits = per(free_cpu, need.cpu_millicores)
            .min(per(free_memory, need.memory_mb))
            .min(per(free_gpus, need.gpus));
        (fits.min(u64::from(most)) as u32).min(self.task_limit)
    }

    /// Processor that no task counts or fills, in thousandths of a core.
    fn unused_millicores(&self) -> u64 {
        let taken = self.used.cpu_millicores + self.filling_millicores;
        self.capacity.cpu_millicores.saturating_sub(taken)
    }
}

/// What decides where a step's tasks go.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// What each task takes.
    pub need: Need,
    /// How many tasks wait.
    pub count: u32,
    /// All or none.
    pub all_or_nothing: bool,
    /// Tasks are slower on more than one rack.
    pub same_rack: bool,
    /// The rack with the data; empty for none.
    pub affinity_rack: &'a str,
}

/// Places up to `count` tasks; returns the position of a worker for each that found room.
pub fn place(request: &Request<'_>, spots: &mut [Spot<'_>]) -> Vec<usize> {
    let total: u32 = spots
        .iter()
        .map(|spot| spot.takes(&request.need.room, request.count))
        .sum();
    if total == 0 || (request.all_or_nothing && total < request.count) {
        return Vec::new();
    }
    if request.same_rack
        && let Some(rack) = whole_rack(request, spots)
    {
        let mut inside: Vec<Spot<'_>> = spots
            .iter()
            .filter(|spot| spot.rack == rack)
            .cloned()
            .collect();
        return pack(request, &mut inside);
    }
    pack(request, spots)
}

/// The tightest rack that holds all tasks, the one with the data first.
fn whole_rack<'a>(request: &Request<'_>, spots: &[Spot<'a>]) -> Option<&'a str> {
    let mut racks: Vec<(&str, u32)> = Vec::new();
    for spot in spots {
        let takes = spot.takes(&request.need.room, request.count);
        match racks.iter_mut().find(|(rack, _)| *rack == spot.rack) {
            Some((_, sum)) => *sum += takes,
            None => racks.push((spot.rack, takes)),
        }
    }
    racks
        .into_iter()
        .filter(|(_, sum)| *sum >= request.count)
        .min_by_key(|(rack, sum)| (*rack != request.affinity_rack, *sum))
        .map(|(rack, _)| rack)
}

fn pack(request: &Request<'_>, spots: &mut [Spot<'_>]) -> Vec<usize> {
    let fills = request.need.filling_millicores > 0;
    let mut placed = Vec::with_capacity(request.count as usize);
    for _ in 0..request.count {
        let away = |spot: &Spot<'_>| {
            !request.affinity_rack.is_empty() && spot.rack != request.affinity_rack
        };
        let left = |spot: &Spot<'_>| {
            spot.capacity
                .cpu_millicores
                .saturating_sub(spot.used.cpu_millicores)
        };
        let best = spots
            .iter_mut()
            .filter(|spot| spot.takes(&request.need.room, 1) == 1)
            .filter(|spot| !fills || spot.unused_millicores() > 0)
            .min_by_key(|spot| {
                let spread = Reverse(if fills { spot.unused_millicores() } else { 0 });
                (away(spot), spread, left(spot))
            });
        let Some(spot) = best else {
            break;
        };
        spot.used.add(&request.need.room);
        spot.filling_millicores += request.need.filling_millicores;
        spot.task_limit -= 1;
        placed.push(spot.worker);
    }
    placed
}
