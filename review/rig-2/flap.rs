//! Minions go down and up by turns, one at a time, while jobs come whose tasks all succeed.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::rig::{self, Record, Rig, Shape, client_call};

const HOSTS: usize = 3;
const MINIONS: usize = 8;
const ATTEMPTS: u32 = 4;
/// Time for which jobs come and minions go down by turns.
const TRAFFIC: Duration = Duration::from_secs(75);
/// How long a minion is down.
const DOWN: Duration = Duration::from_millis(1_500);
/// Time between the return of one minion and the end of the next.
const PAUSE: Duration = Duration::from_millis(400);
/// Time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(125);
/// Time for the jobs to end after the traffic.
const FINISH: Duration = Duration::from_secs(14);

pub fn run(program: &str, record_path: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(record_path));
    if !rig::exists(program) {
        record.line("the program is not built");
        return 2;
    }
    let shape = Shape { hosts: HOSTS, minions: MINIONS, attempts: ATTEMPTS, advice: false, kind_b: 0, has_proxies: false };
    let Some(mut rig) = Rig::start(program, Arc::clone(&record), shape) else {
        record.line("the deployment did not become ready");
        return 2;
    };
    let stop = Arc::new(AtomicBool::new(false));
    let client = {
        let (stop, record, fronts) = (Arc::clone(&stop), Arc::clone(&record), rig.fronts.clone());
        thread::spawn(move || send_jobs(&stop, &record, &fronts))
    };
    let began = Instant::now();
    let mut turn = 0;
    while began.elapsed() < TRAFFIC {
        if !has_trouble {
            thread::sleep(PAUSE);
            continue;
        }
        rig.kill_minion(turn);
        thread::sleep(DOWN);
        rig.start_minion(turn);
        thread::sleep(PAUSE);
        turn = (turn + 1) % MINIONS;
    }
    stop.store(true, Ordering::Relaxed);
    let accepted = client.join().expect("the client does not panic");
    thread::sleep(FINISH);
    judge(&rig, &record, &accepted)
}

/// Sends jobs of one step until told to stop; returns the ids of those that were accepted.
fn send_jobs(stop: &AtomicBool, record: &Record, fronts: &[std::net::SocketAddr]) -> Vec<String> {
    let mut accepted = Vec::new();
    let mut number: usize = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("5eed{number:012x}");
        let run_ms = 400 + number * 37 % 900;
        let count = 1 + number % 3;
        let body = format!(
            "{{\"spec\":\"run={run_ms}\",\"steps\":[{{\"count\":{count},\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":{run_ms}}}]}}"
        );
        for attempt in 0..4 {
            let answer = client_call(fronts[(number + attempt) % fronts.len()], "POST", &id, &body);
            let status = answer.map_or(0, |(status, _)| status);
            record.line(&format!("POST {id} tasks={count} run={run_ms} -> {status}"));
            if status / 100 == 2 {
                accepted.push(id.clone());
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        thread::sleep(JOB_INTERVAL);
    }
    accepted
}

/// Asks for all jobs. A job that is shown as failed although no run of it has ended `failed` breaks
/// the rule.
fn judge(rig: &Rig, record: &Record, accepted: &[String]) -> i32 {
    let lines = rig.minion_lines();
    lines.iter().for_each(|line| record.line(&format!("minion: {line}")));
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    let mut broken = 0;
    for (n, id) in accepted.iter().enumerate() {
        let front = rig.fronts[n % rig.fronts.len()];
        let (status, body) = client_call(front, "GET", id, "").unwrap_or_default();
        record.line(&format!("GET {id} -> {status} {body}"));
        *states.entry(format!("{status} {body}")).or_default() += 1;
        if !body.contains("\"failed\"") {
            continue;
        }
        let of_job = |line: &&String| line.contains(id);
        let is_failed_end = |line: &String| line.ends_with(" failed");
        if lines.iter().filter(of_job).any(is_failed_end) {
            continue;
        }
        broken += 1;
        record.line(&format!("LOST {id}: shown as failed, and no run of it has ended failed"));
        rig.host_lines(id).iter().for_each(|line| record.line(&format!("host: {line}")));
    }
    let states: Vec<String> = states.iter().map(|(state, count)| format!("{count} x {state}")).collect();
    record.line(&format!("accepted {}: {}; broken {broken}", accepted.len(), states.join(", ")));
    println!("accepted {}: {}; shown as failed without a failed run: {broken}", accepted.len(), states.join(", "));
    i32::from(broken > 0)
}
