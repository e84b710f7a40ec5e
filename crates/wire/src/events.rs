//! Log events of the transport between hosts.

kernel::declare_events! {
    /// A peer's connection was closed because of what it sent.
    PEER_REFUSED = (1000, "peer-refused", Warn,
        "A peer sent a frame that is too long, malformed or unfinished; its connection was closed. Check who connects to the peer port if it recurs.");
    /// Too many connections.
    PEER_CONNECTIONS_FULL = (1001, "peer-connections-full", Warn,
        "The peer port refused a connection because its limit is reached. Check who connects to the peer port.");
    /// Large requests hold all memory that they may.
    PEER_MEMORY_FULL = (1003, "peer-memory-full", Warn,
        "A large request of a peer was refused because others hold all memory for large requests. Look for large bodies of calls if it recurs.");
    /// A reply had no open call.
    REPLY_DROPPED = (1002, "peer-reply-dropped", Debug,
        "A reply came after its call had ended and was dropped. Nothing to do.");
}
