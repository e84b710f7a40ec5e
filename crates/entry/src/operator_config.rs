//! The operators' configuration, kept current by watching its key in the store.

use std::{
    cell::{Cell, RefCell},
    ops::ControlFlow,
    rc::Rc,
    time::Duration,
};

use adapter::{
    config,
    store::{CONFIG_KEY, Event, Item},
};
use cell::{
    config::Config,
    freshness::{Answer, Freshness, Shown},
};
use kernel::log_event;
use tokio::sync::Notify;

use crate::{
    events,
    listing::Listing,
    prefix_watch::{self, WatchAnswer, WatchConfig, WatchHandler},
    store::GuardedStore,
};

/// Watches are short because a configuration must take effect within 3 s.
const WATCH_CONFIG: WatchConfig = WatchConfig {
    watch_timeout: Duration::from_millis(1_100),
    watch_interval: Duration::ZERO,
    retry_delay: Duration::from_millis(250),
};

/// The configuration in effect on this host.
#[derive(Debug, Default)]
pub struct OperatorConfig {
    current: RefCell<Option<Rc<Config>>>,
    freshness: Cell<Freshness>,
    /// Notified when a newer configuration takes effect.
    pub changed: Notify,
}

impl OperatorConfig {
    /// The configuration in effect; `None` until the first one has been read.
    pub fn current(&self) -> Option<Rc<Config>> {
        self.current.borrow().clone()
    }

    /// The version in effect; 0 until the first configuration has been read.
    pub fn version(&self) -> u64 {
        self.current
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// What is known of how recent the configuration in effect is.
    pub fn freshness(&self) -> Freshness {
        self.freshness.get()
    }

    fn record(&self, answer: Answer) {
        let mut freshness = self.freshness.get();
        freshness.record(answer);
        self.freshness.set(freshness);
    }

    /// Applies a configuration unless its version is not newer than the current one. Returns what
    /// it shows.
    fn apply(&self, item: &Item) -> Shown {
        let Some(config) = config::decode(&item.value) else {
            log_event!(events::CONFIG_UNREADABLE, "bytes={}", item.value.len());
            return Shown::Unreadable;
        };
        let shown = Shown::Config {
            version: config.version,
            revision: item.revision,
        };
        let known = self.current.borrow().as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= config.version) {
            return shown;
        }
        log_event!(
            events::CONFIG_APPLIED,
            "version={} before={} queues={}",
            config.version,
            known.unwrap_or(0),
            config.queues.len()
        );
        *self.current.borrow_mut() = Some(Rc::new(config));
        self.changed.notify_waiters();
        shown
    }
}

impl WatchHandler for &OperatorConfig {
    async fn handle_listing(&mut self, listing: &Listing) -> ControlFlow<()> {
        let item = listing.items.iter().find(|item| item.key == CONFIG_KEY);
        self.record(Answer {
            sent_ms: listing.first_page_sent_ms,
            as_of: listing.as_of,
            is_complete: true,
            shown: item.map_or(Shown::Unreadable, |item| self.apply(item)),
        });
        ControlFlow::Continue(())
    }

    async fn handle_events(&mut self, events: &[Event], answer: WatchAnswer) -> ControlFlow<()> {
        let mut answer = Answer {
            sent_ms: answer.sent_ms,
            as_of: answer.as_of,
            is_complete: answer.is_complete,
            shown: Shown::NoChange,
        };
        for event in events {
            let shown = match event {
                Event::Put(item) if item.key == CONFIG_KEY => self.apply(item),
                Event::Removed { key } if key == CONFIG_KEY => Shown::Unreadable,
                Event::Put(_) | Event::Removed { .. } => continue,
            };
            // Each change is recorded, since a later one may have a lower version; only the whole
            // answer is proof.
            let is_complete = false;
            answer.shown = shown;
            self.record(Answer {
                is_complete,
                ..answer
            });
        }
        self.record(answer);
        ControlFlow::Continue(())
    }
}

/// Watches the configuration for the lifetime of the process.
pub async fn watch(store: GuardedStore, operator_config: Rc<OperatorConfig>) {
    prefix_watch::watch_prefix(&store, CONFIG_KEY, WATCH_CONFIG, &mut &*operator_config).await;
}
