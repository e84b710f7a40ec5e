//! Log events of the stand-ins, numbers 6000 to 6099.

kernel::declare_events! {
    /// A stand-in accepts connections.
    LISTENING = (6000, "standin-listening", Info, "A stand-in process accepts connections at the address; nothing to do.");
    /// A fault was set or ended.
    FAULT_APPLIED = (6001, "standin-fault-applied", Info, "Somebody set or ended a fault through the admin endpoint; expect what it says.");
    /// A worker was changed through the admin endpoint.
    WORKER_CHANGED = (6002, "standin-worker-changed", Info, "Somebody killed, revived or otherwise changed a worker through the admin endpoint.");
    /// A stand-in gave up.
    FAILED = (6003, "standin-failed", Error, "The stand-in process cannot go on; the message says what to mend, often an address in use.");
    /// A backend changed its readiness.
    BACKEND_CHANGED = (6004, "standin-backend-changed", Info, "The balancer sends new connections to a backend, or does so no longer.");
}
