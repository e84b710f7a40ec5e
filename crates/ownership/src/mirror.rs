//! A local copy of the keys that every host needs.

use std::sync::Arc;
use std::time;

use indexmap::IndexMap;
use kernel::random;
use platform::store;
use rand::RngExt as _;
use tokio::sync::watch;

use crate::events;

const WATCH_WAIT_MS: u64 = 20_000;
const RANGE_PAGE: usize = 512;
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 2_000;

/// The copy at one moment.
#[derive(Clone, Debug, Default)]
pub struct MirrorView {
    /// The mirrored entries by key.
    pub entries: IndexMap<String, store::Entry>,
    /// The revision up to which the copy is complete.
    pub revision: store::Revision,
    /// Whether the store answered the last call.
    pub connected: bool,
    /// Whether the entries were read as a whole; changes can be applied to them only then.
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

/// Keeps a [`MirrorView`] up to date with one waiting watch.
#[derive(Debug)]
pub struct Mirror {
    store: Arc<dyn store::Store>,
    prefix: String,
    sender: watch::Sender<Arc<MirrorView>>,
    random: random::Random,
}

impl Mirror {
    /// Makes a mirror of all keys with a prefix; [`Mirror::run`] fills it.
    pub fn new(store: Arc<dyn store::Store>, prefix: &str, seed: u64) -> Self {
        let (sender, _) = watch::channel(Arc::new(MirrorView::default()));
        Self {
            store,
            prefix: prefix.to_owned(),
            sender,
            random: random::from_seed(seed),
        }
    }

    /// A receiver that always holds the newest copy.
    pub fn subscribe(&self) -> watch::Receiver<Arc<MirrorView>> {
        self.sender.subscribe()
    }

    /// Follows the store until the future is dropped.
    ///
    /// After an error the mirror waits with growing, jittered pauses, so that
    /// all hosts together do not flood a store that has just come back.
    pub async fn run(mut self) {
        let mut pause_ms = RETRY_MIN_MS;
        let mut view = MirrorView::default();
        loop {
            match self.follow(&mut view).await {
                Ok(()) => pause_ms = RETRY_MIN_MS,
                Err(error) => {
                    if view.connected {
                        kernel::log_event!(events::STORE_UNREACHABLE, "{error}");
                    }
                    view.connected = false;
                    self.sender.send_replace(Arc::new(view.clone()));
                    let jittered_ms = self.random.random_range(pause_ms / 2..=pause_ms);
                    tokio::time::sleep(time::Duration::from_millis(jittered_ms)).await;
                    pause_ms = (pause_ms * 2).min(RETRY_MAX_MS);
                }
            }
        }
    }

    async fn follow(&self, view: &mut MirrorView) -> Result<(), store::StoreError> {
        if view.complete {
            let reply = self
                .store
                .watch(&self.prefix, view.revision, WATCH_WAIT_MS)
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

    /// Reads all keys again. The watch's position is taken before the range is
    /// read, so that a change between the two is seen twice rather than missed.
    async fn read_all(&self, view: &mut MirrorView) -> Result<(), store::StoreError> {
        let position = self
            .store
            .watch(&self.prefix, store::Revision::default(), 0)
            .await?
            .revision;
        let mut entries = IndexMap::new();
        let mut after = String::new();
        loop {
            let page = self.store.range(&self.prefix, &after, RANGE_PAGE).await?;
            let Some(last) = page.last() else { break };
            after.clone_from(&last.key);
            let complete = page.len() < RANGE_PAGE;
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
