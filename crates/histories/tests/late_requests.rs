//! Requests that reach a worker late, and what their sender may conclude from silence.

use std::time;

use hickorychute_histories::cell;
use kernel::history;
use kernel::ids;
use standin::Fault;

const SEED: u64 = 38;
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time limit for the service to run.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_mins(1);
const REPLICAS: usize = 6;

const NOTE: &str = r#"
[[added.quota]]
team = "lab"
cpu_milli = 200000
memory_mb = 400000

[[added.service]]
name = "desk"
team = "lab"
replicas = 6
cpu_milli = 1000
memory_mb = 512
slots = 4
connections = 16
"#;

async fn start_cell() -> cell::Cell {
    let mut config = standin::Config::preset(standin::Firm::Huber);
    config.workers = 12;
    config.workers_per_rack = 2;
    let mut cell = cell::Cell::new(&config, SEED);
    for zone in cell.zones() {
        cell.start_host(&zone).await;
    }
    let host = cell.hosts().values().next().expect("the cell has hosts");
    let operations = host.operations().clone();
    let accepted = operations
        .submit_release(NOTE.as_bytes(), "operator", None)
        .await;
    accepted.expect("the note is accepted");
    cell
}

/// Workers on which runs have started, in the order of the starts.
fn starts(cell: &cell::Cell) -> Vec<ids::WorkerId> {
    let records = cell.records().into_iter();
    let started = records.filter_map(|record| match record.event {
        history::Event::TaskStarted { worker, .. } => Some(worker),
        _ => None,
    });
    started.collect()
}

async fn wait_for_starts(cell: &cell::Cell, count: usize) {
    let started = async {
        while starts(cell).len() < count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let in_time = tokio::time::timeout(SETTLE_TIMEOUT, started).await;
    in_time.expect("the replicas start");
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Time that a request takes to reach the worker.
    delay_ms: u64,
    /// Time after which the worker cannot be reached at all.
    unreachable_after_ms: u64,
}

// Guards against a run that is started elsewhere while a late request still holds it on a worker.
#[tokio::test(start_paused = true)]
async fn a_lease_extended_by_a_late_request_is_waited_for() {
    let cases = [
        Case {
            name: "requests arrive at once",
            delay_ms: 0,
            unreachable_after_ms: 3_000,
        },
        Case {
            name: "the third request arrives 0.5 s late",
            delay_ms: 500,
            unreachable_after_ms: 3_000,
        },
        Case {
            name: "the third request arrives 1.5 s late",
            delay_ms: 1_500,
            unreachable_after_ms: 6_500,
        },
        Case {
            name: "the second request is the last to arrive",
            delay_ms: 1_500,
            unreachable_after_ms: 4_000,
        },
    ];
    for case in cases {
        let cell = start_cell().await;
        wait_for_starts(&cell, REPLICAS).await;
        let worker = starts(&cell).swap_remove(0);
        let count = u32::MAX;
        cell.platform.apply(Fault::WorkerDelay {
            worker: worker.clone(),
            delay_ms: case.delay_ms,
        });
        cell.platform.apply(Fault::LoseWorkerReplies {
            worker: worker.clone(),
            count,
        });
        tokio::time::sleep(time::Duration::from_millis(case.unreachable_after_ms)).await;
        cell.platform.apply(Fault::WorkerUnreachable {
            worker,
            unreachable: true,
        });
        wait_for_starts(&cell, REPLICAS + 1).await;
        let violations = checker::check_with(&cell.records(), &checker::Expectations::default());
        assert!(violations.is_empty(), "{}: {violations:?}", case.name);
    }
}
