//! What operators and callers ask for.
//!
//! A [`Release`] is the accepted state from which every entry host works. Jobs
//! submitted one at a time use the same [`Work`] type.

use std::ops;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids;

/// What a task needs, or what a worker offers, of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Makes an amount of each resource.
    pub const fn new(cpu_milli: u64, memory_mb: u64, accelerators: u64) -> Self {
        Self {
            cpu_milli,
            memory_mb,
            accelerators,
        }
    }

    /// Whether this amount fits within `room` in every resource.
    pub const fn fits_in(self, room: Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// Subtracts, stopping at zero in each resource.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// How many times `demand` fits into this amount; `u64::MAX` if nothing is demanded.
    pub fn count_of(self, demand: Self) -> u64 {
        let fits = |room: u64, each: u64| room.checked_div(each).unwrap_or(u64::MAX);
        fits(self.cpu_milli, demand.cpu_milli)
            .min(fits(self.memory_mb, demand.memory_mb))
            .min(fits(self.accelerators, demand.accelerators))
    }

    /// Multiplies each resource by a count of tasks.
    #[must_use]
    pub const fn times(self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}

impl ops::Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

impl ops::AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// How soon work must start relative to other work.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Urgency {
    /// May wait, for instance overnight.
    Deferrable,
    /// Starts as capacity allows.
    #[default]
    Normal,
    /// Starts within the stated bound; may displace deferrable and normal batch work.
    Urgent,
}

/// Which goal weighs most when a worker is chosen.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Policy {
    /// Short waiting times.
    #[default]
    QuickStart,
    /// Few workers in use.
    TightPacking,
    /// Replicas on different racks.
    Spread,
}

/// How the tasks of a piece of work relate to each other.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum WorkKind {
    /// Long-running replicas that answer calls.
    Service,
    /// Tasks that run to their end independently.
    BatchRun,
    /// Tasks that start together or not at all.
    GangJob,
}

/// A service, a batch run or a gang job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The work's name, unique in the cell.
    pub id: ids::WorkId,
    /// The team whose quota it uses.
    pub team: ids::TeamId,
    /// How its tasks relate to each other.
    pub kind: WorkKind,
    /// The number of replicas or tasks.
    pub tasks: u32,
    /// What each task declares to need.
    pub demand: Resources,
    /// How soon it must start.
    pub urgency: Urgency,
    /// Which goal weighs most in placement.
    pub policy: Policy,
    /// Declared run time of a task in milliseconds; `None` for a service.
    pub run_time_ms: Option<u64>,
    /// How often a task that fails may be started in all.
    pub max_attempts: u32,
    /// Zones in which the tasks may run; empty for all zones.
    pub zones: Vec<ids::ZoneId>,
    /// Whether a task may be started again after an end that is not known.
    pub idempotent: bool,
    /// Calls that one replica handles at once; zero unless a service.
    pub slots: u32,
    /// Connections that one replica accepts; zero unless a service.
    pub connections: u32,
    /// The release version that added the work; zero for a submitted job.
    ///
    /// A name may be used again: work is the same only if name and version agree.
    #[serde(default)]
    pub since: ids::ReleaseVersion,
}

impl Work {
    /// Whether the work is part of a release and not a submitted job.
    pub fn is_from_release(&self) -> bool {
        self.since.0 > 0
    }

    /// The identifiers of all tasks, in order.
    pub fn task_ids(&self) -> impl Iterator<Item = ids::TaskId> + '_ {
        (0..self.tasks).map(|index| ids::TaskId::new(&self.id, index))
    }
}

/// What a team may use in the whole cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// The team.
    pub team: ids::TeamId,
    /// The most that its running tasks may declare together.
    pub limit: Resources,
    /// Its share in admission and in placement under contention.
    pub weight: u32,
}

/// The accepted state of the cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The release's number; zero before the first note is accepted.
    pub version: ids::ReleaseVersion,
    /// Work in force, by name.
    pub work: IndexMap<ids::WorkId, Work>,
    /// Quotas in force, by team.
    pub quotas: IndexMap<ids::TeamId, Quota>,
}
