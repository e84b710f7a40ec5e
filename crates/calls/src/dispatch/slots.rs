//! Open call counts and limits of all instances.
//!
//! Instances with a free slot are kept in buckets by their number of open calls, so the
//! cost of finding the least loaded one depends on the slots per instance and not on the
//! number of instances.

use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;
use kernel::ids;
use kernel::random;
use rand::RngExt;

use crate::leaving;

/// Index of an instance in its table; stable while the instance has open calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct InstanceIndex(usize);

#[derive(Debug)]
struct Instance {
    run: ids::TaskAttempt,
    address: Arc<str>,
    slots: u32,
    connections: u32,
    open: u32,
    leaving: bool,
    removed: bool,
    blocked_until_ms: u64,
    /// Position within bucket `open`; `None` if the instance has no free slot.
    bucket_position: Option<usize>,
    /// The instance's part of the table's total of usable slots.
    usable_slots: u32,
}

impl Instance {
    /// Maximum number of open calls. Each open call uses one connection.
    fn limit(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

/// The instances of one service in one group.
#[derive(Debug, Default)]
pub(super) struct SlotTable {
    entries: Vec<Option<Instance>>,
    free_indices: Vec<usize>,
    by_run: IndexMap<ids::TaskAttempt, usize>,
    departures: leaving::LeavingSet,
    buckets: Vec<Vec<usize>>,
    blocked: BTreeSet<(u64, usize)>,
    usable_slots: u64,
    open: u64,
}

impl SlotTable {
    /// Adds an instance or updates its address and limits; open calls remain counted.
    pub(super) fn set(
        &mut self,
        run: &ids::TaskAttempt,
        address: &str,
        slots: u32,
        connections: u32,
    ) {
        let index = self.index_or_insert(run);
        let leaving = self.departures.contains(run);
        if let Some(entry) = self.entries[index].as_mut() {
            if &*entry.address != address {
                entry.address = Arc::from(address);
            }
            entry.slots = slots;
            entry.connections = connections;
            entry.leaving = leaving;
            entry.removed = false;
        }
        self.update_bucket(index);
    }

    /// Marks an instance as leaving, permanently. It need not be in the table yet.
    ///
    /// Returns false if it was already marked.
    pub(super) fn set_leaving(
        &mut self,
        run: &ids::TaskAttempt,
        source: leaving::LeavingSource,
    ) -> bool {
        let new = self.departures.insert(run, source);
        let Some(index) = self.by_run.get(run).copied() else {
            return new;
        };
        if let Some(entry) = self.entries[index].as_mut() {
            entry.leaving = true;
        }
        self.update_bucket(index);
        new
    }

    /// Removes an instance; its entry is kept until its open calls and its block have ended.
    pub(super) fn remove(&mut self, run: &ids::TaskAttempt) {
        let Some(index) = self.by_run.get(run).copied() else {
            return;
        };
        if let Some(entry) = self.entries[index].as_mut() {
            entry.removed = true;
        }
        self.update_bucket(index);
        self.delete_if_idle(index);
    }

    /// Blocks an instance until a time. An existing block is never shortened.
    pub(super) fn block_until(&mut self, run: &ids::TaskAttempt, until_ms: u64) {
        let index = self.index_or_insert(run);
        let Some(entry) = self.entries[index].as_mut() else {
            return;
        };
        if until_ms <= entry.blocked_until_ms {
            return;
        }
        self.blocked.remove(&(entry.blocked_until_ms, index));
        entry.blocked_until_ms = until_ms;
        self.blocked.insert((until_ms, index));
        self.update_bucket(index);
    }

    /// Ends the blocks that have expired.
    pub(super) fn unblock(&mut self, now_ms: u64) {
        while let Some(&(until_ms, index)) = self.blocked.first() {
            if until_ms > now_ms {
                return;
            }
            self.blocked.pop_first();
            if let Some(entry) = self.entries[index].as_mut() {
                entry.blocked_until_ms = 0;
            }
            self.update_bucket(index);
            self.delete_if_idle(index);
        }
    }

    /// Allocates a slot on a random one of the instances with the fewest open calls.
    pub(super) fn acquire(&mut self, random: &mut random::Random) -> Option<InstanceIndex> {
        let bucket = self.buckets.iter().find(|bucket| !bucket.is_empty())?;
        let index = bucket[random.random_range(0..bucket.len())];
        // The bucket is looked up by the open count, so detach before changing the count.
        self.detach_from_bucket(index);
        if let Some(entry) = self.entries[index].as_mut() {
            entry.open += 1;
        }
        self.open += 1;
        self.update_bucket(index);
        Some(InstanceIndex(index))
    }

    /// Frees a slot allocated by [`Self::acquire`].
    pub(super) fn release(&mut self, index: InstanceIndex) {
        let index = index.0;
        self.detach_from_bucket(index);
        if let Some(entry) = self.entries[index].as_mut() {
            entry.open -= 1;
        }
        self.open -= 1;
        self.update_bucket(index);
        self.delete_if_idle(index);
    }

    /// The run and address of an instance.
    pub(super) fn endpoint(&self, index: InstanceIndex) -> Option<(ids::TaskAttempt, Arc<str>)> {
        let entry = self.entries.get(index.0)?.as_ref()?;
        Some((entry.run.clone(), Arc::clone(&entry.address)))
    }

    /// Whether any instance has a free slot.
    pub(super) fn has_free(&self) -> bool {
        self.buckets.iter().any(|bucket| !bucket.is_empty())
    }

    /// Number of slots of all instances that accept calls, free or in use.
    pub(super) fn usable_slots(&self) -> u64 {
        self.usable_slots
    }

    /// Whether no instance accepts calls now and none is blocked.
    pub(super) fn is_unavailable(&self) -> bool {
        self.usable_slots == 0 && self.blocked.is_empty()
    }

    /// Number of slots that can be allocated now.
    pub(super) fn free_slots(&self) -> u64 {
        let free = |(open, bucket): (usize, &Vec<usize>)| -> u64 {
            let limit = |index: &usize| self.entries[*index].as_ref().map_or(0, Instance::limit);
            bucket
                .iter()
                .map(|index| u64::from(limit(index)).saturating_sub(open as u64))
                .sum()
        };
        self.buckets.iter().enumerate().map(free).sum()
    }

    /// Number of instances that accept calls.
    pub(super) fn usable_instances(&self) -> usize {
        let entries = self.entries.iter().flatten();
        entries.filter(|entry| entry.usable_slots > 0).count()
    }

    /// Number of open calls on all instances.
    pub(super) fn open_calls(&self) -> u64 {
        self.open
    }

    /// Number of open calls on one instance.
    pub(super) fn open_calls_on(&self, run: &ids::TaskAttempt) -> u32 {
        let index = self.by_run.get(run).copied();
        let entry = index.and_then(|index| self.entries[index].as_ref());
        entry.map_or(0, |entry| entry.open)
    }

    fn index_or_insert(&mut self, run: &ids::TaskAttempt) -> usize {
        if let Some(index) = self.by_run.get(run) {
            return *index;
        }
        // Accepts no calls until its limits are set.
        let entry = Instance {
            run: run.clone(),
            address: Arc::from(""),
            slots: 0,
            connections: 0,
            open: 0,
            leaving: false,
            removed: false,
            blocked_until_ms: 0,
            bucket_position: None,
            usable_slots: 0,
        };
        let index = self.free_indices.pop().unwrap_or(self.entries.len());
        if index == self.entries.len() {
            self.entries.push(Some(entry));
        } else {
            self.entries[index] = Some(entry);
        }
        self.by_run.insert(run.clone(), index);
        index
    }

    /// Recomputes the usable slots of an instance and moves it to the matching bucket.
    fn update_bucket(&mut self, index: usize) {
        self.detach_from_bucket(index);
        let Some(entry) = self.entries[index].as_mut() else {
            return;
        };
        let usable = !entry.leaving && !entry.removed && entry.blocked_until_ms == 0;
        let usable_slots = if usable { entry.limit() } else { 0 };
        self.usable_slots -= u64::from(entry.usable_slots);
        self.usable_slots += u64::from(usable_slots);
        entry.usable_slots = usable_slots;
        if entry.open >= usable_slots {
            return;
        }
        let bucket = entry.open as usize;
        if self.buckets.len() <= bucket {
            self.buckets.resize_with(bucket + 1, Vec::new);
        }
        entry.bucket_position = Some(self.buckets[bucket].len());
        self.buckets[bucket].push(index);
    }

    fn detach_from_bucket(&mut self, index: usize) {
        let Some(entry) = self.entries[index].as_mut() else {
            return;
        };
        let Some(position) = entry.bucket_position.take() else {
            return;
        };
        let bucket = &mut self.buckets[entry.open as usize];
        bucket.swap_remove(position);
        let moved = bucket.get(position).copied();
        if let Some(moved) = moved.and_then(|moved| self.entries[moved].as_mut()) {
            moved.bucket_position = Some(position);
        }
    }

    /// Deletes the entry of a removed instance that has no open calls and no block.
    ///
    /// The entry is kept while a block lasts, so that removing and adding an instance does
    /// not shorten its block.
    fn delete_if_idle(&mut self, index: usize) {
        let Some(entry) = self.entries[index].as_ref() else {
            return;
        };
        if !entry.removed || entry.open > 0 || entry.blocked_until_ms > 0 {
            return;
        }
        self.by_run.swap_remove(&entry.run);
        self.entries[index] = None;
        self.free_indices.push(index);
    }
}
