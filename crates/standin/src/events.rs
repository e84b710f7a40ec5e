//! Log events of the stand-ins, numbers 6000 to 6099.

kernel::declare_events! {
    /// A stand-in accepts connections.
    LISTENING = (6000, "standin-listening", Info, "A stand-in process accepts connections at the address; nothing to do.");
    /// A fault was set or cleared.
    FAULT_APPLIED = (6001, "standin-fault-applied", Info, "A fault was set or cleared through the admin endpoint; expect its effects.");
    /// A worker was changed through the admin endpoint.
    WORKER_CHANGED = (6002, "standin-worker-changed", Info, "A worker was killed, revived or otherwise changed through the admin endpoint; nothing to do.");
    /// The process is exiting with an error.
    FAILED = (6003, "standin-failed", Error, "The stand-in process exits with an error; fix the cause given in the message, often an address already in use.");
    /// The readiness of a backend changed.
    BACKEND_CHANGED = (6004, "standin-backend-changed", Info, "The balancer started or stopped sending new connections to a backend; if it stopped, check why the backend is not ready.");
}
