//! Coordinated start of a gang whose tasks are in several groups.
//!
//! The coordinator runs a two-phase protocol. It requests reservations from the groups
//! one after another, in the order of their identifiers, and keeps those it has while
//! it requests the next one. All coordinators use the same order, so they cannot
//! deadlock. On a refusal it releases all reservations; the refusing group keeps
//! capacity free for the gang, so that repeated attempts eventually succeed. Once all
//! parts are reserved they are confirmed. If a confirmation fails, the other parts are
//! aborted.
//!
//! The coordinator performs no I/O: it returns the requests to send and takes the
//! replies.

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

use crate::group;

/// Part of a gang that is to run in one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GangPart {
    /// Group that runs the part.
    pub group: ids::GroupId,
    /// Indexes of the tasks with their attempts.
    pub runs: Vec<(u32, ids::Attempt)>,
}

/// Request that the caller sends to the owner of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangRequest {
    /// Reserve capacity for a part.
    Reserve(GangPart),
    /// Start the tasks of a reservation.
    Confirm {
        /// Group that holds the reservation.
        group: ids::GroupId,
        /// Identifier of the reservation in its group.
        reservation: u64,
    },
    /// Release a reservation without starting its tasks.
    Release {
        /// Group that holds the reservation.
        group: ids::GroupId,
        /// Identifier of the reservation in its group.
        reservation: u64,
    },
    /// Stop the tasks that the group may have started, because the gang is incomplete.
    Abort {
        /// Group that runs the tasks.
        group: ids::GroupId,
    },
}

/// Divides the tasks of a gang among groups by their free capacity.
///
/// Returns the parts in the order in which they are reserved, or `None` if the free
/// capacity does not hold the whole gang.
pub fn divide_gang(
    demand: work::Resources,
    runs: &[(u32, ids::Attempt)],
    free: &IndexMap<ids::GroupId, work::Resources>,
) -> Option<Vec<GangPart>> {
    let mut offers: Vec<(&ids::GroupId, usize)> = free
        .iter()
        .map(|(group, &free)| (group, free.count_of(demand) as usize))
        .collect();
    // Filling the groups with the most room first keeps the number of groups small.
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

/// State of a coordinator that is requesting reservations.
#[derive(Clone, Debug)]
pub struct Reserving {
    parts: Vec<GangPart>,
    reserved: Vec<Reserved>,
}

/// State of a coordinator that has all reservations and is confirming them.
#[derive(Clone, Debug)]
pub struct Confirming {
    reserved: Vec<Reserved>,
    confirmed: Vec<ids::GroupId>,
}

/// Coordinator for the start of one gang, in state `S`.
#[derive(Clone, Debug)]
pub struct GangCoordinator<S> {
    state: S,
}

/// Next step after a reply to a reservation request.
#[derive(Debug)]
pub enum ReserveStep {
    /// Another part has to be reserved.
    Next(GangCoordinator<Reserving>),
    /// All parts are reserved and can be confirmed.
    Confirm(GangCoordinator<Confirming>),
    /// The gang cannot start now. Send these releases and try again later.
    RollBack(Vec<GangRequest>),
}

/// Next step after a reply to a confirmation.
#[derive(Debug)]
pub enum ConfirmStep {
    /// Other confirmations are outstanding.
    Wait(GangCoordinator<Confirming>),
    /// All parts have started.
    Started,
    /// A part did not start. Send these requests to the other groups.
    Abort(Vec<GangRequest>),
}

impl GangCoordinator<Reserving> {
    /// Creates a coordinator for the parts of a gang; `None` if there are none.
    pub fn new(mut parts: Vec<GangPart>) -> Option<Self> {
        parts.sort_by(|a, b| a.group.cmp(&b.group));
        let state = Reserving {
            parts,
            reserved: Vec::new(),
        };
        (!state.parts.is_empty()).then_some(Self { state })
    }

    /// Returns the reservation request to send next.
    pub fn request(&self) -> GangRequest {
        let next = self.state.reserved.len();
        GangRequest::Reserve(self.state.parts[next].clone())
    }

    /// Processes the reply to the current request; `None` stands for a refusal or a
    /// lost reply.
    ///
    /// A lost reply is safe to treat as a refusal because an unclaimed reservation
    /// expires. `margin_ms` is the time to allow for the confirmations: a reservation
    /// that expires sooner is not used.
    pub fn reply(
        mut self,
        reply: Option<group::Reservation>,
        now_ms: u64,
        margin_ms: u64,
    ) -> ReserveStep {
        let Some(reservation) = reply else {
            return ReserveStep::RollBack(self.releases());
        };
        let group = self.state.parts[self.state.reserved.len()].group.clone();
        self.state.reserved.push(Reserved { group, reservation });
        let outlasts_margin =
            |reserved: &Reserved| now_ms + margin_ms < reserved.reservation.until_ms;
        if !self.state.reserved.iter().all(outlasts_margin) {
            return ReserveStep::RollBack(self.releases());
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
    /// Returns the confirmations to send, all at once. They are idempotent, so one
    /// whose reply is lost is sent again.
    pub fn requests(&self) -> Vec<GangRequest> {
        let reserved = self.state.reserved.iter();
        reserved
            .filter(|reserved| !self.state.confirmed.contains(&reserved.group))
            .map(|reserved| GangRequest::Confirm {
                group: reserved.group.clone(),
                reservation: reserved.reservation.id,
            })
            .collect()
    }

    /// Processes the reply of one group, which says whether it started its part.
    pub fn reply(mut self, group: &ids::GroupId, started: bool) -> ConfirmStep {
        if !started {
            // The group may have started its part even if its reply is missing, so each
            // group gets both a release and an abort.
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
