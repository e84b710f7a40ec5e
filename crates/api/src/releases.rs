//! Release notes and who has which.

use kernel::ids;
use kernel::lifecycle;
use kernel::work;
use serde::{Deserialize, Serialize};

/// The answer to an accepted release note.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReply {
    /// The number under which the note was accepted.
    pub version: ids::ReleaseVersion,
    /// What was added, each as `KIND NAME`.
    pub added: Vec<String>,
    /// What was changed, each as `KIND NAME`.
    pub changed: Vec<String>,
    /// What was withdrawn, each as `KIND NAME`.
    pub withdrawn: Vec<String>,
}

/// An accepted release with the note that led to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseView {
    /// The submitter id under which the note was accepted.
    pub submitter: String,
    /// The note as it was submitted.
    pub note: String,
    /// The state of the cell that the note led to.
    pub release: work::Release,
}

/// Which entry host has which release in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseStatus {
    /// The version in force at the answering host.
    pub version: ids::ReleaseVersion,
    /// One line for each entry host that the answering host knows.
    pub hosts: Vec<HostRelease>,
}

/// The release in force on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRelease {
    /// The entry host.
    pub host: ids::HostId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Its life-cycle phase.
    pub phase: lifecycle::Phase,
    /// The version that it last reported.
    pub version: ids::ReleaseVersion,
    /// How long ago it was last heard, in milliseconds; zero for the answering host.
    pub heard_ms_ago: u64,
}
