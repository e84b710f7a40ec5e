//! Log events of the journal.

kernel::declare_events! {
    /// A journal was opened.
    OPENED = (5000, "journal-opened", Info, "This host writes the shard's journal from now on. Nothing to do.");
    /// Another writer took the shard over.
    FENCED = (5001, "journal-fenced", Warn, "Another host writes the shard's journal; this host refuses its records. Expected after a pause or a change of owner; look at the host's load if it comes often.");
    /// A write's answer was lost.
    ANSWER_LOST = (5002, "journal-answer-lost", Warn, "The store did not say whether a write took effect; the journal reads it back before it goes on. Look at the store if it comes often.");
    /// The store refuses or cannot be reached.
    STORE_AWAY = (5003, "journal-store-away", Warn, "Records wait and are refused at their deadline until the store is back. Look at the store and at the network to it.");
    /// A snapshot could not be written.
    SNAPSHOT_FAILED = (5004, "journal-snapshot-failed", Warn, "The snapshot is tried again after more entries; until then recovery takes longer. Look at the store if it comes often.");
    /// The journal's content breaks an invariant.
    CORRUPT = (5005, "journal-corrupt", Error, "An entry or snapshot cannot be read or is of the wrong writer; the shard does not open. Keep the keys of the shard and report the fault.");
    /// A snapshot was written.
    SNAPSHOT = (5006, "journal-snapshot", Debug, "Older entries of the shard are deleted from the store. Nothing to do.");
    /// A claimed request was given up without a word.
    CLAIM_DROPPED = (5010, "claim-dropped", Warn, "Whether a non-idempotent request ran is not known; duplicates are answered after the upstream was asked. Expected when a host shuts down in haste.");
}
