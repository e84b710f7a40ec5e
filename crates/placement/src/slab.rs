//! Slab storage with `u32` keys, so that hot paths compare integers instead of identifiers.

use std::ops;

/// Entries with `u32` keys. Keys of removed entries are reused.
#[derive(Debug)]
pub struct Slab<T> {
    entries: Vec<Option<T>>,
    vacant: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            vacant: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Stores an entry and returns its key.
    pub fn insert(&mut self, entry: T) -> u32 {
        if let Some(key) = self.vacant.pop() {
            self.entries[key as usize] = Some(entry);
            return key;
        }
        self.entries.push(Some(entry));
        (self.entries.len() - 1) as u32
    }

    /// Removes an entry. The caller must not keep a copy of its key, since keys are reused.
    pub fn remove(&mut self, key: u32) -> Option<T> {
        let entry = self.entries.get_mut(key as usize)?.take();
        if entry.is_some() {
            self.vacant.push(key);
        }
        entry
    }

    /// Returns the entry of a key, or `None` if the key is vacant.
    pub fn get(&self, key: u32) -> Option<&T> {
        self.entries.get(key as usize)?.as_ref()
    }

    /// Returns all entries with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(key, entry)| entry.as_ref().map(|entry| (key as u32, entry)))
    }
}

impl<T> ops::Index<u32> for Slab<T> {
    type Output = T;

    fn index(&self, key: u32) -> &T {
        self.entries[key as usize]
            .as_ref()
            .expect("keys refer to occupied entries")
    }
}

impl<T> ops::IndexMut<u32> for Slab<T> {
    fn index_mut(&mut self, key: u32) -> &mut T {
        self.entries[key as usize]
            .as_mut()
            .expect("keys refer to occupied entries")
    }
}
