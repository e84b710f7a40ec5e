//! Reconciles the groups and shards that this host runs with the ownership tables in the
//! store.

use std::sync::Arc;
use std::time;

use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use ownership::{MirrorView, OwnershipClaim};
use platform::store;

use crate::{directory, group, shard, shared};

/// Interval of reconciliation without a change of the shared keys.
const RECONCILE_INTERVAL_MS: u64 = 500;
/// Minimum time that a host is registered before it acquires units.
const REGISTRATION_WAIT_MS: u64 = 500;
/// Time for which a host stays eligible after its registration has disappeared.
const ABSENCE_GRACE_MS: u64 = 1_500;

/// Acquires and releases ownership of the zone's groups and of the shards for one host.
#[derive(Debug)]
pub struct OwnershipController {
    shared: Arc<shared::Shared>,
    groups: OwnershipClaim,
    shards: OwnershipClaim,
    groups_revision: store::Revision,
    shards_revision: store::Revision,
    registered_since_ms: Option<u64>,
    last_registered: IndexMap<ids::HostId, (ownership::MemberRecord, u64)>,
}

impl OwnershipController {
    /// Creates the claims of a host; nothing is owned before [`OwnershipController::run`].
    pub fn new(shared: Arc<shared::Shared>) -> Self {
        let store = &shared.platform.store;
        let config = &shared.config;
        let claim =
            |key, units| OwnershipClaim::new(Arc::clone(store), key, units, config.host.clone());
        Self {
            groups: claim(
                ownership::zone_key(&config.zone),
                config.topology.groups_per_zone,
            ),
            shards: claim(ownership::shards_key(), config.topology.shards),
            groups_revision: store::Revision::default(),
            shards_revision: store::Revision::default(),
            registered_since_ms: None,
            last_registered: IndexMap::new(),
            shared,
        }
    }

    /// Reconciles at every change of the shared keys, and at a fixed interval, until the
    /// future is dropped.
    pub async fn run(mut self) {
        let mut mirror = self.shared.watch_mirror();
        let mut ticks = tokio::time::interval(time::Duration::from_millis(RECONCILE_INTERVAL_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                changed = mirror.changed() => if changed.is_err() { return },
                _ = ticks.tick() => {}
            }
            let view = Arc::clone(&mirror.borrow_and_update());
            self.shared.refresh_directory();
            if view.connected
                && let Err(error) = self.reconcile(&view).await
            {
                log::debug!("cannot reconcile ownership: {error}");
            }
        }
    }

    /// Reconciles the tables and the running owners once.
    ///
    /// # Errors
    ///
    /// If the store does not answer; ownership stays as it is.
    pub async fn reconcile(&mut self, view: &MirrorView) -> errors::Result<()> {
        let members = directory::members(view);
        let groups_seen = view.entries.get(self.groups.key());
        let shards_seen = view.entries.get(self.shards.key());
        if !self.may_acquire(&members) {
            let holdings = self.groups.observe(groups_seen)?;
            self.apply_group_holdings(&holdings);
            let holdings = self.shards.observe(shards_seen)?;
            self.apply_shard_holdings(&holdings);
            return Ok(());
        }
        self.update_last_registered(&members);

        let candidates = self.group_candidates();
        let holdings = self.groups.settle(groups_seen, &candidates).await?;
        self.apply_group_holdings(&holdings);

        let candidates = self.shard_candidates();
        let holdings = self.shards.settle(shards_seen, &candidates).await?;
        self.apply_shard_holdings(&holdings);
        self.shared.refresh_directory();
        Ok(())
    }

    /// Whether the host has been registered for at least `REGISTRATION_WAIT_MS`, so that it
    /// has seen the other hosts.
    ///
    /// Without the wait, the first host to register after a start or an outage of the store
    /// would acquire all units and then hand most of them over again.
    fn may_acquire(&mut self, members: &[ownership::MemberRecord]) -> bool {
        let now_ms = self.shared.now_ms();
        if !members
            .iter()
            .any(|member| member.host == self.shared.config.host)
        {
            self.registered_since_ms = None;
            return false;
        }
        let since_ms = *self.registered_since_ms.get_or_insert(now_ms);
        now_ms - since_ms >= REGISTRATION_WAIT_MS
    }

    /// Records when each host was last registered, and removes hosts absent for longer than
    /// the grace period.
    fn update_last_registered(&mut self, members: &[ownership::MemberRecord]) {
        let now_ms = self.shared.now_ms();
        for member in members {
            self.last_registered
                .insert(member.host.clone(), (member.clone(), now_ms));
        }
        self.last_registered
            .retain(|_, (_, seen_ms)| now_ms - *seen_ms < ABSENCE_GRACE_MS);
    }

    /// Eligible hosts that are registered, or were within the grace period.
    ///
    /// After an outage of the store all registration leases have expired; the grace period
    /// lets every host register again before its units are reassigned.
    fn eligible(&self) -> impl Iterator<Item = &ownership::MemberRecord> {
        self.last_registered
            .values()
            .map(|(member, _)| member)
            .filter(|member| member.eligible)
    }

    /// Eligible hosts in this host's zone, which may own its groups.
    fn group_candidates(&self) -> Vec<ids::HostId> {
        let zone = &self.shared.config.zone;
        sorted_host_ids(self.eligible().filter(|member| member.zone == *zone))
    }

    /// Eligible hosts in the store's region, or all eligible hosts if there are none in it.
    fn shard_candidates(&self) -> Vec<ids::HostId> {
        let topology = &self.shared.config.topology;
        let is_near_store = |member: &&ownership::MemberRecord| {
            topology
                .store_region
                .as_ref()
                .is_none_or(|region| topology.zones.get(&member.zone) == Some(region))
        };
        let nearby = sorted_host_ids(self.eligible().filter(is_near_store));
        if nearby.is_empty() {
            sorted_host_ids(self.eligible())
        } else {
            nearby
        }
    }

    fn apply_group_holdings(&mut self, holdings: &ownership::Holdings) {
        if holdings.revision < self.groups_revision {
            return;
        }
        self.groups_revision = holdings.revision;
        let zone = self.shared.config.zone.clone();
        let owned: IndexMap<ids::GroupId, ids::Epoch> = holdings
            .units
            .iter()
            .map(|(index, epoch)| (ids::GroupId::new(&zone, *index), *epoch))
            .collect();
        for group in self.shared.groups() {
            if owned.get(group.id()) != Some(&group.epoch()) {
                group.stop();
                self.shared.set_group(group.id(), None);
            }
        }
        for (id, epoch) in owned {
            if self.shared.group(&id).is_none() {
                let owner = group::GroupOwner::start(&self.shared, id.clone(), epoch);
                self.shared.set_group(&id, Some(owner));
            }
        }
    }

    fn apply_shard_holdings(&mut self, holdings: &ownership::Holdings) {
        if holdings.revision < self.shards_revision {
            return;
        }
        self.shards_revision = holdings.revision;
        for shard in self.shared.shards() {
            if holdings.units.get(&shard.id().0) != Some(&shard.epoch()) {
                shard.stop();
                self.shared.set_shard(shard.id(), None);
            }
        }
        for (number, epoch) in &holdings.units {
            let id = ids::ShardId(*number);
            if self.shared.shard(id).is_none() {
                let owner = shard::ShardOwner::start(&self.shared, id, *epoch);
                self.shared.set_shard(id, Some(owner));
            }
        }
    }
}

fn sorted_host_ids<'a>(
    members: impl Iterator<Item = &'a ownership::MemberRecord>,
) -> Vec<ids::HostId> {
    let mut hosts: Vec<ids::HostId> = members.map(|member| member.host.clone()).collect();
    hosts.sort();
    hosts
}
