//! Quotas of teams and weighted fair sharing among them.
//!
//! The caller divides a team's quota among groups, and each group enforces its part
//! independently. Among teams with waiting work, the one with the lowest dominant share
//! relative to its weight is served first (weighted dominant resource fairness).

use std::collections::VecDeque;

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

/// Number of urgency levels, each with its own queue.
pub const URGENCY_LEVELS: usize = 3;

/// Queues, quota and usage of one team.
#[derive(Debug)]
pub struct Team {
    pub limit: Option<work::Resources>,
    pub weight: u32,
    /// Sum of the declared sizes of its placed and reserved tasks.
    pub used: work::Resources,
    /// Works with waiting tasks by urgency, in order of arrival.
    pub queues: [VecDeque<u32>; URGENCY_LEVELS],
    /// Queue position, by urgency, at which the next decision continues beyond the front part.
    pub resume_positions: [usize; URGENCY_LEVELS],
    share: f64,
}

/// All teams of a group. Their indexes are never reused.
#[derive(Debug, Default)]
pub struct Teams {
    indexes: IndexMap<ids::TeamId, u32>,
    entries: Vec<Team>,
    capacity: work::Resources,
}

fn fraction(used: u64, capacity: u64) -> f64 {
    if capacity == 0 {
        return 0.0;
    }
    used as f64 / capacity as f64
}

impl Teams {
    /// Returns the index of a team, adding the team if it is unknown.
    pub fn intern(&mut self, id: &ids::TeamId) -> u32 {
        if let Some(&index) = self.indexes.get(id) {
            return index;
        }
        let index = self.entries.len() as u32;
        self.indexes.insert(id.clone(), index);
        self.entries.push(Team {
            limit: None,
            weight: 1,
            used: work::Resources::default(),
            queues: Default::default(),
            resume_positions: [0; URGENCY_LEVELS],
            share: 0.0,
        });
        index
    }

    /// Returns the team with an index.
    pub fn get(&self, team: u32) -> &Team {
        &self.entries[team as usize]
    }

    /// Returns the team with an index, for changes to its queues.
    pub fn get_mut(&mut self, team: u32) -> &mut Team {
        &mut self.entries[team as usize]
    }

    /// Sets the group's part of a team's quota and the team's weight, which is at least 1.
    pub fn set_quota(&mut self, id: &ids::TeamId, limit: Option<work::Resources>, weight: u32) {
        let index = self.intern(id);
        let team = &mut self.entries[index as usize];
        team.limit = limit;
        team.weight = weight.max(1);
        self.update_share(index);
    }

    /// Sets the group capacity against which shares are computed.
    pub fn set_capacity(&mut self, capacity: work::Resources) {
        self.capacity = capacity;
        for team in 0..self.entries.len() as u32 {
            self.update_share(team);
        }
    }

    /// Returns whether a team's quota has room for `demand`. `limit` of `None` means no quota.
    pub fn has_quota_for(&self, team: u32, demand: work::Resources) -> bool {
        let team = self.get(team);
        team.limit
            .is_none_or(|limit| (team.used + demand).fits_in(limit))
    }

    /// Adds the declared size of a placed or reserved task to the team's usage.
    pub fn charge(&mut self, team: u32, demand: work::Resources) {
        self.entries[team as usize].used += demand;
        self.update_share(team);
    }

    /// Subtracts the declared size of a task from the team's usage.
    pub fn refund(&mut self, team: u32, demand: work::Resources) {
        let entry = &mut self.entries[team as usize];
        entry.used = entry.used.saturating_sub(demand);
        self.update_share(team);
    }

    /// Returns the dominant share of a team divided by its weight.
    pub fn share(&self, team: u32) -> f64 {
        self.entries[team as usize].share
    }

    /// Returns the teams with queued work of an urgency.
    pub fn with_queued_work(&self, urgency: usize) -> impl Iterator<Item = u32> {
        self.entries
            .iter()
            .enumerate()
            .filter(move |(_, team)| !team.queues[urgency].is_empty())
            .map(|(index, _)| index as u32)
    }

    fn update_share(&mut self, team: u32) {
        let capacity = self.capacity;
        let team = &mut self.entries[team as usize];
        let dominant = fraction(team.used.cpu_milli, capacity.cpu_milli)
            .max(fraction(team.used.memory_mb, capacity.memory_mb))
            .max(fraction(team.used.accelerators, capacity.accelerators));
        team.share = dominant / f64::from(team.weight);
    }
}
