//! The release in force on this host and how it spreads.

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

const FETCH_DEADLINE_MS: u64 = 2_000;
const PUSH_DEADLINE_MS: u64 = 1_000;

/// The release in force and which peers have which.
#[derive(Debug)]
pub struct Releases {
    in_force: Arc<SharedRelease>,
    host: ids::HostId,
    heard: Mutex<IndexMap<String, ids::ReleaseVersion>>,
}

impl Releases {
    /// Starts without a release.
    pub fn new(host: ids::HostId) -> Self {
        Self {
            in_force: Arc::default(),
            host,
            heard: Mutex::default(),
        }
    }

    /// The release that all roles of the process share.
    pub fn shared(&self) -> &Arc<SharedRelease> {
        &self.in_force
    }

    /// The version in force; zero before the first release.
    pub fn version(&self) -> ids::ReleaseVersion {
        self.in_force.version()
    }

    /// The release in force; empty before the first.
    pub fn current(&self) -> Arc<work::Release> {
        self.in_force
            .current()
            .map(|accepted| Arc::new(accepted.release.clone()))
            .unwrap_or_default()
    }

    /// Notes the version that a peer has.
    pub fn hear(&self, address: &str, version: ids::ReleaseVersion) {
        if version > self.version() {
            let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
            heard.insert(address.to_owned(), version);
            drop(heard);
            self.in_force.hear(version);
        }
    }

    /// The release in force as a message, if it is at least the one asked for.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::NotFound`] if this host is behind itself.
    pub fn content(&self, fetch: messages::ReleaseFetch) -> errors::Result<messages::Body> {
        let current = self
            .in_force
            .current()
            .filter(|current| current.version().0 >= fetch.version);
        let current = current.ok_or_else(|| {
            errors::Error::new(
                errors::ErrorKind::NotFound,
                format!("{} has no release {} yet", self.host, fetch.version),
            )
        })?;
        Ok(messages::Body::ReleaseContent(messages::ReleaseContent {
            version: current.version().0,
            content: current.encode()?.into(),
        }))
    }

    /// Addresses of peers that have at least a version, and forgets those that do not help.
    fn sources(&self, at_least: ids::ReleaseVersion) -> Vec<String> {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.retain(|_, version| *version >= at_least);
        heard.keys().cloned().collect()
    }
}

/// Fetches releases from peers.
#[derive(Debug)]
pub struct ReleasePeers {
    shared: Weak<shared::Shared>,
}

impl ReleasePeers {
    /// Makes the view that the watcher has of the other hosts.
    pub fn new(shared: &Arc<shared::Shared>) -> Self {
        Self {
            shared: Arc::downgrade(shared),
        }
    }
}

impl release::Peers for ReleasePeers {
    /// The first live host of the zone by name watches for its zone.
    fn is_watcher(&self) -> bool {
        let Some(shared) = self.shared.upgrade() else {
            return false;
        };
        let zone = shared.config.zone.as_str();
        let hosts = shared.membership().hosts(shared.now_ms());
        let first = hosts
            .iter()
            .filter(|host| host.rumor.zone == zone && host.liveness == Liveness::Live)
            .map(|host| host.rumor.host.clone())
            .min();
        first.is_none_or(|first| first == shared.config.host.as_str())
    }

    fn fetch(
        &self,
        at_least: ids::ReleaseVersion,
    ) -> future::BoxFuture<'_, errors::Result<Option<AcceptedRelease>>> {
        Box::pin(async move {
            let Some(shared) = self.shared.upgrade() else {
                return Ok(None);
            };
            for address in shared.releases.sources(at_least) {
                match fetch_from(&shared, &address, at_least).await {
                    Ok(accepted) => return Ok(Some(accepted)),
                    Err(error) => log::debug!("release {at_least} from {address}: {error}"),
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
    let reply = shared.ask(address, body, FETCH_DEADLINE_MS).await?;
    let messages::Body::ReleaseContent(content) = reply else {
        return Err(shared::unexpected_reply());
    };
    AcceptedRelease::decode(&content.content)
}

/// Tells every live peer about a new release at once, rather than by the next gossip.
///
/// An empty round of gossip is enough: its envelope carries the version, and a
/// laggard fetches the content by itself.
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
        let empty = messages::GossipRequest {
            rumors: vec![shared.local_rumor()],
        };
        let told = peers.iter().map(|address| {
            shared.ask(
                address,
                messages::Body::GossipRequest(empty.clone()),
                PUSH_DEADLINE_MS,
            )
        });
        future::join_all(told).await;
    }
}
