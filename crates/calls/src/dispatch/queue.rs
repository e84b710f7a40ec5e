//! Queue of the calls that wait for a slot, with fair queueing between teams.
//!
//! Urgent calls go first. The others are scheduled by stride scheduling: the next call
//! is of the team with the lowest slot time per weight (its pass value), and within the
//! team the more urgent call goes first. The slot time of urgent calls is charged as
//! well, and the dispatcher queues those of a team that is far ahead of its share as
//! normal calls, so a team cannot exceed its share by declaring its calls urgent. A team
//! may catch up on slot time that it left unused, up to a limit; without that, a team
//! that requests just its share would lose part of it in every lull.
//!
//! The dispatcher bounds the length of the queue, by [`Queue::evict_for`].

use std::collections::BTreeSet;

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

use super::admission;
use super::team;

/// Number of teams above which the state of idle ones is dropped.
const IDLE_TEAM_EVICTION_THRESHOLD: usize = 256;
/// Slot time by which a team with weight 1 can be ahead of the others or behind them.
///
/// Bounds the wait of a team that exceeded its share with urgent calls, and the slot time
/// on which an idle team may catch up.
const MAX_IMBALANCE_MS: u64 = 2_000;

/// Order of the waiting calls of one team and urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// First in, first out.
    #[default]
    OldestFirst,
    /// Last in, first out.
    NewestFirst,
    /// By deadline, earliest first.
    EarliestDeadline,
}

#[derive(Clone, Debug)]
struct Location {
    team: ids::TeamId,
    lane: usize,
    position: team::QueuePosition,
    deadline_at_ms: u64,
}

/// Waiting calls of all teams, indexed by call ID, deadline and team pass value.
#[derive(Debug)]
pub(super) struct Queue {
    order: QueueOrder,
    teams: IndexMap<ids::TeamId, team::Team>,
    /// Teams with waiting urgent calls, by pass value.
    urgent: BTreeSet<(u64, ids::TeamId)>,
    /// Teams with waiting calls that are not urgent, by pass value.
    non_urgent: BTreeSet<(u64, ids::TeamId)>,
    urgent_len: usize,
    /// Consecutive urgent calls taken while others waited.
    urgent_burst: u32,
    /// Pass value of the team that was last served in its turn; never decreases. Urgent calls
    /// that are taken while others wait do not change it.
    global_pass: u64,
    locations: IndexMap<admission::CallId, Location>,
    deadlines: BTreeSet<(u64, admission::CallId)>,
    weights: IndexMap<ids::TeamId, u64>,
    arrivals: u64,
    bytes: u64,
}

impl Queue {
    pub(super) fn new(order: QueueOrder) -> Self {
        Self {
            order,
            teams: IndexMap::new(),
            urgent: BTreeSet::new(),
            non_urgent: BTreeSet::new(),
            urgent_len: 0,
            urgent_burst: 0,
            global_pass: 0,
            locations: IndexMap::new(),
            deadlines: BTreeSet::new(),
            weights: IndexMap::new(),
            arrivals: 0,
            bytes: 0,
        }
    }

    pub(super) fn set_weight(&mut self, team: &ids::TeamId, weight: u32) {
        self.weights.insert(team.clone(), u64::from(weight.max(1)));
    }

    pub(super) fn len(&self) -> usize {
        self.locations.len()
    }

    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn contains(&self, id: admission::CallId) -> bool {
        self.locations.contains_key(&id)
    }

    /// Whether a team has reached the limit by which it may be ahead of its share.
    pub(super) fn is_ahead(&self, team: &ids::TeamId) -> bool {
        let team = self.teams.get(team);
        team.is_some_and(|team| team.pass >= self.global_pass + team.pass_delta(MAX_IMBALANCE_MS))
    }

    /// Estimated number of calls that will be served before a new call of a team.
    ///
    /// `service_ms` is the mean time for which a call holds a slot.
    pub(super) fn calls_ahead(
        &self,
        id: &ids::TeamId,
        urgency: work::Urgency,
        service_ms: u64,
    ) -> u64 {
        let lane = team::lane_of(urgency);
        if lane == team::URGENT_LANE {
            return self.urgent_len as u64;
        }
        let weight = self.weight(id);
        let own_team = self.teams.get(id);
        let own: usize = own_team.map_or(0, |team| {
            (team::URGENT_LANE + 1..=lane)
                .map(|lane| team.lane_len(lane))
                .sum()
        });
        let turns = own as u64 + 1;
        let turns = own_team.map_or(turns, |team| {
            let pass = team.pass + turns * team.pass_delta(service_ms);
            pass.saturating_sub(self.global_pass) / team.pass_delta(service_ms).max(1)
        });
        let others = self.non_urgent.iter().filter(|(_, other)| other != id);
        let shares = others.map(|(_, other)| {
            let other = &self.teams[other];
            (turns * other.weight / weight).min(other.non_urgent_len() as u64)
        });
        self.urgent_len as u64 + own as u64 + shares.sum::<u64>()
    }

    pub(super) fn push(&mut self, request: admission::CallTicket) {
        self.evict_idle_teams();
        self.arrivals += 1;
        let key = match self.order {
            QueueOrder::OldestFirst => self.arrivals,
            QueueOrder::NewestFirst => u64::MAX - self.arrivals,
            QueueOrder::EarliestDeadline => request.deadline_at_ms,
        };
        let location = Location {
            team: request.team.clone(),
            lane: team::lane_of(request.urgency),
            position: (key, self.arrivals),
            deadline_at_ms: request.deadline_at_ms,
        };
        self.bytes += request.body_bytes;
        self.urgent_len += usize::from(location.lane == team::URGENT_LANE);
        self.deadlines.insert((request.deadline_at_ms, request.id));
        self.locations.insert(request.id, location.clone());
        let weight = self.weight(&request.team);
        let global_pass = self.global_pass;
        self.update_team(&location.team, |team| {
            team.weight = weight;
            if team.len() == 0 {
                let limit = team.pass_delta(MAX_IMBALANCE_MS);
                team.pass = team
                    .pass
                    .clamp(global_pass.saturating_sub(limit), global_pass + limit);
            }
            team.insert(location.lane, location.position, request);
        });
    }

    /// Removes the next call and charges `service_ms` of slot time to its team.
    pub(super) fn pop(&mut self, service_ms: u64) -> Option<admission::CallTicket> {
        let urgent = self.is_urgent_next();
        let teams = if urgent {
            &self.urgent
        } else {
            &self.non_urgent
        };
        let (pass, id) = teams.first()?.clone();
        if !urgent || self.non_urgent.is_empty() {
            self.global_pass = self.global_pass.max(pass);
        }
        let request = self.update_team(&id, |team| {
            team.pass += team.pass_delta(service_ms);
            if urgent {
                team.pop_urgent()
            } else {
                team.pop_non_urgent()
            }
        })?;
        self.unindex(&request);
        Some(request)
    }

    /// Replaces the estimate charged by [`Self::pop`] with the slot time actually used.
    pub(super) fn adjust_charge(&mut self, id: &ids::TeamId, charged_ms: u64, held_ms: u64) {
        if !self.teams.contains_key(id) {
            return;
        }
        self.update_team(id, |team| {
            let held = team.pass + team.pass_delta(held_ms);
            team.pass = held.saturating_sub(team.pass_delta(charged_ms));
        });
    }

    /// Removes a call without charging its team.
    pub(super) fn remove(&mut self, id: admission::CallId) -> Option<admission::CallTicket> {
        let location = self.locations.get(&id)?.clone();
        let request = self.update_team(&location.team, |team| {
            team.remove(location.lane, location.position)
        })?;
        self.unindex(&request);
        Some(request)
    }

    /// Removes one call whose deadline is at or before `until_ms`.
    pub(super) fn pop_expired(&mut self, until_ms: u64) -> Option<admission::CallTicket> {
        let &(deadline_at_ms, id) = self.deadlines.first()?;
        if deadline_at_ms > until_ms {
            return None;
        }
        self.remove(id)
    }

    /// Evicts one call in favour of an incoming call, if there is a suitable one.
    ///
    /// The candidate is the last one of these calls:
    ///
    /// - the calls of the team with the longest queue per weight, if that queue is longer
    ///   than the one of the incoming call's team;
    /// - otherwise, if the incoming call is urgent, the calls of that team that are not;
    /// - otherwise the less urgent calls of the incoming call's team.
    pub(super) fn evict_for(
        &mut self,
        incoming: &admission::CallTicket,
    ) -> Option<admission::CallTicket> {
        let lane = team::lane_of(incoming.urgency);
        let own = self.teams.get(&incoming.team);
        let own_len = own.map_or(0, team::Team::weighted_len);
        let waiting = self.teams.values().filter(|team| team.len() > 0);
        let longest = waiting.max_by_key(|team| team.weighted_len())?;
        let evicted = if longest.weighted_len() > own_len {
            longest.last_in_lanes_after(None)
        } else if lane == team::URGENT_LANE {
            longest.last_in_lanes_after(Some(lane))
        } else {
            own.and_then(|own| own.last_in_lanes_after(Some(lane)))
        };
        self.remove(evicted?)
    }

    fn is_urgent_next(&mut self) -> bool {
        if self.urgent.is_empty() || self.non_urgent.is_empty() {
            self.urgent_burst = 0;
            return !self.urgent.is_empty();
        }
        self.urgent_burst += 1;
        if self.urgent_burst > team::MAX_LANE_BURST {
            self.urgent_burst = 0;
            return false;
        }
        true
    }

    /// Applies `update` to a team and keeps the sets ordered by pass value consistent.
    fn update_team<T>(&mut self, id: &ids::TeamId, update: impl FnOnce(&mut team::Team) -> T) -> T {
        let global_pass = self.global_pass;
        let team = self.teams.entry(id.clone());
        let team = team.or_insert_with(|| team::Team::new(global_pass));
        let key = (team.pass, id.clone());
        self.urgent.remove(&key);
        self.non_urgent.remove(&key);
        let result = update(team);
        let key = (team.pass, id.clone());
        if team.non_urgent_len() > 0 {
            self.non_urgent.insert(key.clone());
        }
        if team.lane_len(team::URGENT_LANE) > 0 {
            self.urgent.insert(key);
        }
        result
    }

    fn weight(&self, team: &ids::TeamId) -> u64 {
        self.weights.get(team).copied().unwrap_or(1)
    }

    fn unindex(&mut self, request: &admission::CallTicket) {
        self.bytes -= request.body_bytes;
        if let Some(location) = self.locations.swap_remove(&request.id) {
            self.urgent_len -= usize::from(location.lane == team::URGENT_LANE);
            self.deadlines
                .remove(&(location.deadline_at_ms, request.id));
        }
    }

    fn evict_idle_teams(&mut self) {
        if self.teams.len() <= IDLE_TEAM_EVICTION_THRESHOLD {
            return;
        }
        let global_pass = self.global_pass;
        self.teams
            .retain(|_, team| team.len() > 0 || team.pass > global_pass);
    }
}
