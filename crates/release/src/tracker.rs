//! Tracks the release in force in a process.

use std::sync::Arc;

use kernel::ids;

use crate::accepted;

/// The release in force, whose version never decreases.
///
/// Releases arrive in any order from the store, from peers and from this
/// host's own submissions; those that are not newer are dropped. After its start
/// a process puts no release in force below the highest version that a peer has
/// announced, because the host may have had that version before the restart.
#[derive(Clone, Debug, Default)]
pub struct ReleaseTracker {
    current: Option<Arc<accepted::AcceptedRelease>>,
    highest_heard: ids::ReleaseVersion,
}

impl ReleaseTracker {
    /// Creates a tracker without a release in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// The release in force; `None` before the first.
    pub fn current(&self) -> Option<&Arc<accepted::AcceptedRelease>> {
        self.current.as_ref()
    }

    /// The version in force; zero before the first release.
    pub fn version(&self) -> ids::ReleaseVersion {
        self.current
            .as_ref()
            .map_or_else(Default::default, |release| release.version())
    }

    /// Puts a release in force if it is newer; returns whether it did.
    pub fn offer(&mut self, release: impl Into<Arc<accepted::AcceptedRelease>>) -> bool {
        let release = release.into();
        let lowest_allowed = match &self.current {
            Some(current) => current.version().next(),
            None => self.highest_heard,
        };
        self.highest_heard = self.highest_heard.max(release.version());
        if release.version() < lowest_allowed || release.version().0 == 0 {
            return false;
        }
        self.current = Some(release);
        true
    }

    /// Records that a peer has announced this version.
    pub fn hear(&mut self, version: ids::ReleaseVersion) {
        self.highest_heard = self.highest_heard.max(version);
    }

    /// The version to fetch; `None` if no newer one has been announced.
    pub fn wanted(&self) -> Option<ids::ReleaseVersion> {
        (self.highest_heard > self.version()).then_some(self.highest_heard)
    }
}
