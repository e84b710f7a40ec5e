//! Minions crash and start again under the ids that they had, with less capacity, while tasks wait.

use std::{sync::Arc, thread, time::Duration};

use crate::rig::{self, CPU, Record, Rig, Shape, client_call};

/// Capacity of a later life, in thousandths of a core.
const LATER_CPU: u64 = 4_000;
const TASK_CPU: u64 = 1_000;
const TASKS_PER_JOB: usize = 48;
const JOBS: usize = 30;
const RUN_MS: u64 = 2_000;
/// How long the store is down.
const STORE_DOWN: Duration = Duration::from_millis(4_200);
/// When the minion crashes in that time, and how long it is down.
const BEFORE_CRASH: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(500);
/// Time from the return of the store to its next end.
const PAUSE: Duration = Duration::from_millis(3_000);

pub fn run(program: &str, record_path: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(record_path));
    let shape = Shape { hosts: 3, minions: 8, attempts: 4, advice: false, kind_b: 0, has_proxies: false };
    if !rig::exists(program) {
        record.line("the program is not built");
        return 2;
    }
    let Some(mut rig) = Rig::start(program, Arc::clone(&record), shape) else {
        record.line("the deployment did not become ready");
        return 2;
    };
    for number in 0..JOBS {
        let id = format!("5eedcafe{number:08x}");
        let body = format!(
            "{{\"spec\":\"run={RUN_MS}\",\"steps\":[{{\"count\":{TASKS_PER_JOB},\"cpu\":{TASK_CPU},\"mem_mb\":64,\"estimate_ms\":{RUN_MS}}}]}}"
        );
        let status = client_call(rig.fronts[number % 3], "POST", &id, &body).map_or(0, |(status, _)| status);
        record.line(&format!("POST {id} tasks={TASKS_PER_JOB} run={RUN_MS} -> {status}"));
    }
    thread::sleep(Duration::from_millis(1_500));
    for number in 0..3 {
        let id = rig.minions[number].id.clone();
        if has_trouble {
            rig.set_store_down(true);
            thread::sleep(BEFORE_CRASH);
            rig.kill_minion(number);
            thread::sleep(DOWN);
            rig.start_life(number, &id, LATER_CPU);
            thread::sleep(STORE_DOWN - BEFORE_CRASH - DOWN);
            rig.set_store_down(false);
        } else {
            thread::sleep(STORE_DOWN);
        }
        thread::sleep(PAUSE);
    }
    thread::sleep(Duration::from_secs(5));
    judge(&rig, &record)
}

/// Adds up what runs in each life: no start may bring a minion over the capacity of that life.
fn judge(rig: &Rig, record: &Record) -> i32 {
    let mut over = 0;
    for life in rig.lives() {
        life.iter().for_each(|line| record.line(&format!("minion: {line}")));
        let has = |line: &str, word: &str| line.split(' ').nth(2) == Some(word);
        let up = life.first().filter(|line| has(line, "up"));
        let capacity = up.and_then(|line| line.split("cpu=").nth(1)?.split(' ').next()?.parse().ok());
        let capacity: u64 = capacity.unwrap_or(CPU);
        let (mut used, mut most) = (0, 0);
        for line in &life {
            if has(line, "started") {
                used += TASK_CPU;
                most = most.max(used);
            } else if has(line, "ended") {
                used -= TASK_CPU;
            }
        }
        let name = up.map_or("", |line| line.as_str());
        record.line(&format!("{name}: at most {most} of {capacity}"));
        if most > capacity {
            over += 1;
            println!("{name}: {most} of {capacity} thousandths of a core");
        }
    }
    println!("lives over their capacity: {over}");
    record.line(&format!("lives over their capacity: {over}"));
    i32::from(over > 0)
}
