//! A worker goes down and up by turns while the cell is busy. No task ever fails.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    cell::{Cell, DOMAIN, ZONE},
    record::{Event, Record},
};

const WORKERS: usize = 10;
/// Time of traffic.
const TRAFFIC: Duration = Duration::from_secs(45);
/// Length of a disruption, and the pause after it.
const FLAPPING: Duration = Duration::from_millis(6_500);
const PAUSE: Duration = Duration::from_millis(4_000);
/// Half of the period in which the worker goes down and up.
const HALF_PERIOD: Duration = Duration::from_millis(475);
/// Time after the end of the traffic at which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

fn config() -> String {
    let route = |name: &str, prefix: &str, priority: u32| {
        format!(
            r#"{{"name":"{name}","host":"{DOMAIN}","prefix":"{prefix}","kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":1200,"priority":{priority},"service":"huvo11a","attempts":2,"stretch":2.2}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{{"name":"huvo11a","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_control":false,"standby":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        route("r-3hwrr6x", "/lohu930/", 1),
        route("r-9n73hh2", "/pule252/", 0)
    )
}

/// LOST: a job is shown as `failed` although none of its runs has ended `failed`.
pub fn run(trouble: bool) -> (Arc<Record>, Outcome) {
    let mut cell = Cell::start(3, (WORKERS, ZONE), false, &config());
    let record = Arc::clone(&cell.record);
    let ended = Arc::new(AtomicBool::new(false));
    let began = Instant::now();
    let mut accepted: Vec<(&str, String)> = Vec::new();
    thread::scope(|scope| {
        if trouble {
            let (workers, store) = (cell.workers.clone(), Arc::clone(&cell.store));
            let ended = Arc::clone(&ended);
            scope.spawn(move || flap(&workers[3], &store, &ended));
        }
        let mut number = 0_u64;
        let mut next = began;
        while began.elapsed() < TRAFFIC {
            number += 1;
            let id = format!("{:016x}", 0x5c0e_7a21_0000_0000 + number * 0x1_0001);
            // Every fourth job is a planning run of wide tasks, the others are short.
            let (prefix, spec, steps) = if number % 4 == 0 {
                let steps = r#"{"count":8,"cpu":4500,"mem_mb":4600,"estimate_ms":4000}"#;
                ("/lohu930/", "run=4000", steps)
            } else {
                let steps = r#"{"count":2,"cpu":1400,"mem_mb":2000,"estimate_ms":1000}"#;
                ("/pule252/", "run=1000", steps)
            };
            if cell.submit(prefix, &id, spec, steps) {
                accepted.push((prefix, id));
            }
            next += Duration::from_millis(300);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        ended.store(true, Ordering::SeqCst);
    });
    thread::sleep(FINISH);
    let states: Vec<(String, String)> = (accepted.iter())
        .map(|(prefix, id)| (id.clone(), cell.state(prefix, id)))
        .collect();
    drop(cell);
    let lines = record.lines();
    let failed: BTreeSet<&str> = (lines.iter())
        .filter_map(|line| match &line.event {
            Event::Ended { task, how, .. } if *how == "failed" => task.get(..16),
            _ => None,
        })
        .collect();
    let count = |state: &str| states.iter().filter(|(_, shown)| shown == state).count();
    record.say(
        "rig",
        format!(
            "{} jobs accepted; shown as completed {}, as failed {}, as anything else {}",
            states.len(),
            count("completed"),
            count("failed"),
            states.len() - count("completed") - count("failed")
        ),
    );
    let broken: Vec<String> = (states.iter())
        .filter(|(id, state)| state == "failed" && !failed.contains(id.as_str()))
        .map(|(id, _)| {
            format!("LOST: {id} is shown as failed, but none of its runs has ended failed")
        })
        .collect();
    let void = (count("completed") == 0).then(|| "no job has completed".to_owned());
    (record, Outcome { broken, void })
}

fn flap(worker: &Arc<crate::worker::Worker>, store: &crate::store::Store, ended: &AtomicBool) {
    while !ended.load(Ordering::SeqCst) {
        thread::sleep(PAUSE);
        let until = Instant::now() + FLAPPING;
        while Instant::now() < until {
            worker.crash();
            thread::sleep(HALF_PERIOD);
            worker.restart();
            if let Some(entry) = worker.entry() {
                store.put(&format!("servers/{}", worker.id), &entry);
            }
            thread::sleep(HALF_PERIOD);
        }
    }
}
