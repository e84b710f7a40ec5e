//! Tracks the newest release in the store, and removes old ones.

use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use platform::store;

use super::Acceptor;
use crate::accepted;
use crate::events;

/// Number of releases read by one range call.
const RELEASES_PER_PAGE: usize = 8;
/// Maximum number of old releases removed after one acceptance.
const MAX_TRIMMED_RELEASES: usize = 4;

/// The newest known release.
#[derive(Debug, Default)]
pub(super) struct Head {
    newest: Option<Arc<accepted::AcceptedRelease>>,
    /// Versions seen in the store, to be removed once they are past retention.
    stored: Vec<ids::ReleaseVersion>,
}

impl Head {
    /// Records a release; it becomes the head if it is newer than the current one.
    pub(super) fn advance(&mut self, release: &Arc<accepted::AcceptedRelease>) {
        let version = release.version();
        if !self.stored.contains(&version) {
            self.stored.push(version);
        }
        let known = self.newest.as_ref();
        if known.is_none_or(|known| known.version() < version) {
            self.newest = Some(Arc::clone(release));
        }
    }

    /// Takes the versions that are past retention when `newest` is the newest release.
    fn take_old(&mut self, newest: ids::ReleaseVersion) -> Vec<ids::ReleaseVersion> {
        let is_old =
            |version: &ids::ReleaseVersion| version.0 + accepted::RETAINED_RELEASES <= newest.0;
        let old = self.stored.iter().copied().filter(is_old);
        let old: Vec<ids::ReleaseVersion> = old.take(MAX_TRIMMED_RELEASES).collect();
        self.stored.retain(|version| !old.contains(version));
        old
    }
}

impl Acceptor {
    /// Reads all newer releases from the store and returns the newest one.
    pub(super) async fn load_head(&self) -> errors::Result<Option<Arc<accepted::AcceptedRelease>>> {
        loop {
            let known = self.lock_head().newest.clone();
            let after = known.as_ref().map(|known| accepted::key(known.version()));
            let page = self
                .store
                .range(
                    accepted::KEY_PREFIX,
                    after.as_deref().unwrap_or_default(),
                    RELEASES_PER_PAGE,
                )
                .await?;
            for entry in &page {
                self.learn(&accepted::AcceptedRelease::from_entry(entry)?);
            }
            if page.len() < RELEASES_PER_PAGE {
                return Ok(self.lock_head().newest.clone());
            }
        }
    }

    /// Reads one release; `None` if it is no longer retained or was never accepted.
    ///
    /// # Errors
    ///
    /// Those of the store, and [`errors::ErrorKind::Internal`] if the value is not a release.
    pub async fn read(
        &self,
        version: ids::ReleaseVersion,
    ) -> errors::Result<Option<Arc<accepted::AcceptedRelease>>> {
        let Some(entry) = self.store.get(&accepted::key(version)).await? else {
            return Ok(None);
        };
        accepted::AcceptedRelease::from_entry(&entry).map(Some)
    }

    /// Removes releases past retention; failed deletions are retried after the next acceptance.
    pub(super) async fn trim(&self, newest: ids::ReleaseVersion) {
        let old = self.lock_head().take_old(newest);
        for version in old {
            let key = accepted::key(version);
            let deleted = self.store.delete(&key, store::Condition::Any).await;
            if let Err(error) = deleted {
                kernel::log_event!(events::RELEASE_TRIM_FAILED, "{key}: {error}");
                self.lock_head().stored.push(version);
            }
        }
    }
}
