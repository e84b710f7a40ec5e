//! Keeps the owned groups and shards in step with the tables in the store.

use std::sync::Arc;
use std::time;

use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use ownership::{MirrorView, OwnershipClaim};
use platform::store;

use crate::{directory, group, shard, shared};

const CHECK_INTERVAL_MS: u64 = 500;
const SETTLE_AFTER_MS: u64 = 500;
const ABSENCE_GRACE_MS: u64 = 1_500;

/// One host's part in the ownership of its zone's groups and of the shards.
#[derive(Debug)]
pub struct Tenure {
    shared: Arc<shared::Shared>,
    groups: OwnershipClaim,
    shards: OwnershipClaim,
    groups_revision: store::Revision,
    shards_revision: store::Revision,
    registered_since_ms: Option<u64>,
    last_registered: IndexMap<ids::HostId, (ownership::MemberRecord, u64)>,
}

impl Tenure {
    /// Makes the claims of a host; nothing is owned before [`Tenure::run`].
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

    /// Settles ownership at every change of the shared keys until the future is dropped.
    pub async fn run(mut self) {
        let mut mirror = self.shared.watch_mirror();
        let mut ticks = tokio::time::interval(time::Duration::from_millis(CHECK_INTERVAL_MS));
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
                && let Err(error) = self.settle(&view).await
            {
                log::debug!("ownership: {error}");
            }
        }
    }

    /// Brings the tables and the running owners in step once.
    ///
    /// # Errors
    ///
    /// If the store does not answer; everything stays as it is.
    pub async fn settle(&mut self, view: &MirrorView) -> errors::Result<()> {
        let members = directory::members(view);
        let groups_seen = view.entries.get(self.groups.key());
        let shards_seen = view.entries.get(self.shards.key());
        if !self.may_take(&members) {
            let holdings = self.groups.observe(groups_seen)?;
            self.follow_groups(&holdings);
            let holdings = self.shards.observe(shards_seen)?;
            self.follow_shards(&holdings);
            return Ok(());
        }
        self.note_absences(&members);

        let candidates = self.group_candidates();
        let holdings = self.groups.settle(groups_seen, &candidates).await?;
        self.follow_groups(&holdings);

        let candidates = self.shard_candidates();
        let holdings = self.shards.settle(shards_seen, &candidates).await?;
        self.follow_shards(&holdings);
        self.shared.refresh_directory();
        Ok(())
    }

    /// Whether the host is registered, and has been for long enough to know the others.
    ///
    /// Without the wait, the first host to register after a start or an outage
    /// of the store would take everything and hand it on again.
    fn may_take(&mut self, members: &[ownership::MemberRecord]) -> bool {
        let now_ms = self.shared.now_ms();
        if !members
            .iter()
            .any(|member| member.host == self.shared.config.host)
        {
            self.registered_since_ms = None;
            return false;
        }
        let since_ms = *self.registered_since_ms.get_or_insert(now_ms);
        now_ms - since_ms >= SETTLE_AFTER_MS
    }

    /// Notes since when each known host has been without registration.
    fn note_absences(&mut self, members: &[ownership::MemberRecord]) {
        let now_ms = self.shared.now_ms();
        for member in members {
            self.last_registered
                .insert(member.host.clone(), (member.clone(), now_ms));
        }
        self.last_registered
            .retain(|_, (_, seen_ms)| now_ms - *seen_ms < ABSENCE_GRACE_MS);
    }

    /// Registered hosts, and those whose registration vanished a moment ago.
    ///
    /// After an outage of the store all leases have lapsed; the grace lets every
    /// host register again before anything is taken from it.
    fn eligible(&self) -> impl Iterator<Item = &ownership::MemberRecord> {
        self.last_registered
            .values()
            .map(|(member, _)| member)
            .filter(|member| member.eligible)
    }

    /// Hosts of the zone that may own its groups.
    fn group_candidates(&self) -> Vec<ids::HostId> {
        let zone = &self.shared.config.zone;
        sorted(self.eligible().filter(|member| member.zone == *zone))
    }

    /// Hosts in the store's region, or all hosts if there is none in it.
    fn shard_candidates(&self) -> Vec<ids::HostId> {
        let topology = &self.shared.config.topology;
        let near = |member: &&ownership::MemberRecord| {
            topology
                .store_region
                .as_ref()
                .is_none_or(|region| topology.zones.get(&member.zone) == Some(region))
        };
        let nearby = sorted(self.eligible().filter(near));
        if nearby.is_empty() {
            sorted(self.eligible())
        } else {
            nearby
        }
    }

    fn follow_groups(&mut self, holdings: &ownership::Holdings) {
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

    fn follow_shards(&mut self, holdings: &ownership::Holdings) {
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

fn sorted<'a>(members: impl Iterator<Item = &'a ownership::MemberRecord>) -> Vec<ids::HostId> {
    let mut hosts: Vec<ids::HostId> = members.map(|member| member.host.clone()).collect();
    hosts.sort();
    hosts
}
