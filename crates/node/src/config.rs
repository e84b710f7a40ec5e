//! What one host is started with, after all checks.

use kernel::ids;

use crate::topology;

/// The longest relative drift between two monotonic clocks, in thousandths.
pub const CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// The configuration of one host. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The host's identifier, different for every start of a process.
    pub host: ids::HostId,
    /// The host's availability zone.
    pub zone: ids::ZoneId,
    /// Start of the process since the Unix epoch; orders processes of one name.
    pub incarnation_ms: u64,
    /// Where callers and operators reach the host, as `IP:PORT`.
    pub http_address: String,
    /// Where peers reach the host, as `IP:PORT`.
    pub peer_address: String,
    /// Peers to ask while the store is away.
    pub seeds: Vec<String>,
    /// The fixed parts of the cell.
    pub topology: topology::Topology,
    /// Lease under which tasks run on workers.
    pub task_lease_ms: u64,
    /// Time between two exchanges with a worker for which there are no orders.
    pub worker_sync_interval_ms: u64,
    /// Time between two readings of the platform's list of workers.
    pub worker_list_interval_ms: u64,
    /// Longest time for a call whose caller states no deadline.
    pub default_deadline_ms: u64,
    /// Longest deadline that a caller may state.
    pub max_deadline_ms: u64,
    /// Longest time that a shutdown waits for open requests.
    pub drain_timeout_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Where placement decisions are recorded, if they are.
    pub recorder: Option<trace::Recorder>,
}

impl NodeConfig {
    /// The time after which a lease granted at the sending side has certainly run out.
    pub fn lease_end_ms(&self) -> u64 {
        self.task_lease_ms + self.task_lease_ms * CLOCK_DRIFT_PER_MILLE / 1_000
    }
}
