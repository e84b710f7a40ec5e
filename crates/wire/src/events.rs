//! Log events of the transport between hosts.

kernel::declare_events! {
    /// A peer connection was closed after invalid input.
    PEER_REFUSED = (1000, "peer-refused", Warn,
        "A peer sent an oversized, malformed or incomplete frame; its connection was closed. If this recurs, check which clients connect to the peer port.");
    /// The limit on peer connections was reached.
    PEER_CONNECTIONS_FULL = (1001, "peer-connections-full", Warn,
        "The peer port refused a connection because the connection limit is reached. Check which clients connect to the peer port.");
    /// The memory limit for large peer requests was reached.
    PEER_MEMORY_FULL = (1003, "peer-memory-full", Warn,
        "A large peer request was refused because the memory limit for large requests is reached. If this recurs, look for calls with large bodies.");
    /// A reply matched no pending call.
    REPLY_DROPPED = (1002, "peer-reply-dropped", Debug,
        "A reply arrived after its call had ended and was dropped. No action needed.");
}
