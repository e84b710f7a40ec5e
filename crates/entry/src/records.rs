//! Keys and values in the store.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `hc/m/lead` | who coordinates; bound to a lease | the coordinator, when it takes over |
//! | `hc/m/host/NAME` | where a host takes messages; bound to a lease | each host |
//! | `hc/a/lead` | as `hc/m/lead`, in the same transaction | the coordinator |
//! | `hc/a/new/ID` | empty: a job was accepted past the coordinator | any host |
//! | `hc/a/cancel/ID` | empty: a job was cancelled past the coordinator | any host |
//! | `hc/j/ID` | a job's record | who accepts it, then the coordinator |
//! | `hc/p/ID` | the text that the job's tasks are handed, until the job ends | who accepts it |
//! | `hc/term` | how many coordinators there have been | the coordinator, when it takes over |
//! | `hc/roster` | workers that the coordinator may have given work | the coordinator |
//!
//! The coordinator watches `hc/a/` alone. The entry of the lead stands there too, so that a
//! coordinator sees that it was replaced before it sees any job that was accepted after that.

use cell::{
    ids::JobId,
    jobs::JobRecord,
    workers::{Room, WorkerEntry},
};
use prost::Message;

/// Who coordinates.
pub const LEADER_KEY: &str = "hc/m/lead";
/// The same, for the coordinator's own watch.
pub const LEADER_MIRROR_KEY: &str = "hc/a/lead";
/// Hosts and the coordinator.
pub const MEMBERS_PREFIX: &str = "hc/m/";
/// Hosts.
pub const HOST_PREFIX: &str = "hc/m/host/";
/// What reaches the coordinator through the store.
pub const ARRIVALS_PREFIX: &str = "hc/a/";
/// Jobs accepted past the coordinator.
pub const ACCEPTED_PREFIX: &str = "hc/a/new/";
/// Jobs cancelled past the coordinator.
pub const CANCEL_PREFIX: &str = "hc/a/cancel/";
/// Records of jobs.
pub const JOB_PREFIX: &str = "hc/j/";
/// Texts of jobs.
pub const PAYLOAD_PREFIX: &str = "hc/p/";
/// How many coordinators there have been.
pub const TERM_KEY: &str = "hc/term";
/// Workers that may have been given work.
pub const ROSTER_KEY: &str = "hc/roster";

/// Key of a job's record.
pub fn job_key(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Key of the text of a job.
pub fn payload_key(id: JobId) -> String {
    format!("{PAYLOAD_PREFIX}{id}")
}

/// Takes the text out of a record. It is kept apart, since a record is written with each end that
/// counts, and read as a whole by each new coordinator.
pub fn take_payload(record: &mut JobRecord) -> String {
    let spec = record.spec.as_mut();
    spec.map(|spec| std::mem::take(&mut spec.payload))
        .unwrap_or_default()
}

/// Who coordinates the cell.
#[derive(Clone, PartialEq, Message)]
pub struct LeaderRecord {
    /// The host's name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Where it takes messages, as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Tells apart times that the same host takes over.
    #[prost(fixed64, tag = "3")]
    pub nonce: u64,
    /// Tells apart processes of the host.
    #[prost(fixed64, tag = "4")]
    pub process: u64,
}

/// A host that lives.
#[derive(Clone, PartialEq, Message)]
pub struct HostRecord {
    /// Where it takes messages, as `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its processor, in thousandths of a core.
    #[prost(uint64, tag = "3")]
    pub cpu_millicores: u64,
}

/// How many coordinators there have been.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TermRecord {
    /// Counted from 0.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// A worker that may have been given work.
#[derive(Clone, PartialEq, Message)]
pub struct RosterWorker {
    /// Its name.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Where it takes orders.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
}

/// Workers that may have been given work.
#[derive(Clone, PartialEq, Message)]
pub struct Roster {
    /// The workers.
    #[prost(message, repeated, tag = "1")]
    pub workers: Vec<RosterWorker>,
}

impl Roster {
    /// The roster of workers.
    pub fn of<'a>(entries: impl Iterator<Item = &'a WorkerEntry>) -> Self {
        let workers = entries.map(|entry| RosterWorker {
            id: entry.id.to_string(),
            address: entry.address.to_string(),
            service: entry.service.to_string(),
            zone: entry.zone.to_string(),
        });
        Self {
            workers: workers.collect(),
        }
    }

    /// Entries that are enough to ask the workers for their lists, and for nothing else.
    pub fn entries(&self) -> Vec<WorkerEntry> {
        let entry = |worker: &RosterWorker| WorkerEntry {
            id: worker.id.as_str().into(),
            service: worker.service.as_str().into(),
            address: worker.address.as_str().into(),
            zone: worker.zone.as_str().into(),
            labels: Vec::new(),
            capacity: Room::default(),
            draining: false,
            born_unix_ms: 0,
        };
        self.workers.iter().map(entry).collect()
    }
}
