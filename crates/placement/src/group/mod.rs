//! Placement state of one group of racks.

mod account;
mod cancel;
mod change;
mod choose;
mod decide;
mod feedback;
mod hold;
mod preempt;
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
use crate::slab;
use crate::table;
use crate::team;
use crate::tombstones;
use crate::worker;

pub use replace::{ALTERNATE_INDEX_BIT, replica_of};
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
    scorers: [scorer::PolicyScorer; 3],
    worker_indexes: IndexMap<ids::WorkerId, u32>,
    workers: Vec<worker::Worker>,
    rack_indexes: IndexMap<ids::RackId, u32>,
    rack_workers: Vec<Vec<u32>>,
    /// Workers that accept tasks, by free capacity.
    free_index: index::FreeIndex,
    /// The same workers, by free capacity plus the capacity of preemptible runs.
    reclaimable_index: index::FreeIndex,
    /// Workers with a state that expires: unconfirmed, refusing or quarantined.
    expiring: Vec<u32>,
    /// Largest capacity of a single worker in each resource.
    max_worker_capacity: work::Resources,
    capacity: work::Resources,
    capacity_outdated: bool,
    teams: team::Teams,
    estimates: estimate::Estimates,
    work_slots: IndexMap<ids::WorkId, u32>,
    works: slab::Slab<table::WorkEntry>,
    next_attribution_id: u32,
    task_slots: IndexMap<(u32, u32), u32>,
    tasks: slab::Slab<table::Task>,
    placed_count: usize,
    orphans: IndexMap<ids::TaskAttempt, u32>,
    /// Cancelled works, so that a late assignment does not start their tasks.
    cancelled_works: tombstones::Tombstones,
    preemptions: slab::Slab<preempt::Preemption>,
    reservations: IndexMap<u64, reserve::ReservedTasks>,
    /// Most recently confirmed reservations, so that a repeated confirmation is recognized.
    recently_confirmed: VecDeque<u64>,
    hold: Option<hold::Hold>,
    /// Stops and returned tasks that the next decision delivers.
    pending_decisions: VecDeque<decision::Decision>,
    /// Services that may have replicas of an older revision.
    outdated_services: IndexSet<u32>,
    /// Failed tasks by the time at which they are queued again.
    scheduled_restarts: BTreeSet<(u64, u32)>,
    /// Stopping tasks by the time at which they are killed.
    scheduled_kills: BTreeSet<(u64, u32)>,
}

impl Group {
    /// Creates an empty group. `seed` determines the order in which equivalent workers
    /// are tried.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Usage`] if
    /// [`GroupConfig::validate`](crate::GroupConfig::validate) rejects the settings.
    pub fn new(config: config::GroupConfig, seed: u64) -> errors::Result<Self> {
        config.validate()?;
        Ok(Self {
            config,
            random: random::from_seed(seed),
            scorers: [
                scorer::PolicyScorer::for_policy(work::Policy::QuickStart),
                scorer::PolicyScorer::for_policy(work::Policy::TightPacking),
                scorer::PolicyScorer::for_policy(work::Policy::Spread),
            ],
            worker_indexes: IndexMap::new(),
            workers: Vec::new(),
            rack_indexes: IndexMap::new(),
            rack_workers: Vec::new(),
            free_index: index::FreeIndex::default(),
            reclaimable_index: index::FreeIndex::default(),
            expiring: Vec::new(),
            max_worker_capacity: work::Resources::default(),
            capacity: work::Resources::default(),
            capacity_outdated: false,
            teams: team::Teams::default(),
            estimates: estimate::Estimates::default(),
            work_slots: IndexMap::new(),
            works: slab::Slab::default(),
            next_attribution_id: 0,
            task_slots: IndexMap::new(),
            tasks: slab::Slab::default(),
            placed_count: 0,
            orphans: IndexMap::new(),
            cancelled_works: tombstones::Tombstones::default(),
            preemptions: slab::Slab::default(),
            reservations: IndexMap::new(),
            recently_confirmed: VecDeque::new(),
            hold: None,
            pending_decisions: VecDeque::new(),
            outdated_services: IndexSet::new(),
            scheduled_restarts: BTreeSet::new(),
            scheduled_kills: BTreeSet::new(),
        })
    }

    /// Returns the identifier from the settings.
    pub fn id(&self) -> &ids::GroupId {
        &self.config.id
    }

    /// Sets the group's part of a team's quota and the team's weight in fair sharing;
    /// `None` removes the quota.
    pub fn set_quota(&mut self, team: &ids::TeamId, limit: Option<work::Resources>, weight: u32) {
        self.teams.set_quota(team, limit, weight);
    }
}
