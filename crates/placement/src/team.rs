//! Teams: quotas, and weighted fair shares under contention.
//!
//! The quota of a team is divided among groups by the caller; a group enforces
//! its part alone. Among teams that wait, the one with the lowest dominant
//! share for its weight is served first.

use std::collections::VecDeque;

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

/// Number of classes of urgency, each with its own queue.
pub const URGENCIES: usize = 3;

/// A team's queue and account.
#[derive(Debug)]
pub struct Team {
    pub limit: Option<work::Resources>,
    pub weight: u32,
    /// What its placed tasks declare together.
    pub used: work::Resources,
    /// Works with waiting tasks, oldest first, by urgency.
    pub queues: [VecDeque<u32>; URGENCIES],
    /// Where the next decision goes on looking beyond the front of each queue.
    pub resume: [usize; URGENCIES],
    share: f64,
}

/// All teams.
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
    /// The number of a team, which is made if it is new.
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

    /// The team of a number.
    pub fn get(&self, team: u32) -> &Team {
        &self.accounts[team as usize]
    }

    /// The team of a number, to change its queues.
    pub fn get_mut(&mut self, team: u32) -> &mut Team {
        &mut self.accounts[team as usize]
    }

    /// Sets a team's part of its quota, and its weight.
    pub fn set_quota(&mut self, id: &ids::TeamId, limit: Option<work::Resources>, weight: u32) {
        let number = self.number(id);
        let team = &mut self.accounts[number as usize];
        team.limit = limit;
        team.weight = weight.max(1);
        self.refresh(number);
    }

    /// Sets the capacity against which shares are computed.
    pub fn set_capacity(&mut self, capacity: work::Resources) {
        self.capacity = capacity;
        for team in 0..self.accounts.len() as u32 {
            self.refresh(team);
        }
    }

    /// Whether a team's quota leaves room for `demand`.
    pub fn allows(&self, team: u32, demand: work::Resources) -> bool {
        let team = self.get(team);
        team.limit
            .is_none_or(|limit| (team.used + demand).fits_in(limit))
    }

    /// Counts a placed task.
    pub fn charge(&mut self, team: u32, demand: work::Resources) {
        self.accounts[team as usize].used += demand;
        self.refresh(team);
    }

    /// Counts the end of a placed task.
    pub fn refund(&mut self, team: u32, demand: work::Resources) {
        let account = &mut self.accounts[team as usize];
        account.used = account.used.saturating_sub(demand);
        self.refresh(team);
    }

    /// The dominant share of a team, divided by its weight.
    pub fn share(&self, team: u32) -> f64 {
        self.accounts[team as usize].share
    }

    /// Teams that have work of an urgency in their queue.
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
