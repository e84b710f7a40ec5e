//! Accepted releases, as encoded in the store and in messages between hosts.

use std::io::Read;
use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use kernel::work;
use platform::store;
use serde::{Deserialize, Serialize};

use crate::apply;

/// Maximum size of an encoded release; leaves a margin below the store's own limit.
pub const MAX_ENCODED_BYTES: usize = store::VALUE_LIMIT_BYTES * 3 / 4;
/// Maximum size of a decoded release; bounds the memory use of a corrupt value.
pub const DECODED_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of submissions listed in a release, its own included.
pub const MAX_RECENT_SUBMISSIONS: usize = 128;
/// Number of the newest releases that are retained in the store.
pub const RETAINED_RELEASES: u64 = 16;
/// Prefix of the store keys of releases.
pub const KEY_PREFIX: &str = "releases/";

const COMPRESSION_LEVEL: i32 = 3;

/// An accepted submission, recorded to detect resubmissions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The submitter id, unique per submission.
    pub submitter: String,
    /// Digest of the note's bytes.
    pub note_digest: u64,
    /// The version under which it was accepted.
    pub version: ids::ReleaseVersion,
}

/// A release and the note that created it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRelease {
    /// The submitter id of the note.
    pub submitter: String,
    /// The verbatim text of the note.
    pub note: String,
    /// Differences from the previous release.
    pub changes: apply::Changes,
    /// The latest accepted submissions, oldest first, including this one.
    pub recent: Vec<Submission>,
    /// The resulting state.
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
    /// [`MAX_ENCODED_BYTES`].
    pub fn encode(&self) -> errors::Result<Vec<u8>> {
        let json = serde_json::to_vec(self).map_err(|error| {
            errors::Error::with_source(errors::ErrorKind::Internal, "encode a release", error)
        })?;
        let encoded = zstd::bulk::compress(&json, COMPRESSION_LEVEL).map_err(|error| {
            errors::Error::with_source(errors::ErrorKind::Internal, "compress a release", error)
        })?;
        if encoded.len() > MAX_ENCODED_BYTES || json.len() > DECODED_LIMIT_BYTES {
            let detail = format!(
                "the release has {} encoded bytes; at most {MAX_ENCODED_BYTES} are allowed: \
                 withdraw work that has ended, or shorten the note's comments",
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

    /// Decodes the release of a store entry and checks that its version matches the key.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the value is not a release or has another version.
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
