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

use crate::{
    http,
    json::Json,
    proxy::{self, Held},
    store::Store,
    worker,
};

/// Capacity of a minion, in thousandths of a core.
pub const CPU: u64 = 16_000;
pub const HOLD_MAX_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 3_000;
/// How long a ticket of the advice service is valid.
const TICKET_VALID_MS: u64 = 2_500;

/// What the deployment of a case looks like.
#[derive(Clone, Copy)]
pub struct Shape {
    pub hosts: usize,
    pub minions: usize,
    /// Attempts of the queue `/batch/`.
    pub attempts: u32,
    /// Whether that queue has advice, so that minions want a ticket.
    pub advice: bool,
    /// Number of minions of the kind `b`; the others are of the kind `a`.
    pub kind_b: usize,
    /// Whether hosts reach the minions through proxies.
    pub has_proxies: bool,
}

/// A configuration with the queue `/other/` and, if it is to be there, `/batch/`.
fn configuration(version: u64, shape: Shape, has_batch: bool) -> String {
    let route = |name: &str, advice: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"jobs.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"service\":\"pool\",\"priority\":1,\
             \"attempts\":{},\"stretch\":2.2,\"target_duration_ms\":3000{advice}}}",
            shape.attempts
        )
    };
    let advice = format!(",\"advice\":{{\"decide_ms\":20,\"each_ms\":0.5,\"valid_ms\":{TICKET_VALID_MS}}}");
    let mut routes = vec![route("other", "")];
    if has_batch {
        routes.push(route("batch", if shape.advice { &advice } else { "" }));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\
         \"services\":[{{\"name\":\"pool\",\"admission_control\":false,\"standby\":false}}],\
         \"limits\":{{\"max_body_bytes\":262144}}}}",
        routes.join(",")
    )
}

/// The advice service: all minions may run each step. A ticket names the step, the minion and the time
/// until which it is valid.
fn advise(request: &http::Request) -> (u16, String) {
    let Some(body) = Json::parse(&request.body) else {
        return (400, "{}".to_owned());
    };
    let (step, workers) = (body.get("step").text(), body.get("workers").list());
    thread::sleep(Duration::from_millis(20 + workers.len() as u64 / 2));
    let until_ms = worker::unix_ms() + TICKET_VALID_MS;
    let rows = workers.iter().map(|id| {
        let id = id.text();
        format!("[\"{id}\",\"{step}/{id}/{until_ms}\"]")
    });
    let rows = rows.collect::<Vec<_>>().join(",");
    (200, format!("{{\"good\":[{rows}],\"valid_ms\":{TICKET_VALID_MS}}}"))
}

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

/// Free ports below the range of ephemeral ports, from one that depends on this process.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    const PORTS: std::ops::Range<u32> = 12_000..32_000;
    let span = PORTS.end - PORTS.start;
    let first = std::process::id().wrapping_mul(397) % span;
    let port = |n: u32| (PORTS.start + (first + n) % span) as u16;
    let addresses = (0..span).map(|n| SocketAddr::from(([127, 0, 0, 1], port(n))));
    addresses.filter(|address| TcpListener::bind(address).is_ok()).take(count).collect()
}

pub struct Minion {
    pub address: SocketAddr,
    /// Address in its entry: that of the proxy before it.
    entry_address: SocketAddr,
    pub id: String,
    rack: String,
    kind: String,
    lives: usize,
    child: Option<Child>,
    log: PathBuf,
}

pub struct Rig {
    pub record: Arc<Record>,
    pub minions: Vec<Minion>,
    pub fronts: Vec<SocketAddr>,
    hosts: Vec<Child>,
    pub folder: PathBuf,
    /// Orders that the proxies hold back.
    pub held: Arc<Held>,
    store_address: SocketAddr,
    advice_address: SocketAddr,
    shape: Shape,
    store: Arc<Store>,
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
    pub fn start(program: &str, record: Arc<Record>, shape: Shape) -> Option<Self> {
        let Shape { hosts, minions, .. } = shape;
        let folder = std::env::temp_dir().join(format!("review-rig-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let listener = free_listener();
        let store_address = listener.local_addr().ok()?;
        let store = Store::start(listener);
        store.write("op/config", &configuration(3, shape, true));
        let listener = free_listener();
        let advice_address = listener.local_addr().ok()?;
        http::serve(listener, advise);
        let mut rig = Self {
            record,
            minions: Vec::new(),
            fronts: Vec::new(),
            hosts: Vec::new(),
            folder,
            held: Arc::default(),
            store_address,
            advice_address,
            shape,
            store,
            logs: Vec::new(),
        };
        let addresses = free_addresses(minions + 4 * hosts);
        let (of_minions, of_hosts) = addresses.split_at(minions);
        for (number, &address) in of_minions.iter().enumerate() {
            let listener = free_listener();
            let entry_address = listener.local_addr().ok()?;
            if shape.has_proxies {
                proxy::start(listener, address, Arc::clone(&rig.held));
            }
            rig.minions.push(Minion {
                address,
                entry_address: if shape.has_proxies { entry_address } else { address },
                id: String::new(),
                rack: format!("r1-{}", number / 8),
                kind: if number < shape.kind_b { "b" } else { "a" }.to_owned(),
                lives: 0,
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
             bounds.gang_timeout_ms=3000\nbounds.status_s=120\norders=call\nadvice={}\nplatform.address={}\nplatform.form=kv\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
             platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\ncloud.duties=\n",
            peers.port(),
            peers.port(),
            self.advice_address,
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
        let id = format!("i-{number:04x}{:04x}", self.minions[number].lives + 1);
        self.start_life(number, &id, CPU);
    }

    /// Starts a minion's next life at the same address.
    pub fn start_life(&mut self, number: usize, id: &str, cpu: u64) {
        let minion = &mut self.minions[number];
        minion.lives += 1;
        minion.id = id.to_owned();
        minion.log = self.folder.join(format!("minion-{id}-{}.log", minion.lives));
        let program = std::env::current_exe().expect("this program has a path");
        let child = Command::new(program)
            .args(["worker", id, &minion.address.to_string(), &minion.entry_address.to_string(), &minion.rack])
            .args([self.store_address.to_string(), HOLD_MAX_MS.to_string()])
            .arg(if self.shape.advice { "ticket" } else { "free" })
            .args([cpu.to_string(), minion.kind.clone()])
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

    /// Writes a configuration without the queue `/batch/`, as the operator does.
    pub fn drop_queue(&self) {
        self.store.write("op/config", &configuration(5, self.shape, false));
        self.record.line("operator: version 5 is acknowledged, without the route of /batch/");
    }

    /// Takes the platform's store down, or up again.
    pub fn set_store_down(&self, down: bool) {
        self.store.set_down(down);
        self.record.line(if down { "the store is down" } else { "the store is back" });
    }

    /// The lines that each life of a minion has recorded.
    pub fn lives(&self) -> Vec<Vec<String>> {
        let logs = self.logs.iter().filter(|log| log.to_string_lossy().contains("minion-"));
        let lines = |log: &PathBuf| fs::read_to_string(log).unwrap_or_default().lines().map(str::to_owned).collect();
        logs.map(lines).collect()
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
