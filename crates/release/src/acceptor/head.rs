//! The newest release in the store, and the removal of old ones.

use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use platform::store;

use super::Acceptor;
use crate::accepted;
use crate::events;

/// Releases read with one call.
const PAGE_RELEASES: usize = 8;
/// Old releases removed after one acceptance.
const TRIM_LIMIT: usize = 4;

/// The newest release that is known.
#[derive(Debug, Default)]
pub(super) struct Head {
    newest: Option<Arc<accepted::AcceptedRelease>>,
    /// Versions seen in the store that are to be removed once they are old enough.
    stored: Vec<ids::ReleaseVersion>,
}

impl Head {
    /// Keeps the release if it is newer than the known one.
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

    /// Takes the versions that are no longer kept beside `newest`.
    fn take_old(&mut self, newest: ids::ReleaseVersion) -> Vec<ids::ReleaseVersion> {
        let is_old =
            |version: &ids::ReleaseVersion| version.0 + accepted::KEPT_RELEASES <= newest.0;
        let old = self.stored.iter().copied().filter(is_old);
        let old: Vec<ids::ReleaseVersion> = old.take(TRIM_LIMIT).collect();
        self.stored.retain(|version| !old.contains(version));
        old
    }
}

impl Acceptor {
    /// Reads the store until no newer release is found.
    pub(super) async fn load_head(&self) -> errors::Result<Option<Arc<accepted::AcceptedRelease>>> {
        loop {
            let known = self.lock_head().newest.clone();
            let after = known.as_ref().map(|known| accepted::key(known.version()));
            let page = self
                .store
                .range(
                    accepted::KEY_PREFIX,
                    after.as_deref().unwrap_or_default(),
                    PAGE_RELEASES,
                )
                .await?;
            for entry in &page {
                self.learn(&accepted::AcceptedRelease::from_entry(entry)?);
            }
            if page.len() < PAGE_RELEASES {
                return Ok(self.lock_head().newest.clone());
            }
        }
    }

    /// Reads one release; `None` if it is not kept or was never accepted.
    ///
    /// # Errors
    ///
    /// As the store gives them, or `internal` if the value is not a release.
    pub async fn read(
        &self,
        version: ids::ReleaseVersion,
    ) -> errors::Result<Option<Arc<accepted::AcceptedRelease>>> {
        let Some(entry) = self.store.get(&accepted::key(version)).await? else {
            return Ok(None);
        };
        accepted::AcceptedRelease::from_entry(&entry).map(Some)
    }

    /// Removes releases that are no longer kept; a failure is left for the next time.
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
