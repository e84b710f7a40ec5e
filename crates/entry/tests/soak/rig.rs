//! Starts a cell of processes and disturbs it.

use std::{
    env, fs,
    net::{SocketAddr, TcpListener},
    ops::Range,
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use platform_standin::{
    Platform,
    process::{CONFIG_ENV_VAR, ProcessConfig},
    registry::Registry,
    run_log,
    view::View,
};
use rustix::process::{Pid, Signal, kill_process};
use tokio::time;

use crate::{
    checker::{History, Life},
    clients::Clients,
    proxy::{LinkState, Proxy},
    tenant_checker::TenantHistory,
    tenants::{self, Tenants},
};

/// Interval between a worker's heartbeats.
const HEARTBEAT_MS: u64 = 1_500;
/// Minimum time for which a worker serves after it has said that it drains.
const DRAIN_MS: u64 = 3_000;
/// Time within which all jobs complete once the last fault is over.
const COMPLETION_LIMIT: Duration = Duration::from_secs(40);
/// Violations shown in the report of a failure; the kept logs have all of them.
const MAX_SHOWN: usize = 3;
/// First port of hosts, workers and proxies, below the ephemeral range.
const FIRST_PORT: u16 = 12_000;
/// Number of these ports.
const PORT_COUNT: u16 = 20_000;
/// Distance of the first ports of successive process identifiers.
const PORT_SPREAD: u64 = 12_361;

/// Offset of the next port to try.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Held while a port is tried and while a process is started, since a process that is being started
/// holds all open sockets until it executes its program.
static SOCKETS: Mutex<()> = Mutex::new(());

fn lock_sockets() -> MutexGuard<'static, ()> {
    SOCKETS.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unused_address() -> SocketAddr {
    let _sockets = lock_sockets();
    let offset = (u64::from(process::id()) * PORT_SPREAD % u64::from(PORT_COUNT)) as u16;
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset + number % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn spawn(command: &mut Command, log: &Path) -> Child {
    let out = fs::File::create(log).expect("the log file is created");
    let _sockets = lock_sockets();
    command
        .stdout(Stdio::from(out))
        .spawn()
        .expect("the process starts")
}

/// This test program, to run one of its entry points of processes. With two test threads, its own
/// output consists of whole lines.
fn own_program(entry_point: &str) -> Command {
    let program = env::current_exe().expect("the test program has a path");
    let mut command = Command::new(program);
    command
        .args([entry_point, "--exact", "--ignored", "--nocapture"])
        .args(["--test-threads", "2"]);
    command
}

/// Links to an address, one for each host's view of it.
fn open_links(address: SocketAddr, views: &[View]) -> Vec<Proxy> {
    let open = |view: &View| {
        let link = Proxy::start(unused_address(), address);
        view.add_link(address, link.address);
        link
    };
    views.iter().map(open).collect()
}

/// A process that a test runs, and its log.
#[derive(Debug)]
struct Process {
    child: Child,
    log: PathBuf,
    killed_ms: Option<u64>,
}

impl Process {
    fn start(command: &mut Command, log: PathBuf) -> Self {
        Self {
            child: spawn(command, &log),
            log,
            killed_ms: None,
        }
    }

    fn signal(&mut self, signal: Signal) {
        if signal == Signal::KILL {
            self.kill();
        } else if self.killed_ms.is_none() {
            kill_process(Pid::from_child(&self.child), signal)
                .expect("the process has not been reaped");
        }
    }

    fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended && self.killed_ms.is_none() {
            self.killed_ms = Some(run_log::machine_ms());
        }
        ended
    }

    fn kill(&mut self) {
        if self.killed_ms.is_none() {
            self.killed_ms = Some(run_log::machine_ms());
            // It may have exited by itself.
            let _killed = self.child.kill();
            let _reaped = self.child.wait();
        }
    }

    fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// A worker: its links, and its processes up to the current one.
#[derive(Debug)]
pub struct Worker {
    /// Calls ordered by hosts, one link for each.
    pub calls: Vec<Proxy>,
    /// Heartbeats.
    pub heartbeats: Proxy,
    config: ProcessConfig,
    lives: Vec<Process>,
}

/// A host: its links, and its processes up to the current one.
#[derive(Debug)]
pub struct Host {
    /// Calls from hosts, one link for each; that from itself is not used.
    pub calls: Vec<Proxy>,
    /// Calls to the store.
    pub store: Proxy,
    settings: PathBuf,
    lives: Vec<Process>,
}

/// Size of a cell, and what its workers do.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of workers.
    pub workers: usize,
    /// Time for which a worker serves beyond the minimum after it has said that it drains.
    pub linger_ms: u64,
}

/// A cell of processes. Dropping it kills them.
#[derive(Debug)]
pub struct Rig {
    /// Its clients.
    pub clients: Arc<Clients>,
    /// Its workers.
    pub workers: Vec<Worker>,
    /// Its hosts.
    pub hosts: Vec<Host>,
    /// Name of the scenario and its seed, for the report of a failure.
    name: String,
    /// Whether the logs are kept.
    keeps_logs: bool,
    spinners: Vec<Process>,
    faults: Vec<Range<u64>>,
    folder: PathBuf,
    platform: Platform,
    registry: Registry,
}

impl Drop for Rig {
    fn drop(&mut self) {
        let workers = self.workers.iter_mut().flat_map(|worker| &mut worker.lives);
        let hosts = self.hosts.iter_mut().flat_map(|host| &mut host.lives);
        let spinners = self.spinners.iter_mut();
        workers.chain(hosts).chain(spinners).for_each(Process::kill);
        if self.keeps_logs || thread::panicking() {
            eprintln!("{}: logs are kept in {}", self.name, self.folder.display());
        } else {
            // A folder that is left behind does no harm.
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Rig {
    /// Starts a cell and waits until its coordinator has heard all workers.
    pub async fn start(name: &str, size: Size) -> Self {
        Self::start_on(Platform::start(0).await, name, size, false).await
    }

    /// The same with tenants and strict revocation of their keys.
    pub async fn start_with_tenants(name: &str, size: Size) -> Self {
        Self::start_on(Platform::start(0).await, name, size, true).await
    }

    async fn start_on(platform: Platform, name: &str, size: Size, has_tenants: bool) -> Self {
        let folder = tempfile::Builder::new()
            .prefix("soak-")
            .tempdir_in(env!("CARGO_TARGET_TMPDIR"));
        let folder = folder.expect("a temporary directory is created").keep();
        let tenants = has_tenants.then(|| Tenants::start(Arc::clone(&platform.store)));
        if !has_tenants {
            platform.configure(1, &["batch"], false);
        }
        let heartbeat = Duration::from_millis(HEARTBEAT_MS);
        let registry = Registry::start(Arc::clone(&platform.store), heartbeat).await;
        let addresses: Vec<SocketAddr> = (0..size.hosts).map(|_| unused_address()).collect();
        let mut rig = Self {
            clients: Arc::new(Clients::new(addresses.clone(), tenants)),
            workers: Vec::new(),
            hosts: Vec::new(),
            name: name.to_owned(),
            keeps_logs: env::var_os("HICKORY_SOAK_KEEP").is_some(),
            spinners: Vec::new(),
            faults: Vec::new(),
            folder,
            platform,
            registry,
        };
        let views: Vec<View> = (0..size.hosts)
            .map(|_| View::new(Arc::clone(&rig.platform.store)))
            .collect();
        for number in 0..size.workers {
            rig.add_worker(number, size.linger_ms, &views);
        }
        for (number, address) in addresses.into_iter().enumerate() {
            rig.add_host(number, address, &views).await;
        }
        for number in 0..size.hosts {
            rig.start_host(number);
        }
        rig.wait_until("a coordinator that has heard all workers", |rig| {
            let logs = rig.hosts.iter().map(Host::log).collect::<String>();
            let heard = logs.matches("worker-heard").count();
            logs.contains("lead-settled") && heard >= size.workers
        })
        .await;
        rig
    }

    fn add_worker(&mut self, number: usize, linger_ms: u64, views: &[View]) {
        let listen = unused_address();
        let calls = open_links(listen, views);
        let heartbeats = Proxy::start(unused_address(), self.registry.address);
        let config = ProcessConfig {
            id: format!("i-{number}"),
            number,
            address: listen,
            registry: heartbeats.address,
            heartbeat_ms: HEARTBEAT_MS,
            drain_ms: DRAIN_MS,
            linger_ms,
            clock_permille: [1_000, 980][number % 2],
        };
        self.workers.push(Worker {
            calls,
            heartbeats,
            config,
            lives: Vec::new(),
        });
        self.start_worker(number);
    }

    /// Starts a worker's next process, which knows nothing of the last one.
    pub fn start_worker(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        worker.lives.iter_mut().for_each(Process::kill);
        let life = worker.lives.len();
        let log = self.folder.join(format!("worker-{number}.{life}.log"));
        let config =
            serde_json::to_string(&worker.config).expect("the configuration is plain data");
        let mut command = own_program("worker_process");
        command.env(CONFIG_ENV_VAR, config);
        worker.lives.push(Process::start(&mut command, log));
    }

    /// Starts another worker, with a new id, at the address of one whose process has ended.
    pub fn replace_worker(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        worker.config.id = format!("i-{number}-{}", worker.lives.len());
        self.start_worker(number);
    }

    async fn add_host(&mut self, number: usize, clients: SocketAddr, views: &[View]) {
        let (readiness, peers) = (unused_address(), unused_address());
        let store_address = self.platform.open_store_view(&views[number]).await;
        let store = Proxy::start(unused_address(), store_address);
        let calls = open_links(peers, views);
        let settings = self.folder.join(format!("edge-{number}.conf"));
        let has_tenants = self.clients.tenants.is_some();
        let lines = has_tenants.then(tenants::settings).unwrap_or_default();
        let text = format!(
            "node=edge-{number}\nzone=a\nregion=r\nip=127.0.0.1\nlisten.front={clients}\n\
             listen.ready={readiness}\nport_range={},{}\nplatform.address={}\nbounds.grace_s=6\n{lines}",
            peers.port(),
            peers.port() + 1,
            store.address,
        );
        fs::write(&settings, text).expect("the settings file is written");
        self.hosts.push(Host {
            calls,
            store,
            settings,
            lives: Vec::new(),
        });
    }

    /// Starts a host's next process.
    pub fn start_host(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        host.lives.iter_mut().for_each(Process::kill);
        let life = host.lives.len();
        let log = self.folder.join(format!("host-{number}.{life}.log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_hickory-entry"));
        command.env("HICKORYCHUTE_BOOT", &host.settings);
        host.lives.push(Process::start(&mut command, log));
        host.set_calls(LinkState::OPEN);
    }

    /// Records that a fault is in effect from now on, for this long.
    pub fn note_fault(&mut self, lasts_ms: u64) {
        let now_ms = run_log::machine_ms();
        self.faults.push(now_ms..now_ms + lasts_ms);
    }

    /// Treats the links of a host to and from the other hosts and the store like this from now on.
    pub fn cut_host(&self, number: usize, state: LinkState) {
        self.hosts[number].store.set(state);
        self.hosts[number].set_calls(state);
        for host in &self.hosts {
            host.calls[number].set(state);
        }
    }

    /// Treats the links between these two and all else like this from now on.
    pub fn cut_off(&self, host: usize, worker: usize, state: LinkState) {
        self.cut_host(host, state);
        for (number, other) in self.workers.iter().enumerate() {
            for (caller, link) in other.calls.iter().enumerate() {
                if (caller == host) != (number == worker) {
                    link.set(state);
                }
            }
        }
    }

    /// Opens all links, resumes all processes, and starts those that have ended.
    pub fn heal(&mut self) {
        for number in 0..self.hosts.len() {
            self.cut_host(number, LinkState::OPEN);
            self.hosts[number].signal(Signal::CONT);
            if self.hosts[number].has_ended() {
                self.start_host(number);
            }
        }
        for number in 0..self.workers.len() {
            self.workers[number].cut(LinkState::OPEN);
            self.workers[number].signal(Signal::CONT);
            if self.workers[number].has_ended() {
                self.replace_worker(number);
            }
        }
    }

    /// Keeps a text with the logs.
    pub fn note(&self, text: &str) {
        fs::write(self.folder.join("plan.txt"), text).expect("the folder is writable");
    }

    /// Starts processes that only use processor time.
    pub fn start_spinners(&mut self, count: usize) {
        for number in 0..count {
            let log = self.folder.join(format!("spinner-{number}.log"));
            let mut command = own_program("spinning_process");
            self.spinners.push(Process::start(&mut command, log));
        }
    }

    /// Index of the coordinator: the host that logged the highest fence.
    pub fn leader(&self) -> usize {
        let fence = |line: &str| -> Option<u64> {
            let rest = line.split("fence=").nth(1)?;
            rest.split(' ').next()?.parse().ok()
        };
        let highest = |host: &Host| {
            let log = host.log();
            let taken = log.lines().filter(|line| line.contains("lead-taken"));
            taken.filter_map(fence).max().unwrap_or(0)
        };
        let hosts = self.hosts.iter().enumerate();
        let leader = hosts.max_by_key(|(_, host)| highest(host));
        leader.expect("the cell has at least one host").0
    }

    /// Index of a worker that runs tasks.
    pub fn busy_worker(&self) -> usize {
        let starts = |worker: &Worker| worker.log().matches("\"started\"").count();
        let workers = self.workers.iter().enumerate();
        let busiest = workers.max_by_key(|(_, worker)| starts(worker));
        busiest.expect("the cell has at least one worker").0
    }

    /// Waits until a condition holds; panics after 30 s.
    pub async fn wait_until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let until = Instant::now() + Duration::from_secs(30);
        while !holds(self) {
            assert!(Instant::now() < until, "timed out waiting for {what}");
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until the jobs are completed, and asserts that no rule was broken.
    pub async fn finish(self) {
        let name = self.name.clone();
        let violations = self.judge().await;
        assert!(
            violations.is_empty(),
            "{name}: {} violations, among them\n{}",
            violations.len(),
            violations[..violations.len().min(MAX_SHOWN)].join("\n")
        );
    }

    /// Waits until the jobs are completed, and returns the rules that were broken.
    pub async fn judge(mut self) -> Vec<String> {
        let open = self.clients.wait_for_completion(COMPLETION_LIMIT).await;
        let history = self.history();
        let mut violations = history.violations();
        if let Some(tenants) = &self.clients.tenants {
            let tenant_history = TenantHistory {
                versions: &tenants.versions(),
                calls: &tenants.calls(),
                runs: &history.runs(),
                faults: &self.faults,
            };
            violations.extend(tenant_history.violations());
            let path = self.folder.join("tenants.txt");
            let (versions, calls) = (tenant_history.versions, tenant_history.calls);
            fs::write(path, format!("{versions:#?}\n{calls:#?}")).expect("the folder is writable");
        }
        violations.extend(
            open.into_iter()
                .map(|id| format!("LOST not completed: {id}")),
        );
        self.keeps_logs |= !violations.is_empty();
        let path = self.folder.join("violations.txt");
        fs::write(path, violations.join("\n")).expect("the folder is writable");
        violations
    }

    fn history(&mut self) -> History {
        let ended_ms = run_log::machine_ms();
        let mut lives = Vec::new();
        for (number, worker) in self.workers.iter().enumerate() {
            for (life, process) in worker.lives.iter().enumerate() {
                let log = process.log();
                // The test program writes lines of its own.
                let events = log
                    .lines()
                    .filter_map(|line| serde_json::from_str(line).ok());
                lives.push(Life {
                    name: format!("worker-{number}.{life}"),
                    events: events.collect(),
                    killed_ms: process.killed_ms,
                });
            }
        }
        History {
            lives,
            jobs: self.clients.jobs(),
            faults: self.faults.clone(),
            ended_ms,
        }
    }
}

impl Worker {
    fn process(&mut self) -> &mut Process {
        self.lives.last_mut().expect("a worker has a process")
    }

    /// Sends a signal to the current process.
    pub fn signal(&mut self, signal: Signal) {
        self.process().signal(signal);
    }

    fn has_ended(&mut self) -> bool {
        self.process().has_ended()
    }

    /// Treats the links to hosts and registry like this from now on.
    pub fn cut(&self, state: LinkState) {
        self.set_calls(state);
        self.heartbeats.set(state);
    }

    /// Treats the links to hosts like this from now on.
    pub fn set_calls(&self, state: LinkState) {
        self.calls.iter().for_each(|link| link.set(state));
    }

    /// The current process's log.
    pub fn log(&self) -> String {
        self.lives.last().map(Process::log).unwrap_or_default()
    }
}

impl Host {
    fn process(&mut self) -> &mut Process {
        self.lives.last_mut().expect("a host has a process")
    }

    /// Sends a signal to the current process; after a kill its address refuses connections.
    pub fn signal(&mut self, signal: Signal) {
        self.process().signal(signal);
        if signal == Signal::KILL {
            self.set_calls(LinkState::REFUSED);
        }
    }

    fn has_ended(&mut self) -> bool {
        self.process().has_ended()
    }

    /// Treats the links from other hosts like this from now on.
    pub fn set_calls(&self, state: LinkState) {
        self.calls.iter().for_each(|link| link.set(state));
    }

    /// The logs of all its processes.
    pub fn log(&self) -> String {
        self.lives.iter().map(Process::log).collect()
    }
}
