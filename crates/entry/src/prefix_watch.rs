//! Watches all keys under a prefix of the store across outages and compacted history.
//!
//! A listing gives the current items and the store's revision; watches from that revision deliver
//! the changes. After any failed watch a new listing covers what an outage or a gap in the history
//! has hidden.

use std::{ops::ControlFlow, time::Duration};

use adapter::store::Event;
use tokio::time;

use crate::{
    clock,
    listing::{Listing, ListingReader},
    store::GuardedStore,
};

/// A response with this many events may have been cut off, so that later ones follow in the next.
const MAX_COMPLETE_EVENTS: usize = 100;

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

/// From where a watch continues.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatchPosition {
    /// Revision up to which all changes are known.
    pub(crate) after: u64,
    /// Time before which no later change was made, in milliseconds of [`clock::now_ms`].
    pub(crate) covered_ms: u64,
}

/// What is known of an answered watch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatchAnswer {
    /// Time before which none of its changes was made, in milliseconds of [`clock::now_ms`].
    pub(crate) not_before_ms: u64,
    /// When the watch was sent, in milliseconds of [`clock::now_ms`].
    pub(crate) sent_ms: u64,
    /// Revision of the store that the answer covers.
    pub(crate) as_of: u64,
    /// Whether the answer contains all changes up to that revision.
    pub(crate) is_complete: bool,
}

/// Receives the items and changes of a prefix. Returning [`ControlFlow::Break`] ends the watch.
pub(crate) trait WatchHandler {
    /// Handles a complete listing of the prefix.
    async fn handle_listing(&mut self, listing: &Listing) -> ControlFlow<()>;
    /// Handles the changes since the last listing or batch of events, as answered by a watch.
    async fn handle_events(&mut self, events: &[Event], answer: WatchAnswer) -> ControlFlow<()>;
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
        let Ok(listing) = reader.read().await else {
            time::sleep(config.retry_delay).await;
            continue;
        };
        reader = ListingReader::new(store, prefix);
        if handler.handle_listing(&listing).await.is_break()
            || watch_from(store, prefix, listing.position(), config, handler)
                .await
                .is_break()
        {
            return;
        }
    }
}

/// Watches `prefix` from a position until a watch fails or the handler breaks.
pub(crate) async fn watch_from(
    store: &GuardedStore,
    prefix: &str,
    position: WatchPosition,
    config: WatchConfig,
    handler: &mut impl WatchHandler,
) -> ControlFlow<()> {
    let WatchPosition {
        mut after,
        mut covered_ms,
    } = position;
    let mut sent_ms = clock::now_ms();
    while let Ok(watched) = store.watch(prefix, after, config.watch_timeout).await {
        after = watched.as_of;
        let answer = WatchAnswer {
            not_before_ms: covered_ms,
            sent_ms,
            as_of: watched.as_of,
            is_complete: watched.events.len() < MAX_COMPLETE_EVENTS,
        };
        handler.handle_events(&watched.events, answer).await?;
        if answer.is_complete {
            // The response covers all changes before its request, so the next one has later ones.
            covered_ms = sent_ms;
        }
        time::sleep(config.watch_interval).await;
        sent_ms = clock::now_ms();
    }
    time::sleep(config.retry_delay).await;
    ControlFlow::Continue(())
}
