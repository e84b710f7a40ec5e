//! Works and tasks of a group.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

use crate::health;
use crate::life;

/// Why the first waiting task of a work was not started by the last decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Block {
    /// It was not looked at yet.
    #[default]
    NotAsked,
    /// No worker has room.
    NoRoom,
    /// No worker is large enough.
    NeverFits,
    /// The team's quota is used up.
    Quota,
    /// Not all members of its gang have room together.
    GangRoom,
    /// Other members of its gang are not in this group, or still running.
    GangIncomplete,
    /// Capacity is kept free and the gang starts at about this time.
    GangHeld(u64),
    /// Other tasks are being stopped for it.
    Displacing,
}

/// Whether the tasks of a work are to run in this group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// They are.
    #[default]
    Wanted,
    /// Its gang cannot run as a whole; members leave the group when they end.
    Aborted,
    /// It was cancelled.
    Cancelled,
}

/// A piece of work with its tasks in this group.
#[derive(Debug)]
pub struct WorkEntry {
    pub work: Arc<work::Work>,
    pub shard: Option<ids::ShardId>,
    pub team: u32,
    /// Class of learned sizes.
    pub class: u32,
    pub standing: Standing,
    /// Whether it stands in its team's queue.
    pub queued: bool,
    /// Made from a run found on a worker; replaced when the work is submitted.
    pub provisional: bool,
    pub waiting: VecDeque<u32>,
    /// All tasks in the table, in any state.
    pub members: Vec<u32>,
    /// Unique number, for the accounts of failures.
    pub serial: u32,
    /// Tasks that completed here.
    pub completed: u32,
    /// Since when the first waiting task has found no room.
    pub blocked_since_ms: Option<u64>,
    pub block: Block,
    /// Displacements whose victims have not ended.
    pub displacing: u32,
    /// Placed tasks by rack.
    pub racks: IndexMap<u32, u32>,
    pub health: health::JobHealth,
}

/// Steps taken against a run that uses more than is assigned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Overuse {
    /// None.
    #[default]
    Within,
    /// Throttled.
    Throttled,
    /// Told to save its state and end, or to end.
    Ending,
}

/// A task.
#[derive(Debug)]
pub struct Task {
    pub work: u32,
    pub index: u32,
    pub life: life::Life,
    /// Room reserved for a waiting task of a gang.
    pub reserved: Option<life::Placement>,
    /// Position among the members of its work.
    pub position: u32,
    /// Team and amount charged while the task is placed or reserved.
    pub charged: Option<(u32, work::Resources)>,
    /// Older attempts that still have to end.
    pub blocked_by: u32,
    pub since_ms: u64,
    pub failures: u32,
    /// The lowest attempt that may be used next.
    pub next_attempt: ids::Attempt,
    pub last_worker: Option<u32>,
    pub failed_on: Option<u32>,
    /// Largest usage seen in any run.
    pub peak: work::Resources,
    pub reports: u32,
    pub learned: bool,
    pub overuse: Overuse,
    pub overuse_since_ms: u64,
    /// When a failed task may start again.
    pub restart_at_ms: Option<u64>,
    /// When a run that was told to save its state is killed.
    pub kill_at_ms: Option<u64>,
    /// The displacement that the run's end serves.
    pub victim_of: Option<u32>,
    /// The replica that drains once this one runs.
    pub replaces: Option<u32>,
    /// A replacement exists; the task is not started again.
    pub replaced: bool,
    /// The revision of the work under which the placed run was started.
    pub revision: ids::ReleaseVersion,
    /// An older attempt found on a worker while another one exists.
    pub orphan: bool,
}

impl Task {
    /// A waiting task.
    pub fn new(work: u32, index: u32, attempt: ids::Attempt, now_ms: u64) -> Self {
        Self {
            work,
            index,
            life: life::Life::Waiting(life::Run::new(attempt)),
            reserved: None,
            position: 0,
            charged: None,
            blocked_by: 0,
            since_ms: now_ms,
            failures: 0,
            next_attempt: attempt,
            last_worker: None,
            failed_on: None,
            peak: work::Resources::default(),
            reports: 0,
            learned: false,
            overuse: Overuse::Within,
            overuse_since_ms: 0,
            restart_at_ms: None,
            kill_at_ms: None,
            victim_of: None,
            replaces: None,
            replaced: false,
            revision: ids::ReleaseVersion::default(),
            orphan: false,
        }
    }

    /// Gives a waiting task a higher attempt number.
    pub fn raise_waiting(&mut self, attempt: ids::Attempt) {
        if matches!(self.life, life::Life::Waiting(_)) && self.life.attempt() < attempt {
            self.life = life::Life::Waiting(life::Run::new(attempt));
        }
    }
}
