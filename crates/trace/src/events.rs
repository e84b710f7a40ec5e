//! Log events of recording.

kernel::declare_events! {
    /// A recording has begun.
    RECORDING = (4100, "trace-recording", Info, "Placement decisions of this host are recorded to the named file. Nothing to do.");
    /// Lines were dropped.
    DROPPED = (4101, "trace-dropped", Warn, "The file could not be written as fast as decisions came; lines are missing and a replay compares only what comes before. Record to a faster disk.");
    /// The file has reached its limit.
    FULL = (4102, "trace-full", Warn, "The trace has reached its size limit and recording has ended; decisions go on. Restart the host with another file to record more.");
    /// The file cannot be written.
    WRITE_FAILED = (4103, "trace-write-failed", Error, "The trace cannot be written and recording has ended; decisions go on. Look at the disk and restart the host to record again.");
}
