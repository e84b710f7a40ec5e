//! A small deployment of processes: hosts with the program of the deploy file, minions, a store.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, store::Store, worker};

pub const HOLD_MAX_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 3_000;

/// Writes what was sent, answered and run.
pub struct Record(Mutex<File>);

impl Record {
    pub fn create(path: &str) -> Self {
        Self(Mutex::new(File::create(path).expect("the record can be written")))
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().expect("no panic with the lock");
        let _written = writeln!(file, "{} {text}", worker::unix_ms());
    }
}

fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("loopback has a free port")
}

/// Free ports; all listeners are held until all ports are known, so that they differ.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count).map(|_| free_listener()).collect();
    listeners.iter().map(|l| l.local_addr().expect("a local address")).collect()
}

pub struct Minion {
    pub address: SocketAddr,
    rack: String,
    lives: usize,
    number: usize,
    child: Option<Child>,
    log: PathBuf,
}

pub struct Rig {
    pub record: Arc<Record>,
    pub minions: Vec<Minion>,
    pub fronts: Vec<SocketAddr>,
    hosts: Vec<Child>,
    pub folder: PathBuf,
    store_address: SocketAddr,
    _store: Arc<Store>,
    logs: Vec<PathBuf>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        let minions = self.minions.iter_mut().filter_map(|minion| minion.child.as_mut());
        for child in minions.chain(self.hosts.iter_mut()) {
            let _killed = child.kill();
            let _reaped = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Rig {
    /// Starts a deployment; `None` if it doesn't become ready.
    pub fn start(program: &str, record: Arc<Record>, hosts: usize, minions: usize, attempts: u32) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-rig-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let listener = free_listener();
        let store_address = listener.local_addr().ok()?;
        let store = Store::start(listener);
        store.write(
            "op/config",
            &format!(
                "{{\"version\":3,\"routes\":[{{\"name\":\"r-batch\",\"host\":\"jobs.example\",\"prefix\":\"/batch/\",\
                 \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"service\":\"pool\",\"priority\":1,\
                 \"attempts\":{attempts},\"stretch\":2.2,\"target_duration_ms\":3000}}],\
                 \"services\":[{{\"name\":\"pool\",\"admission_control\":false,\"standby\":false}}],\
                 \"limits\":{{\"max_body_bytes\":262144}}}}"
            ),
        );
        let mut rig = Self {
            record,
            minions: Vec::new(),
            fronts: Vec::new(),
            hosts: Vec::new(),
            folder,
            store_address,
            _store: store,
            logs: Vec::new(),
        };
        let addresses = free_addresses(minions + 4 * hosts);
        let (of_minions, of_hosts) = addresses.split_at(minions);
        for (number, &address) in of_minions.iter().enumerate() {
            rig.minions.push(Minion {
                address,
                rack: format!("r1-{}", number / 8),
                lives: 0,
                number,
                child: None,
                log: PathBuf::new(),
            });
            rig.start_minion(number);
        }
        for (number, ports) in of_hosts.chunks(4).enumerate() {
            rig.start_host(program, number, ports)?;
        }
        let until = Instant::now() + Duration::from_secs(10);
        while rig.host_logs().matches("lead-settled").count() == 0 || rig.heard() < minions {
            if Instant::now() > until {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        Some(rig)
    }

    fn host_logs(&self) -> String {
        let hosts = self.logs.iter().filter(|log| log.to_string_lossy().contains("host-"));
        hosts.map(|log| fs::read_to_string(log).unwrap_or_default()).collect()
    }

    fn heard(&self) -> usize {
        self.host_logs().matches("worker-heard").count()
    }

    fn start_host(&mut self, program: &str, number: usize, ports: &[SocketAddr]) -> Option<()> {
        let [front, ready, control, peers] = ports else {
            return None;
        };
        let settings = self.folder.join(format!("host-{number}.conf"));
        let text = format!(
            "node=edge-a-{number}\nrole=entry\nclass=edge\nserves=edge\nip=127.0.0.1\nzone=a\nregion=r\nzones.a=r\n\
             listen.front={front}\nlisten.ready={ready}\nlisten.control={control}\nport_range={},{}\nseeds=\n\
             bootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1500\nbounds.drain_ms=3000\n\
             bounds.grace_s=6\nbounds.hold_max_ms={HOLD_MAX_MS}\nbounds.stop_timeout_ms=900\n\
             bounds.gang_timeout_ms=3000\nbounds.status_s=120\norders=call\nplatform.address={}\nplatform.form=kv\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
             platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\ncloud.duties=\n",
            peers.port(),
            peers.port(),
            self.store_address
        );
        fs::write(&settings, text).ok()?;
        let log = self.folder.join(format!("host-{number}.log"));
        let child = Command::new(program)
            .args(["--log-level", "info"])
            .env("HICKORYCHUTE_BOOT", &settings)
            .stdout(Stdio::from(File::create(&log).ok()?))
            .spawn()
            .ok()?;
        self.hosts.push(child);
        self.logs.push(log);
        self.fronts.push(*front);
        Some(())
    }

    /// Starts a minion's next life, under an id of its own at the same address.
    pub fn start_minion(&mut self, number: usize) {
        let minion = &mut self.minions[number];
        minion.lives += 1;
        let id = format!("i-{:04x}{:04x}", minion.number, minion.lives);
        minion.log = self.folder.join(format!("minion-{id}.log"));
        let program = std::env::current_exe().expect("this program has a path");
        let child = Command::new(program)
            .args(["worker", &id, &minion.address.to_string(), &minion.rack])
            .args([self.store_address.to_string(), HOLD_MAX_MS.to_string()])
            .stdout(Stdio::from(File::create(&minion.log).expect("the log can be written")))
            .spawn()
            .expect("the process starts");
        minion.child = Some(child);
        self.logs.push(minion.log.clone());
        self.record.line(&format!("minion {number} starts as {id}"));
    }

    /// Kills a minion's process.
    pub fn kill_minion(&mut self, number: usize) {
        if let Some(mut child) = self.minions[number].child.take() {
            let _killed = child.kill();
            let _reaped = child.wait();
            self.record.line(&format!("minion {number} is killed"));
        }
    }

    /// The lines that all minions have recorded.
    pub fn minion_lines(&self) -> Vec<String> {
        let minions = self.logs.iter().filter(|log| log.to_string_lossy().contains("minion-"));
        let text: String = minions.map(|log| fs::read_to_string(log).unwrap_or_default()).collect();
        text.lines().map(str::to_owned).collect()
    }

    /// The project's own log lines that name a job.
    pub fn host_lines(&self, word: &str) -> Vec<String> {
        self.host_logs().lines().filter(|line| line.contains(word)).map(str::to_owned).collect()
    }
}

/// Calls a queue as a client does; `None` if there is no answer.
pub fn client_call(front: SocketAddr, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
    let headers = format!("host: jobs.example\r\nx-deadline-ms: {DEADLINE_MS}\r\n");
    let timeout = Duration::from_millis(DEADLINE_MS);
    let (status, body) = http::call(front, method, &format!("/batch/{id}"), &headers, body, timeout)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

pub fn exists(path: &str) -> bool {
    Path::new(path).exists()
}
