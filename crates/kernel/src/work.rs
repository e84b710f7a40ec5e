//! Services, batch runs, gang jobs and quotas.
//!
//! A [`Release`] is the accepted configuration that every entry host puts in
//! force. Jobs that are submitted individually use the same [`Work`] type.

use std::ops;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids;

/// Amounts of resources: the demand of a task or the capacity of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Number of accelerators; they are not shared between tasks.
    pub accelerators: u64,
}

impl Resources {
    /// Creates amounts from CPU in thousandths of a core, memory in mebibytes and accelerators.
    pub const fn new(cpu_milli: u64, memory_mb: u64, accelerators: u64) -> Self {
        Self {
            cpu_milli,
            memory_mb,
            accelerators,
        }
    }

    /// Whether no resource exceeds `capacity`.
    pub const fn fits_in(self, capacity: Self) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// Subtracts each resource, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Number of tasks with `demand` that fit into this amount; `u64::MAX` if `demand` is zero.
    pub fn count_of(self, demand: Self) -> u64 {
        let fits = |available: u64, each: u64| available.checked_div(each).unwrap_or(u64::MAX);
        fits(self.cpu_milli, demand.cpu_milli)
            .min(fits(self.memory_mb, demand.memory_mb))
            .min(fits(self.accelerators, demand.accelerators))
    }

    /// Multiplies each resource by `count`, saturating at `u64::MAX`.
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

/// Scheduling priority of work.
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
    /// May be delayed, for example overnight.
    Deferrable,
    /// Starts as soon as capacity is free.
    #[default]
    Normal,
    /// Starts within the documented bound; may preempt deferrable and normal batch work.
    Urgent,
}

/// Primary objective of placement.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Policy {
    /// Short queueing times.
    #[default]
    QuickStart,
    /// Few workers in use.
    TightPacking,
    /// Replicas spread over racks.
    Spread,
}

/// Kind of work, which determines how its tasks depend on each other.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum WorkKind {
    /// Long-running replicas that answer calls.
    Service,
    /// Independent tasks that run to completion.
    BatchRun,
    /// Tasks that start all together or not at all.
    GangJob,
}

/// A service, a batch run or a gang job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Name of the work, unique in the cell.
    pub id: ids::WorkId,
    /// Team whose quota the work uses.
    pub team: ids::TeamId,
    /// Kind of work.
    pub kind: WorkKind,
    /// Number of replicas of a service, otherwise number of tasks.
    pub tasks: u32,
    /// Declared resource demand of each task.
    pub demand: Resources,
    /// Scheduling priority.
    pub urgency: Urgency,
    /// Primary objective of placement.
    pub policy: Policy,
    /// Declared run time of a task in milliseconds; `None` for a service.
    pub run_time_ms: Option<u64>,
    /// Maximum number of starts of a task that fails, including the first.
    pub max_attempts: u32,
    /// Zones in which the tasks may run; empty for all zones.
    pub zones: Vec<ids::ZoneId>,
    /// Whether a task may be restarted when it is not known whether its last run completed.
    pub idempotent: bool,
    /// Maximum number of concurrent calls per replica; zero unless the work is a service.
    pub slots: u32,
    /// Maximum number of connections per replica; zero unless the work is a service.
    pub connections: u32,
    /// Release version that added the work; zero for a submitted job.
    ///
    /// Names can be reused; work is identified by its name together with this version.
    #[serde(default)]
    pub since: ids::ReleaseVersion,
    /// Release version that last changed anything other than the number of tasks.
    ///
    /// Replicas that were started under an older revision are replaced.
    #[serde(default)]
    pub revision: ids::ReleaseVersion,
}

impl Work {
    /// Whether the work is part of a release rather than a submitted job.
    pub fn is_from_release(&self) -> bool {
        self.since.0 > 0
    }

    /// Identifiers of all tasks, in index order.
    pub fn task_ids(&self) -> impl Iterator<Item = ids::TaskId> + '_ {
        (0..self.tasks).map(|index| ids::TaskId::new(&self.id, index))
    }
}

/// Resource limit of a team, over the whole cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Team to which the quota applies.
    pub team: ids::TeamId,
    /// Maximum total demand of the team's running tasks.
    pub limit: Resources,
    /// Relative share of the team in admission and placement under contention.
    pub weight: u32,
}

/// The accepted configuration of the cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Release version; zero before the first release note is accepted.
    pub version: ids::ReleaseVersion,
    /// Work in force, by name.
    pub work: IndexMap<ids::WorkId, Work>,
    /// Quotas in force, by team.
    pub quotas: IndexMap<ids::TeamId, Quota>,
}
