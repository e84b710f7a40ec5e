//! A worker of the platform: runs under a lease, ends until they are acknowledged, a fencing token.
//! What a task does stands in its spec: `run=MS`; `last=1` for one that lasts; `fail=1` for a task that fails at its end, and
//! `save=LENGTH` for one that saves checkpoints of this length.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Answer, Request, Server},
    json::{Json, quote},
    record::{Event, Record},
};

pub const CPU: u64 = 16_000;
const MEMORY_MB: u64 = 32_768;
const MAX_HOLD_MS: u64 = 6_000;
const MAX_LISTED_ENDS: usize = 500;
const MAX_WAIT_MS: u64 = 2_000;
/// Workers of one rack.
const RACK: usize = 8;

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn number_in(spec: &str, name: &str, default: u64) -> u64 {
    let mut words = spec.split_whitespace();
    let value = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

struct Run {
    number: u64,
    until: Instant,
    since: Instant,
    fails: bool,
    lasts: bool,
    /// Length of its checkpoints; 0 if it saves none.
    saves: usize,
    /// Work that the checkpoint of its start stands for.
    resumed: Duration,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

/// One life of a worker.
struct Life {
    up: bool,
    born: u64,
    began: Instant,
    seq: u64,
    fence: u64,
    hold_until_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
}

impl Life {
    fn new() -> Life {
        Life {
            up: true,
            born: unix_ms(),
            began: Instant::now(),
            seq: 0,
            fence: 0,
            hold_until_ms: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            closed: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1_000
    }

    fn extend(&mut self, until_ms: u64) {
        let longest_ms = self.clock_ms() + MAX_HOLD_MS;
        self.hold_until_ms = self.hold_until_ms.max(until_ms.min(longest_ms));
    }
}

pub struct Worker {
    pub id: String,
    number: usize,
    zone: &'static str,
    address: SocketAddr,
    /// Whether starts need a ticket of the advice service.
    needs_ticket: bool,
    life: Mutex<Life>,
    ended: Condvar,
    server: Mutex<Option<Server>>,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(
        number: usize,
        zone: &'static str,
        address: SocketAddr,
        needs_ticket: bool,
        record: &Arc<Record>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: format!("i-{:08x}", 0x7f3a_0000 + number),
            number,
            zone,
            address,
            needs_ticket,
            life: Mutex::new(Life::new()),
            ended: Condvar::new(),
            server: Mutex::new(None),
            record: Arc::clone(record),
        });
        worker.listen();
        let driven = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                driven.drive();
            }
        });
        worker
    }

    fn listen(self: &Arc<Self>) {
        let worker = Arc::clone(self);
        let server = Server::start(self.address, Arc::new(move |call| worker.answer(&call)));
        *self.server.lock().unwrap() = Some(server);
    }

    /// Ends the process: its runs are gone, and its address refuses connections.
    pub fn crash(&self) {
        self.life.lock().unwrap().up = false;
        if let Some(mut server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        let mut life = self.life.lock().unwrap();
        for (task, run) in std::mem::take(&mut life.runs) {
            self.note(Event::Ended {
                task,
                run: run.number,
                how: "crashed",
                end: 0,
            });
        }
        life.ends.clear();
        self.record.note(&self.id, Event::Down);
        self.ended.notify_all();
    }

    /// Starts a process under the same identifier, which knows nothing of the last one.
    pub fn restart(self: &Arc<Self>) {
        *self.life.lock().unwrap() = Life::new();
        self.record.note(&self.id, Event::Up);
        self.listen();
    }

    /// The entry in the store; `None` while the process is down.
    pub fn entry(&self) -> Option<String> {
        let mut life = self.life.lock().unwrap();
        life.seq += 1;
        life.up.then(|| {
            format!(
                r#"{{"service":"huvo11a","address":"{}","zone":"{}","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{{"cpu":{CPU},"mem_mb":{MEMORY_MB},"gpu":0}},"labels":["a","r1-{}"],"clock_ms":{},"born":{},"seq":{}}}"#,
                self.address,
                self.zone,
                self.number / RACK,
                life.clock_ms(),
                life.born,
                life.seq
            )
        })
    }

    fn note(&self, event: Event) {
        self.record.note(&self.id, event);
    }

    fn drive(&self) {
        let mut life = self.life.lock().unwrap();
        let lapsed = life.clock_ms() >= life.hold_until_ms;
        let now = Instant::now();
        let over: Vec<(String, &'static str)> = (life.runs.iter())
            .filter_map(|(task, run)| {
                let how = match (now >= run.until, run.fails) {
                    _ if lapsed => "lapsed",
                    (true, true) => "failed",
                    (true, false) => "done",
                    (false, _) => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in over {
            self.end(&mut life, &task, how);
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else {
            return;
        };
        let number = life.next_end;
        life.next_end += 1;
        life.ends.push(End {
            number,
            task: task.to_owned(),
            run: run.number,
            how,
            saved: if how == "done" {
                String::new()
            } else {
                checkpoint(&run)
            },
        });
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = run.number.max(*closed);
        self.note(Event::Ended {
            task: task.to_owned(),
            run: run.number,
            how,
            end: number,
        });
        self.ended.notify_all();
    }

    fn answer(&self, call: &Request) -> Answer {
        if call.instance.as_ref().is_some_and(|id| *id != self.id) {
            return Some((421, String::new()));
        }
        let body = Json::parse(&call.body)?;
        let mut life = self.life.lock().unwrap();
        if !life.up {
            return None;
        }
        let clock = |life: &Life| format!(r#""clock_ms":{}"#, life.clock_ms());
        let refuse = |life: &Life, why: &str| {
            Some((409, format!(r#"{{{},"reason":"{why}"}}"#, clock(life))))
        };
        let fence = body.get("fence_token").number();
        if fence < life.fence {
            return refuse(&life, "fence");
        }
        life.fence = fence;
        let (task, run) = (body.get("task").text(), body.get("run").number());
        match call.path.as_str() {
            "/hickorychute/run-start" => {
                if life.runs.get(task).is_some_and(|known| known.number == run) {
                    return Some((200, format!("{{{}}}", clock(&life))));
                }
                let until_ms = body.get("until_ms").number();
                let ticket = body.get("ticket").text();
                let why = if life.closed.get(task).is_some_and(|closed| run <= *closed) {
                    Some("old")
                } else if until_ms <= life.clock_ms() {
                    Some("late")
                } else if self.needs_ticket && !is_ticket(ticket, task, &self.id) {
                    Some("ticket")
                } else {
                    None
                };
                if let Some(why) = why {
                    let (task, why) = (task.to_owned(), why.to_owned());
                    let refused = refuse(&life, &why);
                    self.note(Event::Refused { task, run, why });
                    return refused;
                }
                life.extend(until_ms);
                let spec = body.get("spec").text();
                let now = Instant::now();
                let saved = u64::from_str_radix(body.get("checkpoint").text(), 16);
                let resumed = Duration::from_secs(saved.unwrap_or(0));
                let work = Duration::from_millis(number_in(spec, "run", 500));
                let new = Run {
                    number: run,
                    until: now + work.saturating_sub(resumed),
                    since: now,
                    fails: number_in(spec, "fail", 0) > 0,
                    lasts: number_in(spec, "last", 0) > 0,
                    saves: number_in(spec, "save", 0) as usize,
                    resumed,
                };
                life.runs.insert(task.to_owned(), new);
                let task = task.to_owned();
                self.note(Event::Started { task, run });
                Some((200, format!("{{{}}}", clock(&life))))
            }
            "/hickorychute/run-stop" => {
                let closed = life.closed.entry(task.to_owned()).or_default();
                *closed = run.max(*closed);
                if life.runs.get(task).is_some_and(|known| known.number <= run) {
                    self.end(&mut life, task, "stopped");
                }
                Some((200, format!("{{{}}}", clock(&life))))
            }
            "/hickorychute/pace" => Some((200, format!("{{{}}}", clock(&life)))),
            "/hickorychute/hold" => {
                life.extend(body.get("until_ms").number());
                let last_seen = body.get("last_seen").number();
                if life.ends.iter().any(|end| end.number <= last_seen) {
                    self.note(Event::Seen { last_seen });
                }
                life.ends.retain(|end| end.number > last_seen);
                let wait = Duration::from_millis(body.get("wait_ms").number().min(MAX_WAIT_MS));
                let until = Instant::now() + wait;
                while life.up && life.ends.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    life = self.ended.wait_timeout(life, left).unwrap().0;
                }
                life.up.then(|| (200, report(&life)))
            }
            _ => Some((404, String::new())),
        }
    }
}

/// The ticket for a step on a worker.
pub fn ticket(step: &str, worker: &str) -> String {
    format!("t-{step}-{worker}")
}

fn is_ticket(shown: &str, task: &str, worker: &str) -> bool {
    let step = task.rsplit_once('.').map_or("", |(step, _)| step);
    shown == ticket(step, worker)
}

/// The latest checkpoint; a new one comes with each second of work.
fn checkpoint(run: &Run) -> String {
    let seconds = (run.resumed + run.since.elapsed()).as_secs();
    match (run.saves, seconds) {
        (0, _) | (_, 0) => String::new(),
        (saves, seconds) => format!("{seconds:0saves$x}"),
    }
}

fn report(life: &Life) -> String {
    let running: Vec<String> = (life.runs.iter())
        .map(|(task, run)| {
            let whole = run.resumed + run.until.duration_since(run.since);
            let worked = run.resumed + run.since.elapsed();
            let percent = match run.lasts {
                true => 100,
                false => (worked.as_millis() * 100 / whole.as_millis().max(1)).min(100),
            };
            let saved = checkpoint(run);
            format!(r#"[{},{},"{saved}",{percent},1]"#, quote(task), run.number)
        })
        .collect();
    let finished: Vec<String> = (life.ends.iter().take(MAX_LISTED_ENDS))
        .map(|end| {
            let task = quote(&end.task);
            let (number, run, how) = (end.number, end.run, end.how);
            format!(r#"[{number},{task},{run},"{how}","{}"]"#, end.saved)
        })
        .collect();
    format!(
        r#"{{"clock_ms":{},"born":{},"running":[{}],"finished":[{}]}}"#,
        life.clock_ms(),
        life.born,
        running.join(","),
        finished.join(",")
    )
}
