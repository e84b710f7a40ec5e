//! A workload with the proportions of the capacity target, scaled to the workers of a cell.

use std::fmt::Write as _;
use std::time;

use kernel::ids;
use kernel::work;
use tokio::task;

use crate::cell;
use crate::error::Result;

/// Workers per service.
const WORKERS_PER_SERVICE: u32 = 10;
/// Service replicas per worker: a fifth of the target's 97,000 tasks on 6,600 workers.
const REPLICAS_PER_WORKER: u32 = 3;
/// Task starts per second and 1,000 workers; the target has 2,900 per second on 6,600 workers.
const STARTS_PER_S_PER_1000_WORKERS: u32 = 440;
/// Run time of a task, which gives about twelve running tasks per worker at that start rate.
const RUN_TIME_MS: u64 = 27_000;
const JOBS_PER_S: u32 = 4;
/// Capacity of a worker of the cells, from which the team quotas follow.
const WORKER_CPU_MILLI: u32 = 16_000;
const WORKER_MEMORY_MB: u32 = 32 * 1_024;
const TEAMS: u64 = 62;

/// Builds the release note that adds the team quotas and the services of a cell.
pub(crate) fn release_note(workers: u32) -> String {
    let mut note = String::new();
    for team in 0..TEAMS {
        let (cpu_milli, memory_mb) = (workers * WORKER_CPU_MILLI, workers * WORKER_MEMORY_MB);
        let _ = write!(
            note,
            "[[added.quota]]\nteam = \"team-{team:02}\"\ncpu_milli = {cpu_milli}\nmemory_mb = {memory_mb}\n"
        );
    }
    for number in 0..workers.div_ceil(WORKERS_PER_SERVICE) {
        let replicas = REPLICAS_PER_WORKER * WORKERS_PER_SERVICE;
        let _ = write!(
            note,
            "[[added.service]]\nname = \"service-{number:04}\"\nteam = \"team-{:02}\"\nreplicas = {replicas}\n\
             cpu_milli = 500\nmemory_mb = 512\nslots = 8\nconnections = 64\n",
            u64::from(number) % TEAMS
        );
    }
    note
}

/// Submits jobs at the peak rate of a cell for `duration_ms`; job numbers start at `first`.
pub(crate) async fn submit_at_peak(cell: &cell::Cell, duration_ms: u64, first: u64) -> Result<()> {
    let tasks = tasks_per_job(cell.size.workers);
    let mut interval = tokio::time::interval(time::Duration::from_secs(1) / JOBS_PER_S);
    let mut submitted = task::JoinSet::new();
    for number in first..first + duration_ms * u64::from(JOBS_PER_S) / 1_000 {
        interval.tick().await;
        let operations = cell.host_operations(number);
        submitted.spawn(async move {
            let key = ids::IdempotencyKey::new(format!("key-{number:016x}"));
            operations.submit_job(&job(number, tasks), &key).await
        });
    }
    while let Some(result) = submitted.join_next().await {
        result.map_err(std::io::Error::other)??;
    }
    Ok(())
}

/// Tasks per job that give the peak start rate at [`JOBS_PER_S`].
fn tasks_per_job(workers: u32) -> u32 {
    (workers * STARTS_PER_S_PER_1000_WORKERS / 1_000 / JOBS_PER_S).max(1)
}

/// Builds the JSON body of the HTTP request that submits a job.
pub(crate) fn job_request_body(number: u64, workers: u32) -> String {
    let tasks = tasks_per_job(workers);
    let team = number % TEAMS;
    format!(
        r#"{{"name":"report-{number:09}","team":"team-{team:02}","tasks":{tasks},"run_time_ms":{RUN_TIME_MS},"demand":{{"cpu_milli":500,"memory_mb":512,"accelerators":0}}}}"#
    )
}

fn job(number: u64, tasks: u32) -> work::Work {
    work::Work {
        id: ids::WorkId::new(format!("report-{number:09}")),
        team: ids::TeamId::new(format!("team-{:02}", number % TEAMS)),
        kind: work::WorkKind::BatchRun,
        tasks,
        demand: work::Resources::new(500, 512, 0),
        urgency: work::Urgency::Normal,
        policy: work::Policy::QuickStart,
        run_time_ms: Some(RUN_TIME_MS),
        max_attempts: 3,
        zones: Vec::new(),
        idempotent: true,
        slots: 0,
        connections: 0,
        since: ids::ReleaseVersion::default(),
        revision: ids::ReleaseVersion::default(),
    }
}
