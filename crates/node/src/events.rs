//! Log events of the roles.

kernel::declare_events! {
    /// A worker stopped answering.
    WORKER_LOST = (7000, "worker-lost", Warn,
        "A worker did not answer until all its leases had ended; its tasks are started elsewhere. Check the worker if it is not known to have failed.");
    /// A group may be used again after a takeover.
    GROUP_RECOVERED = (7001, "group-recovered", Info,
        "The new owner of a rack group knows what runs on its workers. Nothing to do.");
    /// A worker refused a start.
    START_REFUSED = (7002, "start-refused", Info,
        "A worker refused to start a task; it is placed again. Nothing to do unless one worker refuses all the time.");
    /// The owner was replaced.
    OWNER_FENCED = (7003, "owner-fenced", Warn,
        "A worker has seen a newer owner of its rack group, so this host stops acting for the group. Look for a pause or a network cut if it recurs.");
    /// A shard may be used.
    SHARD_OPENED = (7004, "shard-opened", Info,
        "The host has read the journal of a shard and takes jobs and claims for it. Nothing to do.");
    /// A shard cannot be opened yet.
    SHARD_OPEN_FAILED = (7005, "shard-open-failed", Warn,
        "The journal of a shard could not be read or sealed; the host tries again. Check the store if it goes on.");
    /// The journal belongs to someone else.
    SHARD_FENCED = (7006, "shard-fenced", Warn,
        "Another host has taken a shard over; this host stops acting for it. Look for a pause or a network cut if it recurs.");
    /// The host serves.
    SERVING = (7010, "serving", Info,
        "The host accepts requests. Nothing to do.");
    /// The host drains.
    DRAINING = (7011, "draining", Info,
        "The host accepts no new requests and finishes the open ones. Nothing to do.");
    /// The host ended.
    STOPPED = (7012, "stopped", Info,
        "The process ends; all open requests were answered unless the message says otherwise.");
    /// Peers are told about a release.
    RELEASE_ANNOUNCED = (7020, "release-announced", Debug,
        "The host tells its peers that a release is in force. Nothing to do.");
    /// Work of a release cannot be accepted.
    RELEASE_WORK_REFUSED = (7021, "release-work-refused", Warn,
        "A shard could not journal work of the release; it tries again. Check the store if it goes on.");
    /// A request was refused before it was read whole.
    REQUEST_REFUSED = (7030, "request-refused", Info,
        "A request broke a limit of the HTTP port. Look at its sender if it recurs.");
}
