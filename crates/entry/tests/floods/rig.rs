//! Starts entry host processes with lowered limits against the stand-in platform.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use platform_standin::Platform;
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Time limit of each wait for an event.
const EVENT_LIMIT: Duration = Duration::from_secs(20);
/// Time limit of one request, as an ordinary client has it.
const REQUEST_LIMIT: Duration = Duration::from_secs(3);

/// Address space of a process, in bytes: far above the memory that the settings allow.
const MAX_ADDRESS_SPACE_BYTES: u64 = 2 << 30;
/// Interval between two looks at the queues of the kernel.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of looks without a change after which nothing more is taken.
const UNCHANGED_LOOKS: u32 = 6;

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory, and bytes in the kernel's queues of its sockets, in kibibytes.
    pub memory_kib: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Bytes in the kernel's queues of the connections at a port. Those of the listener are connections
/// that wait to be accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Queues {
    own: u64,
    remote: u64,
}

impl Queues {
    fn of(port: u16) -> Self {
        let port = format!(":{port:04X}");
        let table =
            fs::read_to_string("/proc/net/tcp").expect("the table of connections is readable");
        let mut queues = Self::default();
        // Columns: number, local address, remote address, state, both queues.
        for line in table.lines().skip(1) {
            let columns: Vec<&str> = line.split_whitespace().collect();
            let queued: u64 = columns[4]
                .split(':')
                .filter_map(|queue| u64::from_str_radix(queue, 16).ok())
                .sum();
            if columns[1].ends_with(&port) {
                queues.own += queued;
            } else if columns[2].ends_with(&port) {
                queues.remote += queued;
            }
        }
        queues
    }

    fn own_kib(self) -> u64 {
        self.own >> 10
    }
}

/// Memory and descriptors that the settings give to the process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Memory, in mebibytes.
    pub memory_mb: u64,
    /// Open descriptors.
    pub max_fds: u64,
}

/// A host process and its platform. Dropping it kills the process.
#[derive(Debug)]
pub struct Rig {
    /// Address for client requests.
    pub clients: SocketAddr,
    /// Address of the readiness probe.
    pub readiness: SocketAddr,
    /// Address for the other hosts.
    pub peers: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    process: Child,
    settings: PathBuf,
    log: PathBuf,
    folder: tempfile::TempDir,
    _platform: Arc<Platform>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ended = self.process.kill();
        let _reaped = self.process.wait();
    }
}

/// A configuration with one queue, at `/batch/`, and this time limit for heads.
pub fn config(header_timeout_ms: u64) -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "batch", "host": "jobs.example", "prefix": "/batch/",
            "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 600,
            "priority": 0, "service": "pool", "attempts": 2, "stretch": 2.0,
        }],
        "services": [{"name": "pool", "admission_control": false, "standby": false}],
        "limits": {
            "max_body_bytes": 262_144, "max_header_bytes": 16_384,
            "header_timeout_ms": header_timeout_ms, "idle_timeout_ms": 15_000,
        },
    })
}

fn spawn(settings: &Path, log: &Path, metrics_port: u16) -> Child {
    let out = fs::File::create(log).expect("the log file is created");
    let process = Command::new(env!("CARGO_BIN_EXE_hickory-entry"))
        .env("HICKORYCHUTE_BOOT", settings)
        .env("HICKORY_METRICS_PORT", metrics_port.to_string())
        .stdout(Stdio::from(out))
        .spawn()
        .expect("the process starts");
    // A process without bounds must not take the memory of the machine that runs the test.
    let limit = Rlimit {
        current: Some(MAX_ADDRESS_SPACE_BYTES),
        maximum: Some(MAX_ADDRESS_SPACE_BYTES),
    };
    let pid = Pid::from_child(&process);
    prlimit(Some(pid), Resource::As, limit).expect("the process's limits can be set");
    process
}

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("the listener has an address")
}

impl Rig {
    /// Starts the process and waits until it leads a cell with one worker.
    pub async fn start(limits: ProcessLimits) -> Self {
        let platform = Platform::start(1).await;
        platform.write_config(&config(3_000));
        Self::start_host(0, limits, &Arc::new(platform)).await
    }

    /// Starts one process after the other, which form one cell with this platform. The first one leads
    /// it.
    pub async fn start_cell(
        hosts: usize,
        limits: ProcessLimits,
        platform: &Arc<Platform>,
    ) -> Vec<Self> {
        let mut rigs = Vec::new();
        for number in 0..hosts {
            rigs.push(Self::start_host(number, limits, platform).await);
        }
        rigs
    }

    async fn start_host(number: usize, limits: ProcessLimits, platform: &Arc<Platform>) -> Self {
        let folder = tempfile::tempdir().expect("a temporary directory is created");
        let [clients, readiness, peers, metrics] = [(); 4].map(|()| unused_address());
        let settings = folder.path().join("host.conf");
        let text = format!(
            "node=edge-{number}\nzone=a\nregion=r\nip=127.0.0.1\nlisten.front={clients}\n\
             listen.ready={readiness}\nport_range={},{}\nplatform.address={}\nbounds.grace_s=6\n\
             limits.memory_mb={}\nlimits.max_fds={}\n",
            peers.port(),
            peers.port() + 1,
            platform.store_address,
            limits.memory_mb,
            limits.max_fds,
        );
        fs::write(&settings, text).expect("the settings file is written");
        let log = folder.path().join("host.log");
        let process = spawn(&settings, &log, metrics.port());
        let rig = Self {
            clients,
            readiness,
            peers,
            metrics,
            process,
            settings,
            log,
            folder,
            _platform: Arc::clone(platform),
        };
        let until = Instant::now() + EVENT_LIMIT;
        let events: &[&str] = match number {
            0 => &["config-applied", "lead-settled", "worker-heard"],
            _ => &["config-applied"],
        };
        while !events.iter().all(|event| rig.log().contains(event)) {
            assert!(Instant::now() < until, "no settled host: {}", rig.log());
            time::sleep(Duration::from_millis(30)).await;
        }
        rig
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        // The process may have ended already.
        let _sent = kill_process(Pid::from_child(&self.process), signal);
    }

    /// Starts the process again, after it has ended or has been killed. Its earlier log is kept.
    pub fn restart(&mut self, number: usize) {
        let _ended = self.process.kill();
        let _reaped = self.process.wait();
        self.log = self.folder.path().join(format!("host-{number}.log"));
        self.process = spawn(&self.settings, &self.log, self.metrics.port());
    }

    /// The process's log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether the process still runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// A line of the process's status, in kibibytes; 0 if the process has ended.
    fn memory_kib(&self, name: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    }

    /// Waits until the process has taken what was sent to its port, or takes no more of it, and
    /// returns the most that it used meanwhile.
    pub async fn settle(&self, port: u16) -> Usage {
        let mut most = Usage::default();
        let mut last = None;
        let mut unchanged = 0;
        let until = Instant::now() + EVENT_LIMIT;
        while unchanged < UNCHANGED_LOOKS && Instant::now() < until {
            let (queues, descriptors) = (Queues::of(port), self.descriptors());
            most.memory_kib = most
                .memory_kib
                .max(self.memory_kib("VmRSS:") + queues.own_kib());
            most.descriptors = most.descriptors.max(descriptors);
            let seen = Some((queues, descriptors));
            unchanged = if last == seen { unchanged + 1 } else { 0 };
            last = seen;
            time::sleep(LOOK_INTERVAL).await;
        }
        most.memory_kib = most.memory_kib.max(self.memory_kib("VmHWM:"));
        most
    }

    /// What the process uses now, with the most resident memory that it has had.
    pub fn usage(&self, port: u16) -> Usage {
        let queued_kib = Queues::of(port).own_kib();
        Usage {
            memory_kib: self.memory_kib("VmHWM:") + queued_kib,
            descriptors: self.descriptors(),
        }
    }

    /// Resident memory now, in kibibytes; 0 if the process has ended.
    pub fn resident_kib(&self) -> u64 {
        self.memory_kib("VmRSS:")
    }

    /// Number of open descriptors; 0 if the process has ended.
    fn descriptors(&self) -> u64 {
        let folder = fs::read_dir(format!("/proc/{}/fd", self.process.id()));
        folder.map_or(0, |entries| entries.count() as u64)
    }
}

/// Sends a request on a connection of its own, and returns the status; 0 without an answer.
pub async fn request_status(address: SocketAddr, request: &[u8]) -> u16 {
    let answer = response(address, request).await;
    let status = answer.split(' ').nth(1);
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Sends a request on a connection of its own, and returns the begin of the response; nothing without
/// an answer.
pub async fn response(address: SocketAddr, request: &[u8]) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request).await.ok()?;
        let mut answer = Vec::new();
        let mut part = [0; 4 << 10];
        while !answer.windows(2).any(|pair| pair == b"\r\n") {
            let length = stream.read(&mut part).await.ok().filter(|&read| read > 0)?;
            answer.extend_from_slice(&part[..length]);
        }
        Some(String::from_utf8_lossy(&answer).into_owned())
    };
    let answer = time::timeout(REQUEST_LIMIT, exchange).await;
    answer.ok().flatten().unwrap_or_default()
}

/// Repeats a request as long as it is refused, and returns the last status.
pub async fn served_status(address: SocketAddr, request: &[u8]) -> u16 {
    let until = Instant::now() + EVENT_LIMIT;
    loop {
        let status = request_status(address, request).await;
        if status == 200 || Instant::now() >= until {
            return status;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}
