//! Log events of the entry host.

kernel::declare_events! {
    /// The process serves.
    STARTED = (8000, "entry-started", Info, "The host's process has started. Nothing to do.");
    /// The process ends.
    STOPPED = (8001, "entry-stopped", Info, "The host's process has drained and ends. Nothing to do.");
    /// SIGTERM arrived.
    DRAINING = (8002, "entry-draining", Info, "The host was told to stop; it reports itself not ready, gives up coordination and finishes what it has. Nothing to do.");
    /// Settings were read again.
    RELOADED = (8003, "entry-reloaded", Info, "The settings file was read again. Nothing to do.");
    /// Settings could not be read again.
    RELOAD_FAILED = (8004, "entry-reload-failed", Warn, "The settings file changed and cannot be used; the former settings stay in force. Mend the file.");
    /// A newer configuration is in force.
    CONFIG_APPLIED = (8010, "config-applied", Info, "A newer configuration of the operators is in force on this host. Nothing to do.");
    /// A configuration could not be read.
    CONFIG_UNREADABLE = (8011, "config-unreadable", Warn, "The configuration in the store cannot be read; the former one stays in force. Write it again.");
    /// A dependency stopped answering.
    DEPENDENCY_LOST = (8020, "dependency-lost", Warn, "Something that the host depends on does not answer. See which, and whether other hosts lost it too.");
    /// A dependency answers again.
    DEPENDENCY_REGAINED = (8021, "dependency-regained", Info, "Something that the host depends on answers again. Nothing to do.");
    /// This host coordinates from now on.
    LEAD_TAKEN = (8030, "lead-taken", Info, "This host coordinates the cell from now on. Nothing to do.");
    /// This host no longer coordinates.
    LEAD_LOST = (8031, "lead-lost", Warn, "This host no longer coordinates the cell. Look at the reason if it recurs.");
    /// The coordinator is another one.
    LEAD_SEEN = (8032, "lead-seen", Info, "The host has learned who coordinates the cell. Nothing to do.");
    /// The coordinator's process has ended.
    LEAD_DEAD = (8034, "lead-dead", Warn, "The host has seen that the coordinator's process has ended, and that its place can be taken before its lease runs out. See why it ended.");
    /// All workers of the predecessor are accounted for.
    LEAD_SETTLED = (8033, "lead-settled", Info, "The coordinator knows what its predecessor left running, so inherited work starts again. Nothing to do.");
    /// A job was accepted, refused or left in doubt.
    JOB_ANSWERED = (8100, "job-answered", Info, "A client that handed in a job was answered. The line names the outcome and what decided it.");
    /// A job was cancelled.
    CANCEL_ANSWERED = (8101, "cancel-answered", Info, "A client that cancelled a job was answered.");
    /// A job's state was answered from something else than the coordinator's memory.
    STATE_ANSWERED = (8102, "state-answered", Info, "A client that asked for a job was told that it does not exist, or could not be answered.");
    /// The coordinator refused a job.
    JOB_REFUSED = (8103, "job-refused", Info, "The coordinator refused a job before it was accepted. The line names the verdict and the state of the cell that decided it.");
    /// A run was ordered.
    RUN_ORDERED = (8110, "run-ordered", Info, "A task was ordered to start on a worker.");
    /// A worker did not confirm a start.
    RUN_REFUSED = (8111, "run-refused", Info, "A worker did not start a task, or did not answer. The task waits for another worker.");
    /// A run is to end.
    RUN_ENDING = (8112, "run-ending", Info, "A run was told to stop because it is no longer wanted there.");
    /// A run has ended.
    RUN_ENDED = (8113, "run-ended", Info, "A worker listed the end of a run.");
    /// A filling run works at another share.
    RUN_PACED = (8116, "run-paced", Info, "A run that fills was told to work at a share, since a task that serves beside it came near its target or is calm again.");
    /// A job ended.
    JOB_ENDED = (8114, "job-ended", Info, "A job's end is durable.");
    /// Records of ended jobs were removed.
    JOBS_REMOVED = (8115, "jobs-removed", Info, "Records of jobs that ended longer ago than clients may ask for them were removed. Nothing to do.");
    /// Advice was answered.
    ADVICE_ANSWERED = (8120, "advice-answered", Debug, "The advice service answered a question, or did not.");
    /// A worker is used from now on, or no longer.
    WORKER_CHANGED = (8130, "worker-changed", Info, "A worker entered or left the list, or changed its state.");
    /// A worker does not answer.
    WORKER_SILENT = (8131, "worker-silent", Warn, "A worker does not answer its coordinator. Its tasks run elsewhere once they have certainly lapsed.");
    /// A worker answers again.
    WORKER_HEARD = (8132, "worker-heard", Info, "A worker has shown its lists, for the first time or again.");
    /// A host does not carry calls to workers.
    CARRIER_AWAY = (8133, "carrier-away", Warn, "A host does not answer the coordinator, which reaches the workers behind it through others. See whether the host runs.");
    /// A host carries calls again.
    CARRIER_BACK = (8134, "carrier-back", Info, "A host that did not answer the coordinator answers again. Nothing to do.");
    /// A write to the store failed.
    COMMIT_FAILED = (8140, "commit-failed", Warn, "Records could not be made durable; they are tried again. Look for an outage of the store.");
    /// Log lines were left out.
    LINES_DROPPED = (8150, "lines-dropped", Warn, "The log could not keep up and lines were left out; counters still count them.");
}
