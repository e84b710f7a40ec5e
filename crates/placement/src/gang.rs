//! Start of a gang whose tasks stand in several groups.
//!
//! The coordinator asks the groups for reservations one after another, in the
//! order of their identifiers, and holds what it has while it asks the next
//! one. Since all coordinators use the same order, no two wait for each other.
//! A refusal gives everything up; the group that refused keeps capacity free
//! for the gang, so that repeated tries succeed. Only when all parts are
//! reserved are they confirmed; if a confirmation fails, the others are aborted.
//!
//! The coordinator performs no I/O: it says what to send and takes the replies.

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

use crate::group;

/// Part of a gang that is to run in one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GangPart {
    /// The group.
    pub group: ids::GroupId,
    /// The tasks with their attempts.
    pub runs: Vec<(u32, ids::Attempt)>,
}

/// What the caller sends to the owner of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangRequest {
    /// Reserve room for a part.
    Reserve(GangPart),
    /// Start the tasks of a reservation.
    Confirm {
        /// The group.
        group: ids::GroupId,
        /// Number of the reservation.
        reservation: u64,
    },
    /// Give a reservation up.
    Release {
        /// The group.
        group: ids::GroupId,
        /// Number of the reservation.
        reservation: u64,
    },
    /// Stop the gang's tasks, which were started although the gang is not whole.
    Abort {
        /// The group.
        group: ids::GroupId,
    },
}

/// Divides the tasks of a gang among groups by their free capacity.
///
/// Returns parts in the order in which they are reserved, or `None` if the free
/// amounts do not hold the whole gang.
pub fn divide(
    demand: work::Resources,
    runs: &[(u32, ids::Attempt)],
    free: &IndexMap<ids::GroupId, work::Resources>,
) -> Option<Vec<GangPart>> {
    let mut offers: Vec<(&ids::GroupId, usize)> = free
        .iter()
        .map(|(group, &free)| (group, free.count_of(demand) as usize))
        .collect();
    // Few groups take part if those with the most room are filled first.
    offers.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
    let mut parts = Vec::new();
    let mut rest = runs;
    for (group, count) in offers {
        let (taken, left) = rest.split_at(count.min(rest.len()));
        if !taken.is_empty() {
            parts.push(GangPart {
                group: group.clone(),
                runs: taken.to_vec(),
            });
        }
        rest = left;
    }
    parts.sort_by(|a, b| a.group.cmp(&b.group));
    rest.is_empty().then_some(parts)
}

#[derive(Clone, Debug)]
struct Reserved {
    group: ids::GroupId,
    reservation: group::Reservation,
}

/// Asking the groups for reservations.
#[derive(Clone, Debug)]
pub struct Reserving {
    parts: Vec<GangPart>,
    reserved: Vec<Reserved>,
}

/// All parts are reserved; waiting for the confirmations.
#[derive(Clone, Debug)]
pub struct Confirming {
    reserved: Vec<Reserved>,
    confirmed: Vec<ids::GroupId>,
}

/// The start of one gang, in state `S`.
#[derive(Clone, Debug)]
pub struct GangCoordinator<S> {
    state: S,
}

/// What follows from a reply to a reservation.
#[derive(Debug)]
pub enum ReserveStep {
    /// Another part is to be reserved.
    Next(GangCoordinator<Reserving>),
    /// All parts are reserved.
    Confirm(GangCoordinator<Confirming>),
    /// The gang does not start now; send these and try again later.
    GiveUp(Vec<GangRequest>),
}

/// What follows from a reply to a confirmation.
#[derive(Debug)]
pub enum ConfirmStep {
    /// Other confirmations are missing.
    Wait(GangCoordinator<Confirming>),
    /// All parts have started.
    Started,
    /// A part did not start; send these.
    Abort(Vec<GangRequest>),
}

impl GangCoordinator<Reserving> {
    /// Begins with the parts of a gang; `None` if there are none.
    pub fn new(mut parts: Vec<GangPart>) -> Option<Self> {
        parts.sort_by(|a, b| a.group.cmp(&b.group));
        let state = Reserving {
            parts,
            reserved: Vec::new(),
        };
        (!state.parts.is_empty()).then_some(Self { state })
    }

    /// The request to send now.
    pub fn request(&self) -> GangRequest {
        let next = self.state.reserved.len();
        GangRequest::Reserve(self.state.parts[next].clone())
    }

    /// Takes the reply to the request.
    ///
    /// A lost reply counts as a refusal: an unknown reservation runs out by
    /// itself. `margin_ms` is the time that confirmations may take.
    pub fn reply(
        mut self,
        reply: Option<group::Reservation>,
        now_ms: u64,
        margin_ms: u64,
    ) -> ReserveStep {
        let Some(reservation) = reply else {
            return ReserveStep::GiveUp(self.releases());
        };
        let group = self.state.parts[self.state.reserved.len()].group.clone();
        self.state.reserved.push(Reserved { group, reservation });
        let in_time = |reserved: &Reserved| now_ms + margin_ms < reserved.reservation.until_ms;
        if !self.state.reserved.iter().all(in_time) {
            return ReserveStep::GiveUp(self.releases());
        }
        if self.state.reserved.len() < self.state.parts.len() {
            return ReserveStep::Next(self);
        }
        let state = Confirming {
            reserved: self.state.reserved,
            confirmed: Vec::new(),
        };
        ReserveStep::Confirm(GangCoordinator { state })
    }

    fn releases(&self) -> Vec<GangRequest> {
        let reserved = self.state.reserved.iter();
        reserved
            .map(|reserved| GangRequest::Release {
                group: reserved.group.clone(),
                reservation: reserved.reservation.id,
            })
            .collect()
    }
}

impl GangCoordinator<Confirming> {
    /// The confirmations to send, all at once; a lost reply is asked for again.
    pub fn requests(&self) -> Vec<GangRequest> {
        let missing = self.state.reserved.iter();
        missing
            .filter(|reserved| !self.state.confirmed.contains(&reserved.group))
            .map(|reserved| GangRequest::Confirm {
                group: reserved.group.clone(),
                reservation: reserved.reservation.id,
            })
            .collect()
    }

    /// Takes the reply of one group: whether it started its part.
    pub fn reply(mut self, group: &ids::GroupId, started: bool) -> ConfirmStep {
        if !started {
            // An abort also overtakes a confirmation whose reply is missing.
            let others = self.state.reserved.iter();
            let aborts = others
                .filter(|reserved| reserved.group != *group)
                .flat_map(|reserved| {
                    let group = reserved.group.clone();
                    let release = GangRequest::Release {
                        group: group.clone(),
                        reservation: reserved.reservation.id,
                    };
                    [release, GangRequest::Abort { group }]
                });
            return ConfirmStep::Abort(aborts.collect());
        }
        if !self.state.confirmed.contains(group) {
            self.state.confirmed.push(group.clone());
        }
        if self.state.confirmed.len() == self.state.reserved.len() {
            return ConfirmStep::Started;
        }
        ConfirmStep::Wait(self)
    }
}
