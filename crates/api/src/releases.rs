//! Release notes, and the releases in force on each host.

use kernel::ids;
use kernel::lifecycle;
use kernel::work;
use serde::{Deserialize, Serialize};

/// Reply to an accepted release note.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReply {
    /// Version of the release that the note created.
    pub version: ids::ReleaseVersion,
    /// Added entries, each as `KIND NAME`.
    pub added: Vec<String>,
    /// Changed entries, each as `KIND NAME`.
    pub changed: Vec<String>,
    /// Withdrawn entries, each as `KIND NAME`.
    pub withdrawn: Vec<String>,
}

/// An accepted release with the release note that created it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseView {
    /// Value of the [`SUBMITTER_ID`](crate::headers::SUBMITTER_ID) header of the submission.
    pub submitter: String,
    /// Text of the note, as submitted.
    pub note: String,
    /// Configuration of the cell after the note was applied.
    pub release: work::Release,
}

/// The releases in force on the entry hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseStatus {
    /// Version in force on the responding host.
    pub version: ids::ReleaseVersion,
    /// All entry hosts known to the responding host.
    pub hosts: Vec<HostRelease>,
}

/// The release in force on an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRelease {
    /// Identifier of the entry host.
    pub host: ids::HostId,
    /// Availability zone of the host.
    pub zone: ids::ZoneId,
    /// Life-cycle phase of the host.
    pub phase: lifecycle::Phase,
    /// Version last reported by the host.
    pub version: ids::ReleaseVersion,
    /// Time since the last message from the host, in milliseconds; zero for the responding host.
    pub heard_ms_ago: u64,
}
