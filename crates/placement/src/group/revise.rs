//! Replacement of replicas that were started under an older revision of their service.
//!
//! A few replicas of a service are replaced at a time, each by its twin and so
//! without a gap. The revision of a run is in its start order, so that an owner
//! that takes the group over goes on where the earlier one was.

use kernel::work;

use super::Group;

/// Replicas of one service that a group replaces at a time.
const REPLACED_AT_ONCE: usize = 2;

impl Group {
    /// Remembers that replicas of a service may have to be replaced.
    pub(super) fn note_outdated(&mut self, work: u32) {
        let is_service = self.works[work].work.kind == work::WorkKind::Service;
        if is_service && self.members_outdated(work).next().is_some() {
            self.outdated.insert(work);
        }
    }

    /// Begins to replace outdated replicas, as far as few enough are being replaced.
    pub(super) fn replace_outdated(&mut self, now_ms: u64) {
        for work in self.outdated.iter().copied().collect::<Vec<u32>>() {
            let is_wanted = self.works.get(work).is_some() && !self.is_cancelled(work);
            let outdated: Vec<u32> = if is_wanted {
                self.members_outdated(work).collect()
            } else {
                Vec::new()
            };
            if outdated.is_empty() {
                self.outdated.swap_remove(&work);
                continue;
            }
            let waiting = outdated.iter().filter(|&&slot| !self.tasks[slot].replaced);
            let waiting: Vec<u32> = waiting.copied().collect();
            let replaced = outdated.len() - waiting.len();
            let room = REPLACED_AT_ONCE.saturating_sub(replaced);
            for slot in waiting.into_iter().take(room) {
                self.replace(slot, now_ms);
            }
        }
    }

    /// Placed replicas of an older revision, those that are being replaced included.
    fn members_outdated(&self, work: u32) -> impl Iterator<Item = u32> {
        let entry = &self.works[work];
        let is_known = !entry.provisional;
        entry.members.iter().copied().filter(move |&slot| {
            let task = &self.tasks[slot];
            is_known
                && task.life.placement().is_some()
                && task.revision < entry.work.revision
                && (task.replaced || !self.is_over(slot) && !task.life.is_stopping())
        })
    }
}
