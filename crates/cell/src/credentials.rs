//! Keys of tenants, held as digests.
//!
//! Keys are secrets. They are replaced by their SHA-256 digest when a configuration or a request is
//! read, so that no key appears in a log line, an error or a message between hosts.

use std::rc::Rc;

use derive_more::Debug;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::config::{Config, Queue, Tenant};

/// SHA-256 digest of a tenant's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[debug("KeyDigest(..)")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Restores a digest from its bytes; `None` if their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// A key that a host has found in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyClaim {
    /// Tenant that had the key.
    pub tenant: Rc<str>,
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Version of the configuration that listed the key.
    pub config_version: u64,
}

/// On whose behalf a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// Anybody, because the cell has no tenants.
    Unrestricted,
    /// Anybody, because the queue is public.
    Public {
        /// Tenant of the key that the call carries nevertheless: the queue may have become public
        /// after the tenant submitted its job.
        key_holder: Option<Rc<str>>,
    },
    /// A tenant.
    Tenant(KeyClaim),
}

impl Caller {
    /// Tenant of the jobs that the caller submits; empty if they have none.
    pub fn tenant(&self) -> &str {
        match self {
            Self::Unrestricted | Self::Public { .. } => "",
            Self::Tenant(claim) => &claim.tenant,
        }
    }

    /// Whether the caller may query and cancel a job that was accepted under `job_tenant`, which is
    /// empty for jobs of public queues and for jobs that are older than the list of tenants.
    pub fn may_access(&self, job_tenant: &str) -> bool {
        let own = match self {
            Self::Unrestricted => return true,
            Self::Public { key_holder } => key_holder.as_deref(),
            Self::Tenant(claim) => Some(&*claim.tenant),
        };
        job_tenant.is_empty() || own == Some(job_tenant)
    }
}

/// Whether calls to a queue must carry a key of a tenant.
pub fn needs_key(config: &Config, queue: &Queue) -> bool {
    config.tenants.is_some() && !queue.public
}

/// Returns on whose behalf a call to a queue is made; `None` if it needs a key and carries no valid
/// one.
pub fn identify(config: &Config, queue: &Queue, digest: Option<&KeyDigest>) -> Option<Caller> {
    if config.tenants.is_none() {
        return Some(Caller::Unrestricted);
    }
    let tenant = digest.and_then(|digest| holder(config, digest));
    if queue.public {
        let key_holder = tenant.map(|tenant| Rc::clone(&tenant.name));
        return Some(Caller::Public { key_holder });
    }
    let (digest, tenant) = (digest?, tenant?);
    Some(Caller::Tenant(KeyClaim {
        tenant: Rc::clone(&tenant.name),
        digest: *digest,
        config_version: config.version,
    }))
}

/// Whether a claim still holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The tenant has the key, as far as is known.
    Valid,
    /// No tenant has the key any more.
    Removed,
    /// Another tenant has the key.
    Moved,
}

/// Compares a claim with a configuration. Only a newer configuration than that of the claim can
/// refute it: in an older one the tenant or its key may be missing because they are new.
pub fn review(config: &Config, queue: &str, claim: &KeyClaim) -> ClaimVerdict {
    let is_public = config.queues.get(queue).is_some_and(|queue| queue.public);
    if config.version <= claim.config_version || config.tenants.is_none() || is_public {
        return ClaimVerdict::Valid;
    }
    match holder(config, &claim.digest) {
        Some(tenant) if tenant.name == claim.tenant => ClaimVerdict::Valid,
        Some(_) => ClaimVerdict::Moved,
        None => ClaimVerdict::Removed,
    }
}

/// Returns the first tenant that has a key. All keys are compared, each in constant time, so that
/// the duration does not depend on which of them match.
fn holder<'a>(config: &'a Config, digest: &KeyDigest) -> Option<&'a Rc<Tenant>> {
    let mut found = None;
    for tenant in config.tenants.iter().flat_map(|tenants| tenants.values()) {
        for known in &tenant.key_digests {
            let matches = bool::from(known.0.ct_eq(&digest.0));
            if matches && found.is_none() {
                found = Some(tenant);
            }
        }
    }
    found
}
