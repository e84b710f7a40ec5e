//! Load-aware and locality-aware choice between groups.

use derive_more::Display;
use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use kernel::random;
use rand::RngExt;

use super::health;
use super::link;

/// Cost difference up to which two groups are considered equal.
const COST_TOLERANCE_MS: u64 = 10;

/// Location and routing thresholds of an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterConfig {
    /// The entry host's availability zone.
    pub zone: ids::ZoneId,
    /// Region of each known zone, including the host's own.
    pub regions: IndexMap<ids::ZoneId, ids::RegionId>,
    /// Age above which a load report is ignored.
    pub stale_after_ms: u64,
    /// Cost of sending a call to another zone of the region, as a waiting time.
    pub zone_spillover_ms: u64,
    /// Cost of sending a call to another region, as a waiting time.
    pub region_spillover_ms: u64,
    /// Sustained rate at which calls of this host may use the link between regions.
    pub link_bytes_per_s: u64,
    /// Largest burst that calls of this host may put on the link.
    pub link_burst_bytes: u64,
}

impl RouterConfig {
    /// The default thresholds for a host in `zone`.
    pub fn new(zone: &ids::ZoneId, regions: IndexMap<ids::ZoneId, ids::RegionId>) -> Self {
        Self {
            zone: zone.clone(),
            regions,
            stale_after_ms: 5_000,
            zone_spillover_ms: 20,
            region_spillover_ms: 500,
            // A fourth of 30 Mbit/s, shared by the four hosts of the region.
            link_bytes_per_s: 234_375,
            link_burst_bytes: 262_144,
        }
    }
}

/// Network distance between an entry host and a group.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display(rename_all = "snake_case")]
pub enum Distance {
    /// In the same availability zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// Across the link between regions.
    OtherRegion,
}

/// Load of one service in a group, as reported by the group's owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupLoad {
    /// Number of instances that accept calls.
    pub instances: u32,
    /// Number of free slots on those instances.
    pub free_slots: u32,
    /// Estimated wait for a slot.
    pub queue_delay_ms: u64,
}

/// A call to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The service that is called.
    pub service: &'a ids::WorkId,
    /// Bytes of the request and of the expected response, charged to the link budget.
    pub link_bytes: u64,
    /// Groups to exclude because earlier attempts of this call were sent to them.
    pub tried: &'a [ids::GroupId],
}

/// The group selected for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The selected group.
    pub group: ids::GroupId,
    /// Distance of the group from the entry host.
    pub distance: Distance,
}

#[derive(Clone, Copy, Debug)]
struct ServiceLoad {
    load: GroupLoad,
    reported_at_ms: u64,
    /// Calls sent to the group since the report.
    sent_calls: u32,
}

impl ServiceLoad {
    /// Reported free slots, less the calls sent since the report.
    fn free_slots(&self) -> u32 {
        self.load.free_slots.saturating_sub(self.sent_calls)
    }

    /// Calls sent in excess of the reported free slots, per instance.
    fn excess(&self) -> f64 {
        let excess = self.sent_calls.saturating_sub(self.load.free_slots);
        f64::from(excess) / f64::from(self.load.instances.max(1))
    }
}

#[derive(Debug, Default)]
struct Group {
    services: IndexMap<ids::WorkId, ServiceLoad>,
    health: health::Health,
    draining: bool,
    reachable: bool,
}

/// Selects groups for the calls of one entry host.
#[derive(Debug)]
pub struct Router {
    config: RouterConfig,
    random: random::Random,
    groups: IndexMap<ids::GroupId, Group>,
    link: link::LinkBudget,
}

impl Router {
    /// Creates a router without groups.
    pub fn new(config: RouterConfig, seed: u64) -> Self {
        let link = link::LinkBudget::new(config.link_bytes_per_s, config.link_burst_bytes);
        Self {
            config,
            random: random::from_seed(seed),
            groups: IndexMap::new(),
            link,
        }
    }

    /// Records a load report. A report without instances removes the service from the group.
    pub fn observe(
        &mut self,
        group: &ids::GroupId,
        service: &ids::WorkId,
        load: GroupLoad,
        now_ms: u64,
    ) {
        let state = self.group_mut(group);
        if load.instances == 0 {
            state.services.swap_remove(service);
            return;
        }
        let report = ServiceLoad {
            load,
            reported_at_ms: now_ms,
            sent_calls: 0,
        };
        state.services.insert(service.clone(), report);
    }

    /// Sets whether a group's owner is draining and whether it is reachable.
    ///
    /// Either excludes the group from the selection. A new group is reachable.
    pub fn set_state(&mut self, group: &ids::GroupId, draining: bool, reachable: bool) {
        let state = self.group_mut(group);
        state.draining = draining;
        state.reachable = reachable;
    }

    /// Removes a group with its load reports and failure history.
    pub fn remove(&mut self, group: &ids::GroupId) {
        self.groups.swap_remove(group);
    }

    /// Records that a group responded, whatever the outcome.
    pub fn record_success(&mut self, group: &ids::GroupId, now_ms: u64) {
        if let Some(state) = self.groups.get_mut(group) {
            state.health.record_success(now_ms);
        }
    }

    /// Records that a group did not respond or failed to process the call.
    pub fn record_failure(&mut self, group: &ids::GroupId, now_ms: u64) {
        if let Some(state) = self.groups.get_mut(group) {
            state.health.record_failure(now_ms);
        }
    }

    /// Charges further bytes of a call to the link budget, such as a large response.
    pub fn record_link_bytes(&mut self, bytes: u64, now_ms: u64) {
        self.link.consume(bytes, now_ms);
    }

    /// Selects a group for a call and counts the call against its load report.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::NoUpstream`] if no eligible group serves the service, and
    /// [`errors::ErrorKind::Overloaded`] if the only eligible ones are excluded by the
    /// byte budget of the link. Either way the call did not run.
    pub fn pick(&mut self, request: &RouteRequest<'_>, now_ms: u64) -> errors::Result<Route> {
        let link_open = self.link.allows(request.link_bytes, now_ms);
        let eligible = self.candidates(request.service, request.tried, now_ms);
        let usable: Vec<Candidate> = eligible
            .iter()
            .copied()
            .filter(|candidate| link_open || candidate.distance != Distance::OtherRegion)
            .collect();
        if usable.is_empty() {
            return Err(no_route_error(request.service, !eligible.is_empty()));
        }
        let cheapest = Self::within_tolerance(&usable);
        let chosen = self.pick_of_two(&cheapest);
        if chosen.distance == Distance::OtherRegion {
            self.link.consume(request.link_bytes, now_ms);
        }
        let Some((group, state)) = self.groups.get_index_mut(chosen.index) else {
            return Err(no_route_error(request.service, false));
        };
        if let Some(report) = state.services.get_mut(request.service) {
            report.sent_calls = report.sent_calls.saturating_add(1);
        }
        Ok(Route {
            group: group.clone(),
            distance: chosen.distance,
        })
    }

    fn group_mut(&mut self, group: &ids::GroupId) -> &mut Group {
        self.groups.entry(group.clone()).or_insert_with(|| Group {
            reachable: true,
            ..Group::default()
        })
    }

    /// Eligible groups for a call. Ejected groups are included only if there are no others.
    fn candidates(
        &self,
        service: &ids::WorkId,
        tried: &[ids::GroupId],
        now_ms: u64,
    ) -> Vec<Candidate> {
        let mut eligible = Vec::new();
        for (index, (group, state)) in self.groups.iter().enumerate() {
            let Some(report) = state.services.get(service) else {
                continue;
            };
            let age_ms = now_ms.saturating_sub(report.reported_at_ms);
            let stale = age_ms > self.config.stale_after_ms;
            if state.draining || !state.reachable || stale || tried.contains(group) {
                continue;
            }
            let distance = self.distance(&group.zone);
            let free_slots = report.free_slots();
            let wait_ms = if free_slots > 0 {
                0
            } else {
                report.load.queue_delay_ms
            };
            eligible.push(Candidate {
                index,
                distance,
                cost_ms: wait_ms.saturating_add(self.distance_cost_ms(distance)),
                free_slots,
                excess: report.excess(),
                instances: report.load.instances,
                ejected: state.health.is_ejected(now_ms),
            });
        }
        if eligible.iter().any(|candidate| !candidate.ejected) {
            eligible.retain(|candidate| !candidate.ejected);
        }
        eligible
    }

    fn distance(&self, zone: &ids::ZoneId) -> Distance {
        if *zone == self.config.zone {
            return Distance::SameZone;
        }
        let own = self.config.regions.get(&self.config.zone);
        let theirs = self.config.regions.get(zone);
        if own.is_some() && own == theirs {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// The groups whose cost is within a tolerance of the lowest cost.
    ///
    /// The tolerance grows with the cost. All hosts see the same load reports and would
    /// otherwise all send to one group until the next report, and then to another. There
    /// is no tolerance between groups on different sides of the link.
    fn within_tolerance(usable: &[Candidate]) -> Vec<Candidate> {
        let Some(cheapest) = usable.iter().min_by_key(|candidate| candidate.cost_ms) else {
            return Vec::new();
        };
        let candidates = usable.iter().filter(|candidate| {
            let tolerance_ms = if candidate.crosses_link() == cheapest.crosses_link() {
                COST_TOLERANCE_MS.max(cheapest.cost_ms)
            } else {
                0
            };
            candidate.cost_ms <= cheapest.cost_ms.saturating_add(tolerance_ms)
        });
        candidates.copied().collect()
    }

    fn distance_cost_ms(&self, distance: Distance) -> u64 {
        match distance {
            Distance::SameZone => 0,
            Distance::SameRegion => self.config.zone_spillover_ms,
            Distance::OtherRegion => self.config.region_spillover_ms,
        }
    }

    /// Power of two choices: the better of two groups drawn by their number of instances.
    ///
    /// If each entry host took the best group, all would choose the same one.
    fn pick_of_two(&mut self, candidates: &[Candidate]) -> Candidate {
        let first = self.draw_weighted(candidates);
        let second = self.draw_weighted(candidates);
        if second.is_better_than(&first) {
            second
        } else {
            first
        }
    }

    fn draw_weighted(&mut self, candidates: &[Candidate]) -> Candidate {
        let total: u32 = candidates.iter().map(|candidate| candidate.instances).sum();
        let mut remaining = self.random.random_range(0..total.max(1));
        for candidate in candidates {
            if remaining < candidate.instances {
                return *candidate;
            }
            remaining -= candidate.instances;
        }
        candidates[0]
    }
}

/// An eligible group and the values by which it is compared.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    distance: Distance,
    /// Expected wait plus the cost of the distance.
    cost_ms: u64,
    free_slots: u32,
    excess: f64,
    instances: u32,
    ejected: bool,
}

impl Candidate {
    /// Orders by lower cost, then less excess, then more free slots per instance.
    ///
    /// Two groups without free slots are considered equal.
    fn is_better_than(&self, other: &Self) -> bool {
        if self.free_slots == 0 && other.free_slots == 0 {
            return false;
        }
        if self.cost_ms != other.cost_ms {
            return self.cost_ms < other.cost_ms;
        }
        if (self.excess - other.excess).abs() > f64::EPSILON {
            return self.excess < other.excess;
        }
        let free = u64::from(self.free_slots) * u64::from(other.instances);
        let others_free = u64::from(other.free_slots) * u64::from(self.instances);
        free > others_free
    }

    fn crosses_link(&self) -> bool {
        self.distance == Distance::OtherRegion
    }
}

fn no_route_error(service: &ids::WorkId, link_budget_exhausted: bool) -> errors::Error {
    if link_budget_exhausted {
        let detail = format!("link byte budget exhausted for calls to {service}");
        return errors::Error::new(errors::ErrorKind::Overloaded, detail);
    }
    let detail = format!("no eligible group has instances of {service}");
    errors::Error::new(errors::ErrorKind::NoUpstream, detail)
}
