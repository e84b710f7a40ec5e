//! Table entries of a group: works and their tasks.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

use crate::health;
use crate::lifecycle;

/// Why the last decision did not start the first waiting task of a work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BlockReason {
    /// The scheduler has not reached the task yet.
    #[default]
    NotEvaluated,
    /// No worker has enough free capacity.
    NoRoom,
    /// No worker is large enough, even when idle.
    NeverFits,
    /// The team's quota is used up.
    Quota,
    /// The members of its gang do not all fit at once.
    NoGangRoom,
    /// Some members of its gang are in other groups or still running.
    GangIncomplete,
    /// Capacity is kept free for its gang. Holds the expected start time in milliseconds.
    CapacityHeld(u64),
    /// Tasks are being preempted to make room for it.
    Preempting,
}

/// Whether tasks of a work may start in this group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkStatus {
    /// They may start.
    #[default]
    Active,
    /// The gang cannot run as a whole; its members leave the group when their runs end.
    Aborted,
    /// The work was cancelled; its tasks never start.
    Cancelled,
}

/// A work and its tasks in this group.
#[derive(Debug)]
pub struct WorkEntry {
    pub work: Arc<work::Work>,
    pub shard: Option<ids::ShardId>,
    pub team: u32,
    /// Index of the class whose learned sizes apply.
    pub class: u32,
    pub status: WorkStatus,
    /// Whether the work is in its team's queue.
    pub queued: bool,
    /// Created from a run found on a worker. The definition is replaced when the work
    /// is submitted.
    pub provisional: bool,
    pub waiting: VecDeque<u32>,
    /// All tasks of the work, in any state, including orphans.
    pub members: Vec<u32>,
    /// Number that identifies the work in failure attribution; slots are reused and would not.
    pub attribution_id: u32,
    /// Number of tasks that completed in this group.
    pub completed: u32,
    /// When the first waiting task was first found to be blocked.
    pub blocked_since_ms: Option<u64>,
    pub block_reason: BlockReason,
    /// Number of preemptions whose victims have not all ended.
    pub pending_preemptions: u32,
    /// Number of placed tasks by rack.
    pub racks: IndexMap<u32, u32>,
    pub health: health::JobHealth,
}

/// Measures taken against a run that uses more than it was assigned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Overuse {
    /// No measure; usage is within the assigned size.
    #[default]
    WithinLimit,
    /// The worker was ordered to throttle the run.
    Throttled,
    /// The worker was ordered to checkpoint the run.
    Checkpointing,
}

/// A task, or an orphaned run of an older attempt.
#[derive(Debug)]
pub struct Task {
    pub work: u32,
    pub index: u32,
    pub run_state: lifecycle::RunState,
    /// Reserved placement of a waiting gang member.
    pub reserved: Option<lifecycle::Placement>,
    /// Position in the member list of its work.
    pub member_index: u32,
    /// Team and amount charged to its quota while the task is placed or reserved.
    pub charged: Option<(u32, work::Resources)>,
    /// Number of orphaned older attempts that have to end before this task can start.
    pub blocked_by: u32,
    pub created_ms: u64,
    pub failures: u32,
    /// Lowest attempt number for the next run.
    pub next_attempt: ids::Attempt,
    pub last_worker: Option<u32>,
    pub failed_on: Option<u32>,
    /// Largest reported usage over all runs.
    pub peak_usage: work::Resources,
    pub usage_reports: u32,
    pub peak_recorded: bool,
    pub overuse: Overuse,
    pub overuse_since_ms: u64,
    /// When a failed task is queued again.
    pub restart_at_ms: Option<u64>,
    /// When a run that was asked to save its state is killed.
    pub kill_at_ms: Option<u64>,
    /// Preemption that this run's end contributes to.
    pub preemption: Option<u32>,
    /// Slot of the replica that drains once this one runs.
    pub replaces: Option<u32>,
    /// A replacement of this replica exists, so the task is not started again.
    pub replaced: bool,
    /// Revision of the work under which the placed run was started.
    pub revision: ids::ReleaseVersion,
    /// Whether this is an older attempt that was found on a worker while another attempt exists.
    pub orphan: bool,
}

impl Task {
    /// Creates a waiting task.
    pub fn new(work: u32, index: u32, attempt: ids::Attempt, now_ms: u64) -> Self {
        Self {
            work,
            index,
            run_state: lifecycle::RunState::Waiting(lifecycle::Run::new(attempt)),
            reserved: None,
            member_index: 0,
            charged: None,
            blocked_by: 0,
            created_ms: now_ms,
            failures: 0,
            next_attempt: attempt,
            last_worker: None,
            failed_on: None,
            peak_usage: work::Resources::default(),
            usage_reports: 0,
            peak_recorded: false,
            overuse: Overuse::WithinLimit,
            overuse_since_ms: 0,
            restart_at_ms: None,
            kill_at_ms: None,
            preemption: None,
            replaces: None,
            replaced: false,
            revision: ids::ReleaseVersion::default(),
            orphan: false,
        }
    }

    /// Raises the attempt of a waiting task; a lower attempt or a placed task is left unchanged.
    pub fn raise_attempt(&mut self, attempt: ids::Attempt) {
        if matches!(self.run_state, lifecycle::RunState::Waiting(_))
            && self.run_state.attempt() < attempt
        {
            self.run_state = lifecycle::RunState::Waiting(lifecycle::Run::new(attempt));
        }
    }
}
