//! Numbered log events of this crate.

kernel::declare_events! {
    /// A note was accepted.
    RELEASE_ACCEPTED = (3000, "release-accepted", Info,
        "A release note was accepted here; nothing to do.");
    /// A note was refused.
    RELEASE_REFUSED = (3001, "release-refused", Info,
        "A release note was refused and nothing changed; the submitter has been told why.");
    /// A release came into force.
    RELEASE_IN_FORCE = (3002, "release-in-force", Info,
        "This host works from the named release from now on; nothing to do.");
    /// The store cannot be watched.
    RELEASE_WATCH_FAILED = (3003, "release-watch-failed", Warn,
        "The store's releases cannot be followed; peers are asked meanwhile. Look at the store if it lasts.");
    /// The store can be watched again.
    RELEASE_WATCH_RESUMED = (3004, "release-watch-resumed", Info,
        "The store's releases are followed again; nothing to do.");
    /// A newer release is known but cannot be fetched.
    RELEASE_FETCH_FAILED = (3005, "release-fetch-failed", Warn,
        "A peer has a newer release that neither a peer nor the store gives out. If it lasts, look at the link between the hosts and at the store.");
    /// A stored release cannot be read.
    RELEASE_UNREADABLE = (3006, "release-unreadable", Error,
        "A value under releases/ in the store is not a release of this program. Find out who wrote it; hosts keep the release that they have.");
    /// An old release could not be removed.
    RELEASE_TRIM_FAILED = (3007, "release-trim-failed", Warn,
        "An old release was left in the store; the next accepted note tries again. Nothing to do unless it repeats.");
    /// It is not known whether a note was accepted.
    RELEASE_UNSETTLED = (3008, "release-unsettled", Warn,
        "The store's answer to a release note was lost. The submitter is told to submit it again under the same id; hickoryctl release show tells whether it was accepted.");
}
