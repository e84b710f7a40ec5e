//! Periodic gossip exchanges with peers.

use std::sync::Arc;
use std::time;

use futures::future;
use kernel::errors;
use wire::messages;

use crate::shared;

/// Timeout of one exchange with a peer.
const GOSSIP_TIMEOUT_MS: u64 = 1_000;

/// Runs a gossip round at every interval until the future is dropped.
pub async fn run(shared: Arc<shared::Shared>) {
    let interval_ms = shared.membership().config().interval_ms;
    let mut ticks = tokio::time::interval(time::Duration::from_millis(interval_ms));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        run_round(&shared).await;
    }
}

/// Runs one round: updates the local entry, exchanges entries with the chosen peers, rebuilds
/// the directory.
pub async fn run_round(shared: &shared::Shared) {
    update_local_rumor(shared);
    let now_ms = shared.now_ms();
    let (targets, rumors) = {
        let mut membership = shared.membership();
        membership.forget_silent(now_ms);
        (membership.targets(now_ms), membership.rumors(now_ms))
    };
    let targets = or_bootstrap_peers(shared, targets);
    let exchanges = targets
        .iter()
        .map(|address| exchange(shared, address, rumors.clone()));
    for result in future::join_all(exchanges).await {
        if let Err(error) = result {
            log::debug!("gossip exchange failed: {error}");
        }
    }
    shared.refresh_directory();
}

/// Returns the targets, or registered members and seeds if there are none.
fn or_bootstrap_peers(shared: &shared::Shared, targets: Vec<String>) -> Vec<String> {
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
    let reply = shared
        .send_request(address, request, GOSSIP_TIMEOUT_MS)
        .await?;
    let messages::Body::GossipReply(reply) = reply else {
        return Err(shared::unexpected_reply());
    };
    merge(shared, reply.rumors);
    Ok(())
}

/// Merges the entries that a peer sent and returns those of this host.
pub fn handle_request(shared: &shared::Shared, request: messages::GossipRequest) -> messages::Body {
    merge(shared, request.rumors);
    let rumors = shared.membership().rumors(shared.now_ms());
    messages::Body::GossipReply(messages::GossipReply { rumors })
}

fn merge(shared: &shared::Shared, rumors: Vec<messages::HostRumor>) {
    let newest = rumors.iter().max_by_key(|rumor| rumor.release_version);
    if let Some(rumor) = newest {
        let version = kernel::ids::ReleaseVersion(rumor.release_version);
        shared.releases.record_peer_version(&rumor.address, version);
    }
    shared.membership().merge(rumors, shared.now_ms());
}

/// Updates the gossip entry of this host with its current state.
fn update_local_rumor(shared: &shared::Shared) {
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
