//! What all roles of one host share.

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

/// Calls to the store that one host's journals may make in a second.
const STORE_CALLS_PER_S: u32 = 100;
/// Calls to the store that may be made at once after a quiet time.
const STORE_BURST_CALLS: u32 = 50;

/// One host's state and connections.
#[derive(Debug)]
pub struct Shared {
    /// The checked configuration.
    pub config: config::NodeConfig,
    /// The host's clock.
    pub clock: clock::Clock,
    /// The connections to the platform.
    pub platform: platform::Platform,
    /// Calls to peers.
    pub transport: Arc<dyn wire::Transport>,
    /// Where history events go.
    pub sink: Arc<dyn history::Sink>,
    /// The release in force.
    pub releases: releases::Releases,
    /// Counters and gauges.
    pub metrics: telemetry::Metrics,
    /// The settings of the host's journals, which share its budget of calls to the store.
    pub journals: journal::Config,
    /// The entry's choice of groups for calls.
    pub routing: forward::Routing,
    mirror: watch::Receiver<Arc<MirrorView>>,
    phase: watch::Sender<lifecycle::Phase>,
    membership: Mutex<Membership>,
    directory: RwLock<Arc<directory::Directory>>,
    groups: RwLock<IndexMap<ids::GroupId, Arc<group::GroupOwner>>>,
    shards: RwLock<IndexMap<ids::ShardId, Arc<shard::ShardOwner>>>,
}

impl Shared {
    /// Makes the state of a host that is joining.
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
                journal::StoreBudget::new(STORE_CALLS_PER_S, STORE_BURST_CALLS),
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

    /// The present time of the host's clock in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The membership, locked; never held across an await.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest copy of the shared keys.
    pub fn mirror(&self) -> Arc<MirrorView> {
        Arc::clone(&self.mirror.borrow())
    }

    /// A receiver of the copies of the shared keys.
    pub fn watch_mirror(&self) -> watch::Receiver<Arc<MirrorView>> {
        self.mirror.clone()
    }

    /// The phase of the host's life cycle.
    pub fn phase(&self) -> lifecycle::Phase {
        *self.phase.borrow()
    }

    /// Enters a phase and tells all that wait for it.
    pub fn set_phase(&self, phase: lifecycle::Phase) {
        self.phase.send_replace(phase);
    }

    /// A receiver of phases.
    pub fn watch_phase(&self) -> watch::Receiver<lifecycle::Phase> {
        self.phase.subscribe()
    }

    /// Who owns what.
    pub fn directory(&self) -> Arc<directory::Directory> {
        Arc::clone(
            &self
                .directory
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Builds the directory again from the mirror and the rumors.
    pub fn refresh_directory(&self) {
        let rumors = self.membership().rumors(self.now_ms());
        let mirror = self.mirror();
        let built = directory::Directory::build(&self.config.topology, &mirror, &rumors);
        *self
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(built);
    }

    /// The owned group with this identifier.
    pub fn group(&self, id: &ids::GroupId) -> Option<Arc<group::GroupOwner>> {
        self.groups
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(id)
            .cloned()
    }

    /// All owned groups.
    pub fn groups(&self) -> Vec<Arc<group::GroupOwner>> {
        self.groups
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .values()
            .cloned()
            .collect()
    }

    /// Puts a group in place of an earlier one with its identifier, or takes it away.
    pub fn set_group(&self, id: &ids::GroupId, group: Option<Arc<group::GroupOwner>>) {
        let mut groups = self.groups.write().unwrap_or_else(PoisonError::into_inner);
        match group {
            Some(group) => groups.insert(id.clone(), group),
            None => groups.shift_remove(id),
        };
    }

    /// The owned shard with this number.
    pub fn shard(&self, id: ids::ShardId) -> Option<Arc<shard::ShardOwner>> {
        self.shards
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&id)
            .cloned()
    }

    /// All owned shards.
    pub fn shards(&self) -> Vec<Arc<shard::ShardOwner>> {
        self.shards
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .values()
            .cloned()
            .collect()
    }

    /// Puts a shard in place of an earlier one with its number, or takes it away.
    pub fn set_shard(&self, id: ids::ShardId, shard: Option<Arc<shard::ShardOwner>>) {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        match shard {
            Some(shard) => shards.insert(id, shard),
            None => shards.shift_remove(&id),
        };
    }

    /// Stops all owners of groups and shards; nothing is handed over.
    pub fn release_everything(&self) {
        for group in self.groups() {
            group.stop();
            self.set_group(group.id(), None);
        }
        for shard in self.shards() {
            shard.stop();
            self.set_shard(shard.id(), None);
        }
    }

    /// The rumor about this host with the release that is in force now.
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
    pub async fn ask(
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
            .hear(address, ids::ReleaseVersion(reply.release_version));
        match reply.body {
            Some(messages::Body::Failure(failure)) => Err(wire::failure_of(&failure)),
            Some(body) => Ok(body),
            None => Err(unexpected_reply()),
        }
    }
}

/// The error for a reply of a kind that does not belong to its request.
pub fn unexpected_reply() -> errors::Error {
    errors::Error::new(
        errors::ErrorKind::Internal,
        "the peer sent a reply of another kind",
    )
}
