//! The operator removes a route while jobs that it has accepted still have work to do.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::rig::{self, Record, Rig, Shape, client_call};

const ATTEMPTS: u32 = 4;
/// Time that jobs have to end after the traffic (`finish_s`), and the time without a run (3 s).
const FINISH: Duration = Duration::from_secs(14 + 3);
const IDLE_MS: u64 = 3_000;

fn start(program: &str, record_path: &str, advice: bool) -> Option<(Rig, Arc<Record>)> {
    let record = Arc::new(Record::create(record_path));
    if !rig::exists(program) {
        record.line("the program is not built");
        return None;
    }
    let shape = Shape { hosts: 3, minions: 6, attempts: ATTEMPTS, advice, kind_b: 0, has_proxies: false };
    let rig = Rig::start(program, Arc::clone(&record), shape);
    if rig.is_none() {
        record.line("the deployment did not become ready");
    }
    Some((rig?, record))
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn submit(rig: &Rig, record: &Record, id: &str, body: &str) -> bool {
    let status = client_call(rig.fronts[0], "POST", id, body).map_or(0, |(status, _)| status);
    record.line(&format!("POST {id} {body} -> {status}"));
    status / 100 == 2
}

fn ask(rig: &Rig, record: &Record, id: &str) -> String {
    let (status, body) = client_call(rig.fronts[1], "GET", id, "").unwrap_or_default();
    record.line(&format!("GET {id} -> {status} {body}"));
    format!("{status} {body}")
}

/// Waits until the minions have recorded a line with all these words.
fn wait_for(rig: &Rig, words: &[&str]) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        let has_all = |line: &String| words.iter().all(|word| line.contains(word));
        if rig.minion_lines().iter().any(has_all) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

fn conclude(rig: &Rig, record: &Record, id: &str) -> Vec<(u64, String)> {
    let mut lines: Vec<(u64, String)> = rig
        .minion_lines()
        .iter()
        .filter(|line| line.contains(id))
        .filter_map(|line| {
            let (at, rest) = line.split_once(' ')?;
            Some((at.parse().ok()?, rest.to_owned()))
        })
        .collect();
    lines.sort();
    lines.iter().for_each(|(at, line)| record.line(&format!("minion: {at} {line}")));
    lines
}

/// A task that can never be done: it must not start again after `attempts` failed runs whose ends were
/// taken note of.
pub fn attempts(program: &str, record_path: &str) -> i32 {
    let Some((rig, record)) = start(program, record_path, false) else {
        return 2;
    };
    let id = "5eed00000000f001";
    let body = "{\"spec\":\"run=600 fail=1\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":600}]}";
    if !submit(&rig, &record, id, body) || !wait_for(&rig, &["ended", id, "failed"]) {
        return 2;
    }
    if has_trouble() {
        rig.drop_queue();
    }
    thread::sleep(FINISH);
    let state = ask(&rig, &record, id);
    let cancel = client_call(rig.fronts[2], "DELETE", id, "").map_or(0, |(status, _)| status);
    record.line(&format!("DELETE {id} -> {cancel}"));
    let lines = conclude(&rig, &record, id);
    let (mut failed, mut late) = (0, 0);
    for (_, line) in &lines {
        if line.contains("taken note of") && line.ends_with("failed") {
            failed += 1;
        }
        late += u32::from(line.contains("started") && failed >= ATTEMPTS);
    }
    let result = format!("attempts {ATTEMPTS}: {failed} failed runs taken note of, {late} starts after {ATTEMPTS} of them; shown as {state}");
    record.line(&result);
    println!("{result}");
    i32::from(late > 0)
}

/// A job whose second step begins after the route is gone: it must run.
pub fn ticket(program: &str, record_path: &str) -> i32 {
    let Some((rig, record)) = start(program, record_path, true) else {
        return 2;
    };
    let id = "5eed00000000f002";
    let body = "{\"spec\":\"run=2500\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":2500},\
                {\"count\":2,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":2500,\"after\":[0]}]}";
    if !submit(&rig, &record, id, body) || !wait_for(&rig, &["started", id]) {
        return 2;
    }
    if has_trouble() {
        rig.drop_queue();
    }
    if !wait_for(&rig, &["ended", id, "done"]) {
        return 2;
    }
    thread::sleep(FINISH);
    let state = ask(&rig, &record, id);
    let lines = conclude(&rig, &record, id);
    let done_at = lines.iter().find(|(_, line)| line.contains("ended") && line.ends_with("done"));
    let done_at_ms = done_at.map_or(0, |(at_ms, _)| *at_ms);
    let is_start = |line: &str| line.contains(&format!("started {id}.0.1."));
    let starts = lines.iter().filter(|(_, line)| is_start(line)).count();
    let rejected = lines.iter().filter(|(_, line)| line.contains("rejected")).count();
    let idle_ms = crate::worker::unix_ms() - done_at_ms;
    let result = format!(
        "second step: {starts} starts, {rejected} rejected for want of a ticket, its turn came {idle_ms} ms ago; shown as {state}"
    );
    record.line(&result);
    println!("{result}");
    rig.host_lines(id).iter().take(40).for_each(|line| record.line(&format!("host: {line}")));
    i32::from(starts == 0 && idle_ms > IDLE_MS)
}
