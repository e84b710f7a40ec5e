//! Waiting calls of one urgency, shared fairly between teams.
//!
//! Stride scheduling: each team has a pass value that grows by an amount inverse
//! to its weight with every call taken, and the team with the smallest is next. A
//! team that was idle starts at the present value, so it cannot save up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use indexmap::IndexMap;
use kernel::ids;

use super::ticket;

/// What one call adds to the pass value of a team of weight 1.
const STRIDE: u64 = 1 << 20;
/// Number of known teams above which idle ones are forgotten.
const KNOWN_TEAMS: usize = 256;

/// Place of a call among those of its team: an order key, then its arrival number.
pub(super) type Place = (u64, u64);

#[derive(Debug, Default)]
struct Team {
    pass: u64,
    weight: u64,
    calls: BTreeMap<Place, ticket::CallTicket>,
}

/// Waiting calls of one urgency.
#[derive(Debug, Default)]
pub(super) struct Lane {
    teams: IndexMap<ids::TeamId, Team>,
    /// Teams with waiting calls, by pass value.
    waiting: BTreeSet<(u64, ids::TeamId)>,
    pass: u64,
    len: usize,
}

impl Lane {
    /// Number of waiting calls.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Number of waiting calls of one team.
    pub(super) fn len_of(&self, team: &ids::TeamId) -> usize {
        self.teams.get(team).map_or(0, |team| team.calls.len())
    }

    /// Sum of the weights of the other teams with waiting calls.
    pub(super) fn other_weights(&self, team: &ids::TeamId) -> u64 {
        let others = self.waiting.iter().filter(|(_, waiting)| waiting != team);
        others.map(|(_, other)| self.teams[other].weight).sum()
    }

    /// Appends a call of a team with the given weight.
    pub(super) fn push(&mut self, ticket: ticket::CallTicket, place: Place, weight: u64) {
        self.forget_idle();
        let id = ticket.team.clone();
        let team = self.teams.entry(id.clone()).or_default();
        team.weight = weight.max(1);
        if team.calls.is_empty() {
            team.pass = team.pass.max(self.pass);
            self.waiting.insert((team.pass, id));
        }
        team.calls.insert(place, ticket);
        self.len += 1;
    }

    /// Takes the first call of the team that is next.
    pub(super) fn pop(&mut self) -> Option<ticket::CallTicket> {
        let (pass, id) = self.waiting.pop_first()?;
        self.pass = pass;
        let team = self.teams.get_mut(&id)?;
        let (_, ticket) = team.calls.pop_first()?;
        self.len -= 1;
        team.pass = pass + STRIDE / team.weight;
        if !team.calls.is_empty() {
            self.waiting.insert((team.pass, id));
        }
        Some(ticket)
    }

    /// Removes one call without counting it against its team.
    pub(super) fn remove(&mut self, id: &ids::TeamId, place: Place) -> Option<ticket::CallTicket> {
        let team = self.teams.get_mut(id)?;
        let ticket = team.calls.remove(&place)?;
        self.len -= 1;
        if team.calls.is_empty() {
            self.waiting.remove(&(team.pass, id.clone()));
        }
        Some(ticket)
    }

    /// The team with the most waiting calls for its weight, and the last of its calls.
    pub(super) fn longest(&self) -> Option<(&ids::TeamId, Place, u64)> {
        let lengths = self.waiting.iter().map(|(_, id)| {
            let team = &self.teams[id];
            (team.calls.len() as u64 * STRIDE / team.weight, id)
        });
        let (length, id) = lengths.max()?;
        let (place, _) = self.teams[id].calls.last_key_value()?;
        Some((id, *place, length))
    }

    /// Waiting calls of a team for its weight, comparable with [`Self::longest`].
    pub(super) fn relative_len(&self, id: &ids::TeamId, weight: u64) -> u64 {
        self.len_of(id) as u64 * STRIDE / weight.max(1)
    }

    fn forget_idle(&mut self) {
        if self.teams.len() <= KNOWN_TEAMS {
            return;
        }
        let present = self.pass;
        self.teams
            .retain(|_, team| !team.calls.is_empty() || team.pass > present);
    }
}
