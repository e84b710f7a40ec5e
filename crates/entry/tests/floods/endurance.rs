//! Crowds that go on, against one host and against a cell of three.
//!
//! Guards against clients that keep their places by moving a little, and against complete jobs whose
//! cost begins once they are decoded. Ordinary jobs are submitted through each host while the crowd
//! goes on and after it has gone.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use platform_standin::Platform;
use tokio::time;

use crate::{
    ONE_AT_A_TIME, ORDINARY_JOBS,
    jobs::Shape,
    moving::{self, Conduct, Crowd},
    rig::{self, ProcessLimits, Rig, Usage},
    submission,
};

/// Time limit for heads in the configuration, in milliseconds: the platform's own.
const HEADER_TIMEOUT_MS: u64 = 15_000;
/// Interval between two looks at what the processes use.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Case {
    name: &'static str,
    limits: ProcessLimits,
    hosts: usize,
    workers: usize,
    /// Number of hosts that the crowd uses, the coordinator first.
    targets: usize,
    conduct: Conduct,
    connections: usize,
    /// How long the crowd goes on beside the ordinary requests.
    lasts: Duration,
}

/// A body in pieces of 80 bytes, four a second.
pub const SLOW_BODY: Conduct = Conduct::Trickle {
    begin: "content-length: 262144\r\n\r\n",
    piece: "x",
    times: 80,
    interval_ms: 250,
};
/// Chunks of one byte, 60 of them four times a second.
pub const SLOW_CHUNKS: Conduct = Conduct::Trickle {
    begin: "transfer-encoding: chunked\r\n\r\n",
    piece: "1\r\nx\r\n",
    times: 60,
    interval_ms: 250,
};
/// A header line each half second.
pub const SLOW_HEAD: Conduct = Conduct::Trickle {
    begin: "",
    piece: "x: y\r\n",
    times: 1,
    interval_ms: 500,
};

/// One host, for crowds that cost nothing after they are refused.
const SMALL: ProcessLimits = ProcessLimits {
    memory_mb: 60,
    max_fds: 500,
};

/// The smallest machines of the deployments, with fewer descriptors.
pub const SMALLEST_MACHINE: ProcessLimits = ProcessLimits {
    memory_mb: 120,
    max_fds: 1_000,
};

const fn one_host(name: &'static str, conduct: Conduct, connections: usize) -> Case {
    Case {
        name,
        limits: SMALL,
        hosts: 1,
        workers: 1,
        targets: 1,
        conduct,
        connections,
        lasts: Duration::from_secs(2),
    }
}

const fn cell(name: &'static str, targets: usize, shape: Shape, connections: usize) -> Case {
    Case {
        name,
        limits: SMALLEST_MACHINE,
        hosts: 3,
        workers: 8,
        targets,
        conduct: Conduct::Submit(shape),
        connections,
        lasts: Duration::from_secs(12),
    }
}

const SLOW: [Case; 4] = [
    one_host("bodies in pieces of 80 bytes", SLOW_BODY, 150),
    one_host("chunks of one byte, without end", SLOW_CHUNKS, 150),
    one_host("header lines, without end", SLOW_HEAD, 150),
    one_host(
        "no body after an expectation",
        Conduct::Trickle {
            begin: "expect: 100-continue\r\ncontent-length: 262144\r\n\r\n",
            piece: "",
            times: 0,
            interval_ms: 30_000,
        },
        150,
    ),
];

const RETURNING: [Case; 2] = [
    one_host(
        "a request every two seconds",
        Conduct::KeepAlive { interval_ms: 2_000 },
        150,
    ),
    one_host("bodies that stop and come again", Conduct::Withhold, 150),
];

const LEAVING: [Case; 1] = [Case {
    limits: ProcessLimits {
        memory_mb: 32,
        max_fds: 500,
    },
    lasts: Duration::from_secs(30),
    ..one_host("clients that leave at once", Conduct::LeaveAtOnce, 20)
}];

const MANY_STEPS: [Case; 2] = [
    cell("two clients with many steps", 3, Shape::ManySteps, 2),
    cell("forty clients with many steps", 1, Shape::ManySteps, 40),
];

const SHORTEST_STEPS: [Case; 1] = [cell("the shortest steps", 3, Shape::ShortestSteps, 4)];

const ENDLESS: [Case; 2] = [
    cell("occurrences without end", 3, Shape::EndlessTimes, 4),
    cell("tasks without end", 3, Shape::EndlessCount, 4),
];

const MANY: [Case; 3] = [
    cell("many occurrences", 3, Shape::ManyTimes, 4),
    cell("many tasks", 3, Shape::ManyTasks, 4),
    cell("long lists of steps to wait for", 3, Shape::LongAfter, 4),
];

/// Looks at the processes for as long as the requests take, and returns the most that each used.
pub async fn observe(rigs: &[Rig], requests: impl Future<Output = ()>) -> Vec<Usage> {
    let mut most = vec![Usage::default(); rigs.len()];
    tokio::pin!(requests);
    loop {
        let ended = time::timeout(LOOK_INTERVAL, &mut requests).await.is_ok();
        for (most, rig) in most.iter_mut().zip(rigs) {
            let used = rig.usage(rig.clients.port());
            most.memory_kib = most.memory_kib.max(used.memory_kib);
            most.descriptors = most.descriptors.max(used.descriptors);
        }
        if ended {
            return most;
        }
    }
}

/// Submits an ordinary job through each host, and returns the statuses.
pub async fn submit_through_all(rigs: &[Rig], first_number: u64) -> Vec<u16> {
    let mut statuses = Vec::new();
    for (number, rig) in rigs.iter().enumerate() {
        let request = submission(ORDINARY_JOBS + first_number + number as u64, "");
        statuses.push(rig::served_status(rig.clients, &request).await);
    }
    statuses
}

/// A platform whose configuration has the platform's own time limit for heads.
pub async fn start_platform(workers: usize) -> Platform {
    let platform = Platform::start(workers).await;
    platform.write_config(&rig::config(HEADER_TIMEOUT_MS));
    platform
}

/// What exceeded the machines of the hosts.
pub fn exceeded(name: &str, most: &[Usage], limits: ProcessLimits) -> Vec<String> {
    let mut faults = Vec::new();
    for (number, used) in most.iter().enumerate() {
        let Usage {
            memory_kib,
            descriptors,
        } = *used;
        let limit_kib = limits.memory_mb << 10;
        if memory_kib > limit_kib {
            faults.push(format!(
                "{name}: host {number} used {memory_kib} of {limit_kib} KiB"
            ));
        }
        if descriptors > limits.max_fds {
            faults.push(format!(
                "{name}: host {number} had {descriptors} descriptors"
            ));
        }
    }
    faults
}

async fn play(case: &Case) -> Vec<String> {
    let platform = Arc::new(start_platform(case.workers).await);
    let mut rigs = Rig::start_cell(case.hosts, case.limits, &platform).await;
    let targets: Vec<_> = rigs
        .iter()
        .map(|rig| rig.clients)
        .take(case.targets)
        .collect();
    let crowd = Crowd::start(&targets, case.conduct, case.connections);
    let (mut during, mut after) = (Vec::new(), Vec::new());
    let mut answers = 0;
    let mut connects = 0;
    let most = observe(&rigs, async {
        crowd.in_place().await;
        during = submit_through_all(&rigs, 0x10).await;
        time::sleep(case.lasts).await;
        (answers, connects) = (crowd.answers(), crowd.connects());
        drop(crowd);
        after = submit_through_all(&rigs, 0x20).await;
    })
    .await;
    let resident: Vec<u64> = rigs.iter().map(Rig::resident_kib).collect();
    println!(
        "{}: {connects} connections opened, {answers} answers, ordinary jobs {during:?} and {after:?}, \
         {most:?}, resident afterwards {resident:?} KiB",
        case.name
    );
    let mut faults = exceeded(case.name, &most, case.limits);
    let mut check = |holds: bool, what: String| {
        if !holds {
            faults.push(format!("{}: {what}", case.name));
        }
    };
    for (number, rig) in rigs.iter_mut().enumerate() {
        check(rig.is_alive(), format!("host {number} has ended"));
    }
    let all_served = |statuses: &[u16]| statuses.iter().all(|&status| status == 200);
    check(
        all_served(&during),
        format!("ordinary jobs beside the crowd were answered with {during:?}"),
    );
    check(
        all_served(&after),
        format!("ordinary jobs after the crowd were answered with {after:?}"),
    );
    faults
}

async fn play_all(cases: &[Case]) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut faults = Vec::new();
    for case in cases {
        faults.extend(play(case).await);
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowds_that_move_slowly_leave_room_for_ordinary_clients() {
    play_all(&SLOW).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowds_that_return_leave_room_for_ordinary_clients() {
    play_all(&RETURNING).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn clients_that_leave_at_once_leave_no_work_behind() {
    play_all(&LEAVING).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_of_many_steps_leave_hosts_within_their_machines() {
    play_all(&MANY_STEPS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_of_the_shortest_steps_leave_hosts_within_their_machines() {
    play_all(&SHORTEST_STEPS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_without_end_leave_hosts_within_their_machines() {
    play_all(&ENDLESS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_of_many_occurrences_tasks_or_dependencies_leave_hosts_within_their_machines() {
    play_all(&MANY).await;
}

/// The most expensive legal jobs, one at a time in calm: each must be accepted and completed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn single_jobs_of_legal_size_complete_in_calm() {
    /// Longest wait for a job.
    const COMPLETION_LIMIT: Duration = Duration::from_mins(2);
    let cases = [
        ("many steps", Shape::ManySteps),
        ("the shortest steps", Shape::ShortestSteps),
        ("many tasks", Shape::ManyTasks),
        ("long lists of steps to wait for", Shape::LongAfter),
    ];
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut faults = Vec::new();
    for (name, shape) in cases {
        let platform = Arc::new(start_platform(8).await);
        let rigs = Rig::start_cell(2, SMALLEST_MACHINE, &platform).await;
        let mut state = String::new();
        let most = observe(&rigs, async {
            let address = rigs[1].clients;
            let request = moving::submission(ORDINARY_JOBS, &shape.body());
            state = rig::served_status(address, &request).await.to_string();
            let query =
                format!("GET /batch/{ORDINARY_JOBS:016x} HTTP/1.1\r\nhost: jobs.example\r\n\r\n");
            let until = Instant::now() + COMPLETION_LIMIT;
            while !state.contains("completed") && Instant::now() < until {
                time::sleep(Duration::from_millis(200)).await;
                state = rig::response(address, query.as_bytes()).await;
            }
        })
        .await;
        println!("{name}: {most:?}");
        if !state.contains("completed") {
            faults.push(format!("{name}: {state:?}"));
        }
        faults.extend(exceeded(name, &most, SMALLEST_MACHINE));
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
