//! Everything that a group's owner knows, behind its lock.

use std::sync::Arc;

use calls::{CallId, Dispatch, Dispatcher, DispatcherConfig};
use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use kernel::work;
use placement::GroupConfig;
use tokio::sync::oneshot;
use trace::TracedGroup;
use wire::messages;

use super::{link, roster};
use crate::config;

/// Who waits for the slot of a call.
pub(super) type SlotSender = oneshot::Sender<errors::Result<Dispatch>>;

/// An assignment that is held back until the group has recovered.
#[derive(Debug)]
pub(super) struct HeldAssignment {
    pub shard: ids::ShardId,
    pub work: Arc<work::Work>,
    pub runs: Vec<(u32, ids::Attempt)>,
    /// Tasks of the work that have completed.
    pub completed: u32,
}

/// The end of a run that the shard has not confirmed yet.
#[derive(Debug)]
pub(super) struct OpenReport {
    pub report: messages::RunReport,
    pub run: ids::TaskAttempt,
    /// The worker to which the end is acknowledged; `None` for a task handed back.
    pub worker: Option<ids::WorkerId>,
}

/// Reports to one shard.
#[derive(Debug, Default)]
pub(super) struct ReportQueue {
    pub open: IndexMap<ids::TaskAttempt, OpenReport>,
    pub in_flight: bool,
    pub due_at_ms: u64,
}

/// The order between a shard and this group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AssignmentOrder {
    pub shard_epoch: ids::Epoch,
    pub sequence: u64,
}

/// The state of one group.
#[derive(Debug)]
pub(super) struct GroupState {
    pub placement: TracedGroup,
    pub links: IndexMap<ids::WorkerId, link::WorkerLink>,
    /// The workers of the newest list.
    pub listed: IndexMap<ids::WorkerId, platform::workers::WorkerInfo>,
    pub roster: roster::Roster,
    /// A worker that was given up before the group had recovered.
    pub lost_before_recovery: Option<ids::WorkerId>,
    pub listed_once: bool,
    pub listing: bool,
    pub list_due_at_ms: u64,
    pub recovered: bool,
    pub recovered_by_ms: u64,
    pub held: Vec<HeldAssignment>,
    pub cancel_at_recovery: Vec<(ids::ShardId, ids::WorkId)>,
    pub orders: IndexMap<ids::ShardId, AssignmentOrder>,
    pub reports: IndexMap<ids::ShardId, ReportQueue>,
    pub dispatchers: IndexMap<ids::WorkId, Dispatcher>,
    pub slot_senders: IndexMap<CallId, SlotSender>,
    seed: u64,
}

impl GroupState {
    /// The state of a group that nothing is known about yet.
    pub fn new(config: &config::NodeConfig, id: &ids::GroupId, now_ms: u64) -> Self {
        let group = GroupConfig::new(id.clone());
        let placement = TracedGroup::new(group, config.seed, config.recorder.as_ref())
            .expect("the usual settings of a group are valid");
        Self {
            placement,
            links: IndexMap::new(),
            listed: IndexMap::new(),
            roster: roster::Roster::default(),
            lost_before_recovery: None,
            listed_once: false,
            listing: false,
            list_due_at_ms: now_ms,
            recovered: false,
            recovered_by_ms: now_ms + config.lease_expiry_delay_ms(),
            held: Vec::new(),
            cancel_at_recovery: Vec::new(),
            orders: IndexMap::new(),
            reports: IndexMap::new(),
            dispatchers: IndexMap::new(),
            slot_senders: IndexMap::new(),
            seed: config.seed,
        }
    }

    /// The dispatcher of a service.
    pub fn dispatcher(&mut self, service: &ids::WorkId) -> &mut Dispatcher {
        let seed = self.seed;
        self.dispatchers
            .entry(service.clone())
            .or_insert_with(|| Dispatcher::new(DispatcherConfig::default(), seed))
    }

    /// Hands slots to the calls that wait for them.
    pub fn deliver(&mut self, dispatches: Vec<Dispatch>) {
        for dispatch in dispatches {
            let Some(sender) = self.slot_senders.swap_remove(&dispatch.id) else {
                continue;
            };
            // A receiver that has gone gives the slot back by itself.
            let _ = sender.send(Ok(dispatch));
        }
    }

    /// Tells the calls that were refused.
    pub fn deliver_refusals(&mut self, refusals: Vec<calls::Refused>) {
        for refused in refusals {
            if let Some(sender) = self.slot_senders.swap_remove(&refused.id) {
                let _ = sender.send(Err(errors::Error::new(refused.kind, refused.detail)));
            }
        }
    }
}
