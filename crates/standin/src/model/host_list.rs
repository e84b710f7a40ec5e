//! The platform's list of workers, which shows what was true a while ago.

use indexmap::IndexMap;
use kernel::ids;
use platform::workers::{WorkerInfo, WorkerState};

#[derive(Clone, Debug)]
struct Change {
    shown_from_ms: u64,
    /// `None` if the worker is gone.
    state: Option<WorkerState>,
}

#[derive(Clone, Debug)]
struct Line {
    info: WorkerInfo,
    // Oldest first; all but the last have been or will be shown before it.
    changes: Vec<Change>,
}

/// The list with its lag.
#[derive(Debug)]
pub(super) struct HostList {
    lag_ms: u64,
    lines: IndexMap<ids::WorkerId, Line>,
}

impl HostList {
    pub(super) fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            lines: IndexMap::new(),
        }
    }

    /// Changes the lag of the changes to come.
    pub(super) fn set_lag_ms(&mut self, lag_ms: u64) {
        self.lag_ms = lag_ms;
    }

    /// Adds a worker that the list shows from a time on.
    pub(super) fn add(&mut self, info: WorkerInfo, shown_from_ms: u64) {
        let change = Change {
            shown_from_ms,
            state: Some(info.state),
        };
        let id = info.id.clone();
        let changes = vec![change];
        self.lines.insert(id, Line { info, changes });
    }

    /// Adds a worker that appears now and is listed after the lag.
    pub(super) fn add_later(&mut self, info: WorkerInfo, now_ms: u64) {
        self.add(info, now_ms + self.lag_ms);
    }

    /// Records a worker's new state, or its loss, which is listed after the lag.
    pub(super) fn change(&mut self, id: &ids::WorkerId, state: Option<WorkerState>, now_ms: u64) {
        let shown_from_ms = now_ms + self.lag_ms;
        let Some(line) = self.lines.get_mut(id) else {
            return;
        };
        line.changes.push(Change {
            shown_from_ms,
            state,
        });
    }

    /// Where a worker stands, whether or not the list shows it.
    pub(super) fn info(&self, id: &ids::WorkerId) -> Option<&WorkerInfo> {
        self.lines.get(id).map(|line| &line.info)
    }

    /// The lines of a zone as they are shown now.
    pub(super) fn show(&self, zone: &ids::ZoneId, now_ms: u64) -> Vec<WorkerInfo> {
        let lines = self.lines.values().filter(|line| line.info.zone == *zone);
        lines.filter_map(|line| shown(line, now_ms)).collect()
    }
}

fn shown(line: &Line, now_ms: u64) -> Option<WorkerInfo> {
    let mut visible = line.changes.iter().rev();
    let change = visible.find(|change| change.shown_from_ms <= now_ms)?;
    let state = change.state?;
    Some(WorkerInfo {
        state,
        ..line.info.clone()
    })
}
