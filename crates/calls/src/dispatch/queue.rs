//! The bounded queue of calls that wait for a slot.
//!
//! Urgent calls go first. For all others it is the turn of the team that has used the
//! least slot time for its weight, and within the team the more urgent call goes
//! first. The slot time of urgent calls counts as well, and those of a team that is
//! far ahead of its share wait for its turn, so a team cannot get more than its share by
//! declaring its calls urgent. What a team left unused it may catch up
//! on, within a limit; without that, a team that asks for just its share would lose
//! a part of it at every lull.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

use super::team;
use super::ticket;

/// Number of known teams above which idle ones are forgotten.
const KNOWN_TEAMS: usize = 256;
/// Slot time that a team with a weight of 1 can be ahead of the others or behind them.
///
/// Bounds for how long a team that used more by urgent calls has to wait, and how much
/// a team that was idle may catch up on.
const IMBALANCE_LIMIT_MS: u64 = 2_000;

/// Which of a team's waiting calls of one urgency goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// In order of arrival.
    #[default]
    OldestFirst,
    /// The last to arrive goes first.
    NewestFirst,
    /// The call with the least time left goes first.
    EarliestDeadline,
}

#[derive(Clone, Debug)]
struct Location {
    team: ids::TeamId,
    lane: usize,
    place: team::Place,
    deadline_at_ms: u64,
}

/// Waiting calls of all teams.
#[derive(Debug)]
pub(super) struct Queue {
    order: QueueOrder,
    teams: IndexMap<ids::TeamId, team::Team>,
    /// Teams with urgent calls, by pass value.
    urgent: BTreeSet<(u64, ids::TeamId)>,
    /// Teams with calls that are not urgent, by pass value.
    patient: BTreeSet<(u64, ids::TeamId)>,
    urgent_len: usize,
    /// Urgent calls taken in a row while others waited.
    urgent_burst: u32,
    /// Pass value of the team whose turn it was last.
    pass: u64,
    locations: IndexMap<ticket::CallId, Location>,
    deadlines: BTreeSet<(u64, ticket::CallId)>,
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
            patient: BTreeSet::new(),
            urgent_len: 0,
            urgent_burst: 0,
            pass: 0,
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

    pub(super) fn contains(&self, id: ticket::CallId) -> bool {
        self.locations.contains_key(&id)
    }

    /// Whether a team has used more than its share, up to the limit.
    pub(super) fn is_ahead(&self, team: &ids::TeamId) -> bool {
        let team = self.teams.get(team);
        team.is_some_and(|team| team.pass >= self.pass + team.pass_of(IMBALANCE_LIMIT_MS))
    }

    /// Estimated number of calls that are served before a new one of a team.
    ///
    /// `service_ms` is the mean time that a call holds a slot.
    pub(super) fn calls_ahead(
        &self,
        id: &ids::TeamId,
        urgency: work::Urgency,
        service_ms: u64,
    ) -> u64 {
        let lane = team::lane_of(urgency);
        if lane == team::URGENT {
            return self.urgent_len as u64;
        }
        let weight = self.weight(id);
        let known = self.teams.get(id);
        let own: usize = known.map_or(0, |team| {
            (team::URGENT + 1..=lane)
                .map(|lane| team.len_of(lane))
                .sum()
        });
        let turns = own as u64 + 1;
        let turns = known.map_or(turns, |team| {
            let pass = team.pass + turns * team.pass_of(service_ms);
            pass.saturating_sub(self.pass) / team.pass_of(service_ms).max(1)
        });
        let others = self.patient.iter().filter(|(_, other)| other != id);
        let shares = others.map(|(_, other)| {
            let other = &self.teams[other];
            (turns * other.weight / weight).min(other.patient() as u64)
        });
        self.urgent_len as u64 + own as u64 + shares.sum::<u64>()
    }

    pub(super) fn push(&mut self, ticket: ticket::CallTicket) {
        self.forget_idle();
        self.arrivals += 1;
        let key = match self.order {
            QueueOrder::OldestFirst => self.arrivals,
            QueueOrder::NewestFirst => u64::MAX - self.arrivals,
            QueueOrder::EarliestDeadline => ticket.deadline_at_ms,
        };
        let location = Location {
            team: ticket.team.clone(),
            lane: team::lane_of(ticket.urgency),
            place: (key, self.arrivals),
            deadline_at_ms: ticket.deadline_at_ms,
        };
        self.bytes += ticket.body_bytes;
        self.urgent_len += usize::from(location.lane == team::URGENT);
        self.deadlines.insert((ticket.deadline_at_ms, ticket.id));
        self.locations.insert(ticket.id, location.clone());
        let weight = self.weight(&ticket.team);
        let pass = self.pass;
        self.change(&location.team, |team| {
            team.weight = weight;
            if team.len() == 0 {
                let limit = team.pass_of(IMBALANCE_LIMIT_MS);
                team.pass = team.pass.clamp(pass.saturating_sub(limit), pass + limit);
            }
            team.insert(location.lane, location.place, ticket);
        });
    }

    /// Takes the call that is next and counts its slot time against its team.
    pub(super) fn pop(&mut self, service_ms: u64) -> Option<ticket::CallTicket> {
        let urgent = self.is_urgent_next();
        let teams = if urgent { &self.urgent } else { &self.patient };
        let (pass, id) = teams.first()?.clone();
        if !urgent || self.patient.is_empty() {
            self.pass = self.pass.max(pass);
        }
        let ticket = self.change(&id, |team| {
            team.pass += team.pass_of(service_ms);
            if urgent {
                team.pop_urgent()
            } else {
                team.pop_patient()
            }
        })?;
        self.forget(&ticket);
        Some(ticket)
    }

    /// Corrects what [`Self::pop`] counted, when the slot time of a call is known.
    pub(super) fn correct(&mut self, id: &ids::TeamId, counted_ms: u64, held_ms: u64) {
        if !self.teams.contains_key(id) {
            return;
        }
        self.change(id, |team| {
            let held = team.pass + team.pass_of(held_ms);
            team.pass = held.saturating_sub(team.pass_of(counted_ms));
        });
    }

    /// Removes one call without counting it against its team.
    pub(super) fn remove(&mut self, id: ticket::CallId) -> Option<ticket::CallTicket> {
        let location = self.locations.get(&id)?.clone();
        let ticket = self.change(&location.team, |team| {
            team.remove(location.lane, location.place)
        })?;
        self.forget(&ticket);
        Some(ticket)
    }

    /// Takes one call whose deadline is at or before `until_ms`.
    pub(super) fn pop_expired(&mut self, until_ms: u64) -> Option<ticket::CallTicket> {
        let &(deadline_at_ms, id) = self.deadlines.first()?;
        if deadline_at_ms > until_ms {
            return None;
        }
        self.remove(id)
    }

    /// Makes room for a call by removing one that has less right to its place.
    ///
    /// That is the last call of the team with the longest queue for its weight, if that
    /// is longer than the newcomer's or the newcomer is more urgent; or else a less
    /// urgent call of the newcomer's own team.
    pub(super) fn evict_for(
        &mut self,
        newcomer: &ticket::CallTicket,
    ) -> Option<ticket::CallTicket> {
        let lane = team::lane_of(newcomer.urgency);
        let own = self.teams.get(&newcomer.team);
        let own_len = own.map_or(0, team::Team::relative_len);
        let waiting = self.teams.values().filter(|team| team.len() > 0);
        let longest = waiting.max_by_key(|team| team.relative_len())?;
        let evicted = if longest.relative_len() > own_len {
            longest.last_after(None)
        } else if lane == team::URGENT {
            longest.last_after(Some(lane))
        } else {
            own.and_then(|own| own.last_after(Some(lane)))
        };
        self.remove(evicted?)
    }

    fn is_urgent_next(&mut self) -> bool {
        if self.urgent.is_empty() || self.patient.is_empty() {
            self.urgent_burst = 0;
            return !self.urgent.is_empty();
        }
        self.urgent_burst += 1;
        if self.urgent_burst > team::LANE_BURST {
            self.urgent_burst = 0;
            return false;
        }
        true
    }

    /// Changes a team and keeps the sets by pass value in step.
    fn change<T>(&mut self, id: &ids::TeamId, change: impl FnOnce(&mut team::Team) -> T) -> T {
        let pass = self.pass;
        let team = self.teams.entry(id.clone());
        let team = team.or_insert_with(|| team::Team::new(pass));
        let key = (team.pass, id.clone());
        self.urgent.remove(&key);
        self.patient.remove(&key);
        let result = change(team);
        let key = (team.pass, id.clone());
        if team.patient() > 0 {
            self.patient.insert(key.clone());
        }
        if team.len_of(team::URGENT) > 0 {
            self.urgent.insert(key);
        }
        result
    }

    fn weight(&self, team: &ids::TeamId) -> u64 {
        self.weights.get(team).copied().unwrap_or(1)
    }

    fn forget(&mut self, ticket: &ticket::CallTicket) {
        self.bytes -= ticket.body_bytes;
        if let Some(location) = self.locations.swap_remove(&ticket.id) {
            self.urgent_len -= usize::from(location.lane == team::URGENT);
            self.deadlines.remove(&(location.deadline_at_ms, ticket.id));
        }
    }

    fn forget_idle(&mut self) {
        if self.teams.len() <= KNOWN_TEAMS {
            return;
        }
        let present = self.pass;
        self.teams
            .retain(|_, team| team.len() > 0 || team.pass > present);
    }
}
