//! State machine of the key-value store: revisions, conditions, leases and the watch log.

use std::collections::BTreeMap;
use std::ops;

use bytes::Bytes;
use indexmap::IndexMap;
use platform::store::{
    Change, Condition, Entry, LeaseId, Revision, StoreError, VALUE_LIMIT_BYTES, WatchReply,
};

use super::counters::StoreCounters;
use super::{rate, watch_log};
use crate::config;

#[derive(Clone, Debug)]
struct Stored {
    value: Bytes,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    expires_at_ms: u64,
}

/// State machine of the store. Leases that are due expire before each call is applied.
#[derive(Debug)]
pub struct StoreModel {
    // Sorted by key, for range reads by prefix.
    entries: BTreeMap<String, Stored>,
    revision: u64,
    log: watch_log::WatchLog,
    leases: IndexMap<LeaseId, Lease>,
    next_lease: u64,
    write_limiter: Option<rate::TokenBucket>,
    read_limiter: Option<rate::TokenBucket>,
    counters: StoreCounters,
}

impl StoreModel {
    /// Creates an empty store.
    pub fn new(limits: config::StoreLimits) -> Self {
        Self {
            entries: BTreeMap::new(),
            revision: 0,
            log: watch_log::WatchLog::new(limits.watch_log_changes),
            leases: IndexMap::new(),
            next_lease: 1,
            write_limiter: limits.writes_per_s.map(rate::TokenBucket::new),
            read_limiter: limits.reads_per_s.map(rate::TokenBucket::new),
            counters: StoreCounters::default(),
        }
    }

    /// Counters of the calls so far.
    pub const fn counters(&self) -> &StoreCounters {
        &self.counters
    }

    /// Revision of the latest change.
    pub const fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    /// Expiry time of the lease that expires next; `None` without leases.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.leases.values().map(|lease| lease.expires_at_ms).min()
    }

    /// Ends all expired leases and deletes their keys; returns whether there were any.
    pub fn expire_leases(&mut self, now_ms: u64) -> bool {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.end_lease(*id);
        }
        !expired.is_empty()
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// [`StoreError::Throttled`] above the read rate.
    pub fn get(&mut self, now_ms: u64, key: &str) -> Result<Option<Entry>, StoreError> {
        self.begin_read(now_ms)?;
        self.counters.gets += 1;
        let entry = self.entry(key);
        if let Some(entry) = &entry {
            self.counters.read_bytes += entry.value.len() as u64;
        }
        Ok(entry)
    }

    /// Writes one key if the condition holds.
    ///
    /// # Errors
    ///
    /// [`StoreError::TooLarge`], [`StoreError::Conflict`], [`StoreError::LeaseLapsed`] or
    /// [`StoreError::Throttled`]; the write has no effect then.
    pub fn put(
        &mut self,
        now_ms: u64,
        key: &str,
        value: Bytes,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.begin_write(now_ms)?;
        self.counters.puts += 1;
        self.counters.count_prefix(key);
        if value.len() > VALUE_LIMIT_BYTES {
            let bytes = value.len();
            return Err(StoreError::TooLarge { bytes });
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(StoreError::LeaseLapsed);
        }
        self.check(key, condition)?;
        self.counters.count_written(value.len() as u64);
        let revision = self.next_revision();
        let stored = Stored {
            value,
            revision,
            lease,
        };
        self.log.append(Change::Put(to_entry(key, &stored)));
        self.entries.insert(key.to_owned(), stored);
        Ok(revision)
    }

    /// Deletes one key if the condition holds.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] or [`StoreError::Throttled`]; the deletion has no effect then.
    pub fn delete(
        &mut self,
        now_ms: u64,
        key: &str,
        condition: Condition,
    ) -> Result<Revision, StoreError> {
        self.begin_write(now_ms)?;
        self.counters.deletes += 1;
        self.counters.count_prefix(key);
        self.check(key, condition)?;
        self.remove(key);
        Ok(self.revision())
    }

    /// Reads up to `limit` keys that start with `prefix` and sort after `after`, in order.
    ///
    /// # Errors
    ///
    /// [`StoreError::Throttled`] above the read rate.
    pub fn range(
        &mut self,
        now_ms: u64,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Entry>, StoreError> {
        self.begin_read(now_ms)?;
        self.counters.ranges += 1;
        let start = if after < prefix {
            ops::Bound::Included(prefix)
        } else {
            ops::Bound::Excluded(after)
        };
        let found: Vec<Entry> = self
            .entries
            .range::<str, _>((start, ops::Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, stored)| to_entry(key, stored))
            .collect();
        let read: usize = found.iter().map(|entry| entry.value.len()).sum();
        self.counters.read_bytes += read as u64;
        Ok(found)
    }

    /// Counts a watch as one read, regardless of how long it waits.
    ///
    /// # Errors
    ///
    /// [`StoreError::Throttled`] above the read rate.
    pub fn begin_watch(&mut self, now_ms: u64) -> Result<(), StoreError> {
        self.begin_read(now_ms)?;
        self.counters.watches += 1;
        Ok(())
    }

    /// The changes after revision `after` to keys that start with `prefix`; does not wait.
    pub fn changes(&mut self, now_ms: u64, prefix: &str, after: Revision) -> WatchReply {
        self.expire_leases(now_ms);
        self.log.since(prefix, after)
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::Throttled`] above the write rate.
    pub fn grant_lease(&mut self, now_ms: u64, ttl_ms: u64) -> Result<LeaseId, StoreError> {
        self.begin_write(now_ms)?;
        self.counters.grants += 1;
        let id = LeaseId(self.next_lease);
        self.next_lease += 1;
        let lease = Lease {
            ttl_ms,
            expires_at_ms: now_ms.saturating_add(ttl_ms),
        };
        self.leases.insert(id, lease);
        Ok(id)
    }

    /// Renews a lease for its full time to live.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseLapsed`] or [`StoreError::Throttled`].
    pub fn keep_alive(&mut self, now_ms: u64, id: LeaseId) -> Result<(), StoreError> {
        self.begin_write(now_ms)?;
        self.counters.keep_alives += 1;
        let Some(lease) = self.leases.get_mut(&id) else {
            return Err(StoreError::LeaseLapsed);
        };
        lease.expires_at_ms = now_ms.saturating_add(lease.ttl_ms);
        Ok(())
    }

    /// Revokes a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseLapsed`] or [`StoreError::Throttled`].
    pub fn revoke_lease(&mut self, now_ms: u64, id: LeaseId) -> Result<(), StoreError> {
        self.begin_write(now_ms)?;
        self.counters.revokes += 1;
        if !self.leases.contains_key(&id) {
            return Err(StoreError::LeaseLapsed);
        }
        self.end_lease(id);
        Ok(())
    }

    fn begin_read(&mut self, now_ms: u64) -> Result<(), StoreError> {
        self.expire_leases(now_ms);
        let allowed = self
            .read_limiter
            .as_mut()
            .is_none_or(|bucket| bucket.try_take(now_ms));
        self.check_rate(allowed)
    }

    fn begin_write(&mut self, now_ms: u64) -> Result<(), StoreError> {
        self.expire_leases(now_ms);
        let bucket = self.write_limiter.as_mut();
        let allowed = bucket.is_none_or(|bucket| bucket.try_take(now_ms));
        self.check_rate(allowed)
    }

    fn check_rate(&mut self, allowed: bool) -> Result<(), StoreError> {
        if allowed {
            return Ok(());
        }
        self.counters.throttled += 1;
        Err(StoreError::Throttled)
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|stored| to_entry(key, stored))
    }

    fn check(&mut self, key: &str, condition: Condition) -> Result<(), StoreError> {
        let revision = self.entries.get(key).map(|stored| stored.revision);
        let holds = match condition {
            Condition::Any => true,
            Condition::Absent => revision.is_none(),
            Condition::Unchanged(expected) => revision == Some(expected),
        };
        if holds {
            return Ok(());
        }
        self.counters.conflicts += 1;
        let current = self.entry(key);
        Err(StoreError::Conflict { current })
    }

    fn next_revision(&mut self) -> Revision {
        self.revision += 1;
        self.revision()
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_none() {
            return;
        }
        let revision = self.next_revision();
        let key = key.to_owned();
        self.log.append(Change::Deleted { key, revision });
    }

    fn end_lease(&mut self, id: LeaseId) {
        self.leases.swap_remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, stored)| stored.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn to_entry(key: &str, stored: &Stored) -> Entry {
    Entry {
        key: key.to_owned(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}
