//! The operators' configuration, kept current by watching its key in the store.

use std::{cell::RefCell, ops::ControlFlow, rc::Rc, time::Duration};

use adapter::{
    config,
    store::{CONFIG_KEY, Event},
};
use cell::config::Config;
use kernel::log_event;
use tokio::sync::Notify;

use crate::{
    events,
    listing::Listing,
    prefix_watch::{self, WatchConfig, WatchHandler},
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

    /// Applies a configuration unless its version is not newer than the current one.
    fn apply(&self, value: &[u8]) {
        let Some(config) = config::decode(value) else {
            log_event!(events::CONFIG_UNREADABLE, "bytes={}", value.len());
            return;
        };
        let known = self.current.borrow().as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= config.version) {
            return;
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
    }
}

impl WatchHandler for &OperatorConfig {
    async fn handle_listing(&mut self, listing: &Listing) -> ControlFlow<()> {
        for item in listing.items.iter().filter(|item| item.key == CONFIG_KEY) {
            self.apply(&item.value);
        }
        ControlFlow::Continue(())
    }

    async fn handle_events(&mut self, events: &[Event], _not_before_ms: u64) -> ControlFlow<()> {
        for event in events {
            if let Event::Put(item) = event
                && item.key == CONFIG_KEY
            {
                self.apply(&item.value);
            }
        }
        ControlFlow::Continue(())
    }
}

/// Watches the configuration for the lifetime of the process.
pub async fn watch(store: GuardedStore, operator_config: Rc<OperatorConfig>) {
    prefix_watch::watch_prefix(&store, CONFIG_KEY, WATCH_CONFIG, &mut &*operator_config).await;
}
