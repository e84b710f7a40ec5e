//! State shared by all roles of one host.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use indexmap::IndexMap;
use kernel::errors;
use kernel::history;
use kernel::ids;
use kernel::lifecycle;
use ownership::{Membership, MembershipConfig, MirrorView};
use tokio::sync::watch;
use wire::messages;

use crate::{clock, config, directory, forward, group, releases, shard, telemetry};

/// Sustained rate limit on store calls by all journals of one host.
const MAX_STORE_CALLS_PER_S: u32 = 100;
/// Burst limit on store calls by all journals of one host.
const MAX_STORE_BURST_CALLS: u32 = 50;

/// State and connections of one host.
#[derive(Debug)]
pub struct Shared {
    /// The validated configuration.
    pub config: config::NodeConfig,
    /// Monotonic clock; all times of the host are relative to it.
    pub clock: clock::Clock,
    /// Clients of the platform: store, workers and upstreams.
    pub platform: platform::Platform,
    /// Transport for requests to peers.
    pub transport: Arc<dyn wire::Transport>,
    /// Receives the history events of this host.
    pub sink: Arc<dyn history::Sink>,
    /// The release in force.
    pub releases: releases::Releases,
    /// Metrics of the process.
    pub metrics: telemetry::Metrics,
    /// Configuration of the host's journals; they share one budget of store calls.
    pub journals: journal::Config,
    /// Group selection for calls.
    pub routing: forward::Routing,
    mirror: watch::Receiver<Arc<MirrorView>>,
    phase: watch::Sender<lifecycle::Phase>,
    membership: Mutex<Membership>,
    directory: RwLock<Arc<directory::Directory>>,
    groups: RwLock<IndexMap<ids::GroupId, Arc<group::GroupOwner>>>,
    shards: RwLock<IndexMap<ids::ShardId, Arc<shard::ShardOwner>>>,
}

impl Shared {
    /// Creates the state of a host that is joining.
    pub fn new(
        config: config::NodeConfig,
        platform: platform::Platform,
        transport: Arc<dyn wire::Transport>,
        sink: Arc<dyn history::Sink>,
        mirror: watch::Receiver<Arc<MirrorView>>,
    ) -> Self {
        let rumor = messages::HostRumor {
            host: config.host.to_string(),
            zone: config.zone.to_string(),
            address: config.peer_address.clone(),
            http_address: config.http_address.clone(),
            incarnation: config.incarnation_ms,
            phase: lifecycle::Phase::Joining.to_string(),
            ..messages::HostRumor::default()
        };
        let (phase, _) = watch::channel(lifecycle::Phase::Joining);
        Self {
            membership: Mutex::new(Membership::new(
                MembershipConfig::default(),
                rumor,
                config.seed,
            )),
            releases: releases::Releases::new(config.host.clone()),
            metrics: telemetry::Metrics::new(),
            journals: journal::Config::new(
                journal::StoreBudget::new(MAX_STORE_CALLS_PER_S, MAX_STORE_BURST_CALLS),
                config.seed ^ config.incarnation_ms,
            ),
            routing: forward::Routing::new(&config),
            clock: clock::Clock::start(),
            directory: RwLock::default(),
            groups: RwLock::default(),
            shards: RwLock::default(),
            config,
            platform,
            transport,
            sink,
            mirror,
            phase,
        }
    }

    /// Milliseconds on the host's clock, which starts at zero with the host.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The membership, locked; never held across an await.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The latest mirrored view of the shared store keys.
    pub fn mirror(&self) -> Arc<MirrorView> {
        Arc::clone(&self.mirror.borrow())
    }

    /// Subscribes to the mirrored view of the shared store keys.
    pub fn watch_mirror(&self) -> watch::Receiver<Arc<MirrorView>> {
        self.mirror.clone()
    }

    /// The phase of the host's life cycle.
    pub fn phase(&self) -> lifecycle::Phase {
        *self.phase.borrow()
    }

    /// Enters a phase and notifies the subscribers.
    pub fn set_phase(&self, phase: lifecycle::Phase) {
        self.phase.send_replace(phase);
    }

    /// Subscribes to changes of the phase.
    pub fn watch_phase(&self) -> watch::Receiver<lifecycle::Phase> {
        self.phase.subscribe()
    }

    /// The known owners of groups and shards.
    pub fn directory(&self) -> Arc<directory::Directory> {
        Arc::clone(
            &self
                .directory
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Rebuilds the directory from the mirror and the gossip.
    pub fn refresh_directory(&self) {
        let rumors = self.membership().rumors(self.now_ms());
        let mirror = self.mirror();
        let built = directory::Directory::build(&self.config.topology, &mirror, &rumors);
        *self
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(built);
    }

    /// The owner of a group; `None` if this host does not own it.
    pub fn group(&self, id: &ids::GroupId) -> Option<Arc<group::GroupOwner>> {
        self.groups
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(id)
            .cloned()
    }

    /// All groups that this host owns.
    pub fn groups(&self) -> Vec<Arc<group::GroupOwner>> {
        self.groups
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .values()
            .cloned()
            .collect()
    }

    /// Inserts or replaces an owned group; `None` removes it.
    pub fn set_group(&self, id: &ids::GroupId, group: Option<Arc<group::GroupOwner>>) {
        let mut groups = self.groups.write().unwrap_or_else(PoisonError::into_inner);
        match group {
            Some(group) => groups.insert(id.clone(), group),
            None => groups.shift_remove(id),
        };
    }

    /// The owner of a shard; `None` if this host does not own it.
    pub fn shard(&self, id: ids::ShardId) -> Option<Arc<shard::ShardOwner>> {
        self.shards
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&id)
            .cloned()
    }

    /// All shards that this host owns.
    pub fn shards(&self) -> Vec<Arc<shard::ShardOwner>> {
        self.shards
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .values()
            .cloned()
            .collect()
    }

    /// Inserts or replaces an owned shard; `None` removes it.
    pub fn set_shard(&self, id: ids::ShardId, shard: Option<Arc<shard::ShardOwner>>) {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        match shard {
            Some(shard) => shards.insert(id, shard),
            None => shards.shift_remove(&id),
        };
    }

    /// Stops and removes all owned groups and shards without a handover.
    pub fn stop_all_owners(&self) {
        for group in self.groups() {
            group.stop();
            self.set_group(group.id(), None);
        }
        for shard in self.shards() {
            shard.stop();
            self.set_shard(shard.id(), None);
        }
    }

    /// The gossip entry of this host with the version of the release now in force.
    pub fn local_rumor(&self) -> messages::HostRumor {
        let mut rumor = self.membership().local().clone();
        rumor.release_version = self.releases.version().0;
        rumor
    }

    /// Appends a history event of this host.
    pub fn record(&self, event: history::Event) {
        self.sink.append(history::Record {
            at_ms: self.now_ms(),
            process: self.config.host.to_string(),
            event,
        });
    }

    /// Sends a request to a peer and returns the body of its reply.
    ///
    /// # Errors
    ///
    /// The transport's error, or the one that the peer reported.
    pub async fn send_request(
        &self,
        address: &str,
        body: messages::Body,
        deadline_ms: u64,
    ) -> errors::Result<messages::Body> {
        let request = messages::Envelope {
            from: self.config.host.to_string(),
            release_version: self.releases.version().0,
            deadline_ms,
            traceparent: telemetry::current_traceparent(),
            body: Some(body),
            ..messages::Envelope::default()
        };
        let reply = self.transport.call(address, request).await?;
        self.releases
            .record_peer_version(address, ids::ReleaseVersion(reply.release_version));
        match reply.body {
            Some(messages::Body::Failure(failure)) => Err(wire::failure_of(&failure)),
            Some(body) => Ok(body),
            None => Err(unexpected_reply()),
        }
    }
}

/// The error for a reply whose type does not match its request.
pub fn unexpected_reply() -> errors::Error {
    errors::Error::new(
        errors::ErrorKind::Internal,
        "the peer sent a reply of an unexpected type",
    )
}
