//! A small deployment on loopback: the store, the advice service, workers, and entry hosts as processes
//! of their own.

use std::{
    env, fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Server},
    json::{Json, quote},
    record::Record,
    store::Store,
    worker::{self, Worker},
};

pub const DOMAIN: &str = "nony24.example";
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time of silence after which a worker's entry is removed.
const LAPSE: Duration = Duration::from_millis(4_500);
/// Time that clients wait for an answer, in milliseconds.
pub const DEADLINE_MS: u64 = 3_000;
/// Times that a client sends a request again.
const RETRIES: usize = 4;
pub const ZONE: &str = "muc-ost";
/// The zone whose host has less processor than the others.
pub const SMALL_ZONE: &str = "lan-sued";
const ZONES: [&str; 3] = [ZONE, "ros-nord", SMALL_ZONE];

pub struct Host {
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("the log can be written");
        let child = Command::new("target/release/hickory-entry")
            .args(["--log-level", "info"])
            .env_clear()
            .env("HICKORYCHUTE_BOOT", &self.settings)
            .stdout(Stdio::from(log.try_clone().expect("a log has a copy")))
            .stderr(Stdio::from(log))
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the program has been built"));
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _reaped = child.wait();
        }
    }
}

pub struct Cell {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub hosts: Vec<Host>,
    ended: Arc<AtomicBool>,
    servers: Vec<Server>,
    folder: PathBuf,
    next_host: usize,
}

/// Ports outside of the range of outgoing connections, from which a closed one could be taken.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// Ports that one deployment takes at most.
const PORTS_PER_CELL: u16 = 160;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// The first of `count` free ports that this process has not used.
fn free_ports(count: u16) -> u16 {
    let cells = PORTS.len() as u32 / u32::from(PORTS_PER_CELL);
    let own = (std::process::id() % cells) as u16 * PORTS_PER_CELL;
    loop {
        let used = NEXT_PORT.fetch_add(count, Ordering::SeqCst);
        let offset = (u32::from(own) + u32::from(used)) % (PORTS.len() as u32 - u32::from(count));
        let first = PORTS.start + offset as u16;
        let is_free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (first..first + count).all(is_free) {
            return first;
        }
    }
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_ports(1)))
}

impl Cell {
    /// Starts a deployment with this configuration, and waits until it is ready for traffic.
    pub fn start(
        hosts: usize,
        (workers, zone): (usize, &'static str),
        has_advice: bool,
        config: &str,
    ) -> Cell {
        let record = Arc::new(Record::new());
        let store = Arc::new(Store::new());
        let ended = Arc::new(AtomicBool::new(false));
        let folder = env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        store.put("op/config", config);
        record.say("operator", format!("wrote {config}"));
        let (store_address, advice_address) = (free_address(), free_address());
        let serving = Arc::clone(&store);
        let servers = vec![
            Server::start(store_address, Arc::new(move |call| serving.answer(&call))),
            Server::start(advice_address, Arc::new(|call| advise(&call))),
        ];
        let workers: Vec<Arc<Worker>> = (0..workers)
            .map(|number| Worker::start(number, zone, free_address(), has_advice, &record))
            .collect();
        let mut cell = Cell {
            record,
            store,
            workers,
            hosts: Vec::new(),
            ended,
            servers,
            folder,
            next_host: 0,
        };
        cell.beat();
        for number in 0..hosts {
            cell.add_host(number, store_address, advice_address);
        }
        for host in &mut cell.hosts {
            host.start();
        }
        let until = Instant::now() + Duration::from_secs(10);
        let is_ready = |host: &Host| {
            let ready = http::call(host.ready, "GET", "/hickorychute/ready", "x", "", 500);
            ready.is_some_and(|reply| reply.status == 200)
        };
        while !cell.hosts.iter().all(is_ready) {
            if Instant::now() > until {
                eprintln!("the hosts are not ready");
                drop(cell);
                std::process::exit(2);
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Traffic starts some time after the machines do.
        thread::sleep(Duration::from_secs(5));
        cell.record.say("rig", "traffic may start");
        cell
    }

    fn add_host(&mut self, number: usize, store: SocketAddr, advice: SocketAddr) {
        let (front, ready, control) = (free_address(), free_address(), free_address());
        let first = free_ports(16);
        let zone = ZONES[number % ZONES.len()];
        // A host with less processor does not lead if it can be avoided.
        let cpu_share = if zone == SMALL_ZONE { "0.12" } else { "0.25" };
        let text = format!(
            "node=edge-{zone}-{number}\nrole=entry\nclass=edge\nserves=edge\nip=127.0.0.1\nzone={zone}\n\
             region=obb\nzones.muc-ost=obb\nzones.lan-sued=obb\nzones.ros-nord=obb\nlisten.front={front}\n\
             listen.ready={ready}\nlisten.control={control}\nport_range={first},{}\nseeds=\nbootstrap=true\n\
             in_tolerance=false\nlimits.cpu_share={cpu_share}\nlimits.cores=1\nlimits.memory_mb=260\n\
             limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat_ms=1500\ncontracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
             bounds.stable_window_ms=4000\nbounds.ack_timeout_ms=5000\nbounds.drain_ms=3000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\n\
             bounds.hold_max_ms=6000\nbounds.stop_timeout_ms=200\nbounds.gang_timeout_ms=3000\n\
             bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\n\
             bounds.status_s=120\nbounds.cross_rack_factor=1.5\nbounds.checkpoint_interval_s=1\n\
             bounds.restore_ms=250\nbounds.pace_ms=100\nbounds.harm_ms=4000\norders=call\nadvice={advice}\n\
             platform.address={store}\nplatform.form=kv\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n\
             platform.ttl_min_ms=1000\n",
            first + 15,
        );
        let settings = self.folder.join(format!("edge-{number}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        self.hosts.push(Host {
            front,
            ready,
            settings,
            log: self.folder.join(format!("edge-{number}.log")),
            child: None,
        });
    }

    /// Keeps the workers' entries in the store; one lapses after some heartbeats of silence.
    fn beat(&self) {
        let (store, workers) = (Arc::clone(&self.store), self.workers.clone());
        let ended = Arc::clone(&self.ended);
        let mut heard = vec![Some(Instant::now()); workers.len()];
        for worker in &workers {
            enter(&store, worker);
        }
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                for (worker, heard) in workers.iter().zip(&mut heard) {
                    if enter(&store, worker) {
                        *heard = Some(Instant::now());
                    } else if heard.is_some_and(|heard| heard.elapsed() > LAPSE) {
                        *heard = None;
                        store.remove(&format!("servers/{}", worker.id));
                    }
                }
            }
        });
    }

    /// Starts a worker's process again.

    pub fn write_config(&self, config: &str) {
        self.store.put("op/config", config);
        self.record.say("operator", format!("wrote {config}"));
    }

    /// Sends a request to the hosts in turn, again after no answer, 502 or 504, and after the time that
    /// a refusal names. Returns the last answer.
    pub fn request(&mut self, method: &str, path: &str, body: &str) -> Option<Reply> {
        let mut last = None;
        for _ in 0..=RETRIES {
            self.next_host += 1;
            let number = self.next_host % self.hosts.len();
            let front = self.hosts[number].front;
            last = http::call(front, method, path, DOMAIN, body, DEADLINE_MS);
            let status = last.as_ref().map_or(0, |reply| reply.status);
            let answer = last.as_ref().map_or("", |reply| &reply.body);
            self.record.say(
                "client",
                format!("{method} {path} {body} -> host {number}: {status} {answer}"),
            );
            let wait_s = last.as_ref().and_then(|reply| reply.retry_after_s);
            match status {
                429 | 503 => thread::sleep(Duration::from_secs(wait_s.unwrap_or(1))),
                0 | 502 | 504 => {}
                _ => return last,
            }
        }
        last
    }

    /// Hands a job in; returns whether it was accepted.
    pub fn submit(&mut self, prefix: &str, id: &str, spec: &str, steps: &str) -> bool {
        let body = format!(r#"{{"spec":{},"steps":[{steps}]}}"#, quote(spec));
        let reply = self.request("POST", &format!("{prefix}{id}"), &body);
        reply.is_some_and(|reply| reply.status == 200)
    }

    /// The state of a job as shown to clients, or the status if there is none.
    pub fn state(&mut self, prefix: &str, id: &str) -> String {
        match self.request("GET", &format!("{prefix}{id}"), "") {
            Some(reply) if reply.status == 200 => {
                let body = Json::parse(reply.body.as_bytes()).unwrap_or(Json::Null);
                body.get("state").text().to_owned()
            }
            Some(reply) => reply.status.to_string(),
            None => "none".to_owned(),
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        self.hosts.iter_mut().for_each(Host::kill);
        self.servers.iter_mut().for_each(Server::stop);
        match env::var_os("KEEP") {
            Some(_) => eprintln!("logs are kept in {}", self.folder.display()),
            None => {
                let _removed = fs::remove_dir_all(&self.folder);
            }
        }
    }
}

fn enter(store: &Store, worker: &Worker) -> bool {
    let Some(entry) = worker.entry() else {
        return false;
    };
    store.put(&format!("servers/{}", worker.id), &entry);
    true
}

/// The advice service: every worker may run every step.
fn advise(call: &http::Request) -> http::Answer {
    let body = Json::parse(&call.body)?;
    let step = body.get("step").text();
    let row = |worker: &Json| {
        let ticket = quote(&worker::ticket(step, worker.text()));
        format!("[{},{ticket}]", quote(worker.text()))
    };
    let rows: Vec<String> = body.get("workers").list().iter().map(row).collect();
    thread::sleep(Duration::from_millis(20));
    Some((
        200,
        format!(r#"{{"good":[{}],"valid_ms":2500}}"#, rows.join(",")),
    ))
}
