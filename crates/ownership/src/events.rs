//! Log events of membership and ownership.

kernel::declare_events! {
    /// A host registered in the store.
    REGISTERED = (2000, "member-registered", Info,
        "The host holds a lease in the store and can become an owner. Nothing to do.");
    /// The lease lapsed.
    LEASE_LAPSED = (2001, "member-lease-lapsed", Warn,
        "The host was paused or disconnected for longer than its lease; other hosts may have taken over its rack groups and shards. It registers again automatically. Check for long pauses if it recurs.");
    /// The store does not answer.
    STORE_UNREACHABLE = (2002, "store-unreachable", Warn,
        "The store cannot be reached; ownership is unchanged, and requests that need the store are refused. Check the platform's store and the network to it.");
    /// The store answers again.
    STORE_REACHABLE = (2003, "store-reachable", Info,
        "The store answers again. Nothing to do.");
    /// Units were acquired.
    UNITS_TAKEN = (2004, "units-taken", Info,
        "The host became the owner of rack groups or shards. Nothing to do.");
    /// Units were released.
    UNITS_YIELDED = (2005, "units-yielded", Info,
        "The host released rack groups or shards to balance load or to shut down. Nothing to do.");
    /// A table in the store does not decode.
    TABLE_MALFORMED = (2006, "ownership-table-malformed", Error,
        "A value under cell/ownership/ in the store does not decode. Ownership is unchanged; repair or delete the value.");
}
