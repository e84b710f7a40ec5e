//! The choice between groups.

use derive_more::Display;
use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use kernel::random;
use rand::RngExt;

use super::health;
use super::link;

/// Costs that differ by less are taken for equal.
const EQUAL_COST_MS: u64 = 10;

/// Where an entry host stands and what its calls may cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterConfig {
    /// The entry host's availability zone.
    pub zone: ids::ZoneId,
    /// Region of each known zone, the own one included.
    pub regions: IndexMap<ids::ZoneId, ids::RegionId>,
    /// Age at which what a group says about itself is not used any more.
    pub stale_after_ms: u64,
    /// How much longer the wait in the own zone may be than in the rest of the region.
    pub zone_spill_ms: u64,
    /// How much longer the wait in the own region may be than across the link.
    pub region_spill_ms: u64,
    /// Bytes a second that calls of this host may put on the link.
    pub link_bytes_per_s: u64,
    /// Bytes that may be put on the link at once.
    pub link_burst_bytes: u64,
}

impl RouterConfig {
    /// The usual bounds for a host of a zone.
    pub fn new(zone: &ids::ZoneId, regions: IndexMap<ids::ZoneId, ids::RegionId>) -> Self {
        Self {
            zone: zone.clone(),
            regions,
            stale_after_ms: 5_000,
            zone_spill_ms: 20,
            region_spill_ms: 500,
            // A fourth of 30 Mbit/s, shared by four hosts of the region.
            link_bytes_per_s: 234_375,
            link_burst_bytes: 262_144,
        }
    }
}

/// How far a group is from the entry host.
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

/// What a group's owner says about one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupLoad {
    /// Instances that take calls.
    pub instances: u32,
    /// Free slots on them.
    pub free_slots: u32,
    /// Estimated wait for a slot.
    pub queue_delay_ms: u64,
}

/// A call that needs a group.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The service that is called.
    pub service: &'a ids::WorkId,
    /// Bytes of the request and of the answer that is expected.
    pub link_bytes: u64,
    /// Groups that this call has tried.
    pub tried: &'a [ids::GroupId],
}

/// The group that a call goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The group.
    pub group: ids::GroupId,
    /// How far it is.
    pub distance: Distance,
}

#[derive(Clone, Copy, Debug)]
struct Rumor {
    load: GroupLoad,
    heard_at_ms: u64,
    /// Calls sent there since the load was heard.
    sent: u32,
}

impl Rumor {
    /// Free slots less the calls sent since they were counted.
    fn free_slots(&self) -> u32 {
        self.load.free_slots.saturating_sub(self.sent)
    }

    /// Calls sent beyond the free slots, for each instance.
    fn excess(&self) -> f64 {
        let excess = self.sent.saturating_sub(self.load.free_slots);
        f64::from(excess) / f64::from(self.load.instances.max(1))
    }
}

#[derive(Debug, Default)]
struct Group {
    services: IndexMap<ids::WorkId, Rumor>,
    health: health::Health,
    draining: bool,
    reachable: bool,
}

/// Picks groups for the calls of one entry host.
#[derive(Debug)]
pub struct Router {
    config: RouterConfig,
    random: random::Random,
    groups: IndexMap<ids::GroupId, Group>,
    link: link::LinkBudget,
}

impl Router {
    /// Makes a router that knows no groups.
    pub fn new(config: RouterConfig, seed: u64) -> Self {
        let link = link::LinkBudget::new(config.link_bytes_per_s, config.link_burst_bytes);
        Self {
            config,
            random: random::from_seed(seed),
            groups: IndexMap::new(),
            link,
        }
    }

    /// Takes in what a group's owner says about a service.
    pub fn observe(
        &mut self,
        group: &ids::GroupId,
        service: &ids::WorkId,
        load: GroupLoad,
        now_ms: u64,
    ) {
        let known = self.group_mut(group);
        if load.instances == 0 {
            known.services.swap_remove(service);
            return;
        }
        let rumor = Rumor {
            load,
            heard_at_ms: now_ms,
            sent: 0,
        };
        known.services.insert(service.clone(), rumor);
    }

    /// Notes whether a group's owner is leaving and whether it can be reached.
    pub fn set_state(&mut self, group: &ids::GroupId, draining: bool, reachable: bool) {
        let known = self.group_mut(group);
        known.draining = draining;
        known.reachable = reachable;
    }

    /// Forgets a group.
    pub fn remove(&mut self, group: &ids::GroupId) {
        self.groups.swap_remove(group);
    }

    /// Notes that a group answered, whatever the answer was.
    pub fn record_success(&mut self, group: &ids::GroupId, now_ms: u64) {
        if let Some(known) = self.groups.get_mut(group) {
            known.health.record_success(now_ms);
        }
    }

    /// Notes that a group did not answer or answered with a fault of its own.
    pub fn record_failure(&mut self, group: &ids::GroupId, now_ms: u64) {
        if let Some(known) = self.groups.get_mut(group) {
            known.health.record_failure(now_ms);
        }
    }

    /// Counts further bytes that a call put on the link, such as a large answer.
    pub fn record_link_bytes(&mut self, bytes: u64, now_ms: u64) {
        self.link.take(bytes, now_ms);
    }

    /// Picks a group for a call.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::NoUpstream`] if no group that may be used serves the
    /// service, [`errors::ErrorKind::Overloaded`] if only the byte budget of the link
    /// stands against it. Either means that the call did not run.
    pub fn pick(&mut self, request: &RouteRequest<'_>, now_ms: u64) -> errors::Result<Route> {
        let link_open = self.link.allows(request.link_bytes, now_ms);
        let found = self.candidates(request.service, request.tried, now_ms);
        let usable: Vec<Candidate> = found
            .iter()
            .copied()
            .filter(|candidate| link_open || candidate.distance != Distance::OtherRegion)
            .collect();
        if usable.is_empty() {
            return Err(no_route(request.service, !found.is_empty()));
        }
        let cheapest = Self::cheapest(&usable);
        let chosen = self.choose(&cheapest);
        if chosen.distance == Distance::OtherRegion {
            self.link.take(request.link_bytes, now_ms);
        }
        let Some((group, known)) = self.groups.get_index_mut(chosen.index) else {
            return Err(no_route(request.service, false));
        };
        if let Some(rumor) = known.services.get_mut(request.service) {
            rumor.sent = rumor.sent.saturating_add(1);
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

    /// Groups that may serve a call, without failing ones while there are others.
    fn candidates(
        &self,
        service: &ids::WorkId,
        tried: &[ids::GroupId],
        now_ms: u64,
    ) -> Vec<Candidate> {
        let mut found = Vec::new();
        for (index, (group, known)) in self.groups.iter().enumerate() {
            let Some(rumor) = known.services.get(service) else {
                continue;
            };
            let age_ms = now_ms.saturating_sub(rumor.heard_at_ms);
            let stale = age_ms > self.config.stale_after_ms;
            if known.draining || !known.reachable || stale || tried.contains(group) {
                continue;
            }
            let distance = self.distance(&group.zone);
            let free_slots = rumor.free_slots();
            let wait_ms = if free_slots > 0 {
                0
            } else {
                rumor.load.queue_delay_ms
            };
            found.push(Candidate {
                index,
                distance,
                cost_ms: wait_ms.saturating_add(self.distance_cost_ms(distance)),
                free_slots,
                excess: rumor.excess(),
                instances: rumor.load.instances,
                ejected: known.health.is_ejected(now_ms),
            });
        }
        if found.iter().any(|candidate| !candidate.ejected) {
            found.retain(|candidate| !candidate.ejected);
        }
        found
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

    /// The groups whose cost is close to the least.
    ///
    /// The longer the waits, the less a difference counts: all hosts see the same loads,
    /// and would send everything to one group and then to the next.
    fn cheapest(usable: &[Candidate]) -> Vec<Candidate> {
        let Some(least) = usable.iter().min_by_key(|candidate| candidate.cost_ms) else {
            return Vec::new();
        };
        let close = usable.iter().filter(|candidate| {
            let tolerance_ms = if candidate.crosses_link() == least.crosses_link() {
                EQUAL_COST_MS.max(least.cost_ms)
            } else {
                0
            };
            candidate.cost_ms <= least.cost_ms.saturating_add(tolerance_ms)
        });
        close.copied().collect()
    }

    fn distance_cost_ms(&self, distance: Distance) -> u64 {
        match distance {
            Distance::SameZone => 0,
            Distance::SameRegion => self.config.zone_spill_ms,
            Distance::OtherRegion => self.config.region_spill_ms,
        }
    }

    /// Draws two groups by their number of instances and takes the better one.
    ///
    /// Taking the best of all would send every entry host to the same group.
    fn choose(&mut self, close: &[Candidate]) -> Candidate {
        let first = self.draw(close);
        let second = self.draw(close);
        if second.is_better_than(&first) {
            second
        } else {
            first
        }
    }

    fn draw(&mut self, close: &[Candidate]) -> Candidate {
        let total: u32 = close.iter().map(|candidate| candidate.instances).sum();
        let mut ticket = self.random.random_range(0..total.max(1));
        for candidate in close {
            if ticket < candidate.instances {
                return *candidate;
            }
            ticket -= candidate.instances;
        }
        close[0]
    }
}

/// A group that may serve a call.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    distance: Distance,
    /// Expected wait, and what the distance counts for.
    cost_ms: u64,
    free_slots: u32,
    excess: f64,
    instances: u32,
    ejected: bool,
}

impl Candidate {
    /// Lower cost first, then fewer calls beyond the free slots, then more free slots.
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

fn no_route(service: &ids::WorkId, link_budget_used_up: bool) -> errors::Error {
    if link_budget_used_up {
        let detail = format!("the link's byte budget leaves no room for a call to {service}");
        return errors::Error::new(errors::ErrorKind::Overloaded, detail);
    }
    let detail = format!("no reachable group has instances of {service}");
    errors::Error::new(errors::ErrorKind::NoUpstream, detail)
}
