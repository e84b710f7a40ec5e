//! Rounds of gossip with peers.

use std::sync::Arc;
use std::time;

use futures::future;
use kernel::errors;
use wire::messages;

use crate::shared;

const GOSSIP_DEADLINE_MS: u64 = 1_000;

/// Tells a few peers in every round until the future is dropped.
pub async fn run(shared: Arc<shared::Shared>) {
    let interval_ms = shared.membership().config().interval_ms;
    let mut ticks = tokio::time::interval(time::Duration::from_millis(interval_ms));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        round(&shared).await;
    }
}

/// One round: a beat, an exchange with each chosen peer, a new directory.
pub async fn round(shared: &shared::Shared) {
    beat(shared);
    let now_ms = shared.now_ms();
    let (targets, rumors) = {
        let mut membership = shared.membership();
        membership.forget_silent(now_ms);
        (membership.targets(now_ms), membership.rumors(now_ms))
    };
    let targets = with_entry_points(shared, targets);
    let exchanges = targets
        .iter()
        .map(|address| exchange(shared, address, rumors.clone()));
    for result in future::join_all(exchanges).await {
        if let Err(error) = result {
            log::debug!("gossip: {error}");
        }
    }
    shared.refresh_directory();
}

/// Adds registered members and seeds to the targets while no peer is known.
fn with_entry_points(shared: &shared::Shared, targets: Vec<String>) -> Vec<String> {
    if !targets.is_empty() {
        return targets;
    }
    let registered = crate::directory::members(&shared.mirror())
        .into_iter()
        .map(|record| record.address);
    registered
        .chain(shared.config.seeds.iter().cloned())
        .filter(|address| *address != shared.config.peer_address)
        .collect()
}

async fn exchange(
    shared: &shared::Shared,
    address: &str,
    rumors: Vec<messages::HostRumor>,
) -> errors::Result<()> {
    let request = messages::Body::GossipRequest(messages::GossipRequest { rumors });
    let reply = shared.ask(address, request, GOSSIP_DEADLINE_MS).await?;
    let messages::Body::GossipReply(reply) = reply else {
        return Err(shared::unexpected_reply());
    };
    merge(shared, reply.rumors);
    Ok(())
}

/// Answers a peer's rumors with this host's own.
pub fn answer(shared: &shared::Shared, request: messages::GossipRequest) -> messages::Body {
    merge(shared, request.rumors);
    let rumors = shared.membership().rumors(shared.now_ms());
    messages::Body::GossipReply(messages::GossipReply { rumors })
}

fn merge(shared: &shared::Shared, rumors: Vec<messages::HostRumor>) {
    let ahead = rumors.iter().max_by_key(|rumor| rumor.release_version);
    if let Some(rumor) = ahead {
        let version = kernel::ids::ReleaseVersion(rumor.release_version);
        shared.releases.hear(&rumor.address, version);
    }
    shared.membership().merge(rumors, shared.now_ms());
}

/// Puts the host's present state into its own rumor.
fn beat(shared: &shared::Shared) {
    let groups = shared.groups().iter().map(|group| group.rumor()).collect();
    let shards = shared
        .shards()
        .iter()
        .map(|shard| messages::ShardRumor {
            shard: u32::from(shard.id().0),
            epoch: shard.epoch().0,
        })
        .collect();
    let phase = shared.phase().to_string();
    let release_version = shared.releases.version().0;
    shared.membership().beat(|rumor| {
        rumor.groups = groups;
        rumor.shards = shards;
        rumor.phase = phase;
        rumor.release_version = release_version;
    });
}
