//! Validates the flags of the `job` commands.

use kernel::ids;
use kernel::work;
use release::note::limits;

use super::checker::Checker;
use super::{Action, generate_id};
use crate::args;

pub(super) const URGENCIES: [work::Urgency; 3] = [
    work::Urgency::Normal,
    work::Urgency::Deferrable,
    work::Urgency::Urgent,
];
const POLICIES: [work::Policy; 3] = [
    work::Policy::QuickStart,
    work::Policy::TightPacking,
    work::Policy::Spread,
];
const KINDS: [work::WorkKind; 2] = [work::WorkKind::BatchRun, work::WorkKind::GangJob];

pub(super) fn check_job(command: args::JobCommand, checker: &mut Checker) -> Action {
    match command {
        args::JobCommand::Submit(job) => check_submission(&job, checker),
        args::JobCommand::Status { job } => Action::JobStatus(check_name(&job, checker)),
        args::JobCommand::Cancel { job } => Action::CancelJob(check_name(&job, checker)),
        args::JobCommand::List => Action::ListJobs,
    }
}

fn check_name(job: &str, checker: &mut Checker) -> ids::WorkId {
    ids::WorkId::new(checker.job_name(job))
}

fn check_submission(job: &args::JobArgs, checker: &mut Checker) -> Action {
    let key = job.key.clone().unwrap_or_else(|| generate_id("job"));
    let key = checker.token("--key", &key);
    if job.team.is_none() {
        checker.add_error("--team", "is required");
    }
    let team = job.team.as_deref().map(|team| checker.name("--team", team));
    let name = job.name.as_deref().map(|name| checker.name("--name", name));
    let kind = match checker.choice("--kind", &job.kind, &KINDS) {
        work::WorkKind::GangJob => api::JobKind::GangJob,
        work::WorkKind::BatchRun | work::WorkKind::Service => api::JobKind::BatchRun,
    };
    let attempts = checker.number("--max-attempts", &job.max_attempts, &limits::MAX_ATTEMPTS);
    let request = api::JobRequest {
        name: name.map(ids::WorkId::new),
        team: ids::TeamId::new(team.unwrap_or_default()),
        kind,
        tasks: checker.number("--tasks", &job.tasks, &limits::TASKS) as u32,
        demand: check_demand(job, checker),
        urgency: checker.choice("--urgency", &job.urgency, &URGENCIES),
        policy: checker.choice("--policy", &job.policy, &POLICIES),
        run_time_ms: checker.number("--run-time-ms", &job.run_time_ms, &limits::RUN_TIME_MS),
        max_attempts: attempts as u32,
        zones: check_zones(job.zones.as_deref(), checker),
        idempotent: job.idempotent,
    };
    Action::SubmitJob {
        request: Box::new(request),
        key,
    }
}

fn check_demand(job: &args::JobArgs, checker: &mut Checker) -> work::Resources {
    let accelerators = &limits::ACCELERATORS;
    work::Resources {
        cpu_milli: checker.number("--cpu-milli", &job.cpu_milli, &limits::CPU_MILLI),
        memory_mb: checker.number("--memory-mb", &job.memory_mb, &limits::MEMORY_MB),
        accelerators: checker.number("--accelerators", &job.accelerators, accelerators),
    }
}

fn check_zones(zones: Option<&str>, checker: &mut Checker) -> Vec<ids::ZoneId> {
    let Some(zones) = zones else {
        return Vec::new();
    };
    let names = zones.split(',').map(str::trim);
    names
        .map(|zone| ids::ZoneId::new(checker.name("--zones", zone)))
        .collect()
}
