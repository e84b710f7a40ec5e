//! Watches all keys under a prefix of the store across outages and compacted history.
//!
//! A listing gives the current items and the store's revision; watches from that revision deliver
//! the changes. After any failed watch a new listing covers what an outage or a gap in the history
//! has hidden.

use std::{ops::ControlFlow, time::Duration};

use adapter::store::Event;
use tokio::time;

use crate::{
    listing::{Listing, ListingReader},
    store::GuardedStore,
};

/// Timing of a prefix watch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatchConfig {
    /// Long-poll timeout of one watch. An overdue watch is the only sign of a connection that no
    /// longer delivers data.
    pub(crate) watch_timeout: Duration,
    /// Pause between two watches, so that changes are fetched in batches.
    pub(crate) watch_interval: Duration,
    /// Delay after a failed call to the store.
    pub(crate) retry_delay: Duration,
}

/// Receives the items and changes of a prefix. Returning [`ControlFlow::Break`] ends the watch.
pub(crate) trait WatchHandler {
    /// Handles a complete listing of the prefix.
    async fn handle_listing(&mut self, listing: &Listing) -> ControlFlow<()>;
    /// Handles the changes since the last listing or batch of events.
    async fn handle_events(&mut self, events: &[Event]) -> ControlFlow<()>;
}

/// Watches `prefix` until the handler returns [`ControlFlow::Break`].
pub(crate) async fn watch_prefix(
    store: &GuardedStore,
    prefix: &str,
    config: WatchConfig,
    handler: &mut impl WatchHandler,
) {
    let mut reader = ListingReader::new(store, prefix);
    loop {
        if let Ok(listing) = reader.read().await {
            reader = ListingReader::new(store, prefix);
            if handler.handle_listing(&listing).await.is_break()
                || watch_from(store, prefix, listing.as_of, config, handler)
                    .await
                    .is_break()
            {
                return;
            }
        } else {
            time::sleep(config.retry_delay).await;
        }
    }
}

/// Watches `prefix` after the revision `after` until a watch fails or the handler breaks.
pub(crate) async fn watch_from(
    store: &GuardedStore,
    prefix: &str,
    mut after: u64,
    config: WatchConfig,
    handler: &mut impl WatchHandler,
) -> ControlFlow<()> {
    while let Ok(watched) = store.watch(prefix, after, config.watch_timeout).await {
        after = watched.as_of;
        handler.handle_events(&watched.events).await?;
        time::sleep(config.watch_interval).await;
    }
    time::sleep(config.retry_delay).await;
    ControlFlow::Continue(())
}
