//! Placement state of one group of racks.

mod account;
mod cancel;
mod change;
mod choose;
mod decide;
mod displace;
mod feedback;
mod hold;
mod query;
mod replace;
mod reserve;
mod revise;
mod submit;
mod usage;
mod workers;

use std::collections::{BTreeSet, VecDeque};

use indexmap::{IndexMap, IndexSet};
use kernel::errors;
use kernel::ids;
use kernel::random;
use kernel::work;

use crate::config;
use crate::decision;
use crate::estimate;
use crate::index;
use crate::scorer;
use crate::slots;
use crate::table;
use crate::team;
use crate::tombstones;
use crate::worker;

pub use replace::{TWIN_BIT, replica_of};
pub use reserve::Reservation;

/// Placement state of one group of racks under one owner.
///
/// All methods are synchronous and none reads a clock; `now_ms` may come from any clock
/// that never goes back. [`Group::decide`] returns the actions that the caller has to
/// carry out.
#[derive(Debug)]
pub struct Group {
    config: config::GroupConfig,
    random: random::Random,
    scoring: [scorer::Scoring; 3],
    worker_numbers: IndexMap<ids::WorkerId, u32>,
    workers: Vec<worker::Worker>,
    rack_numbers: IndexMap<ids::RackId, u32>,
    racks: Vec<Vec<u32>>,
    /// Workers that accept tasks, by free capacity.
    free: index::FreeIndex,
    /// The same workers, by free capacity plus the capacity of preemptible runs.
    reclaimable: index::FreeIndex,
    /// Workers with a state that expires: unconfirmed, refusing or quarantined.
    timed: Vec<u32>,
    /// Largest capacity of a single worker in each resource.
    ceiling: work::Resources,
    capacity: work::Resources,
    capacity_stale: bool,
    teams: team::Teams,
    estimates: estimate::Estimates,
    work_numbers: IndexMap<ids::WorkId, u32>,
    works: slots::Slots<table::WorkEntry>,
    next_serial: u32,
    task_numbers: IndexMap<(u32, u32), u32>,
    tasks: slots::Slots<table::Task>,
    placed: usize,
    orphans: IndexMap<ids::TaskAttempt, u32>,
    /// Cancelled works, so that a late assignment does not start their tasks.
    cancelled: tombstones::Tombstones,
    displacements: slots::Slots<displace::Displacement>,
    reservations: IndexMap<u64, reserve::Entry>,
    /// Most recently confirmed reservations, so that a repeated confirmation is recognized.
    confirmed: VecDeque<u64>,
    hold: Option<hold::Hold>,
    /// Stops and returned tasks that the next decision delivers.
    pending: VecDeque<decision::Decision>,
    /// Services that may have replicas of an older revision.
    outdated: IndexSet<u32>,
    /// Failed tasks by the time at which they are queued again.
    restarts: BTreeSet<(u64, u32)>,
    /// Stopping tasks by the time at which they are killed.
    kills: BTreeSet<(u64, u32)>,
}

impl Group {
    /// Creates an empty group. `seed` determines the order in which equivalent workers
    /// are tried.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Usage`] if
    /// [`GroupConfig::check`](crate::GroupConfig::check) rejects the settings.
    pub fn new(config: config::GroupConfig, seed: u64) -> errors::Result<Self> {
        config.check()?;
        Ok(Self {
            config,
            random: random::from_seed(seed),
            scoring: [
                scorer::Scoring::of(work::Policy::QuickStart),
                scorer::Scoring::of(work::Policy::TightPacking),
                scorer::Scoring::of(work::Policy::Spread),
            ],
            worker_numbers: IndexMap::new(),
            workers: Vec::new(),
            rack_numbers: IndexMap::new(),
            racks: Vec::new(),
            free: index::FreeIndex::default(),
            reclaimable: index::FreeIndex::default(),
            timed: Vec::new(),
            ceiling: work::Resources::default(),
            capacity: work::Resources::default(),
            capacity_stale: false,
            teams: team::Teams::default(),
            estimates: estimate::Estimates::default(),
            work_numbers: IndexMap::new(),
            works: slots::Slots::default(),
            next_serial: 0,
            task_numbers: IndexMap::new(),
            tasks: slots::Slots::default(),
            placed: 0,
            orphans: IndexMap::new(),
            cancelled: tombstones::Tombstones::default(),
            displacements: slots::Slots::default(),
            reservations: IndexMap::new(),
            confirmed: VecDeque::new(),
            hold: None,
            pending: VecDeque::new(),
            outdated: IndexSet::new(),
            restarts: BTreeSet::new(),
            kills: BTreeSet::new(),
        })
    }

    /// Returns the group's identifier.
    pub fn id(&self) -> &ids::GroupId {
        &self.config.id
    }

    /// Sets the group's part of a team's quota and the team's weight in fair sharing;
    /// `None` removes the quota.
    pub fn set_quota(&mut self, team: &ids::TeamId, limit: Option<work::Resources>, weight: u32) {
        self.teams.set_quota(team, limit, weight);
    }
}
