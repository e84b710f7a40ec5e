//! A host's registration in the store, bound to a lease.

use std::sync::Arc;
use std::time;

use bytes::Bytes;
use kernel::ids;
use platform::store;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{events, members_prefix};

/// Configuration of a session. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct SessionConfig {
    /// Time to live of the lease after its last renewal.
    pub ttl_ms: u64,
    /// Interval between renewals.
    pub renew_ms: u64,
}

impl Default for SessionConfig {
    fn default() -> Self {
        Self {
            ttl_ms: 3_000,
            renew_ms: 1_000,
        }
    }
}

/// Registration of a host in the store, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Unique name of the host process.
    pub host: ids::HostId,
    /// Availability zone of the host.
    pub zone: ids::ZoneId,
    /// Address for peer connections, as `IP:PORT`.
    pub address: String,
    /// Whether the host may own rack groups and shards.
    pub eligible: bool,
}

impl MemberRecord {
    /// Store key of the registration.
    pub fn key(&self) -> String {
        format!("{}{}/{}", members_prefix(), self.zone, self.host)
    }
}

/// Maintains a host's registration in the store.
#[derive(Debug)]
pub struct Session {
    store: Arc<dyn store::Store>,
    config: SessionConfig,
    record: watch::Receiver<MemberRecord>,
}

impl Session {
    /// Creates a session that writes the current value of `record` and each later one.
    pub fn new(
        store: Arc<dyn store::Store>,
        config: SessionConfig,
        record: watch::Receiver<MemberRecord>,
    ) -> Self {
        Self {
            store,
            config,
            record,
        }
    }

    /// Registers the host, and again after each failure, until the future is dropped.
    pub async fn run(mut self) {
        loop {
            if let Err(error) = self.hold_lease().await {
                match error {
                    store::StoreError::LeaseLapsed => {
                        kernel::log_event!(events::LEASE_LAPSED, "registering again");
                    }
                    other => log::debug!("session: {other}"),
                }
                tokio::time::sleep(time::Duration::from_millis(self.config.renew_ms)).await;
            }
        }
    }

    /// Maintains one lease; returns the error that ended it.
    async fn hold_lease(&mut self) -> Result<(), store::StoreError> {
        let lease = self.store.grant_lease(self.config.ttl_ms).await?;
        let mut lease_until = self.expiry();
        self.write_record(lease).await?;
        kernel::log_event!(events::REGISTERED, "lease of {} ms", self.config.ttl_ms);
        let mut ticks = tokio::time::interval(time::Duration::from_millis(self.config.renew_ms));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut open = true;
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => match self.store.keep_alive(lease).await {
                    Ok(()) => lease_until = self.expiry(),
                    Err(store::StoreError::LeaseLapsed) => return Err(store::StoreError::LeaseLapsed),
                    // The lease may still be valid; renewal is retried until it has expired.
                    Err(error) if tokio::time::Instant::now() > lease_until => return Err(error),
                    Err(_) => {}
                },
                changed = self.record.changed(), if open => match changed {
                    Ok(()) => self.write_record(lease).await?,
                    Err(_) => open = false,
                },
            }
        }
    }

    fn expiry(&self) -> tokio::time::Instant {
        tokio::time::Instant::now() + time::Duration::from_millis(self.config.ttl_ms)
    }

    async fn write_record(&mut self, lease: store::LeaseId) -> Result<(), store::StoreError> {
        let record = self.record.borrow_and_update().clone();
        let Ok(value) = serde_json::to_vec(&record) else {
            return Ok(());
        };
        self.store
            .put(
                &record.key(),
                Bytes::from(value),
                store::Condition::Any,
                Some(lease),
            )
            .await?;
        Ok(())
    }
}
