//! State of one worker as the group tracks it.

use kernel::ids;
use kernel::work;
use serde::{Deserialize, Serialize};

use crate::health;

/// Description of a worker, set by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// Identifier of the worker.
    pub id: ids::WorkerId,
    /// Availability zone of the worker.
    pub zone: ids::ZoneId,
    /// Rack of the worker.
    pub rack: ids::RackId,
    /// Total capacity.
    pub capacity: work::Resources,
}

impl From<&platform::workers::WorkerInfo> for WorkerSpec {
    fn from(info: &platform::workers::WorkerInfo) -> Self {
        Self {
            id: info.id.clone(),
            zone: info.zone.clone(),
            rack: info.rack.clone(),
            capacity: info.capacity,
        }
    }
}

/// State of one worker. `assigned` covers reservations and every run that may exist.
#[derive(Debug)]
pub struct Worker {
    pub id: ids::WorkerId,
    pub rack: u32,
    pub capacity: work::Resources,
    pub assigned: work::Resources,
    /// Part of `assigned` that urgent work may preempt.
    pub preemptible: work::Resources,
    /// Free capacity kept for urgent tasks until the tasks preempted for them have ended.
    pub urgent_reserve: work::Resources,
    pub tasks: Vec<u32>,
    pub starting: u32,
    pub present: bool,
    pub leaving: bool,
    /// Time until which the worker counts as full because it has not answered this owner.
    pub unconfirmed_until_ms: Option<u64>,
    /// Time until which no starts are sent, after a refusal or a lost reply.
    pub refusing_until_ms: Option<u64>,
    pub health: health::WorkerHealth,
    /// Whether capacity on this worker is kept free for a gang.
    pub held_for_gang: bool,
}

impl Worker {
    /// Creates the state of an absent worker without tasks or capacity.
    pub fn new(id: ids::WorkerId, rack: u32) -> Self {
        Self {
            id,
            rack,
            capacity: work::Resources::default(),
            assigned: work::Resources::default(),
            preemptible: work::Resources::default(),
            urgent_reserve: work::Resources::default(),
            tasks: Vec::new(),
            starting: 0,
            present: false,
            leaving: false,
            unconfirmed_until_ms: None,
            refusing_until_ms: None,
            health: health::WorkerHealth::default(),
            held_for_gang: false,
        }
    }

    /// Returns whether new tasks may be placed, irrespective of free capacity. A worker
    /// on probation takes one task at a time.
    pub fn accepts_tasks(&self) -> bool {
        self.present
            && !self.leaving
            && self.unconfirmed_until_ms.is_none()
            && self.refusing_until_ms.is_none()
            && self.health.quarantined_until_ms().is_none()
            && (self.tasks.is_empty() || !self.health.is_on_probation())
    }

    /// Returns the capacity that is neither assigned nor kept for urgent tasks.
    pub fn free(&self) -> work::Resources {
        self.capacity
            .saturating_sub(self.assigned)
            .saturating_sub(self.urgent_reserve)
    }

    /// Returns the name of the worker's state for listings.
    pub fn state(&self) -> &'static str {
        if !self.present {
            "gone"
        } else if self.leaving {
            "leaving"
        } else if self.unconfirmed_until_ms.is_some() {
            "unconfirmed"
        } else if self.health.quarantined_until_ms().is_some() {
            "quarantined"
        } else if self.refusing_until_ms.is_some() {
            "refusing"
        } else if self.health.is_on_probation() {
            "probation"
        } else {
            "live"
        }
    }
}
