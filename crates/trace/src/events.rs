//! Log events of the trace recorder.

kernel::declare_events! {
    /// Recording has started.
    RECORDING = (4100, "trace-recording", Info, "The host records its placement decisions to the named file. Nothing to do.");
    /// Trace lines were dropped; logged at the first line and at each power of two.
    DROPPED = (4101, "trace-dropped", Warn, "Trace lines were dropped because the disk is too slow or recording has stopped; a replay of a group stops at its first missing line. Record to a faster disk.");
    /// The file has reached its size limit.
    FULL = (4102, "trace-full", Warn, "The trace has reached its size limit and recording has stopped; placement is not affected. Restart the host with another file to record more.");
    /// A write to the file failed.
    WRITE_FAILED = (4103, "trace-write-failed", Error, "Writing the trace failed and recording has stopped; placement is not affected. Check the disk and restart the host to record again.");
}
