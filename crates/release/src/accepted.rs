//! The accepted release as it stands in the store and travels between hosts.

use std::io::Read;
use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use kernel::work;
use platform::store;
use serde::{Deserialize, Serialize};

use crate::apply;

/// Largest encoded release, in bytes; leaves room below the store's own limit.
pub const ENCODED_LIMIT_BYTES: usize = store::VALUE_LIMIT_BYTES * 3 / 4;
/// Largest decoded release, in bytes; bounds what a broken value can cost.
pub const DECODED_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Submissions that a release remembers, its own included.
pub const RECENT_SUBMISSIONS: usize = 128;
/// Releases that are kept in the store.
pub const KEPT_RELEASES: u64 = 16;
/// Prefix of the keys of releases.
pub const KEY_PREFIX: &str = "releases/";

const COMPRESSION_LEVEL: i32 = 3;

/// One accepted submission, by which a repeated one is recognized.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The submitter id.
    pub submitter: String,
    /// Digest of the note.
    pub note_digest: u64,
    /// The version under which it was accepted.
    pub version: ids::ReleaseVersion,
}

/// A release with the note that led to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRelease {
    /// The submitter id of the note.
    pub submitter: String,
    /// The note as it was written.
    pub note: String,
    /// What the note changed.
    pub changes: apply::Changes,
    /// The latest accepted submissions, oldest first, this one last.
    pub recent: Vec<Submission>,
    /// The state that is in force.
    pub release: work::Release,
}

impl AcceptedRelease {
    /// The release's version.
    pub fn version(&self) -> ids::ReleaseVersion {
        self.release.version
    }

    /// Encodes the release as compressed JSON.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::TooLarge`] if the result has more than
    /// [`ENCODED_LIMIT_BYTES`].
    pub fn encode(&self) -> errors::Result<Vec<u8>> {
        let json = serde_json::to_vec(self).map_err(|error| {
            errors::Error::with_source(errors::ErrorKind::Internal, "encode a release", error)
        })?;
        let encoded = zstd::bulk::compress(&json, COMPRESSION_LEVEL).map_err(|error| {
            errors::Error::with_source(errors::ErrorKind::Internal, "compress a release", error)
        })?;
        if encoded.len() > ENCODED_LIMIT_BYTES || json.len() > DECODED_LIMIT_BYTES {
            let detail = format!(
                "the release would take {} bytes in the store; at most {ENCODED_LIMIT_BYTES} \
                 are allowed: withdraw work that has ended, or shorten the note's comments",
                encoded.len()
            );
            return Err(errors::Error::new(errors::ErrorKind::TooLarge, detail));
        }
        Ok(encoded)
    }

    /// Decodes a release from the store or from a peer.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the bytes are not an encoded release.
    pub fn decode(encoded: &[u8]) -> errors::Result<Self> {
        let malformed = |source: Box<dyn std::error::Error + Send + Sync>| {
            errors::Error::with_source(errors::ErrorKind::Internal, "decode a release", source)
        };
        let decoder =
            zstd::stream::Decoder::new(encoded).map_err(|error| malformed(error.into()))?;
        let mut json = Vec::new();
        decoder
            .take(DECODED_LIMIT_BYTES as u64)
            .read_to_end(&mut json)
            .map_err(|error| malformed(error.into()))?;
        serde_json::from_slice(&json).map_err(|error| malformed(error.into()))
    }

    /// Decodes the release of a store entry and checks that it stands under its own key.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the entry is not a release or another one.
    pub fn from_entry(entry: &store::Entry) -> errors::Result<Arc<Self>> {
        let release = Self::decode(&entry.value).map_err(|error| {
            let detail = format!("the value of {} is not a release", entry.key);
            errors::Error::with_source(error.kind, detail, error)
        })?;
        if key(release.version()) != entry.key {
            let detail = format!("{} holds release {}", entry.key, release.version());
            return Err(errors::Error::new(errors::ErrorKind::Internal, detail));
        }
        Ok(Arc::new(release))
    }
}

/// The store key of a release; keys sort by version.
pub fn key(version: ids::ReleaseVersion) -> String {
    format!("{KEY_PREFIX}{:020}", version.0)
}
