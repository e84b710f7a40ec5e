//! Whether a host's configuration is known to be recent enough to accept keys.
//!
//! A host that cannot reach the store does not learn that a key was revoked. It may accept keys only
//! while it has proof that its configuration was the newest one a short time ago. The proof is an
//! answered read or watch of the configuration's key. It counts from the time at which the call was
//! sent: the configuration may have changed at any time after that.

/// Part of the revocation time for which a proof suffices, in percent. The rest is for the calls
/// that were accepted just before it expired: a commit by the coordinator gets at most 900 ms.
const PROOF_VALIDITY_PERCENT: u64 = 80;

/// What an answer of the store shows of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shown {
    /// It has not changed since the previous answer.
    NoChange,
    /// It was last written with this version.
    Config {
        /// Version of the configuration.
        version: u64,
        /// Revision of the store at which it was written.
        revision: u64,
    },
    /// It is absent or cannot be decoded.
    Unreadable,
}

/// An answer of the store to a read or watch of the configuration's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// When the call was sent, in milliseconds of a clock that counts suspensions.
    pub sent_ms: u64,
    /// Revision of the store that the answer covers.
    pub as_of: u64,
    /// Whether the answer contains all changes up to that revision.
    pub is_complete: bool,
    /// What it shows of the configuration.
    pub shown: Shown,
}

/// Whether keys may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The configuration was the newest one recently enough.
    Fresh {
        /// Time until which a call accepted now may be answered with success, in milliseconds of
        /// the same clock.
        answer_by_ms: u64,
    },
    /// A key may have been revoked too long ago.
    Stale,
}

/// What is known of how recent the configuration in force is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// Version of the configuration in force, and the first store revision known to have it.
    in_force: Option<(u64, u64)>,
    /// Whether the store's latest value is not a readable configuration, which may revoke keys.
    is_unreadable: bool,
    /// When the call behind the latest proof was sent.
    proven_ms: Option<u64>,
}

impl Freshness {
    /// Records an answer, of which the configuration shown is in force if it has a higher version
    /// than the previous one.
    pub fn record(&mut self, answer: Answer) {
        let mut is_older = false;
        match answer.shown {
            Shown::NoChange => {}
            Shown::Unreadable => self.is_unreadable = true,
            Shown::Config { version, revision } => {
                self.is_unreadable = false;
                match self.in_force {
                    Some((known, _)) if version < known => is_older = true,
                    Some((known, _)) if version == known => {}
                    _ => self.in_force = Some((version, revision)),
                }
            }
        }
        let Some((_, revision)) = self.in_force else {
            return;
        };
        // An answer from before the revision of the configuration in force comes from a copy of the
        // store that lags behind.
        let is_proof =
            answer.is_complete && !is_older && !self.is_unreadable && answer.as_of >= revision;
        if is_proof {
            self.proven_ms = self.proven_ms.max(Some(answer.sent_ms));
        }
    }

    /// Whether keys may be accepted at `now_ms`, if a key must be refused everywhere `revoke_ms`
    /// after it was revoked.
    pub fn verdict(&self, now_ms: u64, revoke_ms: u64) -> Verdict {
        let validity_ms = revoke_ms * PROOF_VALIDITY_PERCENT / 100;
        match self.proven_ms {
            Some(proven_ms) if now_ms < proven_ms + validity_ms => Verdict::Fresh {
                answer_by_ms: proven_ms + revoke_ms,
            },
            _ => Verdict::Stale,
        }
    }

    /// Age of the latest proof; `None` if there was none.
    pub fn proof_age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.proven_ms?))
    }
}
