//! Waiting calls of one team.

use std::collections::BTreeMap;

use kernel::work;

use super::ticket;

/// Number of urgencies.
pub(super) const LANES: usize = 3;
/// The lane of urgent calls.
pub(super) const URGENT: usize = 0;
/// Calls in a row from a lane while calls of a less urgent lane wait.
pub(super) const LANE_BURST: u32 = 9;
/// Scale of pass values, so that large weights keep their precision.
const PASS_PER_MS: u64 = 1 << 10;

/// Place of a call among those of its lane: an order key, then its arrival number.
pub(super) type Place = (u64, u64);

/// Calls of one lane of one team, in their order.
type Lane = BTreeMap<Place, ticket::CallTicket>;

/// One team's waiting calls and what it has used of its share.
#[derive(Debug, Default)]
pub(super) struct Team {
    /// Slot time used for the team's weight; the team with the least is next.
    pub(super) pass: u64,
    pub(super) weight: u64,
    lanes: [Lane; LANES],
    /// Calls taken in a row from the normal lane while deferrable ones waited.
    burst: u32,
}

impl Team {
    /// Makes a team without calls.
    pub(super) fn new(pass: u64) -> Self {
        Self {
            pass,
            ..Self::default()
        }
    }

    /// Number of waiting calls in one lane.
    pub(super) fn len_of(&self, lane: usize) -> usize {
        self.lanes[lane].len()
    }

    /// Number of waiting calls that are not urgent.
    pub(super) fn patient(&self) -> usize {
        self.lanes[URGENT + 1..].iter().map(Lane::len).sum()
    }

    /// Number of waiting calls.
    pub(super) fn len(&self) -> usize {
        self.lanes.iter().map(Lane::len).sum()
    }

    /// Number of waiting calls for the team's weight, comparable between teams.
    pub(super) fn relative_len(&self) -> u64 {
        self.len() as u64 * PASS_PER_MS / self.weight.max(1)
    }

    pub(super) fn insert(&mut self, lane: usize, place: Place, ticket: ticket::CallTicket) {
        self.lanes[lane].insert(place, ticket);
    }

    pub(super) fn remove(&mut self, lane: usize, place: Place) -> Option<ticket::CallTicket> {
        self.lanes[lane].remove(&place)
    }

    /// Takes the first urgent call.
    pub(super) fn pop_urgent(&mut self) -> Option<ticket::CallTicket> {
        let (_, ticket) = self.lanes[URGENT].pop_first()?;
        Some(ticket)
    }

    /// Takes the first call that is not urgent.
    pub(super) fn pop_patient(&mut self) -> Option<ticket::CallTicket> {
        let [_, normal, deferrable] = &mut self.lanes;
        if deferrable.is_empty() {
            self.burst = 0;
        } else if self.burst >= LANE_BURST || normal.is_empty() {
            self.burst = 0;
            return deferrable.pop_first().map(|(_, ticket)| ticket);
        } else {
            self.burst += 1;
        }
        normal.pop_first().map(|(_, ticket)| ticket)
    }

    /// The last call of the least urgent lane that has any and is after `lane`.
    pub(super) fn last_after(&self, lane: Option<usize>) -> Option<ticket::CallId> {
        let first = lane.map_or(0, |lane| lane + 1);
        let lanes = self.lanes[first..].iter().rev();
        let mut lasts = lanes.filter_map(Lane::last_key_value);
        lasts.next().map(|(_, ticket)| ticket.id)
    }

    /// What a time on a slot adds to the pass value.
    pub(super) fn pass_of(&self, slot_ms: u64) -> u64 {
        slot_ms * PASS_PER_MS / self.weight.max(1)
    }
}

pub(super) fn lane_of(urgency: work::Urgency) -> usize {
    match urgency {
        work::Urgency::Urgent => URGENT,
        work::Urgency::Normal => 1,
        work::Urgency::Deferrable => 2,
    }
}
