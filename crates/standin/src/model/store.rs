//! The key-value store: revisions, conditions, leases and the watch log.

use std::collections::{BTreeMap, VecDeque};
use std::ops;

use bytes::Bytes;
use indexmap::IndexMap;
use platform::store::{
    Change, Condition, Entry, LeaseId, Revision, StoreError, VALUE_LIMIT_BYTES, WatchReply,
};
use serde::{Deserialize, Serialize};

use super::rate;
use crate::config;

/// Calls counted by kind, and the bytes that they carried.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreCounters {
    /// Reads of one key.
    pub gets: u64,
    /// Writes.
    pub puts: u64,
    /// Deletions.
    pub deletes: u64,
    /// Reads of a range.
    pub ranges: u64,
    /// Watches.
    pub watches: u64,
    /// Leases granted.
    pub grants: u64,
    /// Extensions of leases.
    pub keep_alives: u64,
    /// Leases ended by their holder.
    pub revokes: u64,
    /// Calls refused because of their rate.
    pub throttled: u64,
    /// Writes and deletions whose condition did not hold.
    pub conflicts: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
    /// Bytes of values read.
    pub read_bytes: u64,
    /// The largest value written, in bytes.
    pub largest_value_bytes: u64,
    /// Writes and deletions by the first part of the key.
    pub writes_by_prefix: IndexMap<String, u64>,
}

#[derive(Clone, Debug)]
struct Stored {
    value: Bytes,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    lapses_at_ms: u64,
}

/// The store as a state machine. Lapsed leases take effect before each call.
#[derive(Debug)]
pub struct StoreModel {
    // Ordered, because ranges and watches read by prefix.
    entries: BTreeMap<String, Stored>,
    revision: u64,
    log: VecDeque<Change>,
    compacted_through: u64,
    log_limit: usize,
    leases: IndexMap<LeaseId, Lease>,
    next_lease: u64,
    writes: Option<rate::Bucket>,
    reads: Option<rate::Bucket>,
    counters: StoreCounters,
}

impl StoreModel {
    /// An empty store.
    pub fn new(limits: config::StoreLimits) -> Self {
        Self {
            entries: BTreeMap::new(),
            revision: 0,
            log: VecDeque::new(),
            compacted_through: 0,
            log_limit: limits.watch_log_changes,
            leases: IndexMap::new(),
            next_lease: 1,
            writes: limits.writes_per_s.map(rate::Bucket::new),
            reads: limits.reads_per_s.map(rate::Bucket::new),
            counters: StoreCounters::default(),
        }
    }

    /// The calls so far.
    pub const fn counters(&self) -> &StoreCounters {
        &self.counters
    }

    /// The number of the latest change.
    pub const fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    /// When the next lease lapses.
    pub fn next_lapse_ms(&self) -> Option<u64> {
        self.leases.values().map(|lease| lease.lapses_at_ms).min()
    }

    /// Deletes the keys of every lease that has lapsed; tells whether there were any.
    pub fn lapse_leases(&mut self, now_ms: u64) -> bool {
        let lapsed: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.lapses_at_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in &lapsed {
            self.end_lease(*id);
        }
        !lapsed.is_empty()
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

    /// Writes one key under a condition.
    ///
    /// # Errors
    ///
    /// [`StoreError::TooLarge`], [`StoreError::Conflict`], [`StoreError::LeaseLapsed`] or
    /// [`StoreError::Throttled`]; the write then took no effect.
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
        self.count_write(key);
        if value.len() > VALUE_LIMIT_BYTES {
            let bytes = value.len();
            return Err(StoreError::TooLarge { bytes });
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(StoreError::LeaseLapsed);
        }
        self.check(key, condition)?;
        self.counters.written_bytes += value.len() as u64;
        let largest = self.counters.largest_value_bytes.max(value.len() as u64);
        self.counters.largest_value_bytes = largest;
        let revision = self.next_revision();
        let stored = Stored {
            value,
            revision,
            lease,
        };
        self.log_change(Change::Put(to_entry(key, &stored)));
        self.entries.insert(key.to_owned(), stored);
        Ok(revision)
    }

    /// Deletes one key under a condition.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] or [`StoreError::Throttled`]; the deletion then took no effect.
    pub fn delete(
        &mut self,
        now_ms: u64,
        key: &str,
        condition: Condition,
    ) -> Result<Revision, StoreError> {
        self.begin_write(now_ms)?;
        self.counters.deletes += 1;
        self.count_write(key);
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

    /// Counts a watch, which is one call however long it waits.
    ///
    /// # Errors
    ///
    /// [`StoreError::Throttled`] above the read rate.
    pub fn begin_watch(&mut self, now_ms: u64) -> Result<(), StoreError> {
        self.begin_read(now_ms)?;
        self.counters.watches += 1;
        Ok(())
    }

    /// The changes after `after` of keys that start with `prefix`, without waiting.
    pub fn changes(&mut self, now_ms: u64, prefix: &str, after: Revision) -> WatchReply {
        self.lapse_leases(now_ms);
        if after.0 < self.compacted_through {
            return WatchReply {
                revision: self.revision(),
                changes: Vec::new(),
                compacted: true,
            };
        }
        let skipped = usize::try_from(after.0 - self.compacted_through).unwrap_or(usize::MAX);
        let changes = self.log.iter().skip(skipped);
        WatchReply {
            revision: Revision(self.revision.max(after.0)),
            changes: changes
                .filter(|change| key_of(change).starts_with(prefix))
                .cloned()
                .collect(),
            compacted: false,
        }
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
            lapses_at_ms: now_ms.saturating_add(ttl_ms),
        };
        self.leases.insert(id, lease);
        Ok(id)
    }

    /// Extends a lease by its full time.
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
        lease.lapses_at_ms = now_ms.saturating_add(lease.ttl_ms);
        Ok(())
    }

    /// Ends a lease and deletes its keys.
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
        self.lapse_leases(now_ms);
        let allowed = self.reads.as_mut().is_none_or(|bucket| bucket.take(now_ms));
        self.allow(allowed)
    }

    fn begin_write(&mut self, now_ms: u64) -> Result<(), StoreError> {
        self.lapse_leases(now_ms);
        let bucket = self.writes.as_mut();
        let allowed = bucket.is_none_or(|bucket| bucket.take(now_ms));
        self.allow(allowed)
    }

    fn allow(&mut self, allowed: bool) -> Result<(), StoreError> {
        if allowed {
            return Ok(());
        }
        self.counters.throttled += 1;
        Err(StoreError::Throttled)
    }

    fn count_write(&mut self, key: &str) {
        let prefix = key.split('/').next().unwrap_or(key);
        if let Some(count) = self.counters.writes_by_prefix.get_mut(prefix) {
            *count += 1;
            return;
        }
        let prefix = prefix.to_owned();
        self.counters.writes_by_prefix.insert(prefix, 1);
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
        self.log_change(Change::Deleted { key, revision });
    }

    // Invariant: the log holds exactly the changes `compacted_through + 1 ..= revision`.
    fn log_change(&mut self, change: Change) {
        self.log.push_back(change);
        while self.log.len() > self.log_limit {
            self.log.pop_front();
            self.compacted_through += 1;
        }
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

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(entry) => &entry.key,
        Change::Deleted { key, .. } => key,
    }
}
