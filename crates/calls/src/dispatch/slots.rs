//! Exact counts of the open calls of every instance.
//!
//! Instances with a free slot stand in buckets by their number of open calls, so
//! the least loaded one is found in a number of steps that depends on the slots
//! of an instance and not on the number of instances.

use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;
use kernel::ids;
use kernel::random;
use rand::RngExt;

use crate::leaving;

/// Position of an instance in its table; stable while the instance has open calls.
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
    /// Position within the bucket of `open`, if the instance can take a call.
    bucket_position: Option<usize>,
    /// What the instance adds to the table's sum of usable slots.
    usable_slots: u32,
}

impl Instance {
    /// The most calls that may be open; each open call uses one connection.
    fn limit(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

/// The instances of one service in one group, with their open calls.
#[derive(Debug, Default)]
pub(super) struct SlotTable {
    entries: Vec<Option<Instance>>,
    vacant: Vec<usize>,
    by_run: IndexMap<ids::TaskAttempt, usize>,
    departures: leaving::LeavingSet,
    buckets: Vec<Vec<usize>>,
    blocked: BTreeSet<(u64, usize)>,
    usable_slots: u64,
    open: u64,
}

impl SlotTable {
    /// Adds an instance or changes its address and limits; open calls stay counted.
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
        self.refresh(index);
    }

    /// Marks an instance as leaving, for good, also if it is not known yet.
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
        self.refresh(index);
        new
    }

    /// Forgets an instance as soon as its open calls have ended.
    pub(super) fn remove(&mut self, run: &ids::TaskAttempt) {
        let Some(index) = self.by_run.get(run).copied() else {
            return;
        };
        if let Some(entry) = self.entries[index].as_mut() {
            entry.removed = true;
        }
        self.refresh(index);
        self.forget_if_idle(index);
    }

    /// Counts an instance as full until a time; a block is never shortened.
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
        self.refresh(index);
    }

    /// Ends the blocks whose time has come.
    pub(super) fn unblock(&mut self, now_ms: u64) {
        while let Some(&(until_ms, index)) = self.blocked.first() {
            if until_ms > now_ms {
                return;
            }
            self.blocked.pop_first();
            if let Some(entry) = self.entries[index].as_mut() {
                entry.blocked_until_ms = 0;
            }
            self.refresh(index);
            self.forget_if_idle(index);
        }
    }

    /// Takes a slot on one of the instances with the fewest open calls.
    pub(super) fn acquire(&mut self, random: &mut random::Random) -> Option<InstanceIndex> {
        let bucket = self.buckets.iter().find(|bucket| !bucket.is_empty())?;
        let index = bucket[random.random_range(0..bucket.len())];
        // Leave the bucket of the old count before the count changes.
        self.leave_bucket(index);
        if let Some(entry) = self.entries[index].as_mut() {
            entry.open += 1;
        }
        self.open += 1;
        self.refresh(index);
        Some(InstanceIndex(index))
    }

    /// Gives back a slot that [`Self::acquire`] took.
    pub(super) fn release(&mut self, index: InstanceIndex) {
        let index = index.0;
        self.leave_bucket(index);
        if let Some(entry) = self.entries[index].as_mut() {
            entry.open -= 1;
        }
        self.open -= 1;
        self.refresh(index);
        self.forget_if_idle(index);
    }

    /// The run and address of an instance with an open call.
    pub(super) fn target(&self, index: InstanceIndex) -> Option<(ids::TaskAttempt, Arc<str>)> {
        let entry = self.entries.get(index.0)?.as_ref()?;
        Some((entry.run.clone(), Arc::clone(&entry.address)))
    }

    /// Whether some instance can take a call.
    pub(super) fn has_free(&self) -> bool {
        self.buckets.iter().any(|bucket| !bucket.is_empty())
    }

    /// Slots of all instances that take calls.
    pub(super) fn usable_slots(&self) -> u64 {
        self.usable_slots
    }

    /// Whether no instance takes calls now or after the end of a block.
    pub(super) fn is_exhausted(&self) -> bool {
        self.usable_slots == 0 && self.blocked.is_empty()
    }

    /// Slots that can be taken now.
    pub(super) fn free_slots(&self) -> u64 {
        let free = |(open, bucket): (usize, &Vec<usize>)| -> u64 {
            let room = |index: &usize| self.entries[*index].as_ref().map_or(0, Instance::limit);
            bucket
                .iter()
                .map(|index| u64::from(room(index)).saturating_sub(open as u64))
                .sum()
        };
        self.buckets.iter().enumerate().map(free).sum()
    }

    /// Number of instances that take calls.
    pub(super) fn usable_instances(&self) -> usize {
        let entries = self.entries.iter().flatten();
        entries.filter(|entry| entry.usable_slots > 0).count()
    }

    /// Calls open on all instances.
    pub(super) fn open(&self) -> u64 {
        self.open
    }

    /// Calls open on one instance.
    pub(super) fn open_on(&self, run: &ids::TaskAttempt) -> u32 {
        let index = self.by_run.get(run).copied();
        let entry = index.and_then(|index| self.entries[index].as_ref());
        entry.map_or(0, |entry| entry.open)
    }

    fn index_or_insert(&mut self, run: &ids::TaskAttempt) -> usize {
        if let Some(index) = self.by_run.get(run) {
            return *index;
        }
        // Without slots, it takes no calls until its limits are set.
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
        let index = self.vacant.pop().unwrap_or(self.entries.len());
        if index == self.entries.len() {
            self.entries.push(Some(entry));
        } else {
            self.entries[index] = Some(entry);
        }
        self.by_run.insert(run.clone(), index);
        index
    }

    /// Puts an instance into the bucket that its state asks for.
    fn refresh(&mut self, index: usize) {
        self.leave_bucket(index);
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

    fn leave_bucket(&mut self, index: usize) {
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

    /// A block outlives the instance, so that a removal and return does not shorten it.
    fn forget_if_idle(&mut self, index: usize) {
        let Some(entry) = self.entries[index].as_ref() else {
            return;
        };
        if !entry.removed || entry.open > 0 || entry.blocked_until_ms > 0 {
            return;
        }
        self.by_run.swap_remove(&entry.run);
        self.entries[index] = None;
        self.vacant.push(index);
    }
}
