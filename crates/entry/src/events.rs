//! Numbered log events of the entry host, listed in `docs/events.md`.

kernel::declare_events! {
    /// The process has started.
    STARTED = (8000, "entry-started", Info, "The host process has started. Nothing to do.");
    /// The process stops.
    STOPPED = (8001, "entry-stopped", Info, "The host process has drained and exits. Nothing to do.");
    /// Shutdown has begun.
    DRAINING = (8002, "entry-draining", Info, "The host received a stop signal: it reports itself not ready, resigns as coordinator and completes open requests. Nothing to do.");
    /// The settings were reloaded.
    RELOADED = (8003, "entry-reloaded", Info, "The settings file was reloaded. Nothing to do.");
    /// The settings could not be reloaded.
    RELOAD_FAILED = (8004, "entry-reload-failed", Warn, "The settings file changed and is invalid; the previous settings stay in effect. Fix the file.");
    /// A newer configuration took effect.
    CONFIG_APPLIED = (8010, "config-applied", Info, "A newer operators' configuration is in effect on this host. Nothing to do.");
    /// A configuration could not be decoded.
    CONFIG_UNREADABLE = (8011, "config-unreadable", Warn, "The configuration in the store is malformed; the previous one stays in effect. Write it again.");
    /// Keys cannot be accepted.
    CONFIG_UNPROVEN = (8012, "config-unproven", Warn, "The host has no proof that its configuration is recent, and refuses calls that need a key, because keys may have been revoked. Check whether it can reach the store, and E8011.");
    /// Keys can be accepted again.
    CONFIG_PROVEN = (8013, "config-proven", Info, "The host has proof again that its configuration is recent, and accepts calls that need a key. Nothing to do.");
    /// A dependency stopped answering.
    DEPENDENCY_LOST = (8020, "dependency-lost", Warn, "A dependency of the host does not answer. Check which one, and whether other hosts lost it too.");
    /// A dependency answers again.
    DEPENDENCY_REGAINED = (8021, "dependency-regained", Info, "A dependency of the host answers again. Nothing to do.");
    /// This host became leader.
    LEAD_TAKEN = (8030, "lead-taken", Info, "This host is now the coordinator of the cell. Nothing to do.");
    /// This host's term has ended.
    LEAD_LOST = (8031, "lead-lost", Warn, "This host is no longer the coordinator of the cell. Check the reason if this recurs.");
    /// The leader key was read.
    LEAD_SEEN = (8032, "lead-seen", Info, "The host has read which host is the coordinator of the cell. Nothing to do.");
    /// The leader's process has ended, or connections to it are refused.
    LEAD_DEAD = (8034, "lead-dead", Warn, "The coordinator's address refuses connections, or another process answers there, so that the coordinator can be replaced before its lease expires. The line gives the evidence. Check whether its process ended or is cut off.");
    /// All inherited work is accounted for.
    LEAD_SETTLED = (8033, "lead-settled", Info, "The coordinator has determined which runs its predecessor left, and schedules inherited work again. Nothing to do.");
    /// The leader shuts down.
    LEAD_LEAVING = (8036, "lead-leaving", Info, "The coordinator's host shuts down, and this host may replace the coordinator, which leads until then. Nothing to do.");
    /// The predecessor's process has ended.
    PREDECESSOR_ENDED = (8037, "predecessor-ended", Info, "The former coordinator's process has ended, as another process answers at its address, so that its holds and orders expire sooner. The line names the proof, its age and the time left. Nothing to do.");
    /// The leader's process stood still.
    LEAD_STALLED = (8038, "lead-stalled", Warn, "The coordinator's process stood still, and sends nothing until it has confirmed that it was not replaced. Check the load of the machine if this recurs.");
    /// Inherited work waits for workers of the predecessor.
    LEAD_WAITING = (8035, "lead-waiting", Warn, "Workers that the predecessor used have not returned their lists, or not all ends; inherited tasks wait for them, for silent ones at most until all holds have expired. Check whether the workers named have left or are cut off.");
    /// A submission was answered, or its caller disconnected.
    JOB_ANSWERED = (8100, "job-answered", Info, "A job submission was answered. The line gives the outcome and its cause.");
    /// A cancellation was answered.
    CANCEL_ANSWERED = (8101, "cancel-answered", Info, "A job cancellation was answered.");
    /// A state query found no job or could not be answered.
    STATE_ANSWERED = (8102, "state-answered", Info, "A job state query was answered that the job does not exist or that its state is unavailable.");
    /// The leader refused a job.
    JOB_REFUSED = (8103, "job-refused", Info, "The coordinator refused a job before accepting it. The line gives the verdict and the state of the cell behind it.");
    /// Calls were refused on account of their keys.
    KEY_REFUSED = (8104, "key-refused", Info, "Calls were refused on account of their keys. The line names one of them, and counts those since the previous line: without a valid key (401), without proof of a recent configuration (503), and for a job of another tenant (403).");
    /// The leader refused a job whose key is no longer valid.
    KEY_REVOKED = (8105, "key-revoked", Info, "The coordinator refused a job on account of its key: it was revoked, or it moved to another tenant, in a configuration that the host which took the job did not have yet; or the coordinator has no proof that its own configuration is recent (E8012). Nothing to do unless this recurs.");
    /// The leader refused a job because of its tenant.
    TENANT_REFUSED = (8106, "tenant-refused", Info, "The coordinator refused a job because of its tenant. The line gives the tenant and why: a task or gang above its limit, `at_limit` if its work within the limit takes too long, or `over_share`; and what the tenant has running.");
    /// The limit of a tenant holds tasks back.
    TENANT_AT_LIMIT = (8107, "tenant-at-limit", Info, "Tasks of a tenant wait because it has as much running as its limit allows. The line gives their number, what the tenant has running and its limit, of at most four tenants a second. Nothing to do, unless the tenant should run more.");
    /// A start order is sent.
    RUN_ORDERED = (8110, "run-ordered", Info, "A worker was ordered to start a task.");
    /// A start was not confirmed.
    RUN_REFUSED = (8111, "run-refused", Info, "A worker refused to start a task or did not answer. The task waits for another worker.");
    /// A stop order is sent.
    RUN_ENDING = (8112, "run-ending", Info, "A run was ordered to stop because it is no longer wanted on its worker.");
    /// A worker reported the end of a run.
    RUN_ENDED = (8113, "run-ended", Info, "A worker reported the end of a run.");
    /// A run was released without a reported end.
    RUN_RELEASED = (8121, "run-released", Info, "A run ended without an end in its worker's list, and its task may start again, on this worker only while `bound_ms` has a value. The line names the proof, and what was known of the worker: the age of its last report, the time until its holds expire, whether it was listed, draining or silent.");
    /// A former leader's order may take effect late.
    LATE_ORDER = (8122, "late-order", Info, "A host has relayed an order of a former coordinator that got no response. Until it can no longer take effect, its task starts on this worker only.");
    /// The paces of the workers.
    WORKER_PACES = (8123, "worker-paces", Info, "The coordinator has learned that workers differ in pace. The line gives the number of workers with a known pace, how many of them deviate, and the fastest and the slowest decile, in percent of a typical duration. Nothing to do.");
    /// A step waits for a better placement.
    PLACEMENT_WAIT = (8124, "placement-wait", Info, "Tasks that could start wait for a better placement (`for`), or such a wait has ended. The line gives since when they wait, when the better placement is expected to be free, and whether they started there (`better`), elsewhere, or lost their room (`no_room`). Nothing to do.");
    /// A step waits for a worker.
    STEP_WAITING = (8117, "step-waiting", Info, "The most urgent steps that have waited for 2 s, with the number of workers that their service has, that answer, that have a ticket, that are kept free for others, on which the tasks failed, and that have room.");
    /// Runs are stopped for a more urgent step.
    STEP_PREEMPTS = (8125, "step-preempts", Info, "Runs that can resume from a checkpoint are stopped, because a more urgent step finds no capacity. The line names the step, how many runs are stopped on how many workers, and how long its job has waited.");
    /// The share of a best-effort run was changed.
    RUN_PACED = (8116, "run-paced", Info, "The share of a best-effort run was changed because a latency-sensitive task on the same worker came close to its latency target or has recovered.");
    /// The end of a job is durable.
    JOB_ENDED = (8114, "job-ended", Info, "The end of a job is durable in the store.");
    /// Records of ended jobs were removed.
    JOBS_REMOVED = (8115, "jobs-removed", Info, "Records of ended jobs were removed after the retention period. Nothing to do.");
    /// An advice query was answered or failed.
    ADVICE_ANSWERED = (8120, "advice-answered", Debug, "The advice service answered a query or failed to.");
    /// A worker was listed, unlisted or changed.
    WORKER_CHANGED = (8130, "worker-changed", Info, "A worker was added to or removed from the list, or its entry changed.");
    /// A worker does not answer.
    WORKER_SILENT = (8131, "worker-silent", Warn, "A worker does not answer its coordinator. Its tasks start elsewhere once their runs have certainly lapsed.");
    /// A worker answers, for the first time or again.
    WORKER_HEARD = (8132, "worker-heard", Info, "A worker returned its lists, for the first time or again.");
    /// A worker has more ended runs than it lists.
    ENDS_TRUNCATED = (8137, "ends-truncated", Warn, "A worker has more ended runs than fit into its list, because their ends could not be made durable. Tasks whose ends are not listed wait for them. Check for a store outage.");
    /// Runs were lost with their worker.
    RUNS_LOST = (8138, "runs-lost", Warn, "Runs were lost with their worker: its process has ended, or its holds have expired. The line names the runs ordered last.");
    /// The loss of a worker was judged.
    CRASH_JUDGED = (8139, "crash-judged", Warn, "A worker with runs refuses connections or does not answer. The line names the runs suspected of it; there are none if none was starting, or if other workers were lost at the same time without one.");
    /// A task crashes its workers.
    TASK_GIVEN_UP = (8118, "task-given-up", Warn, "A task was given up, and its job has failed, because workers crashed under the runs named. Tell the owner of the job; E8139 names the workers.");
    /// Which queues are on trial has changed.
    QUEUES_ON_TRIAL = (8119, "queues-on-trial", Warn, "New jobs of these queues crash the workers that start them, and start on few workers of their own until that is over. An empty list ends it.");
    /// A relaying host does not answer.
    CARRIER_AWAY = (8133, "carrier-away", Warn, "A host does not answer the coordinator, which now reaches the workers near it through other hosts. Check whether the host is running.");
    /// A relaying host answers again.
    CARRIER_BACK = (8134, "carrier-back", Info, "A host that did not answer the coordinator answers again. Nothing to do.");
    /// A commit failed.
    COMMIT_FAILED = (8140, "commit-failed", Warn, "Records could not be committed to the store and are retried. Check for a store outage.");
    /// A page of a listing could not be read.
    LISTING_FAILED = (8141, "listing-failed", Warn, "A page of a listing of the store could not be read and is read again; the pages before it are kept. If this recurs with the same number of pages, check the link to the store.");
    /// A listing that had failed is complete.
    LISTING_COMPLETE = (8142, "listing-complete", Info, "A listing of the store is complete after failed reads. Nothing to do.");
    /// Log lines were dropped.
    LINES_DROPPED = (8150, "lines-dropped", Warn, "The log output could not keep up and lines were dropped; the dropped lines are counted in the metrics.");
    /// Connections or requests were refused or closed at a limit of their port.
    CLIENTS_SHED = (8160, "clients-shed", Warn, "Connections or requests were refused or closed because they exceed a limit of their port; at most one line a second for each port and reason, with their number. Nothing that was refused has run. Check who sends them.");
}
