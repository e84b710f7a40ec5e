//! The choice of a group for each task.
//!
//! The choice rests on rumors that are a second or two old. What was assigned
//! since is subtracted, so that one shard does not send everything to the group
//! that looked emptiest; different shards may still do so, and the group then
//! hands back what it cannot start.

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

/// How long a group that gave tasks of some work back gets no more of it.
const REFUSAL_MEMORY_MS: u64 = 5_000;
/// How long an assignment is subtracted from what the rumors say.
const ASSIGNED_MEMORY_MS: u64 = 3_000;

/// What the rumors say about one group.
#[derive(Clone, Debug)]
pub(super) struct GroupLoad {
    pub id: ids::GroupId,
    pub free: work::Resources,
    pub capacity: work::Resources,
    pub waiting_tasks: u32,
}

/// What this shard has done lately.
#[derive(Debug, Default)]
pub(super) struct Balance {
    recent: Vec<(u64, ids::GroupId, work::Resources)>,
    refusals: IndexMap<(ids::WorkId, ids::GroupId), u64>,
    tasks: IndexMap<(ids::WorkId, ids::GroupId), u32>,
}

impl Balance {
    /// Notes that a group gave a task back.
    pub fn refused(&mut self, work: &ids::WorkId, group: &ids::GroupId, now_ms: u64) {
        self.refusals.insert((work.clone(), group.clone()), now_ms);
        if let Some(count) = self.tasks.get_mut(&(work.clone(), group.clone())) {
            *count = count.saturating_sub(1);
        }
    }

    /// Subtracts what was assigned lately from the rumors.
    pub fn adjust(&mut self, loads: &mut [GroupLoad], now_ms: u64) {
        self.recent
            .retain(|(at_ms, _, _)| now_ms - at_ms < ASSIGNED_MEMORY_MS);
        self.refusals
            .retain(|_, at_ms| now_ms - *at_ms < REFUSAL_MEMORY_MS);
        for (_, group, demand) in &self.recent {
            if let Some(load) = loads.iter_mut().find(|load| load.id == *group) {
                load.free = load.free.saturating_sub(*demand);
            }
        }
    }

    /// Chooses groups for `count` tasks; tasks for which there is none are left out.
    ///
    /// A gang's tasks all go to one group.
    pub fn choose(
        &mut self,
        work: &work::Work,
        count: usize,
        loads: &mut [GroupLoad],
        now_ms: u64,
    ) -> IndexMap<ids::GroupId, usize> {
        let mut chosen = IndexMap::new();
        if work.kind == work::WorkKind::GangJob {
            let demand = work.demand.times(count as u64);
            if let Some(group) = self.choose_one(work, demand, loads, now_ms) {
                chosen.insert(group, count);
            }
            return chosen;
        }
        for _ in 0..count {
            let Some(group) = self.choose_one(work, work.demand, loads, now_ms) else {
                break;
            };
            *chosen.entry(group).or_default() += 1;
        }
        chosen
    }

    fn choose_one(
        &mut self,
        work: &work::Work,
        demand: work::Resources,
        loads: &mut [GroupLoad],
        now_ms: u64,
    ) -> Option<ids::GroupId> {
        let allowed = |load: &&mut GroupLoad| {
            let in_zone = work.zones.is_empty() || work.zones.contains(&load.id.zone);
            let refused = self
                .refusals
                .contains_key(&(work.id.clone(), load.id.clone()));
            in_zone && !refused && demand.fits_in(load.capacity)
        };
        let candidates: Vec<&mut GroupLoad> = loads.iter_mut().filter(allowed).collect();
        let may_queue = work.urgency != work::Urgency::Deferrable;
        let best = candidates
            .into_iter()
            .filter(|load| may_queue || demand.fits_in(load.free))
            .min_by_key(|load| {
                let fits = demand.fits_in(load.free);
                (!fits, self.preference(work, load), load.waiting_tasks)
            })?;
        best.free = best.free.saturating_sub(demand);
        best.waiting_tasks += 1;
        let id = best.id.clone();
        self.recent.push((now_ms, id.clone(), demand));
        *self.tasks.entry((work.id.clone(), id.clone())).or_default() += 1;
        Some(id)
    }

    /// How many of the work's tasks a group has, after how many its whole zone has.
    fn crowding(&self, work: &work::Work, group: &ids::GroupId) -> u64 {
        let of_work = || self.tasks.iter().filter(|((id, _), _)| *id == work.id);
        let in_zone: u64 = of_work()
            .filter(|((_, other), _)| other.zone == group.zone)
            .map(|(_, count)| u64::from(*count))
            .sum();
        let in_group: u64 = of_work()
            .filter(|((_, other), _)| other == group)
            .map(|(_, count)| u64::from(*count))
            .sum();
        (in_zone << u32::BITS) + in_group
    }

    /// Smaller is better; thousandths of the group's processors are used as the measure of room.
    fn preference(&self, work: &work::Work, load: &GroupLoad) -> u64 {
        let free_per_mille = load.free.cpu_milli * 1_000 / load.capacity.cpu_milli.max(1);
        match work.policy {
            _ if work.kind == work::WorkKind::Service => self.crowding(work, &load.id),
            work::Policy::Spread => self.crowding(work, &load.id),
            work::Policy::QuickStart => 1_000 - free_per_mille.min(1_000),
            work::Policy::TightPacking => free_per_mille,
        }
    }
}
