//! Work in the proportions of the target, for a cell of any size.

use std::fmt::Write as _;
use std::time;

use kernel::ids;
use kernel::work;
use tokio::task;

use crate::cell;
use crate::error::Result;

/// Workers for each service.
const WORKERS_PER_SERVICE: u32 = 10;
/// Replicas of services for each worker: a fifth of 97,000 tasks on 6,600 workers.
const REPLICAS_PER_WORKER: u32 = 3;
/// Starts a second for each thousand workers: 2,900 on 6,600 workers.
const STARTS_PER_S_PER_1000_WORKERS: u32 = 440;
/// Time for which a task runs, so that about twelve run on each worker at that rate.
const RUN_TIME_MS: u64 = 27_000;
const JOBS_PER_S: u32 = 4;
/// What a worker of the cells can hold.
const WORKER_CPU_MILLI: u32 = 16_000;
const WORKER_MEMORY_MB: u32 = 32 * 1_024;
const TEAMS: u64 = 62;

/// The release note with the quotas and the services of a cell.
pub(crate) fn services(workers: u32) -> String {
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

/// Submits jobs at the peak rate of a cell until the time is over.
pub(crate) async fn submit_at_peak(cell: &cell::Cell, lasts_ms: u64, first: u64) -> Result<()> {
    let tasks = tasks_per_job(cell.size.workers);
    let mut pauses = tokio::time::interval(time::Duration::from_secs(1) / JOBS_PER_S);
    let mut submitted = task::JoinSet::new();
    for number in first..first + lasts_ms * u64::from(JOBS_PER_S) / 1_000 {
        pauses.tick().await;
        let operations = cell.any(number);
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

/// Tasks of each job at the peak.
fn tasks_per_job(workers: u32) -> u32 {
    (workers * STARTS_PER_S_PER_1000_WORKERS / 1_000 / JOBS_PER_S).max(1)
}

/// The body with which a job is submitted over HTTP.
pub(crate) fn job_request(number: u64, workers: u32) -> String {
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
