//! Starts entry hosts as processes against the stand-in platform, and sends requests to them.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU16, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use platform_standin::Platform;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{self, TcpStream, tcp},
    time,
};

/// An entry host process.
#[derive(Debug)]
pub struct Host {
    /// Host name in the settings.
    pub name: String,
    /// Address for client requests.
    pub clients: SocketAddr,
    /// Address of the readiness probe.
    pub readiness: SocketAddr,
    process: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Host {
    /// Sends `signal` to the process; panics if the process has been reaped.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.process);
        kill_process(pid, signal).expect("the process has not been reaped");
    }

    /// Identifier of the process.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) {
        self.process
            .wait()
            .expect("the process is a child of this test");
    }

    /// Address at which the process accepts calls of other hosts.
    pub fn peer_address(&self) -> SocketAddr {
        let text = fs::read_to_string(&self.settings).expect("the settings file is readable");
        let port = text
            .lines()
            .find_map(|line| line.strip_prefix("port_range=")?.split(',').next())
            .and_then(|port| port.parse().ok())
            .expect("the settings name the ports");
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// Appends a line to the settings file. The last line with a given name takes effect.
    pub fn add_setting(&self, line: &str) {
        let text = fs::read_to_string(&self.settings).expect("the settings file is readable");
        fs::write(&self.settings, format!("{text}{line}\n"))
            .expect("the settings file is writable");
    }

    /// The process's log so far; empty if it cannot be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Whether a process has the open connection between two addresses, the first of which is its own.
pub fn has_connection(process: u32, from: SocketAddr, to: SocketAddr) -> bool {
    let Some(inode) = connection_inode(from, to) else {
        return false;
    };
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let socket = format!("socket:[{inode}]");
    descriptors
        .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
        .any(|target| target.as_os_str() == socket.as_str())
}

/// Inode of the socket of an open connection on loopback. Its local port alone may also be that of other
/// connections.
fn connection_inode(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    /// State of an open connection.
    const ESTABLISHED: &str = "01";
    let connections = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local_port, remote_port) = (
        format!(":{:04X}", local.port()),
        format!(":{:04X}", remote.port()),
    );
    // Columns: number, local address, remote address, state; the inode is the tenth.
    connections.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let &[_, from, to, state, _, _, _, _, _, inode, ..] = columns.as_slice() else {
            return None;
        };
        let is_meant = from.ends_with(&local_port) && to.ends_with(&remote_port);
        (is_meant && state == ESTABLISHED).then(|| inode.to_owned())
    })
}

/// A cell: the stand-in platform and its entry hosts. Dropping it kills the hosts.
#[derive(Debug)]
pub struct TestCell {
    /// The stand-in platform.
    pub platform: Platform,
    /// The entry hosts, in the order of their start.
    pub hosts: Vec<Host>,
    folder: tempfile::TempDir,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Drop for TestCell {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            // The process may have exited already.
            let _ended = host.process.kill();
            let _reaped = host.process.wait();
        }
    }
}

/// Response to a client request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status; 0 if the connection failed or timed out.
    pub status: u16,
    /// Body as JSON; null if it is not valid JSON.
    pub body: Value,
    /// Value of `Retry-After`, in seconds.
    pub retry_after_s: Option<u64>,
    /// Value of `WWW-Authenticate`.
    pub challenge: Option<String>,
}

/// First port of the hosts. It lies below the ephemeral range, from which the system could
/// otherwise assign a port to another listener while a host is down.
const FIRST_PORT: u16 = 12_000;
/// Number of ports for hosts; the ephemeral range begins at 32,768.
const PORT_COUNT: u16 = 20_000;

/// Distance of the first ports of successive process identifiers: the golden section of the range
/// keeps those of any few neighbours apart.
const PORT_SPREAD: u64 = 12_361;

/// Offset of the next port to try.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Held while a port is tried and while a process is started: a process that is being started holds
/// all open sockets until it executes its program, and with them the ports that are being tried.
static SOCKETS: Mutex<()> = Mutex::new(());

fn lock_sockets() -> MutexGuard<'static, ()> {
    SOCKETS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An address that no other host of this process uses and no process listens on.
fn unused_address() -> SocketAddr {
    let _sockets = lock_sockets();
    // Concurrent test processes start at ports far from each other, also if they were started one
    // after the other.
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

/// Starts an entry host process; its log goes to a new file.
fn start_process(settings: &Path, log: &Path) -> Child {
    let out = fs::File::create(log).expect("the log file is created");
    let _sockets = lock_sockets();
    Command::new(env!("CARGO_BIN_EXE_hickory-entry"))
        .env("HICKORYCHUTE_BOOT", settings)
        .stdout(Stdio::from(out))
        .spawn()
        .expect("the process starts")
}

impl TestCell {
    /// Starts `hosts` hosts and `workers` workers, and waits until all hosts have a configuration, a
    /// leader has settled and all workers have answered.
    pub async fn start(hosts: usize, workers: usize, advised: bool) -> Self {
        Self::start_with(hosts, workers, advised, "").await
    }

    /// The same, with additional lines in the hosts' settings files.
    pub async fn start_with(hosts: usize, workers: usize, advised: bool, lines: &str) -> Self {
        let platform = Platform::start(workers).await;
        platform.configure(1, &["urgent", "batch"], advised);
        Self::start_on(platform, hosts, lines).await
    }

    /// The same, on a platform that has a configuration.
    pub async fn start_on(platform: Platform, hosts: usize, lines: &str) -> Self {
        let workers = platform.workers.len();
        let folder = tempfile::tempdir().expect("a temporary directory is created");
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(1))
            .build_http();
        let mut test_cell = Self {
            platform,
            hosts: Vec::new(),
            folder,
            client,
        };
        for number in 0..hosts {
            test_cell.add_host(number, lines);
        }
        test_cell
            .wait_until("start and configuration of every host", |test_cell| {
                let configured = |host: &Host| {
                    let log = host.log();
                    log.contains("entry-started") && log.contains("config-applied")
                };
                test_cell.hosts.iter().all(configured)
            })
            .await;
        test_cell
            .wait_until("a settled leader and answers of all workers", |test_cell| {
                test_cell
                    .hosts
                    .iter()
                    .any(|host| host.log().contains("lead-settled"))
                    && test_cell
                        .hosts
                        .iter()
                        .map(|host| host.log().matches("worker-heard").count())
                        .sum::<usize>()
                        >= workers
            })
            .await;
        test_cell
    }

    fn add_host(&mut self, number: usize, lines: &str) {
        let name = format!("edge-{number}");
        let (clients, readiness, peers) = (unused_address(), unused_address(), unused_address());
        let settings = self.folder.path().join(format!("{name}.conf"));
        let text = format!(
            "node={name}\nzone=a\nregion=r\nip=127.0.0.1\nlisten.front={clients}\n\
             listen.ready={readiness}\nport_range={},{}\nplatform.address={}\nadvice={}\n\
             bounds.grace_s=6\nlater.field=1\n{lines}",
            peers.port(),
            peers.port() + 1,
            self.platform.store_address,
            self.platform.advice_address,
        );
        fs::write(&settings, text).expect("the settings file is written");
        let log = self
            .folder
            .path()
            .join(format!("{name}.{}.log", self.hosts.len()));
        let process = start_process(&settings, &log);
        self.hosts.push(Host {
            name,
            clients,
            readiness,
            process,
            settings,
            log,
        });
    }

    /// Kills a host, starts it again, and waits until it has a configuration.
    pub async fn kill_and_restart(&mut self, host: usize) {
        self.hosts[host].signal(Signal::KILL);
        self.hosts[host].wait();
        self.restart(host);
        self.wait_until("configuration of the restarted host", |test_cell| {
            test_cell.hosts[host].log().contains("config-applied")
        })
        .await;
    }

    /// Starts a host again whose process has ended; its log goes to a new file.
    pub fn restart(&mut self, host: usize) {
        let ended = &mut self.hosts[host];
        ended.log.set_extension("restarted.log");
        ended.process = start_process(&ended.settings, &ended.log);
    }

    /// Index of the leader: the host that logged the highest fence.
    pub fn leader(&self) -> usize {
        let taken = |host: &Host| {
            let log = host.log();
            let fences = log.lines().filter(|line| line.contains("lead-taken"));
            let fence = |line: &str| {
                let rest = line.split("fence=").nth(1)?;
                rest.split(' ').next()?.parse::<u64>().ok()
            };
            fences.filter_map(fence).max().unwrap_or(0)
        };
        let highest = self
            .hosts
            .iter()
            .enumerate()
            .max_by_key(|(_, host)| taken(host));
        highest.expect("the cell has at least one host").0
    }

    /// Index of a host that is not the leader.
    pub fn follower(&self) -> usize {
        (self.leader() + 1) % self.hosts.len()
    }

    /// Address of a worker when the leader first read its entry.
    pub fn worker_address(&self, worker: &str) -> SocketAddr {
        let log = self.hosts[self.leader()].log();
        let listed = format!("worker={worker} listed=true ");
        let line = log.lines().find(|line| line.contains(&listed));
        let address = line.and_then(|line| line.split(" address=").nth(1));
        address
            .and_then(|rest| rest.split(' ').next()?.parse().ok())
            .expect("the log names the address")
    }

    /// Sends a client request to a host.
    pub async fn call(&self, host: usize, method: &str, path: &str, body: Option<Value>) -> Reply {
        self.call_address(self.hosts[host].clients, method, path, body)
            .await
    }

    /// Submits a small urgent job with a deadline, in milliseconds.
    pub async fn submit_with_deadline(&self, host: usize, number: u64, timeout_ms: u64) -> Reply {
        let body = json!({
            "spec": "run=50",
            "steps": [{"count": 1, "cpu": 1000, "mem_mb": 10, "estimate_ms": 50}],
        });
        let address = self.hosts[host].clients;
        let path = path("urgent", number);
        self.exchange(address, None, "POST", &path, Some(body), timeout_ms)
            .await
    }

    /// Sends a client request with the value of an `Authorization` header to a host.
    pub async fn call_with_key(
        &self,
        host: usize,
        authorization: &str,
        method: &str,
        path: &str,
        body: Option<Value>,
    ) -> Reply {
        let address = self.hosts[host].clients;
        self.exchange(address, Some(authorization), method, path, body, 3_000)
            .await
    }

    /// Sends a request with a deadline of 3 s to an address.
    pub async fn call_address(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Option<Value>,
    ) -> Reply {
        self.exchange(address, None, method, path, body, 3_000)
            .await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        authorization: Option<&str>,
        method: &str,
        path: &str,
        body: Option<Value>,
        timeout_ms: u64,
    ) -> Reply {
        let body = body.map(|body| body.to_string()).unwrap_or_default();
        let mut request = Request::builder();
        if let Some(authorization) = authorization {
            request = request.header("authorization", authorization);
        }
        let request = request
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("host", "jobs.example")
            .header("x-deadline-ms", timeout_ms.to_string())
            .body(Full::new(Bytes::from(body)))
            .expect("the request is valid");
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let header = response.headers().get("retry-after");
            let retry_after_s = header.and_then(|value| value.to_str().ok()?.parse().ok());
            let header = response.headers().get("www-authenticate");
            let challenge = header.and_then(|value| Some(value.to_str().ok()?.to_owned()));
            let bytes = response.into_body().collect().await.ok()?.to_bytes();
            let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
            Some(Reply {
                status,
                body,
                retry_after_s,
                challenge,
            })
        };
        let broken = Reply {
            status: 0,
            body: Value::Null,
            retry_after_s: None,
            challenge: None,
        };
        time::timeout(Duration::from_secs(4), exchange)
            .await
            .ok()
            .flatten()
            .unwrap_or(broken)
    }

    /// Submits a job with one step of `count` tasks and the payload `text`.
    pub async fn submit(&self, host: usize, path: &str, count: u32, text: &str) -> Reply {
        let body = json!({
            "spec": text,
            "steps": [{"count": count, "cpu": 1000, "mem_mb": 10, "estimate_ms": 200, "later": 1}],
        });
        self.call(host, "POST", path, Some(body)).await
    }

    /// Waits until a job's state is `wanted`; panics after 25 s.
    pub async fn wait_for_state(&self, host: usize, path: &str, wanted: &str) {
        let until = Instant::now() + Duration::from_secs(25);
        let mut last = None;
        while Instant::now() < until {
            let reply = self.call(host, "GET", path, None).await;
            if reply.body["state"] == wanted {
                return;
            }
            last = Some(reply);
            time::sleep(Duration::from_millis(50)).await;
        }
        panic!(
            "{path}: last reply {last:?}, expected state {wanted}; host logs: {}",
            self.log_tails()
        );
    }

    /// Waits until a condition holds; panics after 20 s.
    pub async fn wait_until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let until = Instant::now() + Duration::from_secs(20);
        while !holds(self) {
            assert!(
                Instant::now() < until,
                "timed out waiting for {what}; host logs: {}",
                self.log_tails()
            );
            time::sleep(Duration::from_millis(30)).await;
        }
    }

    fn log_tails(&self) -> String {
        let tail = |host: &Host| {
            let log = host.log();
            let lines: Vec<&str> = log.lines().collect();
            let from = lines.len().saturating_sub(15);
            format!("\n{}:\n{}", host.name, lines[from..].join("\n"))
        };
        self.hosts.iter().map(tail).collect()
    }

    /// Asserts that the stand-in recorded no faults.
    pub fn assert_no_faults(&self) {
        assert_eq!(self.platform.cell.faults(), Vec::<String>::new());
    }
}

/// Request path of a job in a queue.
pub fn path(queue: &str, number: u64) -> String {
    format!("/{queue}/{number:016x}")
}

/// A link that passes all bytes on to an address, after delays that can be changed.
#[derive(Debug)]
pub struct DelayedLink {
    /// Address at which the link accepts connections.
    pub address: SocketAddr,
    request_delay_ms: Arc<AtomicU64>,
    response_delay_ms: Arc<AtomicU64>,
}

impl DelayedLink {
    /// Starts a link to `target` without delays.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has a free port");
        let link = Self {
            address: listener.local_addr().expect("the listener has an address"),
            request_delay_ms: Arc::default(),
            response_delay_ms: Arc::default(),
        };
        let request_delay_ms = Arc::clone(&link.request_delay_ms);
        let response_delay_ms = Arc::clone(&link.response_delay_ms);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::spawn(pass(near_read, far_write, Arc::clone(&request_delay_ms)));
                tokio::spawn(pass(far_read, near_write, Arc::clone(&response_delay_ms)));
            }
        });
        link
    }

    /// Sets the delays of what is read from now on.
    pub fn set_delays(&self, request_ms: u64, response_ms: u64) {
        self.request_delay_ms.store(request_ms, Ordering::Relaxed);
        self.response_delay_ms.store(response_ms, Ordering::Relaxed);
    }
}

/// Passes bytes on until either connection is closed.
async fn pass(mut from: tcp::OwnedReadHalf, mut to: tcp::OwnedWriteHalf, delay_ms: Arc<AtomicU64>) {
    let mut chunk = [0; 4 << 10];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        time::sleep(Duration::from_millis(delay_ms.load(Ordering::Relaxed))).await;
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
