//! Paths of the API. A path with a parameter has a constant for its prefix and a function that
//! builds the path.

use kernel::ids;

/// `POST`: submits a release note. Prefix of [`release`].
pub const RELEASES: &str = "/v1/releases";
/// `GET`: the release in force on the responding host.
pub const RELEASE_CURRENT: &str = "/v1/releases/current";
/// `GET`: the releases in force on all hosts.
pub const RELEASE_STATUS: &str = "/v1/releases/status";
/// `POST`: submits a job. `GET`: lists the jobs. Prefix of [`job`].
pub const JOBS: &str = "/v1/jobs";
/// `GET`: lists the entry hosts.
pub const HOSTS: &str = "/v1/hosts";
/// `GET`: lists the workers.
pub const WORKERS: &str = "/v1/workers";
/// Prefix of [`task`].
pub const TASKS: &str = "/v1/tasks";
/// `GET`: lists the tasks with the workers on which they are placed.
pub const PLACEMENTS: &str = "/v1/placements";
/// Prefix of [`call`].
pub const CALL: &str = "/v1/call";
/// Liveness probe: status 200 while the process runs.
pub const LIVE: &str = "/live";
/// Readiness probe: status 200 while the host accepts requests.
pub const READY: &str = "/ready";
/// `GET`: metrics in the Prometheus text format.
pub const METRICS: &str = "/metrics";

/// `GET`: a release by its version.
pub fn release(version: ids::ReleaseVersion) -> String {
    format!("{RELEASES}/{version}")
}

/// `GET`: the status of a job. `DELETE`: cancels it.
pub fn job(work: &ids::WorkId) -> String {
    format!("{JOBS}/{work}")
}

/// `GET`: the state of a task with an explanation.
pub fn task(task: &ids::TaskId) -> String {
    format!("{TASKS}/{}/{}", task.work, task.index)
}

/// Path of a call to a service; the path of the service's root has no trailing slash.
pub fn call(service: &ids::WorkId, path: &str) -> String {
    let path = path.trim_start_matches('/');
    if path.is_empty() {
        return format!("{CALL}/{service}");
    }
    format!("{CALL}/{service}/{path}")
}
