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
pub const URGENCIES: usize = 3;

/// Queues, quota and usage of one team.
#[derive(Debug)]
pub struct Team {
    pub limit: Option<work::Resources>,
    pub weight: u32,
    /// Sum of the declared sizes of its placed and reserved tasks.
    pub used: work::Resources,
    /// Works with waiting tasks by urgency, in order of arrival.
    pub queues: [VecDeque<u32>; URGENCIES],
    /// Queue position, by urgency, at which the next decision continues beyond the front part.
    pub resume: [usize; URGENCIES],
    share: f64,
}

/// All teams of a group.
#[derive(Debug, Default)]
pub struct Teams {
    numbers: IndexMap<ids::TeamId, u32>,
    accounts: Vec<Team>,
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
    pub fn number(&mut self, id: &ids::TeamId) -> u32 {
        if let Some(&number) = self.numbers.get(id) {
            return number;
        }
        let number = self.accounts.len() as u32;
        self.numbers.insert(id.clone(), number);
        self.accounts.push(Team {
            limit: None,
            weight: 1,
            used: work::Resources::default(),
            queues: Default::default(),
            resume: [0; URGENCIES],
            share: 0.0,
        });
        number
    }

    /// Returns the team with an index.
    pub fn get(&self, team: u32) -> &Team {
        &self.accounts[team as usize]
    }

    /// Returns the team with an index, for changes to its queues.
    pub fn get_mut(&mut self, team: u32) -> &mut Team {
        &mut self.accounts[team as usize]
    }

    /// Sets the group's part of a team's quota and the team's weight, which is at least 1.
    pub fn set_quota(&mut self, id: &ids::TeamId, limit: Option<work::Resources>, weight: u32) {
        let number = self.number(id);
        let team = &mut self.accounts[number as usize];
        team.limit = limit;
        team.weight = weight.max(1);
        self.refresh(number);
    }

    /// Sets the group capacity against which shares are computed.
    pub fn set_capacity(&mut self, capacity: work::Resources) {
        self.capacity = capacity;
        for team in 0..self.accounts.len() as u32 {
            self.refresh(team);
        }
    }

    /// Returns whether a team's quota has room for `demand`. `limit` of `None` means no quota.
    pub fn allows(&self, team: u32, demand: work::Resources) -> bool {
        let team = self.get(team);
        team.limit
            .is_none_or(|limit| (team.used + demand).fits_in(limit))
    }

    /// Adds the declared size of a placed or reserved task to the team's usage.
    pub fn charge(&mut self, team: u32, demand: work::Resources) {
        self.accounts[team as usize].used += demand;
        self.refresh(team);
    }

    /// Subtracts the declared size of a task from the team's usage.
    pub fn refund(&mut self, team: u32, demand: work::Resources) {
        let account = &mut self.accounts[team as usize];
        account.used = account.used.saturating_sub(demand);
        self.refresh(team);
    }

    /// Returns the dominant share of a team divided by its weight.
    pub fn share(&self, team: u32) -> f64 {
        self.accounts[team as usize].share
    }

    /// Returns the teams with queued work of an urgency.
    pub fn waiting(&self, urgency: usize) -> impl Iterator<Item = u32> {
        self.accounts
            .iter()
            .enumerate()
            .filter(move |(_, team)| !team.queues[urgency].is_empty())
            .map(|(number, _)| number as u32)
    }

    fn refresh(&mut self, team: u32) {
        let capacity = self.capacity;
        let team = &mut self.accounts[team as usize];
        let dominant = fraction(team.used.cpu_milli, capacity.cpu_milli)
            .max(fraction(team.used.memory_mb, capacity.memory_mb))
            .max(fraction(team.used.accelerators, capacity.accelerators));
        team.share = dominant / f64::from(team.weight);
    }
}
