//! Checks of the keys that clients' calls carry.
//!
//! A key is checked at the head of a call, again once its body has been read, and once more before
//! this host writes to the store itself. With strict revocation, each check also needs proof that
//! this host's configuration was recently the newest one ([`cell::freshness`]).

use std::{cell::Cell, rc::Rc};

use adapter::clients::{self, KEY_HEADER, Request};
use cell::{
    config::{Config, Queue},
    credentials::{self, Caller, ClaimVerdict, KeyClaim, KeyDigest},
    freshness::Verdict,
};
use hyper::HeaderMap;
use kernel::log_event;

use crate::{clock, events, live::LiveSettings, metrics::Metrics, operator_config::OperatorConfig};

/// Retry time of a call that was refused because this host's configuration may be outdated, in
/// milliseconds. A host that can reach the store gets new proof about once in 1.1 s.
pub const OUTDATED_RETRY_AFTER_MS: u64 = 1_000;
/// Refused calls are logged at most once in this time, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Why a call was refused on account of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It carries no valid key.
    Unauthorised,
    /// This host's configuration may be outdated, so that its key may have been revoked or may
    /// belong to another tenant.
    Outdated,
    /// Its job belongs to another tenant.
    OtherTenant,
}

impl Denial {
    /// Value of the label `reason` in the metrics.
    fn reason(self) -> &'static str {
        match self {
            Self::Unauthorised => "unauthorised",
            Self::Outdated => "stale",
            Self::OtherTenant => "other_tenant",
        }
    }
}

/// A call that may proceed.
#[derive(Clone, Debug)]
pub struct Grant {
    /// On whose behalf the call is made.
    pub caller: Caller,
    /// Time until which it may be answered with success, in milliseconds of [`clock::now_ms`];
    /// `None` if there is no limit.
    answer_by_ms: Option<u64>,
    /// Whether a key was ignored on a public queue, because it could not be checked.
    ignored_key: bool,
}

impl Grant {
    /// Why the caller may not access a job of a tenant.
    pub fn access_denial(&self) -> Denial {
        if self.ignored_key {
            Denial::Outdated
        } else {
            Denial::OtherTenant
        }
    }
}

/// Refused calls since the last log line about them.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    unauthorised: u32,
    outdated: u32,
    other_tenant: u32,
    logged_ms: u64,
}

/// Checks the keys of calls against the configuration in effect.
#[derive(Debug)]
pub struct KeyChecks {
    operator_config: Rc<OperatorConfig>,
    settings: Rc<LiveSettings>,
    metrics: Rc<Metrics>,
    refusals: Cell<Refusals>,
    /// Whether the last check found no proof of a recent configuration.
    is_outdated: Cell<bool>,
}

impl KeyChecks {
    /// Checks against the configuration and the settings given.
    pub fn new(
        operator_config: Rc<OperatorConfig>,
        settings: Rc<LiveSettings>,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self {
            operator_config,
            settings,
            metrics,
            refusals: Cell::default(),
            is_outdated: Cell::default(),
        }
    }

    /// Time until which a call may be answered with success, in milliseconds of
    /// [`clock::now_ms`]; `None` if there is no limit.
    ///
    /// # Errors
    ///
    /// [`Denial::Outdated`] if keys cannot be accepted now.
    fn check_freshness(&self) -> Result<Option<u64>, Denial> {
        let settings = self.settings.current();
        if !settings.strict_revocation {
            return Ok(None);
        }
        let now_ms = clock::now_ms();
        let freshness = self.operator_config.freshness();
        let verdict = freshness.verdict(now_ms, settings.revoke_ms);
        let is_outdated = verdict == Verdict::Stale;
        if self.is_outdated.replace(is_outdated) != is_outdated {
            let config = self.operator_config.version();
            if is_outdated {
                let proof_age_ms = freshness.proof_age_ms(now_ms);
                log_event!(
                    events::CONFIG_UNPROVEN,
                    "config={config} proof_age_ms={proof_age_ms:?}"
                );
            } else {
                log_event!(events::CONFIG_PROVEN, "config={config}");
            }
        }
        match verdict {
            Verdict::Fresh { answer_by_ms } => Ok(Some(answer_by_ms)),
            Verdict::Stale => Err(Denial::Outdated),
        }
    }

    /// Whether calls to all queues of a configuration can be accepted now.
    pub fn accepts_all_queues(&self, config: &Config) -> bool {
        let needs_keys = |queue: &Rc<Queue>| credentials::needs_key(config, queue);
        !config.queues.values().any(needs_keys) || self.check_freshness().is_ok()
    }

    /// Checks the key of a call to a queue against the configuration in effect, which may be newer
    /// than the one that `queue` comes from.
    ///
    /// # Errors
    ///
    /// [`Denial`] if the call must be refused. A missing key is refused in any case, an unknown one
    /// only with proof of a recent configuration: it may be new.
    pub fn check(&self, queue: &Queue, digest: Option<&KeyDigest>) -> Result<Grant, Denial> {
        let Some(config) = self.operator_config.current() else {
            return Err(Denial::Outdated);
        };
        let queue = config.queues.get(&queue.name).map_or(queue, |queue| queue);
        let needs_key = credentials::needs_key(&config, queue);
        if needs_key && digest.is_none() {
            return Err(Denial::Unauthorised);
        }
        let freshness = match digest {
            Some(_) if config.tenants.is_some() => self.check_freshness(),
            _ => Ok(None),
        };
        let (digest, answer_by_ms) = match freshness {
            Ok(answer_by_ms) => (digest, answer_by_ms),
            Err(denial) if needs_key => return Err(denial),
            Err(_) => (None, None),
        };
        let caller = credentials::identify(&config, queue, digest).ok_or(Denial::Unauthorised)?;
        Ok(Grant {
            caller,
            answer_by_ms,
            ignored_key: freshness.is_err(),
        })
    }

    /// Checks a key again that was found in a configuration: that of this host may have become newer
    /// or outdated since, or may be newer than that of the host that found the key.
    ///
    /// # Errors
    ///
    /// [`Denial`] if what the key was to allow must be refused.
    pub fn review(&self, queue: &str, claim: &KeyClaim) -> Result<(), Denial> {
        let Some(config) = self.operator_config.current() else {
            return Err(Denial::Outdated);
        };
        if let Some(queue) = config.queues.get(queue)
            && !credentials::needs_key(&config, queue)
        {
            return Ok(());
        }
        match credentials::review(&config, queue, claim) {
            ClaimVerdict::Valid => self.check_freshness().map(drop),
            ClaimVerdict::Removed => Err(Denial::Unauthorised),
            // The client's next call is made on behalf of the other tenant.
            ClaimVerdict::Moved => Err(Denial::Outdated),
        }
    }

    /// Checks again that a call to a queue may proceed.
    ///
    /// # Errors
    ///
    /// [`Denial`] if the call must be refused.
    pub fn check_again(&self, queue: &str, grant: &Grant) -> Result<(), Denial> {
        match &grant.caller {
            Caller::Tenant(claim) => self.review(queue, claim),
            Caller::Unrestricted | Caller::Public { .. } => Ok(()),
        }
    }

    /// Checks that a call may be answered with success now: its key was valid within the revocation
    /// time. A call that was accepted in time may have taken too long.
    ///
    /// # Errors
    ///
    /// [`Denial`] if its key may have been revoked too long ago.
    pub fn check_answer(&self, queue: &str, grant: &Grant) -> Result<(), Denial> {
        match grant.answer_by_ms {
            Some(by_ms) if clock::now_ms() >= by_ms => self.check_again(queue, grant),
            _ => Ok(()),
        }
    }

    /// Counts a refused call, and logs it within the bound on log lines.
    pub fn record(&self, denial: Denial, call: Request) {
        self.metrics.count_key_refusal(denial.reason());
        let mut refusals = self.refusals.get();
        match denial {
            Denial::Unauthorised => refusals.unauthorised += 1,
            Denial::Outdated => refusals.outdated += 1,
            Denial::OtherTenant => refusals.other_tenant += 1,
        }
        let now_ms = clock::now_ms();
        if now_ms >= refusals.logged_ms + LOG_INTERVAL_MS {
            log_event!(
                events::KEY_REFUSED,
                "call={call:?} denial={denial:?} config={} unauthorised={} outdated={} \
                 other_tenant={}",
                self.operator_config.version(),
                refusals.unauthorised,
                refusals.outdated,
                refusals.other_tenant
            );
            refusals = Refusals {
                logged_ms: now_ms,
                ..Refusals::default()
            };
        }
        self.refusals.set(refusals);
    }
}

/// Digest of the key that a request carries; `None` if there is none, several or a malformed one.
pub fn key_digest(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => clients::key_digest(value.as_bytes()),
        _ => None,
    }
}
