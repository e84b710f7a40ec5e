//! A scheduled job whose occurrences overlap, and whose tasks save checkpoints of some kilobytes.

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use crate::{
    Outcome,
    cell::{Cell, DOMAIN, ZONE},
    record::{Event, Record},
    worker,
};

const ID: &str = "5c0e7a21d94b36f8";
/// An ordinary job that comes once the last occurrence has ended.
const OTHER_ID: &str = "5c0e7a21d94b36f9";
const PREFIX: &str = "/pufi791/";
/// Occurrences, and the time between them with the disruption and without, in milliseconds.
const TIMES: u64 = 20;
const INTERVAL_MS: u64 = 1_000;
const USUAL_INTERVAL_MS: u64 = 4_000;
/// `ack_timeout_ms`: time after which an end has to be taken note of.
const ACK_TIMEOUT_MS: u64 = 5_000;

/// Acks: the ends that workers list are not taken note of, and the job is never shown as completed.
pub fn run(trouble: bool) -> (Arc<Record>, Outcome) {
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"r-73d3zji","host":"{DOMAIN}","prefix":"{PREFIX}","kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":3000,"priority":2,"service":"huvo11a","attempts":4,"stretch":4.0}}],"services":[{{"name":"huvo11a","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_control":false,"standby":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    );
    let mut cell = Cell::start(3, (12, ZONE), false, &config);
    let record = Arc::clone(&cell.record);
    let (times, interval_ms) = match trouble {
        true => (TIMES, INTERVAL_MS),
        false => (TIMES / 2, USUAL_INTERVAL_MS),
    };
    let body = format!(
        r#"{{"spec":"run=16000 save=2000","steps":[{{"count":48,"cpu":200,"mem_mb":40,"estimate_ms":16000,"checkpointing":true}}],"times":{times},"start_at_ms":{},"interval_ms":{interval_ms}}}"#,
        worker::unix_ms() + 1_000
    );
    let reply = cell.request("POST", &format!("{PREFIX}{ID}"), &body);
    let accepted = reply.is_some_and(|reply| reply.status == 200);
    thread::sleep(Duration::from_millis(1_000 + times * interval_ms + 16_000));
    let steps = r#"{"count":2,"cpu":200,"mem_mb":40,"estimate_ms":500}"#;
    let other_accepted = cell.submit(PREFIX, OTHER_ID, "run=500", steps);
    thread::sleep(Duration::from_secs(20));
    let state = cell.state(PREFIX, ID);
    let other_state = cell.state(PREFIX, OTHER_ID);
    let ended_ms = record.now_ms();
    drop(cell);
    let mut seen: BTreeMap<String, u64> = BTreeMap::new();
    let mut listed = Vec::new();
    for line in record.lines().iter().filter(|line| line.at_ms < ended_ms) {
        match &line.event {
            Event::Ended { task, end, how, .. } => {
                let is_other = task.starts_with(OTHER_ID);
                listed.push((line.who.clone(), *end, line.at_ms, *how, is_other));
            }
            Event::Seen { last_seen } => {
                seen.insert(line.who.clone(), *last_seen);
            }
            _ => {}
        }
    }
    let done = listed.iter().filter(|(.., how, _)| *how == "done").count();
    let (mut due, mut missed, mut others_missed) = (0, 0, 0);
    for (who, end, at_ms, _, is_other) in &listed {
        if at_ms + ACK_TIMEOUT_MS < ended_ms {
            let is_missed = seen.get(who).is_none_or(|last| end > last);
            due += 1;
            missed += usize::from(is_missed);
            others_missed += usize::from(is_missed && *is_other);
        }
    }
    record.say(
        "rig",
        format!(
            "{done} runs done of {} tasks; {missed} of {due} ends not taken note of, {others_missed} of them of \
             the other job (accepted: {other_accepted}); states {state}, {other_state}",
            48 * times + 2
        ),
    );
    let mut broken = Vec::new();
    if missed * 5 > due {
        broken.push(format!(
            "Acks: {missed} of {due} listed ends were not taken note of {ACK_TIMEOUT_MS} ms later, also \
             {others_missed} of 2 of another job; all {done} runs are done, and the job is shown as {state}"
        ));
    }
    let void = match (accepted, done) {
        (false, _) => Some("the job was not accepted".to_owned()),
        (true, 0) => Some("no run was done".to_owned()),
        _ => None,
    };
    (record, Outcome { broken, void })
}
