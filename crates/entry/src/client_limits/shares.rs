//! Limits of each port, from the operators' configuration and the process's settings.

use adapter::settings::Settings;
use cell::{config::Config, footprint::MemoryBudget};

/// Memory of a process whose settings name none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 512 << 20;
/// Descriptors of a process whose settings name none.
const DEFAULT_DESCRIPTORS: u64 = 4_096;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the memory for client requests: one byte in this many. The coordinator's state needs up to
/// 60 MB of the 120 MB of the smallest hosts.
const CLIENT_MEMORY_PART: u64 = 5;
/// The same for calls from other hosts.
const PEER_MEMORY_PART: u64 = 10;
/// Part of the memory for the state of open jobs at the coordinator.
const JOB_MEMORY_PART: u64 = 4;
/// Maximum memory for that, in bytes: a successor with less memory has to hold what it inherits.
const MAX_JOB_MEMORY_BYTES: u64 = 96 << 20;
/// Part of the largest value in the store that the record of a job may take while all goes well, in
/// percent: failed runs and checkpoints add to it.
const RECORD_PERCENT: u64 = 75;
/// A coordinator may have an order to start in flight for each this many bytes of memory: a sixteenth of
/// that is what it takes.
const MEMORY_PER_START_BYTES: u64 = 64 << 10;
/// Bounds of the number of those orders.
const STARTS_RANGE: (usize, usize) = (512, 4_096);
/// Part of the descriptors for clients. Half of all remain for the connections that this host opens: to
/// the store, to up to 300 hosts, and to over 700 workers in the largest deployments.
const CLIENT_DESCRIPTORS_PART: u64 = 4;
/// The same for connections from other hosts.
const PEER_DESCRIPTORS_PART: u64 = 4;
/// Part of the descriptors for calls to workers.
const WORKER_DESCRIPTORS_PART: u64 = 8;
/// Memory of a client's connection without request: the read and write buffers of the HTTP library (8
/// KiB each) and its state.
const CLIENT_CONNECTION_BYTES: usize = 24 << 10;
/// Memory of a connection from another host without frame.
const PEER_CONNECTION_BYTES: usize = 10 << 10;
/// Least connections of a port, so that a misconfigured process can still be reached.
const MIN_CONNECTIONS: usize = 16;
/// Connections to the readiness port, and to the metrics port; the platform probes once a second.
const PROBE_CONNECTIONS: usize = 32;
/// Maximum header size if the operators set none, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16_384;
/// Time limits if the operators set none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 15_000;

/// Time limits of a connection between and at the begin of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For the head of a request, from its first byte on, in milliseconds.
    pub head_ms: u64,
    /// For the first byte on a new connection, in milliseconds.
    pub first_request_ms: u64,
    /// For the next request after one, in milliseconds; none if `None`.
    pub idle_ms: Option<u64>,
}

/// Limits of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum memory of all connections and requests, in bytes.
    pub memory_bytes: usize,
    /// Memory of a connection without request, in bytes.
    pub connection_bytes: usize,
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Time limits between and at the begin of requests.
    pub timeouts: Timeouts,
    /// A body or frame has to bring [`Self::body_window_bytes`] in each window, in milliseconds.
    pub body_window_ms: u64,
    /// See [`Self::body_window_ms`], in bytes.
    pub body_window_bytes: usize,
    /// Time limit of a body or frame as a whole, in milliseconds.
    pub max_body_ms: u64,
    /// Time for which a client may leave responses unread, in milliseconds.
    pub write_timeout_ms: u64,
}

impl PortLimits {
    /// Limits that all ports share: progress, and what depends on the machine.
    fn new(memory_bytes: u64, descriptors: u64, connection_bytes: usize) -> Self {
        let memory_bytes = memory_bytes as usize;
        let by_memory = memory_bytes / 2 / connection_bytes;
        Self {
            max_connections: by_memory.min(descriptors as usize).max(MIN_CONNECTIONS),
            memory_bytes: memory_bytes.max(2 * MIN_CONNECTIONS * connection_bytes),
            connection_bytes,
            header_bytes: DEFAULT_HEADER_BYTES,
            timeouts: Timeouts {
                head_ms: DEFAULT_TIMEOUT_MS,
                first_request_ms: DEFAULT_TIMEOUT_MS,
                idle_ms: Some(DEFAULT_TIMEOUT_MS),
            },
            // 1 KiB in 5 s: a client inside its deadline of 3 s has sent its body before.
            body_window_ms: 5_000,
            body_window_bytes: 1 << 10,
            // The longest deadline that a client can state.
            max_body_ms: 30_000,
            write_timeout_ms: 5_000,
        }
    }
}

fn memory_bytes(settings: &Settings) -> u64 {
    match settings.memory_bytes {
        0 => DEFAULT_MEMORY_BYTES,
        bytes => bytes,
    }
}

fn descriptors(settings: &Settings) -> u64 {
    let all = match settings.max_descriptors {
        0 => DEFAULT_DESCRIPTORS,
        descriptors => descriptors,
    };
    all.saturating_sub(FILE_DESCRIPTORS)
}

/// Limits on what open jobs cost their coordinator.
pub fn jobs(settings: &Settings) -> MemoryBudget {
    MemoryBudget {
        job_bytes: (memory_bytes(settings) / JOB_MEMORY_PART).min(MAX_JOB_MEMORY_BYTES),
        record_bytes: settings.max_value_bytes * RECORD_PERCENT / 100,
    }
}

/// Limits of the port for clients.
pub fn clients(settings: &Settings, config: Option<&Config>) -> PortLimits {
    let mut limits = PortLimits::new(
        memory_bytes(settings) / CLIENT_MEMORY_PART,
        descriptors(settings) / CLIENT_DESCRIPTORS_PART,
        CLIENT_CONNECTION_BYTES,
    );
    let Some(config) = config else {
        return limits;
    };
    if config.max_header_bytes > 0 {
        limits.header_bytes = config.max_header_bytes;
    }
    if config.header_timeout_ms > 0 {
        limits.timeouts.head_ms = config.header_timeout_ms;
    }
    if config.idle_timeout_ms > 0 {
        limits.timeouts.idle_ms = Some(config.idle_timeout_ms);
        limits.timeouts.first_request_ms = config.idle_timeout_ms;
    }
    limits
}

/// Limits of the port for the other hosts.
pub fn peers(settings: &Settings) -> PortLimits {
    let mut limits = PortLimits::new(
        memory_bytes(settings) / PEER_MEMORY_PART,
        descriptors(settings) / PEER_DESCRIPTORS_PART,
        PEER_CONNECTION_BYTES,
    );
    // A host calls as soon as it is connected, and keeps the connection afterwards.
    limits.timeouts.first_request_ms = 10_000;
    limits.timeouts.idle_ms = None;
    limits.write_timeout_ms = 10_000;
    limits
}

/// Maximum number of orders to start that a coordinator has in flight. When many workers fall silent at
/// once, orders to them must not hold back those to others.
pub fn starts_in_flight(settings: &Settings) -> usize {
    let (min, max) = STARTS_RANGE;
    ((memory_bytes(settings) / MEMORY_PER_START_BYTES) as usize).clamp(min, max)
}

/// Maximum number of connections for orders to workers.
pub fn worker_connections(settings: &Settings) -> usize {
    (descriptors(settings) / WORKER_DESCRIPTORS_PART) as usize
}

fn probes() -> PortLimits {
    let memory_bytes = 2 * PROBE_CONNECTIONS * CLIENT_CONNECTION_BYTES;
    let mut limits = PortLimits::new(
        memory_bytes as u64,
        PROBE_CONNECTIONS as u64,
        CLIENT_CONNECTION_BYTES,
    );
    limits.timeouts = Timeouts {
        head_ms: 2_000,
        first_request_ms: 2_000,
        idle_ms: Some(5_000),
    };
    limits.write_timeout_ms = 2_000;
    limits
}

/// Limits of the readiness port.
pub fn readiness() -> PortLimits {
    probes()
}

/// Limits of the metrics port. Scrapes may be many seconds apart.
pub fn metrics() -> PortLimits {
    let mut limits = probes();
    limits.timeouts.idle_ms = Some(DEFAULT_TIMEOUT_MS);
    limits
}
