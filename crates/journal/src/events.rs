//! Log events of the journal.

kernel::declare_events! {
    /// A journal was opened.
    OPENED = (5000, "journal-opened", Info, "This host is now the writer of the shard's journal. Nothing to do.");
    /// Another writer took the shard over.
    FENCED = (5001, "journal-fenced", Warn, "Another host writes the shard's journal; this host refuses further records. Expected after a pause or a change of owner; check the host's load if it is frequent.");
    /// The outcome of a write is unknown.
    ANSWER_LOST = (5002, "journal-answer-lost", Warn, "The store did not report whether a write took effect; the journal reads the entry back before it continues. Check the store if it is frequent.");
    /// The store refuses calls or cannot be reached.
    STORE_AWAY = (5003, "journal-store-away", Warn, "Records are queued, and refused at their deadline, until the store is available again. Check the store and the network to it.");
    /// A snapshot could not be written.
    SNAPSHOT_FAILED = (5004, "journal-snapshot-failed", Warn, "The snapshot is retried after further entries; until then recovery takes longer. Check the store if it is frequent.");
    /// The journal's content violates an invariant.
    CORRUPT = (5005, "journal-corrupt", Error, "An entry or snapshot cannot be decoded or is from an unexpected writer; the shard does not open. Keep the shard's keys in the store and report the fault.");
    /// A snapshot was written.
    SNAPSHOT = (5006, "journal-snapshot", Debug, "A snapshot was written; the entries that it replaces are deleted from the store. Nothing to do.");
    /// A claim ticket was dropped before an outcome was recorded.
    CLAIM_DROPPED = (5010, "claim-dropped", Warn, "It is not known whether a non-idempotent request ran; duplicates are answered after an inquiry at the upstream. Expected when a host is shut down without draining.");
}
