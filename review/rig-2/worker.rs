//! A minion that is a process of its own: runs under a lease, ends until they are taken note of,
//! fencing tokens. It follows the section "Running tasks" of the protocol page.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request},
    json::{Json, quote},
};

/// Time that a member of a gang waits for the others (`gang_timeout_ms`).
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
const FIRST_CLOCK_MS: u64 = 1_000;
const MAX_LISTED_ENDS: usize = 500;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as u64)
}

struct Run {
    number: u64,
    began: Instant,
    work_ms: u64,
    fails: bool,
    /// Members of its gang; 0 for a task without one.
    gang: usize,
    /// Since when all members have been present.
    complete_since: Option<Instant>,
}

impl Run {
    fn worked_ms(&self) -> u64 {
        let since = if self.gang > 0 { self.complete_since } else { Some(self.began) };
        since.map_or(0, |since| since.elapsed().as_millis() as u64)
    }
}

#[derive(Default)]
struct State {
    fence: u64,
    until_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
}

pub struct Worker {
    id: String,
    /// Address in its entry.
    address: SocketAddr,
    rack: String,
    kind: String,
    store: SocketAddr,
    cpu: u64,
    hold_max_ms: u64,
    /// Whether it wants a ticket with each start.
    wants_ticket: bool,
    born_unix_ms: u64,
    born: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

/// Value of a word `name=NUMBER` of a job's spec.
fn number_of(spec: &str, name: &str) -> Option<u64> {
    let word = spec.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    word?.parse().ok()
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        FIRST_CLOCK_MS + self.born.elapsed().as_millis() as u64
    }

    /// Writes one line of the record to standard output.
    fn record(&self, what: &str) {
        println!("{} {} {what}", unix_ms(), self.id);
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.next_end += 1;
        state.ends.push((state.next_end, task.to_owned(), run.number, how));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = run.number.max(*over);
        self.record(&format!("ended {task} {} {how}", run.number));
        self.changed.notify_all();
    }

    fn enforce_lease(&self, state: &mut State) {
        if self.clock_ms() >= state.until_ms {
            for task in state.runs.keys().cloned().collect::<Vec<_>>() {
                self.end(state, &task, "lapsed");
            }
        }
    }

    fn extend(&self, state: &mut State, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms() + self.hold_max_ms);
        state.until_ms = state.until_ms.max(until_ms);
    }

    /// Whether a ticket is for this step and this life, and has not expired.
    fn is_valid(&self, ticket: &str, task: &str) -> bool {
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let parts: Vec<&str> = ticket.split('/').collect();
        let [of_step, id, until_ms] = parts.as_slice() else {
            return false;
        };
        *of_step == step && *id == self.id && until_ms.parse().is_ok_and(|until: u64| unix_ms() < until)
    }

    /// Tells of this minion's members of gangs, and ends them when others are missing.
    fn watch_gangs(&self) {
        loop {
            thread::sleep(Duration::from_millis(50));
            let members: Vec<(String, u64, usize)> = {
                let state = self.state.lock().expect("no panic with the lock");
                let members = state.runs.iter().filter(|(_, run)| run.gang > 0);
                members.map(|(task, run)| (task.clone(), run.number, run.gang)).collect()
            };
            for (task, number, gang) in members {
                let (step, index) = task.rsplit_once('.').unwrap_or_default();
                let path = format!("/gang/{step}/{number}/{index}");
                let answer = http::call(self.store, "POST", &path, "", "", Duration::from_secs(1));
                let answer = answer.and_then(|(_, body)| Json::parse(&body));
                let Some(present) = answer.map(|body| body.get("present").number() as usize) else {
                    continue;
                };
                let mut state = self.state.lock().expect("no panic with the lock");
                let Some(run) = state.runs.get_mut(&task).filter(|run| run.number == number) else {
                    continue;
                };
                if present >= gang {
                    run.complete_since.get_or_insert_with(Instant::now);
                } else if run.complete_since.is_some() {
                    self.end(&mut state, &task, "broken");
                } else if run.began.elapsed() > GANG_TIMEOUT {
                    self.end(&mut state, &task, "alone");
                }
            }
        }
    }

    fn drive(&self) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut state = self.state.lock().expect("no panic with the lock");
            self.enforce_lease(&mut state);
            let done = state.runs.iter();
            let done = done.filter(|(_, run)| run.worked_ms() >= run.work_ms);
            let done = done.map(|(task, run)| (task.clone(), run.fails));
            for (task, fails) in done.collect::<Vec<_>>() {
                self.end(&mut state, &task, if fails { "failed" } else { "done" });
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().expect("no panic with the lock");
        self.enforce_lease(&mut state);
        let refuse = |reason: &str| {
            (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
        };
        let accept = || (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()));
        let fence = body.get("fence_token").number();
        if fence < state.fence {
            return refuse("fence");
        }
        state.fence = fence;
        let (task, run) = (body.get("task").text(), body.get("run").number());
        match request.route() {
            "/hickorychute/run-start" => {
                if state.runs.get(task).is_some_and(|known| known.number == run) {
                    return accept();
                }
                let until_ms = body.get("until_ms").number();
                if state.over.get(task).is_some_and(|over| run <= *over) {
                    self.extend(&mut state, until_ms);
                    return refuse("old");
                }
                if until_ms <= self.clock_ms() {
                    return refuse("late");
                }
                if self.wants_ticket && !self.is_valid(body.get("ticket").text(), task) {
                    self.record(&format!("rejected {task} {run} ticket={:?}", body.get("ticket").text()));
                    return refuse("ticket");
                }
                self.extend(&mut state, until_ms);
                let spec = body.get("spec").text();
                let work_ms = number_of(spec, "run").unwrap_or(200);
                let fails = number_of(spec, "fail").is_some();
                self.record(&format!("started {task} {run}"));
                let began = Instant::now();
                let gang = number_of(spec, "gang").unwrap_or(0) as usize;
                let started = Run { number: run, began, work_ms, fails, gang, complete_since: None };
                state.runs.insert(task.to_owned(), started);
                accept()
            }
            "/hickorychute/run-stop" => {
                let over = state.over.entry(task.to_owned()).or_default();
                *over = run.max(*over);
                if state.runs.get(task).is_some_and(|known| known.number <= run) {
                    self.end(&mut state, task, "stopped");
                }
                accept()
            }
            "/hickorychute/pace" => accept(),
            "/hickorychute/hold" => {
                self.extend(&mut state, body.get("until_ms").number());
                let last_seen = body.get("last_seen").number();
                for (number, task, run, how) in state.ends.iter().filter(|(n, ..)| *n <= last_seen) {
                    self.record(&format!("taken note of {number} {task} {run} {how}"));
                }
                state.ends.retain(|(number, ..)| *number > last_seen);
                let wait_ms = body.get("wait_ms").number().min(2_000);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                while state.ends.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    let waited = self.changed.wait_timeout(state, left);
                    state = waited.expect("no panic with the lock").0;
                }
                self.enforce_lease(&mut state);
                let running = state.runs.iter().map(|(task, run)| {
                    let worked_ms = run.worked_ms();
                    let percent = (worked_ms * 100 / run.work_ms.max(1)).min(100);
                    format!("[{},{},\"\",{percent},1000]", quote(task), run.number)
                });
                let running = running.collect::<Vec<_>>().join(",");
                let ends = state.ends.iter().take(MAX_LISTED_ENDS);
                let finished = ends.map(|(number, task, run, how)| {
                    format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
                });
                let finished = finished.collect::<Vec<_>>().join(",");
                let (clock_ms, born) = (self.clock_ms(), self.born_unix_ms);
                let body = format!(
                    "{{\"clock_ms\":{clock_ms},\"born\":{born},\"running\":[{running}],\"finished\":[{finished}]}}"
                );
                (200, body)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn entry(&self, seq: u64) -> String {
        format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":32768,\"gpu\":0}},\
             \"labels\":[\"{}\",\"{}\"],\"clock_ms\":{},\"born\":{},\"seq\":{seq}}}",
            self.address, self.cpu, self.kind, self.rack, self.clock_ms(), self.born_unix_ms
        )
    }
}

/// Serves as a minion until the process is killed or its parent has ended.
pub fn run(id: &str, address: SocketAddr, entry_address: SocketAddr, rack: &str, store: SocketAddr, hold_max_ms: u64, wants_ticket: bool, cpu: u64, kind: &str) -> ! {
    let worker = Arc::new(Worker {
        id: id.to_owned(),
        address: entry_address,
        rack: rack.to_owned(),
        kind: kind.to_owned(),
        store,
        cpu,
        hold_max_ms,
        wants_ticket,
        born_unix_ms: unix_ms(),
        born: Instant::now(),
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    let listener = TcpListener::bind(address).expect("the address is free");
    worker.record(&format!("up cpu={cpu} born={}", worker.born_unix_ms));
    let serving = Arc::clone(&worker);
    http::serve(listener, move |request| serving.answer(request));
    let watching = Arc::clone(&worker);
    thread::spawn(move || watching.watch_gangs());
    let driving = Arc::clone(&worker);
    thread::spawn(move || driving.drive());
    let parent = std::os::unix::process::parent_id();
    let mut seq = 0;
    loop {
        seq += 1;
        let entry = worker.entry(seq);
        let path = format!("/minion/{id}");
        let _heard = http::call(store, "PUT", &path, "", &entry, Duration::from_secs(1));
        let next = Instant::now() + Duration::from_millis(1_500);
        while Instant::now() < next {
            thread::sleep(Duration::from_millis(20));
            if std::os::unix::process::parent_id() != parent {
                std::process::exit(1);
            }
        }
    }
}
