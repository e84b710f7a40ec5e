//! Following everything under a prefix of the store, across outages and lost history.
//!
//! A listing shows what there is and the store's revision; watches from there bring what changes.
//! After any failed watch a new listing shows what an outage or a gap in the history has hidden.

use std::{ops::ControlFlow, time::Duration};

use adapter::store::{Event, Listing};
use tokio::time;

use crate::store::GuardedStore;

/// How a prefix is followed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatchConfig {
    /// How long one watch waits for a change. A connection that has gone silent shows only by a
    /// watch that is overdue.
    pub(crate) watch_timeout: Duration,
    /// Pause between two watches, so that changes are fetched in groups.
    pub(crate) watch_interval: Duration,
    /// Pause after a call to the store that failed.
    pub(crate) retry_delay: Duration,
}

/// Who follows a prefix. Breaking off ends the following.
pub(crate) trait WatchHandler {
    /// Everything that there is.
    async fn handle_listing(&mut self, listing: &Listing) -> ControlFlow<()>;
    /// What has changed since the last listing or change.
    async fn handle_events(&mut self, events: &[Event]) -> ControlFlow<()>;
}

/// Follows `prefix` until the follower breaks off.
pub(crate) async fn watch_prefix(
    store: &GuardedStore,
    prefix: &str,
    config: WatchConfig,
    handler: &mut impl WatchHandler,
) {
    loop {
        if let Ok(listing) = store.list(prefix).await {
            if handler.handle_listing(&listing).await.is_break() {
                return;
            }
            let mut after = listing.as_of;
            while let Ok(watched) = store.watch(prefix, after, config.watch_timeout).await {
                after = watched.as_of;
                if handler.handle_events(&watched.events).await.is_break() {
                    return;
                }
                time::sleep(config.watch_interval).await;
            }
        }
        time::sleep(config.retry_delay).await;
    }
}
