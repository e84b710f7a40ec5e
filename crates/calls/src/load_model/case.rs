//! Parameters of a run of the model.

use derive_more::Display;
use kernel::work;

use crate::dispatch;

/// Where slots are allocated.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum CallPath {
    /// By the owner of a group, to which every call is forwarded.
    #[default]
    OwnerForwarded,
    /// By entry hosts, within the credits that the owners grant them.
    Credits,
    /// By entry hosts, each within a fixed part of all slots.
    FixedShares,
}

/// Mix of calls, named after the firm whose traffic it models.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Workload {
    /// Bookings, some of them urgent.
    #[default]
    Huber,
    /// Counter lookups, and reports that are deferrable.
    Association,
}

/// One class of calls in a workload.
#[derive(Clone, Copy, Debug)]
pub(super) struct Class {
    pub(super) name: &'static str,
    /// Fraction of all calls.
    pub(super) share: f64,
    pub(super) urgency: work::Urgency,
    /// Mean service time at an instance; service times are exponentially distributed.
    pub(super) service_ms: f64,
    /// Deadline of the caller, from sending the call.
    pub(super) deadline_ms: u64,
    /// Size of the request, in bytes.
    pub(super) request_bytes: u64,
    /// Size of the response, in bytes.
    pub(super) answer_bytes: u64,
}

impl Class {
    /// Bytes that a call sends over a link in both directions.
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

/// Parameters of one run of the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadCase {
    /// Seed of arrivals, service times and random decisions.
    pub seed: u64,
    /// Mix of calls.
    pub workload: Workload,
    /// Where slots are allocated.
    pub path: CallPath,
    /// Offered load, as a multiple of the capacity of all slots.
    pub load: f64,
    /// Number of teams. Each has the same quota, an equal part of the capacity of all slots.
    pub teams: u32,
    /// Number of teams that offer all the load in excess of the other teams' quotas.
    pub flooding_teams: u32,
    /// Fraction of the calls that the balancer sends to the first entry host in addition to
    /// its even part.
    pub skew: f64,
    /// Order of the waiting calls of one team and urgency.
    pub order: dispatch::QueueOrder,
    /// Whether refused calls may be retried.
    pub retries: bool,
    /// Duration of the measurement window.
    pub duration_ms: u64,
    /// Duration of arrivals before the measurement window.
    pub warmup_ms: u64,
    /// Whether responses and refusals carry the owner's load, in addition to gossip.
    pub load_in_responses: bool,
    /// Whether the balancer spreads calls evenly over zones rather than over entry hosts.
    pub balance_by_zone: bool,
    /// Interval of gossip about load.
    pub gossip_interval_ms: u64,
    /// Interval of requests for credits.
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
            load_in_responses: true,
            balance_by_zone: true,
            gossip_interval_ms: 1_000,
            credit_interval_ms: 500,
        }
    }
}
