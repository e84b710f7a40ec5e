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
pub(crate) struct Rhythm {
    /// How long one watch waits for a change. A connection that has gone silent shows only by a
    /// watch that is overdue.
    pub(crate) wait: Duration,
    /// Pause between two watches, so that changes are fetched in groups.
    pub(crate) pace: Duration,
    /// Pause after a call to the store that failed.
    pub(crate) retry: Duration,
}

/// Who follows a prefix. Breaking off ends the following.
pub(crate) trait Follower {
    /// Everything that there is.
    async fn listed(&mut self, listing: &Listing) -> ControlFlow<()>;
    /// What has changed since the last listing or change.
    async fn changed(&mut self, events: &[Event]) -> ControlFlow<()>;
}

/// Follows `prefix` until the follower breaks off.
pub(crate) async fn follow(
    store: &GuardedStore,
    prefix: &str,
    rhythm: Rhythm,
    follower: &mut impl Follower,
) {
    loop {
        if let Ok(listing) = store.list(prefix).await {
            if follower.listed(&listing).await.is_break() {
                return;
            }
            let mut after = listing.as_of;
            while let Ok(watched) = store.watch(prefix, after, rhythm.wait).await {
                after = watched.as_of;
                if follower.changed(&watched.events).await.is_break() {
                    return;
                }
                time::sleep(rhythm.pace).await;
            }
        }
        time::sleep(rhythm.retry).await;
    }
}
