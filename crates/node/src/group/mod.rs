//! The owner of one rack group.
//!
//! A [`GroupOwner`] manages one group under one epoch. It alone allocates the group's capacity
//! and the slots of the upstream instances that run there. `placement` and `calls` make all
//! decisions under one lock, which is never held across an await; separate tasks carry the
//! decisions out.
//!
//! After a takeover the owner first syncs with every worker of the group, which fences the
//! previous owner and reads the running tasks. Assigned tasks are deferred until every worker
//! has answered or every earlier lease must have expired, since until then a task may still
//! run on a worker that has not answered.

mod assign;
mod calls;
mod exchange;
mod link;
mod quotas;
mod recovery;
mod reports;
mod roster;
mod state;
mod views;
mod work_loop;
mod workers;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::ids;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wire::messages;

use crate::shared;

pub(crate) use calls::OwnerCall;
pub(crate) use reports::HANDED_BACK;
pub(crate) use views::decode_resources;

/// The owner of one rack group under one epoch.
#[derive(Debug)]
pub struct GroupOwner {
    id: ids::GroupId,
    epoch: ids::Epoch,
    shared: Arc<shared::Shared>,
    state: Mutex<state::GroupState>,
    quotas: Mutex<quotas::AppliedQuotas>,
    wake: Notify,
    stopped: CancellationToken,
}

impl GroupOwner {
    /// Starts the owner of a group and spawns its tasks.
    pub fn start(shared: &Arc<shared::Shared>, id: ids::GroupId, epoch: ids::Epoch) -> Arc<Self> {
        let state = state::GroupState::new(&shared.config, &id, shared.now_ms());
        let owner = Arc::new(Self {
            id,
            epoch,
            shared: Arc::clone(shared),
            state: Mutex::new(state),
            quotas: Mutex::default(),
            wake: Notify::new(),
            stopped: CancellationToken::new(),
        });
        tokio::spawn(Arc::clone(&owner).run());
        owner
    }

    /// The group.
    pub fn id(&self) -> &ids::GroupId {
        &self.id
    }

    /// The epoch under which this host owns the group.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// Stops allocating capacity and slots. Calls that have a slot run to completion.
    pub fn stop(&self) {
        self.stopped.cancel();
        self.refuse_waiting_calls();
    }

    /// Whether the owner has stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped.is_cancelled()
    }

    /// The gossip entry of the group.
    pub fn rumor(&self) -> messages::GroupRumor {
        let state = self.state();
        views::rumor(&state, &self.id, self.epoch)
    }

    fn quotas(&self) -> MutexGuard<'_, quotas::AppliedQuotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> MutexGuard<'_, state::GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
