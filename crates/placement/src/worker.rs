//! The group's account of one worker.

use kernel::ids;
use kernel::work;
use serde::{Deserialize, Serialize};

use crate::health;

/// A worker as the group sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// The worker.
    pub id: ids::WorkerId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Its rack.
    pub rack: ids::RackId,
    /// What it can hold.
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

/// State of one worker. `assigned` covers runs that may exist and reservations.
#[derive(Debug)]
pub struct Worker {
    pub id: ids::WorkerId,
    pub rack: u32,
    pub capacity: work::Resources,
    pub assigned: work::Resources,
    /// Part of `assigned` that urgent work may displace.
    pub displaceable: work::Resources,
    /// Free capacity kept for urgent tasks whose victims are ending.
    pub earmarked: work::Resources,
    pub tasks: Vec<u32>,
    pub starting: u32,
    pub present: bool,
    pub leaving: bool,
    /// Until when the worker counts as full because it has not answered.
    pub unconfirmed_until_ms: Option<u64>,
    /// Until when no starts are sent after a refusal.
    pub refusing_until_ms: Option<u64>,
    pub health: health::WorkerHealth,
    /// Whether capacity is kept free here for a gang.
    pub held: bool,
}

impl Worker {
    /// A worker without tasks.
    pub fn new(id: ids::WorkerId, rack: u32) -> Self {
        Self {
            id,
            rack,
            capacity: work::Resources::default(),
            assigned: work::Resources::default(),
            displaceable: work::Resources::default(),
            earmarked: work::Resources::default(),
            tasks: Vec::new(),
            starting: 0,
            present: false,
            leaving: false,
            unconfirmed_until_ms: None,
            refusing_until_ms: None,
            health: health::WorkerHealth::default(),
            held: false,
        }
    }

    /// Whether new tasks may be placed, room aside.
    pub fn accepts(&self) -> bool {
        self.present
            && !self.leaving
            && self.unconfirmed_until_ms.is_none()
            && self.refusing_until_ms.is_none()
            && self.health.quarantined_until().is_none()
            && (self.tasks.is_empty() || !self.health.is_on_probation())
    }

    /// What is neither assigned nor kept for an urgent task.
    pub fn free(&self) -> work::Resources {
        self.capacity
            .saturating_sub(self.assigned)
            .saturating_sub(self.earmarked)
    }

    /// The name of the worker's state, for listings.
    pub fn state(&self) -> &'static str {
        if !self.present {
            "gone"
        } else if self.leaving {
            "leaving"
        } else if self.unconfirmed_until_ms.is_some() {
            "unconfirmed"
        } else if self.health.quarantined_until().is_some() {
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
