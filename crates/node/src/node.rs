//! Life cycle of one host.

use std::sync::Arc;
use std::time;

use kernel::history;
use kernel::lifecycle;
use ownership::{MemberRecord, Mirror, Session, SessionConfig};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::{config, events, gossip, peer, releases, shared, tenure};

/// Interval of the checks for known peers when joining and for remaining owned units when
/// draining.
const POLL_INTERVAL_MS: u64 = 50;
/// Interval between refreshes of the router's view of groups.
const ROUTING_REFRESH_INTERVAL_MS: u64 = 100;
/// Maximum wait of a joining host for the store or a peer.
const JOIN_TIMEOUT_MS: u64 = 5_000;

/// A running host in state `S` of its life cycle.
#[derive(Debug)]
pub struct Node<S> {
    host: lifecycle::Host<S>,
    shared: Arc<shared::Shared>,
    member_record: watch::Sender<MemberRecord>,
    tasks: JoinSet<()>,
}

impl<S> Node<S> {
    /// The state shared by all roles of the host.
    pub fn shared(&self) -> &Arc<shared::Shared> {
        &self.shared
    }

    /// A handler for requests from peers.
    pub fn peer_handler(&self) -> Arc<peer::PeerHandler> {
        Arc::new(peer::PeerHandler::new(Arc::clone(&self.shared)))
    }
}

impl Node<lifecycle::Joining> {
    /// Starts a host that registers, gossips and follows releases, but does not accept
    /// requests yet.
    pub fn start(
        config: config::NodeConfig,
        platform: platform::Platform,
        transport: Arc<dyn wire::Transport>,
        sink: Arc<dyn history::Sink>,
    ) -> Self {
        let host = lifecycle::Host::new(config.host.clone(), config.zone.clone());
        let store = Arc::clone(&platform.store);
        let mirror = Mirror::new(Arc::clone(&store), ownership::SHARED_PREFIX, config.seed);
        let (member_record, watched_record) = watch::channel(MemberRecord {
            host: config.host.clone(),
            zone: config.zone.clone(),
            address: config.peer_address.clone(),
            eligible: true,
        });
        let shared = Arc::new(shared::Shared::new(
            config,
            platform,
            transport,
            sink,
            mirror.subscribe(),
        ));
        let session = Session::new(Arc::clone(&store), SessionConfig::default(), watched_record);
        let watcher = release::ReleaseWatcher::new(
            store,
            Arc::new(releases::ReleasePeers::new(&shared)),
            Arc::clone(shared.releases.shared()),
            shared.config.seed,
        );
        let mut tasks = JoinSet::new();
        tasks.spawn(mirror.run());
        tasks.spawn(session.run());
        tasks.spawn(watcher.run());
        tasks.spawn(gossip::run(Arc::clone(&shared)));
        tasks.spawn(releases::announce(Arc::clone(&shared)));
        tasks.spawn(tenure::OwnershipController::new(Arc::clone(&shared)).run());
        tasks.spawn(refresh_routing(Arc::clone(&shared)));
        Self {
            host,
            shared,
            member_record,
            tasks,
        }
    }

    /// Waits until the host is connected to the store or has heard from a peer, then starts to
    /// serve.
    ///
    /// After `JOIN_TIMEOUT_MS` a host serves anyway: it refuses requests for which it has no
    /// owner.
    pub async fn serve(self) -> Node<lifecycle::Serving> {
        let limit = time::Duration::from_millis(JOIN_TIMEOUT_MS);
        let _ = tokio::time::timeout(limit, self.wait_for_cell_view()).await;
        self.shared.set_phase(lifecycle::Phase::Serving);
        kernel::log_event!(
            events::SERVING,
            "{} in {}, callers at {}, peers at {}",
            self.host.id(),
            self.host.zone(),
            self.shared.config.http_address,
            self.shared.config.peer_address
        );
        gossip::run_round(&self.shared).await;
        Node {
            host: self.host.serve(),
            shared: self.shared,
            member_record: self.member_record,
            tasks: self.tasks,
        }
    }

    async fn wait_for_cell_view(&self) {
        let mut mirror = self.shared.watch_mirror();
        loop {
            let connected = mirror.borrow_and_update().connected;
            let heard = self.shared.membership().hosts(self.shared.now_ms()).len() > 1;
            if connected || heard {
                return;
            }
            let pause = time::Duration::from_millis(POLL_INTERVAL_MS);
            let _ = tokio::time::timeout(pause, mirror.changed()).await;
        }
    }
}

impl Node<lifecycle::Serving> {
    /// Stops owning groups and shards and hands them over to other hosts.
    ///
    /// Returns once other hosts own them, or after the drain timeout. Calls that have a slot
    /// continue meanwhile.
    pub async fn drain(self) -> Node<lifecycle::Draining> {
        self.shared.set_phase(lifecycle::Phase::Draining);
        kernel::log_event!(events::DRAINING, "{}", self.host.id());
        self.member_record
            .send_modify(|record| record.eligible = false);
        gossip::run_round(&self.shared).await;
        let limit = time::Duration::from_millis(self.shared.config.drain_timeout_ms);
        let _ = tokio::time::timeout(limit, self.wait_for_handover()).await;
        Node {
            host: self.host.drain(),
            shared: self.shared,
            member_record: self.member_record,
            tasks: self.tasks,
        }
    }

    async fn wait_for_handover(&self) {
        let pause = time::Duration::from_millis(POLL_INTERVAL_MS);
        while !self.shared.groups().is_empty() || !self.shared.shards().is_empty() {
            tokio::time::sleep(pause).await;
        }
    }
}

impl<S> Node<S> {
    /// Aborts all tasks of the host without a handover, as a crash would.
    pub fn halt(mut self) {
        self.tasks.abort_all();
        self.shared.stop_all_owners();
    }
}

async fn refresh_routing(shared: Arc<shared::Shared>) {
    let mut ticks = tokio::time::interval(time::Duration::from_millis(ROUTING_REFRESH_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.routing.refresh(&shared);
    }
}
