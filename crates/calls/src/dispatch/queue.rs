//! The bounded queue of calls that wait for a slot.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

use super::lane;
use super::ticket;

/// Calls in a row from a more urgent lane while a less urgent one waits.
///
/// Bounds what a caller gains who declares everything urgent.
const URGENT_BURST: u32 = 9;
const LANES: usize = 3;

/// Which of a team's waiting calls goes first.
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
    lane: usize,
    team: ids::TeamId,
    place: lane::Place,
    deadline_at_ms: u64,
}

/// Waiting calls in lanes by urgency.
#[derive(Debug)]
pub(super) struct Queue {
    order: QueueOrder,
    lanes: [lane::Lane; LANES],
    /// Calls taken in a row from each lane while a less urgent one waited.
    bursts: [u32; LANES],
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
            lanes: Default::default(),
            bursts: [0; LANES],
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

    /// Estimated number of calls that are served before a new one.
    ///
    /// Those of more urgent lanes, and within the lane as many of each other team as
    /// the weights give it while the own team's calls are served.
    pub(super) fn calls_ahead(&self, team: &ids::TeamId, urgency: work::Urgency) -> u64 {
        let lane = lane_of(urgency);
        let urgent: usize = self.lanes[..lane].iter().map(lane::Lane::len).sum();
        let weight = self.weight(team);
        let own = self.lanes[lane].len_of(team) as u64;
        let others = self.lanes[lane].other_weights(team);
        let shared = own + (own + 1) * others / weight;
        urgent as u64 + shared.min(self.lanes[lane].len() as u64)
    }

    pub(super) fn push(&mut self, ticket: ticket::CallTicket) {
        self.arrivals += 1;
        let key = match self.order {
            QueueOrder::OldestFirst => self.arrivals,
            QueueOrder::NewestFirst => u64::MAX - self.arrivals,
            QueueOrder::EarliestDeadline => ticket.deadline_at_ms,
        };
        let location = Location {
            lane: lane_of(ticket.urgency),
            team: ticket.team.clone(),
            place: (key, self.arrivals),
            deadline_at_ms: ticket.deadline_at_ms,
        };
        self.bytes += ticket.body_bytes;
        self.deadlines.insert((ticket.deadline_at_ms, ticket.id));
        let weight = self.weight(&ticket.team);
        let (lane, place) = (location.lane, location.place);
        self.locations.insert(ticket.id, location);
        self.lanes[lane].push(ticket, place, weight);
    }

    /// Takes the call that is next.
    pub(super) fn pop(&mut self) -> Option<ticket::CallTicket> {
        let lane = self.next_lane()?;
        let ticket = self.lanes[lane].pop()?;
        self.forget(ticket.id, ticket.body_bytes);
        Some(ticket)
    }

    /// Removes a call that need not run any more.
    pub(super) fn remove(&mut self, id: ticket::CallId) -> Option<ticket::CallTicket> {
        let location = self.locations.get(&id)?.clone();
        let ticket = self.lanes[location.lane].remove(&location.team, location.place)?;
        self.forget(id, ticket.body_bytes);
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
    /// That is a call of a less urgent lane, or one of a team with a longer queue
    /// for its weight than the newcomer's team.
    pub(super) fn evict_for(
        &mut self,
        newcomer: &ticket::CallTicket,
    ) -> Option<ticket::CallTicket> {
        let own_lane = lane_of(newcomer.urgency);
        let weight = self.weight(&newcomer.team);
        let own_len = self.lanes[own_lane].relative_len(&newcomer.team, weight);
        for lane in (own_lane..LANES).rev() {
            let Some((team, place, len)) = self.lanes[lane].longest() else {
                continue;
            };
            if lane == own_lane && (len <= own_len || *team == newcomer.team) {
                return None;
            }
            let team = team.clone();
            let ticket = self.lanes[lane].remove(&team, place)?;
            self.forget(ticket.id, ticket.body_bytes);
            return Some(ticket);
        }
        None
    }

    fn next_lane(&mut self) -> Option<usize> {
        let waiting = |lane: &usize| self.lanes[*lane].len() > 0;
        let lane = (0..LANES).find(waiting)?;
        let Some(next) = (lane + 1..LANES).find(waiting) else {
            return Some(lane);
        };
        self.bursts[lane] += 1;
        if self.bursts[lane] <= URGENT_BURST {
            return Some(lane);
        }
        self.bursts[lane] = 0;
        Some(next)
    }

    fn weight(&self, team: &ids::TeamId) -> u64 {
        self.weights.get(team).copied().unwrap_or(1)
    }

    fn forget(&mut self, id: ticket::CallId, body_bytes: u64) {
        self.bytes -= body_bytes;
        if let Some(location) = self.locations.swap_remove(&id) {
            self.deadlines.remove(&(location.deadline_at_ms, id));
        }
    }
}

fn lane_of(urgency: work::Urgency) -> usize {
    match urgency {
        work::Urgency::Urgent => 0,
        work::Urgency::Normal => 1,
        work::Urgency::Deferrable => 2,
    }
}
