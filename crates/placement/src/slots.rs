//! Slab storage with `u32` keys, so that hot paths compare integers instead of identifiers.

use std::ops;

/// Entries with `u32` keys. Keys of removed entries are reused.
#[derive(Debug)]
pub struct Slots<T> {
    entries: Vec<Option<T>>,
    vacant: Vec<u32>,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            vacant: Vec::new(),
        }
    }
}

impl<T> Slots<T> {
    /// Stores an entry and returns its key.
    pub fn insert(&mut self, entry: T) -> u32 {
        if let Some(slot) = self.vacant.pop() {
            self.entries[slot as usize] = Some(entry);
            return slot;
        }
        self.entries.push(Some(entry));
        (self.entries.len() - 1) as u32
    }

    /// Removes an entry. The caller must not keep a copy of its key, since keys are reused.
    pub fn remove(&mut self, slot: u32) -> Option<T> {
        let entry = self.entries.get_mut(slot as usize)?.take();
        if entry.is_some() {
            self.vacant.push(slot);
        }
        entry
    }

    /// Returns the entry of a key, or `None` if the key is vacant.
    pub fn get(&self, slot: u32) -> Option<&T> {
        self.entries.get(slot as usize)?.as_ref()
    }

    /// Returns all entries with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(slot, entry)| entry.as_ref().map(|entry| (slot as u32, entry)))
    }
}

impl<T> ops::Index<u32> for Slots<T> {
    type Output = T;

    fn index(&self, slot: u32) -> &T {
        self.entries[slot as usize]
            .as_ref()
            .expect("a slot in use is never vacant")
    }
}

impl<T> ops::IndexMut<u32> for Slots<T> {
    fn index_mut(&mut self, slot: u32) -> &mut T {
        self.entries[slot as usize]
            .as_mut()
            .expect("a slot in use is never vacant")
    }
}
