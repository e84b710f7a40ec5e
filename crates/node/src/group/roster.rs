//! The workers on which an owner of the group may have started tasks.
//!
//! The platform's list omits workers that have failed or that it cannot reach, but their tasks
//! may still run, or may have completed without a report. An owner therefore adds a worker to
//! the roster, one value in the store for each group, before it starts anything there, and
//! removes it when nothing of it is open any more. The next owner syncs with every worker of
//! the roster, after it has written the roster under its own epoch: from then on an earlier
//! owner can add no worker to it, because its write is conditional.

use std::sync::Arc;
use std::time;

use bytes::Bytes;
use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use platform::store;
use platform::workers;
use serde::{Deserialize, Serialize};

use super::{GroupOwner, state};

/// Delay before the roster is read again after a failure.
const ROSTER_RETRY_DELAY_MS: u64 = 250;
/// Timeout of one read or write of the roster.
const ROSTER_TIMEOUT_MS: u64 = 2_000;

/// The roster as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct RosterValue {
    /// Epoch of the owner that wrote the value.
    epoch: ids::Epoch,
    workers: Vec<workers::WorkerInfo>,
}

/// The owner's copy of the roster.
#[derive(Debug, Default)]
pub(super) struct Roster {
    /// Condition for the next write; `None` if the roster has to be read first.
    write_condition: Option<Condition>,
    workers: IndexMap<ids::WorkerId, workers::WorkerInfo>,
    /// Whether the stored roster was written under this owner's epoch.
    sealed: bool,
    in_flight: bool,
    due_at_ms: u64,
}

/// Precondition of a write of the roster.
type Condition = store::Condition;

impl Roster {
    /// Whether the copy contains every worker on which an earlier owner may have started tasks.
    pub const fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Whether the roster contains a worker.
    pub fn contains(&self, worker: &ids::WorkerId) -> bool {
        self.workers.contains_key(worker)
    }
}

/// Result of reading or writing the roster.
enum RosterResult {
    /// The stored roster and the condition for the next write.
    Read(RosterValue, Condition),
    /// The roster was written, with the given revision.
    Written(RosterValue, store::Revision),
}

impl GroupOwner {
    /// Reads the roster if necessary, and writes it when its set of workers changes.
    pub(super) fn sync_roster(self: &Arc<Self>, state: &mut state::GroupState, now_ms: u64) {
        if state.roster.in_flight || now_ms < state.roster.due_at_ms {
            return;
        }
        let write = match state.roster.write_condition {
            None => None,
            Some(condition) => {
                let Some(value) = self.updated_roster(state) else {
                    return;
                };
                Some((value, condition))
            }
        };
        state.roster.in_flight = true;
        let owner = Arc::clone(self);
        tokio::spawn(async move {
            let limit = time::Duration::from_millis(ROSTER_TIMEOUT_MS);
            let result = tokio::time::timeout(limit, owner.exchange_roster(write)).await;
            let now_ms = owner.shared.now_ms();
            let mut state = owner.state();
            state.roster.in_flight = false;
            match result {
                Ok(Ok(result)) => owner.apply_roster(&mut state, result, now_ms),
                Ok(Err(error)) => {
                    log::debug!("cannot read or write the roster of {}: {error}", owner.id);
                    state.roster.due_at_ms = now_ms + ROSTER_RETRY_DELAY_MS;
                    // The write may have taken effect, so the roster is read again.
                    state.roster.write_condition = None;
                }
                Err(_) => {
                    state.roster.due_at_ms = now_ms + ROSTER_RETRY_DELAY_MS;
                    state.roster.write_condition = None;
                }
            }
            drop(state);
            owner.wake.notify_one();
        });
    }

    /// The roster that should be stored; `None` if it is stored under this owner's epoch.
    fn updated_roster(&self, state: &state::GroupState) -> Option<RosterValue> {
        let mut workers = state.roster.workers.clone();
        if state.recovered {
            workers.retain(|id, _| state.links.contains_key(id) || state.listed.contains_key(id));
        }
        for (id, info) in &state.listed {
            workers.entry(id.clone()).or_insert_with(|| info.clone());
        }
        let is_unchanged = workers.len() == state.roster.workers.len()
            && workers.keys().all(|id| state.roster.contains(id));
        if is_unchanged && state.roster.sealed {
            return None;
        }
        Some(RosterValue {
            epoch: self.epoch,
            workers: workers.into_values().collect(),
        })
    }

    async fn exchange_roster(
        &self,
        write: Option<(RosterValue, Condition)>,
    ) -> errors::Result<RosterResult> {
        let store = &self.shared.platform.store;
        let key = roster_key(&self.id);
        let Some((value, condition)) = write else {
            let entry = store.get(&key).await?;
            let Some(entry) = entry else {
                return Ok(RosterResult::Read(
                    RosterValue::default(),
                    Condition::Absent,
                ));
            };
            let value = decode(&entry.value)?;
            return Ok(RosterResult::Read(
                value,
                Condition::Unchanged(entry.revision),
            ));
        };
        let encoded = serde_json::to_vec(&value).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::Internal,
                "cannot encode the roster",
                source,
            )
        })?;
        let revision = store
            .put(&key, Bytes::from(encoded), condition, None)
            .await?;
        Ok(RosterResult::Written(value, revision))
    }

    fn apply_roster(&self, state: &mut state::GroupState, result: RosterResult, now_ms: u64) {
        let (value, condition) = match result {
            RosterResult::Read(value, condition) => (value, condition),
            RosterResult::Written(value, revision) => (value, Condition::Unchanged(revision)),
        };
        if value.epoch > self.epoch {
            kernel::log_event!(
                crate::events::OWNER_FENCED,
                "{} under epoch {}: the roster was written under epoch {}",
                self.id,
                self.epoch,
                value.epoch
            );
            self.stopped.cancel();
            return;
        }
        state.roster.write_condition = Some(condition);
        state.roster.sealed = value.epoch == self.epoch;
        state.roster.workers = value
            .workers
            .into_iter()
            .map(|info| (info.id.clone(), info))
            .collect();
        let infos: Vec<workers::WorkerInfo> = state.roster.workers.values().cloned().collect();
        for info in infos {
            if !state.links.contains_key(&info.id) {
                let info = state.listed.get(&info.id).cloned().unwrap_or(info);
                self.add_or_update_worker(state, info, now_ms);
            }
        }
    }
}

fn roster_key(group: &ids::GroupId) -> String {
    format!("roster/{}/{}", group.zone, group.index)
}

fn decode(value: &[u8]) -> errors::Result<RosterValue> {
    serde_json::from_slice(value).map_err(|source| {
        errors::Error::with_source(
            errors::ErrorKind::Internal,
            "cannot decode the roster",
            source,
        )
    })
}
