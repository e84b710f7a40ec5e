//! Paths of the API; those with a parameter have a function beside the prefix.

use kernel::ids;

/// Release notes are submitted here.
pub const RELEASES: &str = "/v1/releases";
/// The release in force at the answering host.
pub const RELEASE_CURRENT: &str = "/v1/releases/current";
/// Which host has which release.
pub const RELEASE_STATUS: &str = "/v1/releases/status";
/// Jobs are submitted and listed here.
pub const JOBS: &str = "/v1/jobs";
/// The entry hosts.
pub const HOSTS: &str = "/v1/hosts";
/// The workers.
pub const WORKERS: &str = "/v1/workers";
/// Prefix under which a task's state is explained.
pub const TASKS: &str = "/v1/tasks";
/// What runs where.
pub const PLACEMENTS: &str = "/v1/placements";
/// Prefix of calls to services.
pub const CALL: &str = "/v1/call";
/// Answers 200 while the process runs.
pub const LIVE: &str = "/live";
/// Answers 200 while the host accepts requests.
pub const READY: &str = "/ready";
/// Metrics in the Prometheus text format.
pub const METRICS: &str = "/metrics";

/// The path of one release.
pub fn release(version: ids::ReleaseVersion) -> String {
    format!("{RELEASES}/{version}")
}

/// The path of one job.
pub fn job(work: &ids::WorkId) -> String {
    format!("{JOBS}/{work}")
}

/// The path of one task.
pub fn task(task: &ids::TaskId) -> String {
    format!("{TASKS}/{}/{}", task.work, task.index)
}

/// The path of a call; the service's root has no slash at its end.
pub fn call(service: &ids::WorkId, path: &str) -> String {
    let path = path.trim_start_matches('/');
    if path.is_empty() {
        return format!("{CALL}/{service}");
    }
    format!("{CALL}/{service}/{path}")
}
