//! State of a group's owner, protected by its lock.

use std::sync::Arc;

use calls::{CallId, Dispatch, Dispatcher, DispatcherConfig};
use indexmap::{IndexMap, IndexSet};
use kernel::errors;
use kernel::ids;
use kernel::work;
use placement::GroupConfig;
use tokio::sync::oneshot;
use trace::TracedGroup;
use wire::messages;

use super::{link, roster};
use crate::config;

/// Wakes a queued call with its slot or refusal.
pub(super) type SlotSender = oneshot::Sender<errors::Result<Dispatch>>;

/// An assignment received from a shard.
#[derive(Debug)]
pub(super) struct ShardAssignment {
    pub shard: ids::ShardId,
    pub work: Arc<work::Work>,
    pub runs: Vec<(u32, ids::Attempt)>,
    /// Number of completed tasks of the work.
    pub completed: u32,
}

/// A report that the shard has not confirmed yet.
#[derive(Debug)]
pub(super) struct PendingReport {
    pub report: messages::RunReport,
    pub run: ids::TaskAttempt,
    /// The worker to acknowledge the end to once confirmed; `None` for a task handed back.
    pub worker: Option<ids::WorkerId>,
}

/// Unconfirmed reports to one shard.
#[derive(Debug, Default)]
pub(super) struct ReportQueue {
    pub unconfirmed: IndexMap<ids::TaskAttempt, PendingReport>,
    pub in_flight: bool,
    pub due_at_ms: u64,
}

/// Position of an assignment message in the sequence of a shard.
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
    /// The group's workers in the platform's latest list.
    pub listed: IndexMap<ids::WorkerId, platform::workers::WorkerInfo>,
    pub roster: roster::Roster,
    /// Workers that were lost before recovery finished; no run of an earlier owner is on them.
    pub lost_before_recovery: IndexSet<ids::WorkerId>,
    pub list_received: bool,
    pub list_in_flight: bool,
    pub list_due_at_ms: u64,
    pub recovered: bool,
    pub deferred_assignments: Vec<ShardAssignment>,
    pub deferred_cancellations: Vec<(ids::ShardId, ids::WorkId)>,
    pub last_orders: IndexMap<ids::ShardId, AssignmentOrder>,
    pub reports: IndexMap<ids::ShardId, ReportQueue>,
    pub dispatchers: IndexMap<ids::WorkId, Dispatcher>,
    pub slot_senders: IndexMap<CallId, SlotSender>,
    seed: u64,
}

impl GroupState {
    /// Creates the state of a group before recovery.
    pub fn new(config: &config::NodeConfig, id: &ids::GroupId, now_ms: u64) -> Self {
        let group = GroupConfig::new(id.clone());
        let placement = TracedGroup::new(group, config.seed, config.recorder.as_ref())
            .expect("the default group configuration is valid");
        Self {
            placement,
            links: IndexMap::new(),
            listed: IndexMap::new(),
            roster: roster::Roster::default(),
            lost_before_recovery: IndexSet::new(),
            list_received: false,
            list_in_flight: false,
            list_due_at_ms: now_ms,
            recovered: false,
            deferred_assignments: Vec::new(),
            deferred_cancellations: Vec::new(),
            last_orders: IndexMap::new(),
            reports: IndexMap::new(),
            dispatchers: IndexMap::new(),
            slot_senders: IndexMap::new(),
            seed: config.seed,
        }
    }

    /// The dispatcher of a service; created on first use.
    pub fn dispatcher(&mut self, service: &ids::WorkId) -> &mut Dispatcher {
        let seed = self.seed;
        self.dispatchers
            .entry(service.clone())
            .or_insert_with(|| Dispatcher::new(DispatcherConfig::default(), seed))
    }

    /// Delivers slots to the queued calls.
    pub fn deliver_slots(&mut self, dispatches: Vec<Dispatch>) {
        for dispatch in dispatches {
            let Some(sender) = self.slot_senders.swap_remove(&dispatch.id) else {
                continue;
            };
            // If the receiver was dropped, the dropped call releases the slot.
            let _ = sender.send(Ok(dispatch));
        }
    }

    /// Delivers refusals to the queued calls.
    pub fn deliver_refusals(&mut self, refusals: Vec<calls::Refused>) {
        for refused in refusals {
            if let Some(sender) = self.slot_senders.swap_remove(&refused.id) {
                let _ = sender.send(Err(errors::Error::new(refused.kind, refused.detail)));
            }
        }
    }
}
