//! A local copy of the store keys that are shared by all hosts.

use std::sync::Arc;
use std::time;

use indexmap::IndexMap;
use kernel::random;
use platform::store;
use rand::RngExt as _;
use tokio::sync::watch;

use crate::events;

/// Maximum duration of one watch call without changes.
const WATCH_TIMEOUT_MS: u64 = 20_000;
const ENTRIES_PER_PAGE: usize = 512;
const MIN_RETRY_DELAY_MS: u64 = 100;
const MAX_RETRY_DELAY_MS: u64 = 2_000;

/// A snapshot of the copy.
#[derive(Clone, Debug, Default)]
pub struct MirrorView {
    /// The mirrored entries by key.
    pub entries: IndexMap<String, store::Entry>,
    /// The store revision up to which all changes are applied.
    pub revision: store::Revision,
    /// Whether the last store call succeeded.
    pub connected: bool,
    /// Whether all entries have been read, so that changes can be applied to them.
    complete: bool,
}

impl MirrorView {
    /// The mirrored entries whose keys start with a prefix.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a store::Entry> {
        self.entries
            .values()
            .filter(move |entry| entry.key.starts_with(prefix))
    }
}

/// Maintains a [`MirrorView`] with one long-polling watch.
#[derive(Debug)]
pub struct Mirror {
    store: Arc<dyn store::Store>,
    prefix: String,
    sender: watch::Sender<Arc<MirrorView>>,
    random: random::Random,
}

impl Mirror {
    /// Creates an empty mirror of all keys with a prefix, to be filled by [`Mirror::run`].
    pub fn new(store: Arc<dyn store::Store>, prefix: &str, seed: u64) -> Self {
        let (sender, _) = watch::channel(Arc::new(MirrorView::default()));
        Self {
            store,
            prefix: prefix.to_owned(),
            sender,
            random: random::from_seed(seed),
        }
    }

    /// A receiver of the current copy.
    pub fn subscribe(&self) -> watch::Receiver<Arc<MirrorView>> {
        self.sender.subscribe()
    }

    /// Watches the store until the future is dropped.
    ///
    /// Errors are retried with exponential backoff and jitter, so that the hosts
    /// do not overload a recovering store.
    pub async fn run(mut self) {
        let mut retry_delay_ms = MIN_RETRY_DELAY_MS;
        let mut view = MirrorView::default();
        loop {
            match self.follow(&mut view).await {
                Ok(()) => retry_delay_ms = MIN_RETRY_DELAY_MS,
                Err(error) => {
                    if view.connected {
                        kernel::log_event!(events::STORE_UNREACHABLE, "{error}");
                    }
                    view.connected = false;
                    self.sender.send_replace(Arc::new(view.clone()));
                    let jittered_delay_ms = self
                        .random
                        .random_range(retry_delay_ms / 2..=retry_delay_ms);
                    tokio::time::sleep(time::Duration::from_millis(jittered_delay_ms)).await;
                    retry_delay_ms = (retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
                }
            }
        }
    }

    async fn follow(&self, view: &mut MirrorView) -> Result<(), store::StoreError> {
        if view.complete {
            let reply = self
                .store
                .watch(&self.prefix, view.revision, WATCH_TIMEOUT_MS)
                .await?;
            if reply.compacted {
                view.complete = false;
                return Ok(());
            }
            for change in reply.changes {
                apply(view, change);
            }
            view.revision = view.revision.max(reply.revision);
        } else {
            self.read_all(view).await?;
        }
        if !view.connected {
            kernel::log_event!(events::STORE_REACHABLE, "revision {}", view.revision);
        }
        view.connected = true;
        self.sender.send_replace(Arc::new(view.clone()));
        Ok(())
    }

    /// Reads all keys again. The watch position is obtained before the range is
    /// read, so that a change in between is received twice rather than missed.
    async fn read_all(&self, view: &mut MirrorView) -> Result<(), store::StoreError> {
        let position = self
            .store
            .watch(&self.prefix, store::Revision::default(), 0)
            .await?
            .revision;
        let mut entries = IndexMap::new();
        let mut after = String::new();
        loop {
            let page = self
                .store
                .range(&self.prefix, &after, ENTRIES_PER_PAGE)
                .await?;
            let Some(last) = page.last() else { break };
            after.clone_from(&last.key);
            let complete = page.len() < ENTRIES_PER_PAGE;
            entries.extend(page.into_iter().map(|entry| (entry.key.clone(), entry)));
            if complete {
                break;
            }
        }
        view.entries = entries;
        view.revision = position;
        view.complete = true;
        Ok(())
    }
}

fn apply(view: &mut MirrorView, change: store::Change) {
    match change {
        store::Change::Put(entry) => {
            let newer = view
                .entries
                .get(&entry.key)
                .is_none_or(|old| old.revision < entry.revision);
            if newer {
                view.entries.insert(entry.key.clone(), entry);
            }
        }
        store::Change::Deleted { key, revision } => {
            if view
                .entries
                .get(&key)
                .is_some_and(|old| old.revision < revision)
            {
                view.entries.swap_remove(&key);
            }
        }
    }
}
