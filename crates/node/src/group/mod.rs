//! The owner of one rack group.
//!
//! A [`GroupOwner`] exists for one group under one epoch. It alone hands out the
//! group's capacity and the slots of the upstream instances that run there. All
//! decisions are made by `placement` and `calls` under one lock that is never
//! held across an await; the tasks around it carry the decisions out.
//!
//! After a takeover the owner first exchanges with every listed worker, which
//! fences the previous owner and reads what runs. Assigned tasks are held back
//! until every worker has answered or every lease granted before must have run
//! out, since until then a task may still run on a worker not yet heard.

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
pub(crate) use views::resources;

/// The owner of one rack group under one epoch.
#[derive(Debug)]
pub struct GroupOwner {
    id: ids::GroupId,
    epoch: ids::Epoch,
    shared: Arc<shared::Shared>,
    state: Mutex<state::GroupState>,
    quotas: Mutex<quotas::FollowedQuotas>,
    wake: Notify,
    stopped: CancellationToken,
}

impl GroupOwner {
    /// Starts to own a group; everything else happens in tasks of its own.
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

    /// The epoch under which it is owned.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// Stops handing out anything. Calls that have a slot go on to their end.
    pub fn stop(&self) {
        self.stopped.cancel();
        self.refuse_waiting_calls();
    }

    /// Whether the owner has stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped.is_cancelled()
    }

    /// What the owner tells its peers about the group.
    pub fn rumor(&self) -> messages::GroupRumor {
        let state = self.state();
        views::rumor(&state, &self.id, self.epoch)
    }

    fn quotas(&self) -> MutexGuard<'_, quotas::FollowedQuotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> MutexGuard<'_, state::GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
