//! Validated configuration of one host.

use kernel::ids;

use crate::topology;

/// Maximum relative drift between two monotonic clocks, in thousandths.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// The configuration of one host. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The host's identifier, different for every start of a process.
    pub host: ids::HostId,
    /// The host's availability zone.
    pub zone: ids::ZoneId,
    /// Start time of the process in milliseconds since the Unix epoch; orders processes of the
    /// same name.
    pub incarnation_ms: u64,
    /// Address of the HTTP port for callers and operators, as `IP:PORT`.
    pub http_address: String,
    /// Address of the port for peers, as `IP:PORT`.
    pub peer_address: String,
    /// Peer addresses for bootstrapping gossip while the store is unavailable.
    pub seeds: Vec<String>,
    /// Zones, regions, rack groups and shards; identical on every host.
    pub topology: topology::Topology,
    /// Duration of the lease under which tasks run on workers.
    pub task_lease_ms: u64,
    /// Interval between sync requests to a worker for which no starts or stops are queued.
    pub worker_sync_interval_ms: u64,
    /// Interval between reads of the platform's worker list.
    pub worker_list_interval_ms: u64,
    /// Deadline of a call whose caller states none.
    pub default_deadline_ms: u64,
    /// Maximum deadline that a caller may state.
    pub max_deadline_ms: u64,
    /// Maximum time that a shutdown waits for open requests.
    pub drain_timeout_ms: u64,
    /// Seed of all pseudo-random choices.
    pub seed: u64,
    /// Recorder of placement decisions; `None` disables recording.
    pub recorder: Option<trace::Recorder>,
}

impl NodeConfig {
    /// Time from sending a request, on the sender's clock, until a lease granted by it has
    /// expired on the worker even at maximum clock drift.
    pub fn lease_expiry_delay_ms(&self) -> u64 {
        self.task_lease_ms + self.task_lease_ms * MAX_CLOCK_DRIFT_PER_MILLE / 1_000
    }
}
