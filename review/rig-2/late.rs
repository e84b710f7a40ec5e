//! An order gets no answer and reaches its minion late, when that has started again under its id.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::rig::{self, CPU, Record, Rig, Shape, client_call};

const RUN_MS: u64 = 9_000;
/// Other jobs, so that one order in more than twenty is late.
const OTHER_JOBS: usize = 30;
/// Time from the order to the crash of its minion, and how long that is down.
const BEFORE_CRASH: Duration = Duration::from_millis(2_500);
const DOWN: Duration = Duration::from_millis(1_000);

pub fn run(program: &str, record_path: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(record_path));
    if !rig::exists(program) {
        record.line("the program is not built");
        return 2;
    }
    let shape = Shape { hosts: 3, minions: 8, attempts: 4, advice: false, kind_b: 0, has_proxies: true };
    let Some(mut rig) = Rig::start(program, Arc::clone(&record), shape) else {
        record.line("the deployment did not become ready");
        return 2;
    };
    for number in 0..OTHER_JOBS {
        submit(&rig, &record, &format!("5eed0000000b{number:04x}"), 400);
        thread::sleep(Duration::from_millis(150));
    }
    let id = "5eed00000000c001";
    if has_trouble {
        rig.held.hold_first_run(&format!("{id}.0.0.0"));
    }
    submit(&rig, &record, id, RUN_MS);
    if has_trouble {
        let until = Instant::now() + Duration::from_secs(3);
        while rig.held.minion().is_none() && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        let Some(address) = rig.held.minion() else {
            record.line("no order was held");
            return 2;
        };
        let number = rig.minions.iter().position(|minion| minion.address == address).expect("a minion");
        record.line(&format!("the order to minion {number} gets no answer"));
        thread::sleep(BEFORE_CRASH);
        rig.kill_minion(number);
        let held = Arc::clone(&rig.held);
        thread::sleep(DOWN);
        let delivery = thread::spawn(move || held.deliver(Duration::from_secs(5)));
        let worker = rig.minions[number].id.clone();
        rig.start_life(number, &worker, CPU);
        let answer = delivery.join().expect("the delivery does not panic");
        record.line(&format!("the late order reaches the minion: {answer:?}"));
        if answer.is_none() {
            return 2;
        }
    }
    thread::sleep(Duration::from_secs(12));
    let (status, state) = client_call(rig.fronts[1], "GET", id, "").unwrap_or_default();
    record.line(&format!("GET {id} -> {status} {state}"));
    judge(&rig, &record, id)
}

fn submit(rig: &Rig, record: &Record, id: &str, run_ms: u64) {
    let body = format!(
        "{{\"spec\":\"run={run_ms}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":{run_ms}}}]}}"
    );
    let status = client_call(rig.fronts[0], "POST", id, &body).map_or(0, |(status, _)| status);
    record.line(&format!("POST {id} {body} -> {status}"));
}

/// Looks for two runs of the task at the same time, in lives that have not been killed meanwhile.
fn judge(rig: &Rig, record: &Record, id: &str) -> i32 {
    let mut runs: Vec<(u64, u64, String)> = Vec::new();
    for life in rig.lives() {
        for line in life.iter().filter(|line| line.contains(id)) {
            record.line(&format!("minion: {line}"));
            let words: Vec<&str> = line.split(' ').collect();
            let (Some(at_ms), Some(what)) = (words[0].parse().ok(), words.get(2)) else {
                continue;
            };
            match *what {
                "started" => runs.push((at_ms, u64::MAX, format!("run {} on {}", words[4], words[1]))),
                "ended" => {
                    if let Some(open) = runs.last_mut().filter(|run| run.1 == u64::MAX) {
                        open.1 = at_ms;
                    }
                }
                _ => {}
            }
        }
    }
    rig.host_lines(id).iter().for_each(|line| record.line(&format!("host: {line}")));
    let mut longest_ms = 0;
    for (n, one) in runs.iter().enumerate() {
        for other in &runs[n + 1..] {
            let both_ms = one.1.min(other.1).saturating_sub(one.0.max(other.0));
            if both_ms > 0 {
                let line = format!("{} and {} at the same time for {both_ms} ms", one.2, other.2);
                record.line(&line);
                println!("{line}");
                longest_ms = longest_ms.max(both_ms);
            }
        }
    }
    println!("{} runs; two at the same time for {longest_ms} ms", runs.len());
    i32::from(longest_ms > 0)
}
