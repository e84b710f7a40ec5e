//! A queue is removed while a job that it accepted is open.

use std::{collections::BTreeSet, sync::Arc, thread, time::Duration};

use crate::{
    Outcome,
    cell::{Cell, DOMAIN, ZONE},
    record::{Event, Record},
};

const ID: &str = "5c0e7a21d94b36f8";
const TASK: &str = "5c0e7a21d94b36f8.0.0.0";
const PREFIX: &str = "/lohu930/";
const ATTEMPTS: usize = 2;

fn config(version: u64, has_queue: bool, advice: &str) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","host":"{DOMAIN}","prefix":"{prefix}","kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":1200,"priority":1,"service":"huvo11a","attempts":{ATTEMPTS},"stretch":2.2{advice}}}"#
        )
    };
    let mut routes = vec![route("r-73d3zji", "/pufi791/")];
    routes.extend(has_queue.then(|| route("r-3hwrr6x", PREFIX)));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"huvo11a","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_control":false,"standby":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// BUDGET: starts of a task after as many of its runs have failed as its queue allows.
pub fn attempts(trouble: bool) -> (Arc<Record>, Outcome) {
    let mut cell = Cell::start(3, (6, ZONE), false, &config(7, true, ""));
    let record = Arc::clone(&cell.record);
    let steps = r#"{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":1500}"#;
    let accepted = cell.submit(PREFIX, ID, "run=1500 fail=1", steps);
    sleep(500);
    if trouble {
        cell.write_config(&config(9, false, ""));
    }
    sleep(20_000);
    if trouble {
        cell.write_config(&config(12, true, ""));
    }
    sleep(4_000);
    let state = cell.state(PREFIX, ID);
    drop(cell);
    // An end counts once it was taken note of.
    let (mut failed, mut listed, mut over) = (BTreeSet::new(), Vec::new(), Vec::new());
    for line in record.lines() {
        match line.event {
            Event::Ended {
                task,
                run,
                how: "failed",
                end,
            } if task == TASK => listed.push((line.who, end, run)),
            Event::Seen { last_seen } => {
                let seen = listed
                    .iter()
                    .filter(|(who, end, _)| *who == line.who && *end <= last_seen);
                failed.extend(seen.map(|(_, _, run)| *run));
            }
            Event::Started { task, run } if task == TASK && failed.len() >= ATTEMPTS => {
                over.push((line.at_ms, run));
            }
            _ => {}
        }
    }
    let broken = over
        .iter()
        .map(|(at_ms, run)| {
            format!(
                "BUDGET: {TASK} run={run} begun at {at_ms} ms, after {ATTEMPTS} runs had ended failed"
            )
        })
        .chain((!over.is_empty()).then(|| format!("the job is shown as {state}")))
        .collect();
    let void = match (accepted, failed.len()) {
        (false, _) => Some("the job was not accepted".to_owned()),
        (true, 0) => Some("no run failed".to_owned()),
        _ => None,
    };
    (record, Outcome { broken, void })
}

/// LOST: a job has nothing running while the turn of a task has come.
pub fn ticket(trouble: bool) -> (Arc<Record>, Outcome) {
    const ADVICE: &str = r#","advice":{"decide_ms":10.0,"each_ms":0.15,"valid_ms":2500}"#;
    let mut cell = Cell::start(3, (6, ZONE), true, &config(7, true, ADVICE));
    let record = Arc::clone(&cell.record);
    let steps = r#"{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":2000},{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":2000,"after":[0]}"#;
    let accepted = cell.submit(PREFIX, ID, "run=2000", steps);
    sleep(500);
    if trouble {
        cell.write_config(&config(9, false, ADVICE));
    }
    sleep(24_000);
    let ended_ms = record.now_ms();
    if trouble {
        cell.write_config(&config(12, true, ADVICE));
    }
    sleep(1_000);
    let state = cell.state(PREFIX, ID);
    drop(cell);
    let (mut first_done, mut second_runs, mut rejected) = (Vec::new(), 0, 0);
    for line in record.lines().iter().filter(|line| line.at_ms < ended_ms) {
        match &line.event {
            Event::Ended { task, how, .. } if *how == "done" && task.contains(".0.0.") => {
                first_done.push(line.at_ms);
            }
            Event::Started { task, .. } if task.contains(".0.1.") => second_runs += 1,
            Event::Refused { task, why, .. } if task.contains(".0.1.") && why == "ticket" => {
                rejected += 1;
            }
            _ => {}
        }
    }
    let mut broken = Vec::new();
    if let (2, Some(&turn_ms), 0) = (first_done.len(), first_done.last(), second_runs) {
        broken.push(format!(
            "LOST: from {turn_ms} to {ended_ms} ms the job has nothing running, though the turn of its \
             second step has come and all workers are idle; {rejected} starts were rejected for want of \
             a ticket; the job is shown as {state}"
        ));
    }
    let void = if !accepted {
        Some("the job was not accepted".to_owned())
    } else if first_done.len() < 2 {
        Some("the first step has not run".to_owned())
    } else {
        None
    };
    (record, Outcome { broken, void })
}
