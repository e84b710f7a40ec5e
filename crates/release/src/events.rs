//! Log events of release notes.

kernel::declare_events! {
    /// A note was accepted.
    RELEASE_ACCEPTED = (3000, "release-accepted", Info,
        "This host accepted a release note. Nothing to do.");
    /// A note was refused.
    RELEASE_REFUSED = (3001, "release-refused", Info,
        "A release note was refused and nothing changed; the reason was returned to the submitter.");
    /// A release came into force.
    RELEASE_IN_FORCE = (3002, "release-in-force", Info,
        "This host now applies the named release. Nothing to do.");
    /// The store cannot be watched.
    RELEASE_WATCH_FAILED = (3003, "release-watch-failed", Warn,
        "Releases in the store cannot be watched; newer releases are fetched from peers instead. Check the store if it persists.");
    /// The store can be watched again.
    RELEASE_WATCH_RESUMED = (3004, "release-watch-resumed", Info,
        "Releases in the store are watched again. Nothing to do.");
    /// A newer release is known but cannot be fetched.
    RELEASE_FETCH_FAILED = (3005, "release-fetch-failed", Warn,
        "A peer has announced a newer release, which could be fetched neither from a peer nor from the store. If it persists, check the network between the hosts and the store.");
    /// A stored release cannot be read.
    RELEASE_UNREADABLE = (3006, "release-unreadable", Error,
        "A value under releases/ in the store does not decode as a release. Find out what wrote it; hosts keep their current release.");
    /// An old release could not be removed.
    RELEASE_TRIM_FAILED = (3007, "release-trim-failed", Warn,
        "An old release could not be deleted from the store; deletion is retried after the next accepted note. Nothing to do unless it repeats.");
    /// It is not known whether a note was accepted.
    RELEASE_UNSETTLED = (3008, "release-unsettled", Warn,
        "The store's answer to a release note was lost. The submitter is asked to submit it again under the same id; hickoryctl release show displays whether it was accepted.");
}
