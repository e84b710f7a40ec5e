//! Jobs come at once whose tasks last, and save checkpoints of some kilobytes.

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use crate::{
    Outcome,
    cell::{Cell, DOMAIN, SMALL_ZONE},
    record::{Event, Record},
};

const PREFIX: &str = "/pufi791/";
/// Tasks of a job.
const TASKS: usize = 48;
/// Tasks of a step that may be away at the same time by what the system does.
const MAY_MISS: usize = 4;
/// Jobs that come at once, and without the disruption.
const BURST: u64 = 16;
const USUAL: u64 = 3;
const WAIT: Duration = Duration::from_secs(40);
/// Time after its start from which a task surely works, in milliseconds.
const AT_WORK_MS: u64 = 2_000;
/// Time for which a task that was ended counts as away, in milliseconds: that of the lapse itself.
const AWAY_MS: u64 = 100;

/// AVAIL: leases lapse with no disruption near, of more tasks of a step than may be away.
pub fn run(trouble: bool) -> (Arc<Record>, Outcome) {
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"r-73d3zji","host":"{DOMAIN}","prefix":"{PREFIX}","kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":3000,"priority":1,"service":"huvo11a","attempts":2,"stretch":2.2}}],"services":[{{"name":"huvo11a","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_control":false,"standby":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    );
    let mut cell = Cell::start(3, (6, SMALL_ZONE), false, &config);
    let record = Arc::clone(&cell.record);
    let steps = format!(
        r#"{{"count":{TASKS},"cpu":25,"mem_mb":40,"estimate_ms":400,"checkpointing":true,"long_running":true,"may_miss":{MAY_MISS}}}"#
    );
    let count = if trouble { BURST } else { USUAL };
    let accepted = (1..=count)
        .map(|number| format!("{:016x}", 0x5c0e_7a21_0000_0000 + number * 0x1_0001))
        .filter(|id| cell.submit(PREFIX, id, "run=3600000 last=1 save=2000", &steps))
        .count();
    thread::sleep(WAIT);
    let ended_ms = record.now_ms();
    drop(cell);
    let mut began_ms: BTreeMap<String, u64> = BTreeMap::new();
    let mut lapses: BTreeMap<(String, u64), usize> = BTreeMap::new();
    let (mut starts, mut lapsed) = (0, 0);
    let lines = record.lines();
    for line in lines.iter().filter(|line| line.at_ms < ended_ms) {
        match &line.event {
            Event::Started { task, .. } => {
                starts += 1;
                began_ms.insert(task.clone(), line.at_ms);
            }
            Event::Ended { task, how, .. } if *how == "lapsed" => {
                lapsed += 1;
                let since_ms = began_ms.get(task).copied().unwrap_or(line.at_ms);
                if line.at_ms >= since_ms + AT_WORK_MS {
                    let step = task.rsplit_once('.').map_or("", |(step, _)| step);
                    let moment = line.at_ms / AWAY_MS;
                    *lapses.entry((step.to_owned(), moment)).or_default() += 1;
                }
            }
            _ => {}
        }
    }
    record.say(
        "rig",
        format!(
            "{accepted} jobs accepted; {starts} starts of {} tasks, {lapsed} runs lapsed",
            accepted * TASKS
        ),
    );
    let broken = (lapses.iter())
        .filter(|(_, count)| **count > MAY_MISS)
        .map(|((step, moment), count)| {
            let at_ms = moment * AWAY_MS;
            format!("AVAIL: {count} tasks of {step} at work lapsed at about {at_ms} ms, {MAY_MISS} may be away")
        })
        .collect();
    let void = match (accepted, starts) {
        (0, _) => Some("no job was accepted".to_owned()),
        (_, 0) => Some("no task was started".to_owned()),
        _ => None,
    };
    (record, Outcome { broken, void })
}
