//! Priority lanes and fair-share accounting of one team.

use std::collections::BTreeMap;

use kernel::work;

use super::admission;

/// Number of priority lanes, one per urgency.
pub(super) const LANE_COUNT: usize = 3;
/// Index of the lane of urgent calls.
pub(super) const URGENT_LANE: usize = 0;
/// Maximum number of consecutive calls from a lane while a less urgent lane has any.
pub(super) const MAX_LANE_BURST: u32 = 9;
/// Scale of pass values, to keep precision for large weights.
const PASS_PER_MS: u64 = 1 << 10;

/// Position of a call in its lane: the key of the queue order, then its arrival number.
pub(super) type QueuePosition = (u64, u64);

/// Calls of one lane, in queue order.
type Lane = BTreeMap<QueuePosition, admission::CallTicket>;

/// Waiting calls of one team and its stride scheduling state.
#[derive(Debug, Default)]
pub(super) struct Team {
    /// Charged slot time divided by the weight; the team with the lowest value is next.
    pub(super) pass: u64,
    pub(super) weight: u64,
    lanes: [Lane; LANE_COUNT],
    /// Consecutive calls taken from the normal lane while deferrable ones waited.
    normal_burst: u32,
}

impl Team {
    /// Creates a team without calls.
    pub(super) fn new(pass: u64) -> Self {
        Self {
            pass,
            ..Self::default()
        }
    }

    /// Number of waiting calls in one lane.
    pub(super) fn lane_len(&self, lane: usize) -> usize {
        self.lanes[lane].len()
    }

    /// Number of waiting calls that are not urgent.
    pub(super) fn non_urgent_len(&self) -> usize {
        self.lanes[URGENT_LANE + 1..].iter().map(Lane::len).sum()
    }

    /// Number of waiting calls.
    pub(super) fn len(&self) -> usize {
        self.lanes.iter().map(Lane::len).sum()
    }

    /// Number of waiting calls divided by the weight, comparable between teams.
    pub(super) fn weighted_len(&self) -> u64 {
        self.len() as u64 * PASS_PER_MS / self.weight.max(1)
    }

    pub(super) fn insert(
        &mut self,
        lane: usize,
        position: QueuePosition,
        request: admission::CallTicket,
    ) {
        self.lanes[lane].insert(position, request);
    }

    pub(super) fn remove(
        &mut self,
        lane: usize,
        position: QueuePosition,
    ) -> Option<admission::CallTicket> {
        self.lanes[lane].remove(&position)
    }

    /// Removes the first urgent call.
    pub(super) fn pop_urgent(&mut self) -> Option<admission::CallTicket> {
        let (_, request) = self.lanes[URGENT_LANE].pop_first()?;
        Some(request)
    }

    /// Removes the next call that is not urgent.
    ///
    /// Normal calls go first, except that a deferrable call follows each full burst.
    pub(super) fn pop_non_urgent(&mut self) -> Option<admission::CallTicket> {
        let [_, normal, deferrable] = &mut self.lanes;
        if deferrable.is_empty() {
            self.normal_burst = 0;
        } else if self.normal_burst >= MAX_LANE_BURST || normal.is_empty() {
            self.normal_burst = 0;
            return deferrable.pop_first().map(|(_, request)| request);
        } else {
            self.normal_burst += 1;
        }
        normal.pop_first().map(|(_, request)| request)
    }

    /// The last call of the least urgent non-empty lane after `lane`, or of any if `None`.
    pub(super) fn last_in_lanes_after(&self, lane: Option<usize>) -> Option<admission::CallId> {
        let first = lane.map_or(0, |lane| lane + 1);
        let lanes = self.lanes[first..].iter().rev();
        let mut last_calls = lanes.filter_map(Lane::last_key_value);
        last_calls.next().map(|(_, request)| request.id)
    }

    /// Increase of the pass value for `slot_ms` of slot time.
    pub(super) fn pass_delta(&self, slot_ms: u64) -> u64 {
        slot_ms * PASS_PER_MS / self.weight.max(1)
    }
}

pub(super) fn lane_of(urgency: work::Urgency) -> usize {
    match urgency {
        work::Urgency::Urgent => URGENT_LANE,
        work::Urgency::Normal => 1,
        work::Urgency::Deferrable => 2,
    }
}
