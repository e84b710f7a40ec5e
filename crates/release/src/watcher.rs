//! Receives accepted releases from the store and from peers.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::future;
use kernel::errors;
use kernel::ids;
use platform::store;
use rand::RngExt;
use tokio::sync;

use crate::accepted;
use crate::events;
use crate::tracker;

/// Maximum duration of one watch call without changes.
const WATCH_TIMEOUT_MS: u64 = 30_000;
/// Interval at which a host that does not watch checks whether it should.
const ROLE_CHECK_INTERVAL_MS: u64 = 500;
const MIN_RETRY_DELAY_MS: u64 = 100;
const MAX_WATCH_RETRY_DELAY_MS: u64 = 5_000;
/// Maximum delay between attempts to fetch an announced release.
const MAX_FETCH_RETRY_DELAY_MS: u64 = 1_000;
/// Number of releases read by one range call.
const RELEASES_PER_PAGE: usize = 8;

/// The watcher's interface to the other hosts.
pub trait Peers: fmt::Debug + Send + Sync {
    /// Whether this host is the one in its zone that watches the store.
    fn is_watcher(&self) -> bool;

    /// Fetches a release of at least this version from any peer; `None` if no peer has one.
    fn fetch(
        &self,
        at_least: ids::ReleaseVersion,
    ) -> future::BoxFuture<'_, errors::Result<Option<accepted::AcceptedRelease>>>;
}

/// The release in force, shared by all roles of a process.
#[derive(Debug)]
pub struct SharedRelease {
    tracker: Mutex<tracker::ReleaseTracker>,
    in_force: sync::watch::Sender<Option<Arc<accepted::AcceptedRelease>>>,
    heard: sync::Notify,
}

impl Default for SharedRelease {
    fn default() -> Self {
        Self {
            tracker: Mutex::default(),
            in_force: sync::watch::Sender::new(None),
            heard: sync::Notify::new(),
        }
    }
}

impl SharedRelease {
    /// The release in force; `None` before the first.
    pub fn current(&self) -> Option<Arc<accepted::AcceptedRelease>> {
        self.lock().current().cloned()
    }

    /// The version in force; zero before the first release.
    pub fn version(&self) -> ids::ReleaseVersion {
        self.lock().version()
    }

    /// Whether a newer release is known that is not in force here.
    pub fn is_behind(&self) -> bool {
        self.lock().wanted().is_some()
    }

    /// Puts a release in force if it is newer; returns whether it did.
    pub fn offer(&self, release: impl Into<Arc<accepted::AcceptedRelease>>) -> bool {
        let release = release.into();
        // The lock is held during the notification, so that subscribers see versions in order.
        let mut tracker = self.lock();
        if !tracker.offer(Arc::clone(&release)) {
            return false;
        }
        kernel::log_event!(events::RELEASE_IN_FORCE, "release {}", release.version());
        self.in_force.send_replace(Some(release));
        true
    }

    /// Records a version announced by a peer, which is fetched if it is newer.
    pub fn hear(&self, version: ids::ReleaseVersion) {
        let mut tracker = self.lock();
        if version > tracker.version() {
            tracker.hear(version);
            self.heard.notify_one();
        }
    }

    /// A receiver of the release in force.
    pub fn subscribe(&self) -> sync::watch::Receiver<Option<Arc<accepted::AcceptedRelease>>> {
        self.in_force.subscribe()
    }

    fn wanted(&self) -> Option<ids::ReleaseVersion> {
        self.lock().wanted()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, tracker::ReleaseTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Watches the store for releases and fetches announced ones from peers.
#[derive(Debug)]
pub struct ReleaseWatcher {
    store: Arc<dyn store::Store>,
    peers: Arc<dyn Peers>,
    shared: Arc<SharedRelease>,
    seed: u64,
}

impl ReleaseWatcher {
    /// Creates a watcher; `seed` must differ between hosts, to spread their retries.
    pub fn new(
        store: Arc<dyn store::Store>,
        peers: Arc<dyn Peers>,
        shared: Arc<SharedRelease>,
        seed: u64,
    ) -> Self {
        Self {
            store,
            peers,
            shared,
            seed,
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(self) {
        tokio::join!(self.follow_store(), self.follow_peers());
    }

    async fn follow_store(&self) {
        let mut backoff = Backoff::new(self.seed, MAX_WATCH_RETRY_DELAY_MS);
        loop {
            if !self.should_watch() {
                sleep_ms(ROLE_CHECK_INTERVAL_MS).await;
                continue;
            }
            let Err(error) = self.load_and_watch(&mut backoff).await else {
                continue;
            };
            if backoff.failures == 0 {
                kernel::log_event!(events::RELEASE_WATCH_FAILED, "{error}");
            }
            backoff.wait().await;
        }
    }

    /// Whether to read the store: on the zone's watcher, and on any host without a release.
    fn should_watch(&self) -> bool {
        self.peers.is_watcher() || self.shared.current().is_none()
    }

    /// Reads newer releases and watches for changes while this host is the watcher.
    async fn load_and_watch(&self, backoff: &mut Backoff) -> Result<(), store::StoreError> {
        let mut revision = self.load().await?;
        if backoff.reset() {
            kernel::log_event!(events::RELEASE_WATCH_RESUMED, "from revision {revision}");
        }
        if !self.peers.is_watcher() {
            sleep_ms(ROLE_CHECK_INTERVAL_MS).await;
            return Ok(());
        }
        while self.peers.is_watcher() {
            let watch = self
                .store
                .watch(accepted::KEY_PREFIX, revision, WATCH_TIMEOUT_MS);
            let reply = watch.await?;
            if reply.compacted {
                // Changes that the range read misses have revisions after the reply's.
                self.load().await?;
                sleep_ms(MIN_RETRY_DELAY_MS).await;
            }
            for change in &reply.changes {
                let store::Change::Put(entry) = change else {
                    continue;
                };
                if let Some(release) = read_entry(entry) {
                    self.shared.offer(release);
                }
            }
            revision = reply.revision.max(revision);
        }
        Ok(())
    }

    /// Reads all newer releases; returns the revision from which to watch for changes.
    ///
    /// Only the newest release is put in force, so that a starting host does not
    /// apply outdated ones.
    async fn load(&self) -> Result<store::Revision, store::StoreError> {
        let mut revision = store::Revision::default();
        let mut newest = None;
        let mut after = match self.shared.current() {
            // The release in force is read again to obtain its revision.
            Some(current) => accepted::key(ids::ReleaseVersion(current.version().0 - 1)),
            None => String::new(),
        };
        loop {
            let page = self
                .store
                .range(accepted::KEY_PREFIX, &after, RELEASES_PER_PAGE)
                .await?;
            for entry in &page {
                newest = read_entry(entry).or(newest);
                revision = revision.max(entry.revision);
            }
            match page.last() {
                Some(last) if page.len() == RELEASES_PER_PAGE => after.clone_from(&last.key),
                _ => break,
            }
        }
        if let Some(newest) = newest {
            self.shared.offer(newest);
        }
        Ok(revision)
    }

    async fn follow_peers(&self) {
        let mut backoff = Backoff::new(self.seed.wrapping_add(1), MAX_FETCH_RETRY_DELAY_MS);
        loop {
            let Some(version) = self.shared.wanted() else {
                backoff.reset();
                self.shared.heard.notified().await;
                continue;
            };
            let Err(error) = self.fetch(version).await else {
                continue;
            };
            if backoff.failures == 0 {
                kernel::log_event!(events::RELEASE_FETCH_FAILED, "release {version}: {error}");
            }
            backoff.wait().await;
        }
    }

    /// Fetches a release from a peer, or from the store if no peer returns it.
    async fn fetch(&self, version: ids::ReleaseVersion) -> errors::Result<()> {
        let fetched = self.peers.fetch(version).await;
        if let Ok(Some(release)) = fetched {
            let is_wanted = release.version() >= version;
            self.shared.offer(release);
            if is_wanted {
                return Ok(());
            }
        }
        let entry = self.store.get(&accepted::key(version)).await?;
        let Some(entry) = entry else {
            let detail = format!("release {version} is not in the store");
            return Err(errors::Error::new(errors::ErrorKind::NotFound, detail));
        };
        self.shared
            .offer(accepted::AcceptedRelease::from_entry(&entry)?);
        Ok(())
    }
}

/// Decodes the release of a store entry; logs an event and returns `None` if that fails.
fn read_entry(entry: &store::Entry) -> Option<Arc<accepted::AcceptedRelease>> {
    match accepted::AcceptedRelease::from_entry(entry) {
        Ok(release) => Some(release),
        Err(error) => {
            kernel::log_event!(events::RELEASE_UNREADABLE, "{}: {error}", entry.key);
            None
        }
    }
}

/// Exponential backoff with jitter.
#[derive(Debug)]
struct Backoff {
    random: kernel::random::Random,
    max_delay_ms: u64,
    failures: u32,
}

impl Backoff {
    fn new(seed: u64, max_delay_ms: u64) -> Self {
        Self {
            random: kernel::random::from_seed(seed),
            max_delay_ms,
            failures: 0,
        }
    }

    /// Resets the failures; returns whether there were any.
    fn reset(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    async fn wait(&mut self) {
        let doubled_ms = MIN_RETRY_DELAY_MS << self.failures.min(16);
        let max_delay_ms = doubled_ms.min(self.max_delay_ms);
        self.failures += 1;
        sleep_ms(self.random.random_range(max_delay_ms / 2..=max_delay_ms)).await;
    }
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
