//! The workers on which the group's owners may have started something.
//!
//! The platform's list forgets a worker that has died or that it cannot see,
//! but its tasks may still run, or may have completed unheard. So an owner
//! writes a worker into the roster, one value in the store for each group,
//! before it starts anything there, and takes it out when nothing of it is
//! open any more. The next owner asks every worker of the roster.

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

const RETRY_MS: u64 = 250;
const TIMEOUT_MS: u64 = 2_000;

/// The roster as it stands in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct RosterValue {
    /// Epoch of the owner that wrote it.
    epoch: ids::Epoch,
    workers: Vec<workers::WorkerInfo>,
}

/// What the owner knows about the roster.
#[derive(Debug, Default)]
pub(super) struct Roster {
    /// The value's last change; `None` until the roster was read.
    read: Option<Condition>,
    workers: IndexMap<ids::WorkerId, workers::WorkerInfo>,
    in_flight: bool,
    due_at_ms: u64,
}

/// The condition under which the roster may be written next.
type Condition = store::Condition;

impl Roster {
    /// Whether the roster was read.
    pub const fn is_known(&self) -> bool {
        self.read.is_some()
    }

    /// Whether a worker stands in the roster.
    pub fn has(&self, worker: &ids::WorkerId) -> bool {
        self.workers.contains_key(worker)
    }
}

/// What an exchange with the store about the roster brought.
enum Exchanged {
    /// The roster as it is now, with the condition for the next write.
    Read(RosterValue, Condition),
    /// The roster was written.
    Written(RosterValue, store::Revision),
}

impl GroupOwner {
    /// Reads the roster first, and writes it when workers come or go.
    pub(super) fn tend_roster(self: &Arc<Self>, state: &mut state::GroupState, now_ms: u64) {
        if state.roster.in_flight || now_ms < state.roster.due_at_ms {
            return;
        }
        let write = match state.roster.read {
            None => None,
            Some(condition) => {
                let Some(value) = self.wanted(state) else {
                    return;
                };
                Some((value, condition))
            }
        };
        state.roster.in_flight = true;
        let owner = Arc::clone(self);
        tokio::spawn(async move {
            let limit = time::Duration::from_millis(TIMEOUT_MS);
            let result = tokio::time::timeout(limit, owner.exchange_roster(write)).await;
            let now_ms = owner.shared.now_ms();
            let mut state = owner.state();
            state.roster.in_flight = false;
            match result {
                Ok(Ok(exchanged)) => owner.apply_roster(&mut state, exchanged, now_ms),
                Ok(Err(error)) => {
                    log::debug!("roster of {}: {error}", owner.id);
                    state.roster.due_at_ms = now_ms + RETRY_MS;
                    // Whether a write took effect is seen by reading.
                    state.roster.read = None;
                }
                Err(_) => {
                    state.roster.due_at_ms = now_ms + RETRY_MS;
                    state.roster.read = None;
                }
            }
            drop(state);
            owner.wake.notify_one();
        });
    }

    /// The roster that should be written, if it differs from the one in the store.
    fn wanted(&self, state: &state::GroupState) -> Option<RosterValue> {
        let mut workers = state.roster.workers.clone();
        if state.recovered {
            workers.retain(|id, _| state.links.contains_key(id) || state.listed.contains_key(id));
        }
        for (id, info) in &state.listed {
            workers.entry(id.clone()).or_insert_with(|| info.clone());
        }
        let same = workers.len() == state.roster.workers.len()
            && workers.keys().all(|id| state.roster.has(id));
        if same {
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
    ) -> errors::Result<Exchanged> {
        let store = &self.shared.platform.store;
        let key = roster_key(&self.id);
        let Some((value, condition)) = write else {
            let entry = store.get(&key).await?;
            let Some(entry) = entry else {
                return Ok(Exchanged::Read(RosterValue::default(), Condition::Absent));
            };
            let value = decode(&entry.value)?;
            return Ok(Exchanged::Read(value, Condition::Unchanged(entry.revision)));
        };
        let encoded = serde_json::to_vec(&value).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::Internal,
                "the roster does not encode",
                source,
            )
        })?;
        let revision = store
            .put(&key, Bytes::from(encoded), condition, None)
            .await?;
        Ok(Exchanged::Written(value, revision))
    }

    fn apply_roster(&self, state: &mut state::GroupState, exchanged: Exchanged, now_ms: u64) {
        let (value, condition) = match exchanged {
            Exchanged::Read(value, condition) => (value, condition),
            Exchanged::Written(value, revision) => (value, Condition::Unchanged(revision)),
        };
        if value.epoch > self.epoch {
            kernel::log_event!(
                crate::events::OWNER_FENCED,
                "{} under epoch {}: the roster is of epoch {}",
                self.id,
                self.epoch,
                value.epoch
            );
            self.stopped.cancel();
            return;
        }
        state.roster.read = Some(condition);
        state.roster.workers = value
            .workers
            .into_iter()
            .map(|info| (info.id.clone(), info))
            .collect();
        let infos: Vec<workers::WorkerInfo> = state.roster.workers.values().cloned().collect();
        for info in infos {
            if !state.links.contains_key(&info.id) {
                let info = state.listed.get(&info.id).cloned().unwrap_or(info);
                self.use_worker(state, info, now_ms);
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
            "the roster does not decode",
            source,
        )
    })
}
