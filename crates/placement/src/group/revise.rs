//! Rolling replacement of replicas that were started under an older revision of their
//! service.
//!
//! A few replicas of a service are replaced at a time, each without a gap in capacity.
//! The start order of a run carries its revision, so a new owner of the group continues
//! where the previous one stopped.

use kernel::work;

use super::Group;

/// Replicas of one service that a group replaces at a time.
const MAX_CONCURRENT_REPLACEMENTS: usize = 2;

impl Group {
    /// Records that a service has replicas of an older revision.
    pub(super) fn record_outdated(&mut self, work: u32) {
        let is_service = self.works[work].work.kind == work::WorkKind::Service;
        if is_service && self.outdated_members(work).next().is_some() {
            self.outdated_services.insert(work);
        }
    }

    /// Begins to replace outdated replicas, up to [`MAX_CONCURRENT_REPLACEMENTS`] per service.
    pub(super) fn replace_outdated(&mut self, now_ms: u64) {
        for work in self.outdated_services.iter().copied().collect::<Vec<u32>>() {
            let is_wanted = self.works.get(work).is_some() && !self.is_cancelled(work);
            let outdated: Vec<u32> = if is_wanted {
                self.outdated_members(work).collect()
            } else {
                Vec::new()
            };
            if outdated.is_empty() {
                self.outdated_services.swap_remove(&work);
                continue;
            }
            let waiting = outdated.iter().filter(|&&slot| !self.tasks[slot].replaced);
            let waiting: Vec<u32> = waiting.copied().collect();
            let replaced = outdated.len() - waiting.len();
            let available = MAX_CONCURRENT_REPLACEMENTS.saturating_sub(replaced);
            for slot in waiting.into_iter().take(available) {
                self.replace(slot, now_ms);
            }
        }
    }

    /// Returns the placed replicas of an older revision, including those that are being replaced.
    fn outdated_members(&self, work: u32) -> impl Iterator<Item = u32> {
        let entry = &self.works[work];
        let is_defined = !entry.provisional;
        entry.members.iter().copied().filter(move |&slot| {
            let task = &self.tasks[slot];
            is_defined
                && task.run_state.placement().is_some()
                && task.revision < entry.work.revision
                && (task.replaced || !self.is_finished(slot) && !task.run_state.is_stopping())
        })
    }
}
