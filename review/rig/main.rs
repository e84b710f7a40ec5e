//! Plays one case of the review: starts entry hosts as processes against stand-ins for the store
//! and the minions, makes the disruption, and judges what the minions and clients saw.
//!
//! `rig CASE FOLDER` writes `FOLDER/record.txt`; exit code 1: the rule was broken, 0: it held,
//! 2: the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod http;
mod json;
mod store;
mod worker;

use std::env;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::store::Store;
use crate::worker::{HEARTBEAT, Ledger, Minion};

type Verdict = Result<Vec<String>, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut cell = Cell::new();
    let play = || match case.as_str() {
        "drain-cut" => drain_cut(&mut cell, trouble),
        "roster" => roster(&mut cell, trouble),
        "many-ends" => many_ends(&mut cell, trouble),
        "route-gone" => route_gone(&mut cell, trouble),
        "advice-gone" => advice_gone(&mut cell, trouble),
        "vast-job" => vast_job(&mut cell, trouble),
        "cold-start" => cold_start(&mut cell, trouble),
        "failed-once" => failed_once(&mut cell, trouble),
        "reserved" => reserved(&mut cell, trouble),
        "fillers" => fillers(&mut cell, trouble),
        "left-and-cancelled" => left_and_cancelled(&mut cell, trouble),
        other => Err(format!("no case {other}")),
    };
    let verdict = catch_unwind(AssertUnwindSafe(play)).unwrap_or(Err("the rig panicked".into()));
    let (code, mut text) = match verdict {
        Ok(faults) if faults.is_empty() => (0, "the rule held\n".to_owned()),
        Ok(faults) => {
            let shown: Vec<&str> = faults.iter().take(12).map(String::as_str).collect();
            (
                1,
                format!(
                    "the rule was broken, {} times:\n{}\n",
                    faults.len(),
                    shown.join("\n")
                ),
            )
        }
        Err(why) => (2, format!("the case couldn't run: {why}\n")),
    };
    print!("{text}");
    text += &cell.ledger.lines().join("\n");
    text += "\n\nfrom the hosts' logs\n";
    text += &cell.log_lines();
    if let Err(error) = fs::write(PathBuf::from(folder).join("record.txt"), text) {
        eprintln!("{error}");
    }
    cell.close();
    ExitCode::from(code)
}

/// A minion is cut off while it drains.
fn drain_cut(cell: &mut Cell, trouble: bool) -> Verdict {
    let minions: Vec<Arc<Minion>> = (1..=16).map(|n| cell.minion(n, "muc-ost", 0)).collect();
    cell.configure(1, true, false);
    cell.start_hosts(3)?;
    let job = "00000000000000a1";
    cell.submit(
        job,
        r#"{"spec":"run=12000","steps":[{"count":1,"cpu":2000,"mem_mb":512,"estimate_ms":12000}]}"#,
    )?;
    cell.until(5, "a start", |cell| !cell.ledger.of(job).is_empty())?;
    let holder = cell.ledger.of(job)[0].minion.clone();
    let holder = minions.iter().find(|m| m.id == holder).ok_or("no minion")?;
    thread::sleep(Duration::from_secs(1));
    holder.drain();
    if trouble {
        thread::sleep(HEARTBEAT - Duration::from_millis(100));
        holder.cut(true);
        thread::sleep(Duration::from_millis(5_500));
        holder.cut(false);
    }
    cell.settle(job, 25)
}

/// A write of the roster is carried out late, and the coordinator is stopped after that.
fn roster(cell: &mut Cell, trouble: bool) -> Verdict {
    for n in 1..=2 {
        cell.minion(n, "muc-ost", 0);
    }
    cell.configure(1, true, false);
    cell.start_hosts(3)?;
    if trouble {
        let late = ("hc/roster".to_owned(), Duration::from_millis(4_000));
        cell.store.trouble.lock().unwrap().late_write = Some(late);
    }
    let began = Instant::now();
    cell.ledger.note("a third minion joins");
    cell.minion(3, "muc-ost", 0);
    thread::sleep(Duration::from_millis(1_500));
    cell.ledger
        .note("a fourth minion joins, in the other region");
    cell.minion(4, "lan-sued", 60);
    thread::sleep(Duration::from_millis(1_200));
    let job = "00000000000000b1";
    cell.submit(job, r#"{"spec":"run=14000","steps":[{"count":1,"cpu":2000,"mem_mb":512,"estimate_ms":14000,"affinity":"r1-4"}]}"#)?;
    cell.until(5, "a start", |cell| !cell.ledger.of(job).is_empty())?;
    let holder = cell.ledger.of(job)[0].minion.clone();
    if holder != "i-4" {
        return Err(format!("the task started on {holder}"));
    }
    let stopped = began + Duration::from_millis(5_000);
    thread::sleep(stopped.saturating_duration_since(Instant::now()));
    cell.stop_leader()?;
    cell.settle(job, 25)
}

/// The store is away while a minion's tasks end faster than it can list.
fn many_ends(cell: &mut Cell, trouble: bool) -> Verdict {
    let minions: Vec<Arc<Minion>> = (1..=2).map(|n| cell.minion(n, "muc-ost", 0)).collect();
    cell.configure(1, true, false);
    cell.start_hosts(3)?;
    let job = "00000000000000c1";
    cell.submit(
        job,
        r#"{"spec":"run=400","steps":[{"count":3000,"cpu":100,"mem_mb":16,"estimate_ms":400}]}"#,
    )?;
    thread::sleep(Duration::from_millis(1_000));
    if trouble {
        cell.ledger.note("the store turns all calls away");
        cell.store.trouble.lock().unwrap().busy = true;
    }
    for _ in 0..8 {
        thread::sleep(Duration::from_millis(500));
        let open: Vec<usize> = minions.iter().map(|m| m.open_ends()).collect();
        cell.ledger
            .note(format!("ends that weren't taken note of: {open:?}"));
    }
    if trouble {
        cell.ledger.note("the store serves again");
        cell.store.trouble.lock().unwrap().busy = false;
    }
    cell.settle(job, 40)
}

/// One of two minions that may run a task fails it once; the other is full of lasting tasks.
fn failed_once(cell: &mut Cell, trouble: bool) -> Verdict {
    let kind = |n| if n <= 2 { "a" } else { "b" };
    let minions: Vec<Arc<Minion>> = (1..=12)
        .map(|n| cell.minion_of_kind(kind(n), n, "muc-ost", 0))
        .collect();
    cell.configure(1, true, false);
    cell.start_hosts(3)?;
    let lasting = "00000000000000d2";
    cell.submit(lasting, r#"{"spec":"run=600000","steps":[{"count":2,"cpu":7500,"mem_mb":4096,"estimate_ms":1000,"long_running":true,"required_label":"a"}]}"#)?;
    cell.until(5, "lasting tasks", |cell| {
        cell.ledger.of(lasting).len() == 2
    })?;
    let runs = cell.ledger.of(lasting);
    if runs[0].minion != runs[1].minion {
        return Err("the lasting tasks are on two minions".into());
    }
    let other = minions[..2]
        .iter()
        .find(|m| m.id != runs[0].minion)
        .ok_or("no minion")?;
    thread::sleep(Duration::from_secs(1));
    if trouble {
        other.grey(true);
    }
    let job = "00000000000000d3";
    cell.submit(job, r#"{"spec":"run=2000","steps":[{"count":1,"cpu":2000,"mem_mb":512,"estimate_ms":2000,"required_label":"a"}]}"#)?;
    cell.until(5, "a start", |cell| !cell.ledger.of(job).is_empty())?;
    if !trouble {
        thread::sleep(Duration::from_secs(4));
        let state = cell.state(job);
        cell.ledger
            .note(format!("client: GET /plans/{job}: {state}"));
        return if state == "completed" {
            Ok(Vec::new())
        } else {
            Ok(vec![format!("{job} is {state:?}")])
        };
    }
    thread::sleep(Duration::from_millis(3_000));
    other.grey(false);
    cell.starves(job, 30)
}

/// One of twenty jobs can't be done beside the lasting tasks on the minions that it needs.
fn reserved(cell: &mut Cell, trouble: bool) -> Verdict {
    let kind = |n| if n <= 2 { "a" } else { "b" };
    for n in 1..=12 {
        cell.minion_of_kind(kind(n), n, "muc-ost", 0);
    }
    cell.configure(1, true, false);
    cell.start_hosts(3)?;
    let lasting = "00000000000000d4";
    cell.submit(lasting, r#"{"spec":"run=600000","steps":[{"count":2,"cpu":2000,"mem_mb":1024,"estimate_ms":1000,"long_running":true,"required_label":"a","max_per_server":1}]}"#)?;
    cell.until(5, "lasting tasks", |cell| {
        cell.ledger.of(lasting).len() == 2
    })?;
    if trouble {
        cell.submit("00000000000000d5", r#"{"spec":"run=600000","steps":[{"count":2,"cpu":15000,"mem_mb":1024,"estimate_ms":1000,"long_running":true,"required_label":"a"}]}"#)?;
    }
    thread::sleep(Duration::from_secs(1));
    let sound: Vec<String> = (1..20).map(|n| format!("00000000000001{n:02x}")).collect();
    for job in &sound {
        cell.submit(job, r#"{"spec":"run=1000","steps":[{"count":1,"cpu":2000,"mem_mb":512,"estimate_ms":1000,"required_label":"a"}]}"#)?;
    }
    thread::sleep(Duration::from_secs(30));
    let mut faults = Vec::new();
    for job in &sound {
        let state = cell.state(job);
        cell.ledger
            .note(format!("client: GET /plans/{job}: {state}"));
        if cell.ledger.of(job).is_empty() {
            faults.push(format!(
                "LOST: {job}: accepted, {state}; nothing has run for 30 s, with room for it fourteen times over"
            ));
        }
    }
    Ok(faults)
}

/// Lasting tasks that fill ask for the whole processor of every minion.
fn fillers(cell: &mut Cell, trouble: bool) -> Verdict {
    for n in 1..=6 {
        cell.minion(n, "muc-ost", 0);
    }
    cell.configure(1, true, false);
    cell.start_hosts(3)?;
    if trouble {
        let lasting = "00000000000000d7";
        cell.submit(lasting, r#"{"spec":"run=600000","steps":[{"count":6,"cpu":16000,"mem_mb":1024,"estimate_ms":1000,"long_running":true,"fills":true}]}"#)?;
        cell.until(5, "lasting tasks", |cell| {
            cell.ledger.of(lasting).len() == 6
        })?;
    }
    thread::sleep(Duration::from_secs(1));
    let job = "00000000000000d8";
    cell.submit(job, r#"{"spec":"run=2000","steps":[{"count":1,"cpu":1000,"mem_mb":512,"estimate_ms":2000,"fills":true}]}"#)?;
    cell.starves(job, 30)
}

/// A client leaves before its job is answered, and cancels it.
fn left_and_cancelled(cell: &mut Cell, trouble: bool) -> Verdict {
    for n in 1..=3 {
        cell.minion(n, "muc-ost", 0);
    }
    cell.configure(1, true, false);
    cell.start_hosts(3)?;
    let job = "00000000000000c2";
    if trouble {
        let late = (format!("hc/j/{job}"), Duration::from_millis(1_500));
        cell.store.trouble.lock().unwrap().late_write = Some(late);
    }
    let path = format!("/plans/{job}");
    let body = r#"{"spec":"run=6000","steps":[{"count":2,"cpu":2000,"mem_mb":512,"estimate_ms":6000},{"count":2,"cpu":2000,"mem_mb":512,"estimate_ms":6000,"after":[0]}]}"#;
    let patience = Duration::from_millis(300);
    let (first, second) = (cell.hosts[0].front, cell.hosts[1].front);
    let began = Instant::now();
    let answer = http::call(first, "POST", "jobs.example", &path, body, patience);
    let status = answer.map_or(0, |(status, _)| status);
    cell.ledger.note(format!(
        "client: POST {path} {body}: {status} (0: it has left)"
    ));
    thread::sleep((began + patience).saturating_duration_since(Instant::now()));
    let deadline = Duration::from_secs(3);
    let answer = http::call(second, "DELETE", "jobs.example", &path, "", deadline);
    let status = answer.map_or(0, |(status, _)| status);
    cell.ledger.note(format!("client: DELETE {path}: {status}"));
    if !matches!(status, 200..=299 | 410) {
        return Err(format!("the cancelling wasn't acknowledged: {status}"));
    }
    let acknowledged = Instant::now();
    for _ in 0..6 {
        thread::sleep(Duration::from_millis(2_500));
        let state = cell.state(job);
        cell.ledger.note(format!(
            "client: GET {path}: {state:?} (empty: no such job)"
        ));
    }
    // `cancel_ms` of the deployment.
    let limit = acknowledged + Duration::from_secs(3);
    let late = |ran: &worker::Ran| {
        let at = cell.ledger.at(ran.began);
        (ran.began > limit).then(|| {
            let (task, run, minion) = (&ran.task, ran.run, &ran.minion);
            format!("UNASKED: {task} run {run} on {minion} began at {at:.3}, more than 3 s after its job's cancelling was acknowledged")
        })
    };
    Ok(cell.ledger.of(job).iter().filter_map(late).collect())
}

/// All hosts are killed after the configuration has grown, on links of 10 Mbit/s.
fn cold_start(cell: &mut Cell, trouble: bool) -> Verdict {
    for n in 1..=3 {
        cell.minion(n, "muc-ost", 0);
    }
    cell.link_mbps = Some(10.0);
    cell.configure(1, true, false);
    cell.start_hosts(3)?;
    let before = "00000000000000b1";
    cell.submit(before, r#"{"spec":"run=4000","steps":[{"count":2,"cpu":2000,"mem_mb":512,"estimate_ms":4000},{"count":2,"cpu":2000,"mem_mb":512,"estimate_ms":4000,"after":[0]}]}"#)?;
    for version in 2..=3 {
        cell.more_routes += if trouble { 1_400 } else { 0 };
        cell.configure(version, true, false);
        let applied = format!("config-applied: version={version} ");
        cell.until(8, "new configuration in force", |cell| {
            cell.logs().matches(&applied).count() == cell.hosts.len()
        })?;
        cell.ledger
            .note(format!("all hosts have applied version {version}"));
    }
    for host in &mut cell.hosts {
        host.process.kill().map_err(|e| e.to_string())?;
    }
    cell.ledger.note("all hosts are killed");
    for host in &mut cell.hosts {
        host.process.wait().map_err(|e| e.to_string())?;
    }
    thread::sleep(RESTART_DELAY);
    for host in &mut cell.hosts {
        host.process = start(&run_line()?, &host.settings, &host.log)?;
    }
    cell.ledger.note("all hosts are started again");
    thread::sleep(RECOVER);
    let (mut asked, mut served) = (0, 0);
    for n in 0..20 {
        let body =
            r#"{"spec":"run=200","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":200}]}"#;
        let host = &cell.hosts[n % cell.hosts.len()];
        let path = format!("/plans/00000000000001{n:02x}");
        let answer = http::call(
            host.front,
            "POST",
            "jobs.example",
            &path,
            body,
            Duration::from_secs(3),
        );
        let status = answer.map_or(0, |(status, _)| status);
        cell.ledger
            .note(format!("client: POST {path} at {}: {status}", host.name));
        asked += 1;
        served += usize::from(status == 200);
        thread::sleep(Duration::from_millis(1_000));
    }
    let state = cell.state(before);
    cell.ledger
        .note(format!("client: GET /plans/{before}: {state:?}"));
    let mut faults = Vec::new();
    if served * 4 < asked {
        faults.push(format!(
            "RECOVER: from {} s after the hosts were back, {served} of {asked} requests were served",
            RECOVER.as_secs()
        ));
    }
    if state != "completed" {
        let runs = cell.ledger.of(before);
        let done = runs
            .iter()
            .filter(|r| r.ended.is_some_and(|(_, how)| how == "done"))
            .count();
        faults.push(format!(
            "LOST: {before} was accepted and is {state:?}; {done} of 4 tasks ended done"
        ));
    }
    Ok(faults)
}

/// A route is removed while a job of its queue fails, and is put back later.
fn route_gone(cell: &mut Cell, trouble: bool) -> Verdict {
    for n in 1..=3 {
        cell.minion(n, "muc-ost", 0);
    }
    cell.configure(1, true, false);
    cell.start_hosts(3)?;
    let job = "00000000000000d1";
    cell.submit(job, r#"{"spec":"run=1000 fail=1","steps":[{"count":1,"cpu":2000,"mem_mb":512,"estimate_ms":1000}]}"#)?;
    cell.until(5, "a start", |cell| !cell.ledger.of(job).is_empty())?;
    cell.configure(2, !trouble, false);
    thread::sleep(Duration::from_secs(8));
    cell.configure(3, true, false);
    thread::sleep(Duration::from_secs(7));
    cell.ledger
        .note(format!("client: GET /plans/{job}: {}", cell.state(job)));
    let runs = cell.ledger.of(job);
    if runs.len() < 2 {
        return Err("the task hasn't run twice".into());
    }
    let mut faults = Vec::new();
    for (position, ran) in runs.iter().enumerate() {
        let failed = runs[..position]
            .iter()
            .filter(|one| {
                one.noted
                    && one
                        .ended
                        .is_some_and(|(when, how)| how == "failed" && when < ran.began)
            })
            .count();
        if failed >= 2 {
            faults.push(format!(
                "{} run {} on {} began at {:.3}, after {failed} runs had ended failed and been taken note of",
                ran.task,
                ran.run,
                ran.minion,
                cell.ledger.at(ran.began)
            ));
        }
    }
    Ok(faults)
}

/// A route with advice is removed while a job of its queue has steps to run.
fn advice_gone(cell: &mut Cell, trouble: bool) -> Verdict {
    for n in 1..=3 {
        cell.minion(n, "muc-ost", 0);
    }
    cell.configure(1, true, true);
    cell.start_hosts(3)?;
    let job = "00000000000000e1";
    cell.submit(job, r#"{"spec":"run=2500 ticket=1","steps":[{"count":2,"cpu":2000,"mem_mb":512,"estimate_ms":2500},{"count":2,"cpu":2000,"mem_mb":512,"estimate_ms":2500,"after":[0]}]}"#)?;
    cell.until(5, "a start", |cell| !cell.ledger.of(job).is_empty())?;
    cell.configure(2, !trouble, true);
    thread::sleep(Duration::from_secs(25));
    let runs = cell.ledger.of(job);
    let done = runs
        .iter()
        .filter(|r| r.ended.is_some_and(|(_, how)| how == "done"))
        .count();
    cell.ledger
        .note(format!("{done} of 4 tasks have ended done"));
    if done < 2 {
        return Err("the first step hasn't run".into());
    }
    if done < 4 {
        return Ok(vec![format!(
            "{job}: {} tasks never ran, with all minions free",
            4 - done
        )]);
    }
    Ok(Vec::new())
}

/// One of twenty jobs has millions of tasks.
fn vast_job(cell: &mut Cell, trouble: bool) -> Verdict {
    for n in 1..=3 {
        cell.minion(n, "muc-ost", 0);
    }
    cell.configure(1, true, false);
    cell.start_hosts(3)?;
    let sound: Vec<String> = (1..20).map(|n| format!("00000000000000{n:02x}")).collect();
    let step = |more| format!(r#"{{"count":1,"cpu":2000,"mem_mb":512,"estimate_ms":3000{more}}}"#);
    let steps = format!("{},{}", step(""), step(r#","after":[0]"#));
    for job in &sound {
        cell.submit(job, &format!(r#"{{"spec":"run=3000","steps":[{steps}]}}"#))?;
    }
    let vast = "00000000000000f1";
    let count = if trouble { 3_000_000 } else { 30 };
    let step = format!(r#"{{"count":{count},"cpu":100,"mem_mb":16,"estimate_ms":400}}"#);
    // Whether it is accepted or refused doesn't matter here.
    let _ = cell.submit(vast, &format!(r#"{{"spec":"run=400","steps":[{step}]}}"#));
    let began = Instant::now();
    let mut ends = 0;
    while began.elapsed() < Duration::from_secs(45) {
        ends += cell.enforce_memory_limit(260)?;
        thread::sleep(Duration::from_millis(20));
    }
    cell.ledger.note(format!(
        "{ends} processes have ended over their memory or by themselves"
    ));
    let mut faults = Vec::new();
    for job in &sound {
        let state = cell.state(job);
        let runs = cell.ledger.of(job);
        let done = runs
            .iter()
            .filter(|r| r.ended.is_some_and(|(_, how)| how == "done"))
            .count();
        cell.ledger.note(format!(
            "client: GET /plans/{job}: {state:?}; {done} of 2 tasks have ended done"
        ));
        if state != "completed" {
            faults.push(format!(
                "{job}: accepted, {state:?} after 45 s; {done} of its 2 tasks have ended done"
            ));
        }
    }
    Ok(faults)
}

struct Host {
    name: String,
    front: SocketAddr,
    process: Child,
    log: PathBuf,
    settings: PathBuf,
    /// When the platform starts it again, after it has ended.
    again: Option<Instant>,
}

/// `recover_s` of pomen-shared-grown.
const RECOVER: Duration = Duration::from_secs(15);

/// After this the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Stand-ins and hosts of a case.
struct Cell {
    ledger: Arc<Ledger>,
    store: Arc<Store>,
    store_address: SocketAddr,
    advice: SocketAddr,
    hosts: Vec<Host>,
    folder: PathBuf,
    /// Speed of each host's link to the store; without one, that of loopback.
    link_mbps: Option<f64>,
    /// Routes without traffic in the configuration.
    more_routes: usize,
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.close();
    }
}

impl Cell {
    fn new() -> Self {
        let ledger = Ledger::new();
        let noting = Arc::clone(&ledger);
        let (store, store_address) = Store::start(move |text| noting.note(text));
        let folder = env::temp_dir().join(format!("hickorychute-review-{}", process::id()));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let advice = listener.local_addr().expect("an address");
        http::serve(listener, |request| {
            let body = Json::parse(&request.body).unwrap_or(Json::Null);
            thread::sleep(Duration::from_millis(20));
            let good: Vec<String> = body
                .get("workers")
                .list()
                .iter()
                .map(|id| format!(r#"["{0}","t-{0}"]"#, id.text()))
                .collect();
            http::Answer::Reply(
                200,
                format!(r#"{{"good":[{}],"valid_ms":2500}}"#, good.join(",")),
            )
        });
        Self {
            ledger,
            store,
            store_address,
            advice,
            hosts: Vec::new(),
            folder,
            link_mbps: None,
            more_routes: 0,
        }
    }

    fn minion(&self, number: u32, zone: &str, way_ms: u64) -> Arc<Minion> {
        self.minion_of_kind("a", number, zone, way_ms)
    }

    fn minion_of_kind(&self, kind: &str, number: u32, zone: &str, way_ms: u64) -> Arc<Minion> {
        let (id, rack) = (format!("i-{number}"), format!("r1-{number}"));
        let way = Duration::from_millis(way_ms);
        Minion::start(&id, (kind, &rack), zone, way, &self.store, &self.ledger)
    }

    /// LOST: a job of one task has been accepted, fits several times over on a minion that may run
    /// it, and hasn't a run for `seconds`.
    fn starves(&self, job: &str, seconds: u64) -> Verdict {
        let until = Instant::now() + Duration::from_secs(seconds);
        let before = self.ledger.of(job).len();
        while Instant::now() < until && self.ledger.of(job).len() == before {
            thread::sleep(Duration::from_millis(100));
        }
        self.ledger
            .note(format!("client: GET /plans/{job}: {}", self.state(job)));
        if self.ledger.of(job).len() > before {
            thread::sleep(Duration::from_secs(4));
            self.ledger
                .note(format!("client: GET /plans/{job}: {}", self.state(job)));
            return Ok(Vec::new());
        }
        Ok(vec![format!(
            "LOST: {job}: nothing has run for {seconds} s, with room for it many times over"
        )])
    }

    /// Writes a configuration with the queue `plans`, which may be left out, and `quotes`.
    fn configure(&self, version: u64, plans: bool, advised: bool) {
        let advice = if advised {
            r#","advice":{"decide_ms":10,"each_ms":0.15,"valid_ms":2500}"#
        } else {
            ""
        };
        let route = |name: &str, more: &str| {
            format!(
                r#"{{"name":"{name}","host":"jobs.example","prefix":"/{name}/","kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":3000,"priority":1,"service":"pool","attempts":2,"stretch":2.0{more}}}"#
            )
        };
        let mut routes = vec![route("quotes", "")];
        if plans {
            routes.push(route("plans", advice));
        }
        let idle = (0..self.more_routes).map(|n| {
            let more = r#","advice":{"decide_ms":360.0,"each_ms":5.1,"valid_ms":2500}"#;
            route(
                &format!("workshop-and-bench-bookings-of-the-region-{n:04}"),
                more,
            )
        });
        routes.extend(idle);
        let routes = routes.join(",");
        let config = format!(
            r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"pool","max_conns":64,"admission_control":false,"standby":false}}],"limits":{{"max_body_bytes":262144}}}}"#
        );
        self.ledger.note(format!(
            "operator: version {version}, routes: {}, {} more; {} bytes",
            if plans { "quotes, plans" } else { "quotes" },
            self.more_routes,
            config.len()
        ));
        self.store.put("op/config", &config);
    }

    fn start_hosts(&mut self, count: usize) -> Result<(), String> {
        fs::create_dir_all(&self.folder).map_err(|e| e.to_string())?;
        let run = run_line()?;
        let zones = ["muc-ost", "ros-nord", "lan-sued"];
        for number in 0..count {
            let zone = zones[number % 3];
            let region = if zone == "lan-sued" { "nbb" } else { "obb" };
            let name = format!("edge-{zone}-{}", number / 3 + 1);
            let store = match self.link_mbps {
                Some(mbps) => http::link(self.store_address, mbps),
                None => self.store_address,
            };
            let ports = free_ports(4);
            let at = |n: usize| SocketAddr::from(([127, 0, 0, 1], ports[n]));
            let settings = self.folder.join(format!("{name}.conf"));
            let text = format!(
                "node={name}\nrole=entry\nclass=edge\nserves=edge\nip=127.0.0.1\nzone={zone}\nregion={region}\n\
                 zones.muc-ost=obb\nzones.ros-nord=obb\nzones.lan-sued=nbb\nlisten.front={}\nlisten.ready={}\n\
                 listen.control={}\nport_range={},{}\nseeds=\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\n\
                 limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps={}\nheartbeat_ms=1500\n\
                 contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
                 bounds.stable_window_ms=4000\nbounds.ack_timeout_ms=5000\nbounds.drain_ms=3000\nbounds.grace_s=6\n\
                 bounds.config_apply_ms=3000\nbounds.hold_max_ms=6000\nbounds.stop_timeout_ms=200\n\
                 bounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.finish_s=14\n\
                 bounds.status_s=120\norders=call\nadvice={}\nplatform.address={}\nplatform.form=kv\n\
                 platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
                 platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n",
                at(0),
                at(1),
                at(2),
                ports[3],
                ports[3],
                self.link_mbps.unwrap_or(1000.0),
                self.advice,
                store,
            );
            fs::write(&settings, text).map_err(|e| e.to_string())?;
            let log = self.folder.join(format!("{name}.log"));
            let process = start(&run, &settings, &log)?;
            self.hosts.push(Host {
                name,
                front: at(0),
                process,
                log,
                settings,
                again: None,
            });
        }
        self.until(15, "a settled coordinator", |cell| {
            cell.logs().contains("lead-settled")
        })?;
        thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    fn logs(&self) -> String {
        self.hosts
            .iter()
            .map(|host| fs::read_to_string(&host.log).unwrap_or_default())
            .collect()
    }

    fn log_lines(&self) -> String {
        let mut lines = String::new();
        for host in &self.hosts {
            let log = fs::read_to_string(&host.log).unwrap_or_default();
            let told = [
                "lead-",
                "worker-",
                "run-ordered",
                "run-ending",
                "run-refused",
                "job-",
                "config-",
                "dependency",
            ];
            for line in log
                .lines()
                .filter(|line| told.iter().any(|word| line.contains(word)))
                .take(30)
            {
                lines += &format!("{} {line}\n", host.name);
            }
        }
        lines
    }

    fn until(&self, seconds: u64, what: &str, holds: impl Fn(&Self) -> bool) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(seconds);
        while !holds(self) {
            if Instant::now() > until {
                return Err(format!("no {what} within {seconds} s"));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Hands a job in, as a client that asks again until it is accepted.
    fn submit(&self, job: &str, body: &str) -> Result<(), String> {
        for attempt in 0..5 {
            let host = &self.hosts[attempt % self.hosts.len()];
            let path = format!("/plans/{job}");
            let answer = http::call(
                host.front,
                "POST",
                "jobs.example",
                &path,
                body,
                Duration::from_secs(3),
            );
            let status = answer.map_or(0, |(status, _)| status);
            self.ledger.note(format!(
                "client: POST {path} {body} at {}: {status}",
                host.name
            ));
            if status == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(500));
        }
        Err("the job wasn't accepted".into())
    }

    fn state(&self, job: &str) -> String {
        for host in &self.hosts {
            let path = format!("/plans/{job}");
            let answer = http::call(
                host.front,
                "GET",
                "jobs.example",
                &path,
                "",
                Duration::from_secs(3),
            );
            if let Some((200, body)) = answer {
                return Json::parse(&body)
                    .map_or(String::new(), |b| b.get("state").text().to_owned());
            }
        }
        String::new()
    }

    /// Waits until the job is shown as ended, and judges TWICE.
    fn settle(&self, job: &str, seconds: u64) -> Verdict {
        let until = Instant::now() + Duration::from_secs(seconds);
        let mut state = String::new();
        while Instant::now() < until && state != "completed" {
            thread::sleep(Duration::from_millis(300));
            state = self.state(job);
        }
        self.ledger
            .note(format!("client: GET /plans/{job}: {state}"));
        thread::sleep(Duration::from_secs(2));
        let runs = self.ledger.of(job);
        self.ledger.note(format!("{} runs in all", runs.len()));
        if state != "completed" && self.ledger.twice().is_empty() {
            return Err(format!("the job is {state:?} at the end"));
        }
        Ok(self.ledger.twice())
    }

    /// Ends processes over the memory limit, and starts ended ones again, as the platform does.
    fn enforce_memory_limit(&mut self, limit_mb: u64) -> Result<usize, String> {
        let mut ended = 0;
        for number in 0..self.hosts.len() {
            let host = &mut self.hosts[number];
            let status = fs::read_to_string(format!("/proc/{}/status", host.process.id()));
            let resident_kb: u64 = status
                .unwrap_or_default()
                .lines()
                .find_map(|line| {
                    line.strip_prefix("VmRSS:")?
                        .split_whitespace()
                        .next()?
                        .parse()
                        .ok()
                })
                .unwrap_or(0);
            let over = resident_kb / 1024 > limit_mb;
            if over {
                let _ = host.process.kill();
            }
            if host.again.is_none()
                && (over
                    || host
                        .process
                        .try_wait()
                        .map_err(|e| e.to_string())?
                        .is_some())
            {
                let how = host.process.wait().map_err(|e| e.to_string())?;
                let mb = resident_kb / 1024;
                self.ledger
                    .note(format!("{} ends ({how}), last seen at {mb} MB", host.name));
                host.again = Some(Instant::now() + RESTART_DELAY);
                ended += 1;
            }
            if host.again.is_some_and(|when| when <= Instant::now()) {
                host.again = None;
                host.process = start(&run_line()?, &host.settings, &host.log)?;
            }
        }
        Ok(ended)
    }

    /// Stops the host that took the lead last, as planned work does, and doesn't start it again.
    fn stop_leader(&mut self) -> Result<(), String> {
        let fence = |host: &Host| {
            let log = fs::read_to_string(&host.log).unwrap_or_default();
            log.lines()
                .filter(|line| line.contains("lead-taken"))
                .filter_map(|line| {
                    line.split("fence=")
                        .nth(1)?
                        .split(' ')
                        .next()?
                        .parse::<u64>()
                        .ok()
                })
                .max()
                .unwrap_or(0)
        };
        let leader = self
            .hosts
            .iter()
            .enumerate()
            .max_by_key(|(_, host)| fence(host));
        let number = leader.ok_or("no host")?.0;
        let host = &mut self.hosts[number];
        self.ledger
            .note(format!("{}, the coordinator, gets SIGTERM", host.name));
        let order = format!("kill -TERM {}", host.process.id());
        let sent = Command::new("/bin/sh").args(["-c", &order]).status();
        if !sent.map_err(|e| e.to_string())?.success() {
            return Err("SIGTERM wasn't sent".into());
        }
        Ok(())
    }

    fn close(&mut self) {
        for host in &mut self.hosts {
            let _ = host.process.kill();
            let _ = host.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The command of the deploy file.
fn run_line() -> Result<String, String> {
    let deploy = fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
        .ok_or("no run line in deploy/system.toml")?;
    Ok(run.to_owned())
}

/// Starts a host; its log goes to the end of a file.
fn start(run: &str, settings: &Path, log: &Path) -> Result<Child, String> {
    let words: Vec<&str> = run.split(' ').collect();
    let mut options = fs::OpenOptions::new();
    let out = options
        .create(true)
        .append(true)
        .open(log)
        .map_err(|e| e.to_string())?;
    let copy = out.try_clone().map_err(|e| e.to_string())?;
    let mut command = Command::new(words[0]);
    command
        .args(&words[1..])
        .env_clear()
        .env("HICKORYCHUTE_BOOT", settings);
    for variable in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = env::var(variable) {
            command.env(variable, value);
        }
    }
    command
        .stdout(Stdio::from(out))
        .stderr(Stdio::from(copy))
        .stdin(Stdio::null())
        .spawn()
        .map_err(|e| format!("{run}: {e}"))
}

/// Free ports below the range from which the system picks others.
fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let mut found = Vec::new();
    while found.len() < count {
        let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 12_000 + ((process::id() * 31 + next) % 20_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            found.push(port);
        }
    }
    found
}
