//! A minion is lost for good while a gang starts on it; another one has room for the whole gang.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::rig::{self, Record, Rig, Shape, client_call};

const MEMBERS: usize = 3;
/// Two members fit beside each other on a minion before the third goes to the next one.
const MEMBER_CPU: u64 = 2_000;
/// Other work on the minions of the kind `b` at the start, so that the gang is spread over both.
const FILLER_CPU: u64 = 11_000;
/// Time from the start of the gang to the loss of the minion.
const LOSS_DELAY: Duration = Duration::from_millis(200);
/// Time that jobs have to end after the traffic (`finish_s`), and the time without a run (3 s).
const FINISH: Duration = Duration::from_secs(14 + 3);

pub fn run(program: &str, record_path: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(record_path));
    if !rig::exists(program) {
        record.line("the program is not built");
        return 2;
    }
    let shape = Shape { hosts: 3, minions: 8, attempts: 4, advice: false, kind_b: 2, has_proxies: false };
    let Some(mut rig) = Rig::start(program, Arc::clone(&record), shape) else {
        record.line("the deployment did not become ready");
        return 2;
    };
    let filler = "5eed00000000a001";
    let body = format!(
        "{{\"spec\":\"run=4000\",\"steps\":[{{\"count\":2,\"cpu\":{FILLER_CPU},\"mem_mb\":64,\"estimate_ms\":4000,\"required_label\":\"b\"}}]}}"
    );
    submit(&rig, &record, filler, &body);
    thread::sleep(Duration::from_millis(500));
    let id = "5eed00000000a002";
    let body = format!(
        "{{\"spec\":\"run=2500 gang={MEMBERS}\",\"steps\":[{{\"count\":{MEMBERS},\"cpu\":{MEMBER_CPU},\"mem_mb\":64,\
         \"estimate_ms\":2500,\"gang\":true,\"required_label\":\"b\"}}]}}"
    );
    submit(&rig, &record, id, &body);
    let Some(busiest) = wait_for_gang(&rig, id) else {
        record.line("the gang did not start on both minions");
        return 2;
    };
    thread::sleep(LOSS_DELAY);
    if has_trouble {
        rig.kill_minion(busiest);
    }
    thread::sleep(Duration::from_secs(6));
    thread::sleep(FINISH);
    let lines = rig.minion_lines();
    lines.iter().for_each(|line| record.line(&format!("minion: {line}")));
    let (status, state) = client_call(rig.fronts[1], "GET", id, "").unwrap_or_default();
    record.line(&format!("GET {id} -> {status} {state}"));
    rig.host_lines(id).iter().for_each(|line| record.line(&format!("host: {line}")));
    rig.host_lines("step-waiting").iter().take(3).for_each(|line| record.line(&format!("host: {line}")));
    let starts = lines.iter().filter(|line| line.contains(&format!("started {id}"))).count();
    let result = format!("the gang of {MEMBERS} was started {starts} times by members; shown as {status} {state}");
    record.line(&result);
    println!("{result}");
    i32::from(!state.contains("completed"))
}

fn submit(rig: &Rig, record: &Record, id: &str, body: &str) {
    let status = client_call(rig.fronts[0], "POST", id, body).map_or(0, |(status, _)| status);
    record.line(&format!("POST {id} {body} -> {status}"));
}

/// Waits until all members have started, on two minions; returns the one with the most of them.
fn wait_for_gang(rig: &Rig, id: &str) -> Option<usize> {
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        let lines = rig.minion_lines();
        let started = lines.iter().filter(|line| line.contains(&format!("started {id}")));
        let on = |number: usize| {
            let worker = rig.minions[number].id.as_str();
            started.clone().filter(|line| line.contains(worker)).count()
        };
        let counts = [on(0), on(1)];
        if counts.iter().sum::<usize>() == MEMBERS && !counts.contains(&0) {
            return Some(usize::from(counts[1] > counts[0]));
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}
