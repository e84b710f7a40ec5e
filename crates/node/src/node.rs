//! One host: its roles put together.

use std::sync::Arc;
use std::time;

use kernel::history;
use kernel::lifecycle;
use ownership::{MemberRecord, Mirror, Session, SessionConfig};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::{config, events, gossip, peer, releases, shared, tenure};

/// Pause between looks whether the owned groups and shards have found new owners.
const HAND_OVER_POLL_MS: u64 = 50;
/// Pause between refreshes of what the router knows.
const ROUTING_INTERVAL_MS: u64 = 100;
/// Longest wait of a joining host for its first knowledge of the cell.
const JOIN_LIMIT_MS: u64 = 5_000;

/// A running host in state `S` of its life cycle.
#[derive(Debug)]
pub struct Node<S> {
    host: lifecycle::Host<S>,
    shared: Arc<shared::Shared>,
    record: watch::Sender<MemberRecord>,
    tasks: JoinSet<()>,
}

impl<S> Node<S> {
    /// What all roles of the host share.
    pub fn shared(&self) -> &Arc<shared::Shared> {
        &self.shared
    }

    /// The handler of peers' requests.
    pub fn peer_handler(&self) -> Arc<peer::PeerHandler> {
        Arc::new(peer::PeerHandler::new(Arc::clone(&self.shared)))
    }
}

impl Node<lifecycle::Joining> {
    /// Starts a host: it registers, gossips and follows releases, but accepts no requests yet.
    pub fn start(
        config: config::NodeConfig,
        platform: platform::Platform,
        transport: Arc<dyn wire::Transport>,
        sink: Arc<dyn history::Sink>,
    ) -> Self {
        let host = lifecycle::Host::new(config.host.clone(), config.zone.clone());
        let store = Arc::clone(&platform.store);
        let mirror = Mirror::new(Arc::clone(&store), ownership::SHARED_PREFIX, config.seed);
        let (record, watched_record) = watch::channel(MemberRecord {
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
        tasks.spawn(tenure::Tenure::new(Arc::clone(&shared)).run());
        tasks.spawn(refresh_routing(Arc::clone(&shared)));
        Self {
            host,
            shared,
            record,
            tasks,
        }
    }

    /// Waits until the host knows the cell from the store or from a peer, then serves.
    ///
    /// A host that hears of nobody within a few seconds serves all the same: it
    /// refuses by itself what needs an owner.
    pub async fn serve(self) -> Node<lifecycle::Serving> {
        let limit = time::Duration::from_millis(JOIN_LIMIT_MS);
        let _ = tokio::time::timeout(limit, self.knows_cell()).await;
        self.shared.set_phase(lifecycle::Phase::Serving);
        kernel::log_event!(
            events::SERVING,
            "{} in {}, callers at {}, peers at {}",
            self.host.id(),
            self.host.zone(),
            self.shared.config.http_address,
            self.shared.config.peer_address
        );
        gossip::round(&self.shared).await;
        Node {
            host: self.host.serve(),
            shared: self.shared,
            record: self.record,
            tasks: self.tasks,
        }
    }

    async fn knows_cell(&self) {
        let mut mirror = self.shared.watch_mirror();
        loop {
            let connected = mirror.borrow_and_update().connected;
            let heard = self.shared.membership().hosts(self.shared.now_ms()).len() > 1;
            if connected || heard {
                return;
            }
            let pause = time::Duration::from_millis(HAND_OVER_POLL_MS);
            let _ = tokio::time::timeout(pause, mirror.changed()).await;
        }
    }
}

impl Node<lifecycle::Serving> {
    /// Stops accepting and hands over what the host owns.
    ///
    /// Returns once other hosts own it, or after the drain timeout; calls that
    /// have a slot go on meanwhile.
    pub async fn drain(self) -> Node<lifecycle::Draining> {
        self.shared.set_phase(lifecycle::Phase::Draining);
        kernel::log_event!(events::DRAINING, "{}", self.host.id());
        self.record.send_modify(|record| record.eligible = false);
        gossip::round(&self.shared).await;
        let limit = time::Duration::from_millis(self.shared.config.drain_timeout_ms);
        let _ = tokio::time::timeout(limit, self.handed_over()).await;
        Node {
            host: self.host.drain(),
            shared: self.shared,
            record: self.record,
            tasks: self.tasks,
        }
    }

    async fn handed_over(&self) {
        let pause = time::Duration::from_millis(HAND_OVER_POLL_MS);
        while !self.shared.groups().is_empty() || !self.shared.shards().is_empty() {
            tokio::time::sleep(pause).await;
        }
    }
}

impl<S> Node<S> {
    /// Ends all tasks of the host at once, as a crash would.
    pub fn halt(mut self) {
        self.tasks.abort_all();
        self.shared.release_everything();
    }
}

async fn refresh_routing(shared: Arc<shared::Shared>) {
    let mut ticks = tokio::time::interval(time::Duration::from_millis(ROUTING_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.routing.refresh(&shared);
    }
}
