//! The operators' configuration, as it changes.

use std::{cell::RefCell, rc::Rc, time::Duration};

use adapter::{
    config,
    store::{CONFIG_KEY, Event},
};
use cell::config::Config;
use kernel::log_event;
use tokio::{sync::Notify, time};

use crate::{events, store::GuardedStore};

/// How long one watch waits for a change. A connection that has gone silent shows only by a watch
/// that is overdue, and a configuration must be in force within 3 s.
const WATCH_WAIT: Duration = Duration::from_millis(1_100);
/// Pause after a call to the store that failed.
const RETRY: Duration = Duration::from_millis(250);

/// The configuration in force on this host.
#[derive(Debug, Default)]
pub struct Operators {
    current: RefCell<Option<Rc<Config>>>,
    /// Notified when a newer configuration comes into force.
    pub changed: Notify,
}

impl Operators {
    /// The configuration in force; `None` before the first one is known.
    pub fn current(&self) -> Option<Rc<Config>> {
        self.current.borrow().clone()
    }

    /// The version in force; 0 before the first one is known.
    pub fn version(&self) -> u64 {
        self.current
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Puts a configuration in force unless it is older than the one that is.
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

/// Keeps the configuration in force for as long as the process runs.
pub async fn follow(store: GuardedStore, operators: Rc<Operators>) {
    loop {
        // The listing tells the store's own revision. That of the item may be older than the
        // history that the store keeps, and no watch could start there.
        if let Ok(listing) = store.list(CONFIG_KEY).await {
            for item in listing.items.iter().filter(|item| item.key == CONFIG_KEY) {
                operators.apply(&item.value);
            }
            follow_from(&store, &operators, listing.as_of).await;
        }
        time::sleep(RETRY).await;
    }
}

/// Watches from a revision until a watch fails.
async fn follow_from(store: &GuardedStore, operators: &Operators, mut after: u64) {
    // After an error a plain read shows at once what an outage or a gap has hidden.
    while let Ok(watched) = store.watch(CONFIG_KEY, after, WATCH_WAIT).await {
        after = watched.as_of;
        for event in watched.events {
            if let Event::Put(item) = event
                && item.key == CONFIG_KEY
            {
                operators.apply(&item.value);
            }
        }
    }
}
