//! The platform's worker list, in which changes become visible after a delay.

use indexmap::IndexMap;
use kernel::ids;
use platform::workers::{WorkerInfo, WorkerState};

#[derive(Clone, Debug)]
struct Change {
    visible_from_ms: u64,
    /// `None` if the worker was lost.
    state: Option<WorkerState>,
}

#[derive(Clone, Debug)]
struct ListEntry {
    info: WorkerInfo,
    // In the order they were made; the last visible one determines the listed state.
    changes: Vec<Change>,
}

/// The worker list with the lag of its updates.
#[derive(Debug)]
pub(super) struct HostList {
    lag_ms: u64,
    entries: IndexMap<ids::WorkerId, ListEntry>,
}

impl HostList {
    pub(super) fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            entries: IndexMap::new(),
        }
    }

    /// Sets the lag of future changes.
    pub(super) fn set_lag_ms(&mut self, lag_ms: u64) {
        self.lag_ms = lag_ms;
    }

    /// Adds a worker that is listed from a given time on.
    pub(super) fn add(&mut self, info: WorkerInfo, visible_from_ms: u64) {
        let change = Change {
            visible_from_ms,
            state: Some(info.state),
        };
        let id = info.id.clone();
        let changes = vec![change];
        self.entries.insert(id, ListEntry { info, changes });
    }

    /// Adds a worker that joined at `now_ms` and is listed after the lag.
    pub(super) fn add_after_lag(&mut self, info: WorkerInfo, now_ms: u64) {
        self.add(info, now_ms + self.lag_ms);
    }

    /// Records a worker's new state, or its loss, which is listed after the lag.
    pub(super) fn change(&mut self, id: &ids::WorkerId, state: Option<WorkerState>, now_ms: u64) {
        let visible_from_ms = now_ms + self.lag_ms;
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.changes.push(Change {
            visible_from_ms,
            state,
        });
    }

    /// A worker's registration data, whether or not it is currently listed.
    pub(super) fn info(&self, id: &ids::WorkerId) -> Option<&WorkerInfo> {
        self.entries.get(id).map(|entry| &entry.info)
    }

    /// The entries of a zone visible at `now_ms`.
    pub(super) fn visible_in(&self, zone: &ids::ZoneId, now_ms: u64) -> Vec<WorkerInfo> {
        let entries = self
            .entries
            .values()
            .filter(|entry| entry.info.zone == *zone);
        entries
            .filter_map(|entry| visible_info(entry, now_ms))
            .collect()
    }
}

fn visible_info(entry: &ListEntry, now_ms: u64) -> Option<WorkerInfo> {
    let mut newest_first = entry.changes.iter().rev();
    let change = newest_first.find(|change| change.visible_from_ms <= now_ms)?;
    let state = change.state?;
    Some(WorkerInfo {
        state,
        ..entry.info.clone()
    })
}
