//! What is varied between runs of the model.

use derive_more::Display;
use kernel::work;

use crate::dispatch;

/// Who keeps the slots of the instances.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum CallPath {
    /// Every call goes through the owner of a group.
    #[default]
    OwnerForwarded,
    /// Owners lend slots to entry hosts, which call the instances themselves.
    Credits,
    /// Every entry host has a fixed part of all slots.
    FixedShares,
}

/// Whose calls are made.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Workload {
    /// Bookings, of which some are urgent.
    #[default]
    Huber,
    /// Counter lookups, and reports that may wait.
    Association,
}

/// One kind of call in a workload.
#[derive(Clone, Copy, Debug)]
pub(super) struct Class {
    pub(super) name: &'static str,
    /// Part of all calls.
    pub(super) share: f64,
    pub(super) urgency: work::Urgency,
    /// Mean of the time for which an instance works on a call; exponentially distributed.
    pub(super) service_ms: f64,
    /// Time that the caller allows.
    pub(super) deadline_ms: u64,
    /// Bytes of the request.
    pub(super) request_bytes: u64,
    /// Bytes of the answer.
    pub(super) answer_bytes: u64,
}

impl Class {
    /// Bytes that a call puts on a link, both ways.
    pub(super) fn link_bytes(&self) -> u64 {
        self.request_bytes + self.answer_bytes
    }
}

const HUBER: [Class; 2] = [
    Class {
        name: "urgent_booking",
        share: 0.05,
        urgency: work::Urgency::Urgent,
        service_ms: 50.0,
        deadline_ms: 2_000,
        request_bytes: 2_000,
        answer_bytes: 8_000,
    },
    Class {
        name: "booking",
        share: 0.95,
        urgency: work::Urgency::Normal,
        service_ms: 50.0,
        deadline_ms: 2_000,
        request_bytes: 2_000,
        answer_bytes: 8_000,
    },
];

const ASSOCIATION: [Class; 3] = [
    Class {
        name: "urgent_lookup",
        share: 0.05,
        urgency: work::Urgency::Urgent,
        service_ms: 10.0,
        deadline_ms: 1_000,
        request_bytes: 500,
        answer_bytes: 1_500,
    },
    Class {
        name: "lookup",
        share: 0.65,
        urgency: work::Urgency::Normal,
        service_ms: 10.0,
        deadline_ms: 1_000,
        request_bytes: 500,
        answer_bytes: 1_500,
    },
    Class {
        name: "report",
        share: 0.30,
        urgency: work::Urgency::Deferrable,
        service_ms: 100.0,
        deadline_ms: 20_000,
        request_bytes: 18_000,
        answer_bytes: 2_000,
    },
];

impl Workload {
    pub(super) fn classes(self) -> &'static [Class] {
        match self {
            Self::Huber => &HUBER,
            Self::Association => &ASSOCIATION,
        }
    }

    /// One-way latency between callers and entry hosts.
    pub(super) fn caller_latency_us(self) -> u64 {
        match self {
            Self::Huber => 3_000,
            Self::Association => 1_000,
        }
    }
}

/// One run of the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadCase {
    /// Seed of arrivals, service times and all decisions.
    pub seed: u64,
    /// Whose calls are made.
    pub workload: Workload,
    /// Who keeps the slots.
    pub path: CallPath,
    /// Calls offered, as a multiple of what all slots can serve.
    pub load: f64,
    /// Teams, each with the same quota: its part of what all slots can serve.
    pub teams: u32,
    /// Teams that offer all of the load above the others' quotas.
    pub flooding_teams: u32,
    /// Part of the calls that the balancer sends to the first entry host beyond an even part.
    pub skew: f64,
    /// Which of a team's waiting calls goes first.
    pub order: dispatch::QueueOrder,
    /// Whether refused calls may be tried again.
    pub retries: bool,
    /// Time of arrivals that count.
    pub duration_ms: u64,
    /// Time of arrivals before that, which do not count.
    pub warmup_ms: u64,
    /// Whether answers and refusals carry the owner's load, besides gossip.
    pub load_in_answers: bool,
    /// Whether each zone gets an even part of the calls, and not each entry host.
    pub even_zones: bool,
    /// Time between two rounds of gossip about load.
    pub gossip_interval_ms: u64,
    /// Time between two requests for credits.
    pub credit_interval_ms: u64,
}

impl Default for LoadCase {
    fn default() -> Self {
        Self {
            seed: 1,
            workload: Workload::default(),
            path: CallPath::default(),
            load: 1.0,
            teams: 62,
            flooding_teams: 5,
            skew: 0.0,
            order: dispatch::QueueOrder::default(),
            retries: true,
            duration_ms: 30_000,
            warmup_ms: 10_000,
            load_in_answers: true,
            even_zones: true,
            gossip_interval_ms: 1_000,
            credit_interval_ms: 500,
        }
    }
}
