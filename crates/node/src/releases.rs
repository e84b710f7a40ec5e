//! The release in force on this host, and its distribution between hosts.

use std::sync::{Arc, Mutex, PoisonError, Weak};

use futures::future;
use indexmap::IndexMap;
use kernel::errors;
use kernel::history;
use kernel::ids;
use kernel::work;
use ownership::Liveness;
use release::{AcceptedRelease, SharedRelease};
use wire::messages;

use crate::{events, shared};

/// Timeout of fetching a release from one peer.
const FETCH_TIMEOUT_MS: u64 = 2_000;
/// Timeout of announcing a release to one peer.
const ANNOUNCE_TIMEOUT_MS: u64 = 1_000;

/// The release in force and newer versions reported by peers.
#[derive(Debug)]
pub struct Releases {
    in_force: Arc<SharedRelease>,
    host: ids::HostId,
    peer_versions: Mutex<IndexMap<String, ids::ReleaseVersion>>,
}

impl Releases {
    /// Creates the state of a host without a release.
    pub fn new(host: ids::HostId) -> Self {
        Self {
            in_force: Arc::default(),
            host,
            peer_versions: Mutex::default(),
        }
    }

    /// The accepted release, shared with the watcher.
    pub fn shared(&self) -> &Arc<SharedRelease> {
        &self.in_force
    }

    /// The version in force; zero before the first release.
    pub fn version(&self) -> ids::ReleaseVersion {
        self.in_force.version()
    }

    /// The release in force; empty before the first release.
    pub fn current(&self) -> Arc<work::Release> {
        self.in_force
            .current()
            .map(|accepted| Arc::new(accepted.release.clone()))
            .unwrap_or_default()
    }

    /// Records the version reported by a peer if it is newer than the one in force.
    pub fn record_peer_version(&self, address: &str, version: ids::ReleaseVersion) {
        if version > self.version() {
            let mut peer_versions = self
                .peer_versions
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            peer_versions.insert(address.to_owned(), version);
            drop(peer_versions);
            self.in_force.hear(version);
        }
    }

    /// Encodes the release in force if its version is at least the requested one.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::NotFound`] if the release in force is older than requested.
    pub fn encode_content(&self, fetch: messages::ReleaseFetch) -> errors::Result<messages::Body> {
        let current = self
            .in_force
            .current()
            .filter(|current| current.version().0 >= fetch.version);
        let current = current.ok_or_else(|| {
            errors::Error::new(
                errors::ErrorKind::NotFound,
                format!("{} does not have release {} yet", self.host, fetch.version),
            )
        })?;
        Ok(messages::Body::ReleaseContent(messages::ReleaseContent {
            version: current.version().0,
            content: current.encode()?.into(),
        }))
    }

    /// Addresses of peers that have at least the given version; removes all other peers.
    fn peers_with_version(&self, at_least: ids::ReleaseVersion) -> Vec<String> {
        let mut peer_versions = self
            .peer_versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        peer_versions.retain(|_, version| *version >= at_least);
        peer_versions.keys().cloned().collect()
    }
}

/// Access of the release watcher to the peers. Holds a weak reference, since the watcher is a
/// task of the same host.
#[derive(Debug)]
pub struct ReleasePeers {
    shared: Weak<shared::Shared>,
}

impl ReleasePeers {
    /// Creates the watcher's access to the peers.
    pub fn new(shared: &Arc<shared::Shared>) -> Self {
        Self {
            shared: Arc::downgrade(shared),
        }
    }
}

impl release::Peers for ReleasePeers {
    /// The live host of the zone with the lowest name watches the store for the zone.
    fn is_watcher(&self) -> bool {
        let Some(shared) = self.shared.upgrade() else {
            return false;
        };
        let zone = shared.config.zone.as_str();
        let hosts = shared.membership().hosts(shared.now_ms());
        let lowest = hosts
            .iter()
            .filter(|host| host.rumor.zone == zone && host.liveness == Liveness::Live)
            .map(|host| host.rumor.host.clone())
            .min();
        lowest.is_none_or(|lowest| lowest == shared.config.host.as_str())
    }

    fn fetch(
        &self,
        at_least: ids::ReleaseVersion,
    ) -> future::BoxFuture<'_, errors::Result<Option<AcceptedRelease>>> {
        Box::pin(async move {
            let Some(shared) = self.shared.upgrade() else {
                return Ok(None);
            };
            for address in shared.releases.peers_with_version(at_least) {
                match fetch_from(&shared, &address, at_least).await {
                    Ok(accepted) => return Ok(Some(accepted)),
                    Err(error) => log::debug!("fetching {at_least} from {address}: {error}"),
                }
            }
            Ok(None)
        })
    }
}

async fn fetch_from(
    shared: &shared::Shared,
    address: &str,
    at_least: ids::ReleaseVersion,
) -> errors::Result<AcceptedRelease> {
    let body = messages::Body::ReleaseFetch(messages::ReleaseFetch {
        version: at_least.0,
    });
    let reply = shared.send_request(address, body, FETCH_TIMEOUT_MS).await?;
    let messages::Body::ReleaseContent(content) = reply else {
        return Err(shared::unexpected_reply());
    };
    AcceptedRelease::decode(&content.content)
}

/// Announces each new release to all live peers that do not have it, without waiting for the
/// next gossip round.
///
/// A gossip request with only the local entry is enough: its envelope carries the version, and
/// a peer that is behind fetches the content itself.
pub async fn announce(shared: Arc<shared::Shared>) {
    let mut versions = shared.releases.shared().subscribe();
    while versions.changed().await.is_ok() {
        let version = shared.releases.version();
        kernel::log_event!(events::RELEASE_ANNOUNCED, "release {version}");
        shared.record(history::Event::ReleaseInForce {
            host: shared.config.host.clone(),
            version,
        });
        let peers: Vec<String> = shared
            .membership()
            .hosts(shared.now_ms())
            .into_iter()
            .filter(|host| host.liveness == Liveness::Live)
            .filter(|host| host.rumor.host != shared.config.host.as_str())
            .filter(|host| host.rumor.release_version < version.0)
            .map(|host| host.rumor.address)
            .collect();
        let announcement = messages::GossipRequest {
            rumors: vec![shared.local_rumor()],
        };
        let requests = peers.iter().map(|address| {
            shared.send_request(
                address,
                messages::Body::GossipRequest(announcement.clone()),
                ANNOUNCE_TIMEOUT_MS,
            )
        });
        future::join_all(requests).await;
    }
}
