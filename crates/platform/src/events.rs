//! Log events of the connections to the platform, numbers 6100 to 6199.

kernel::declare_events! {
    /// An answer named another attempt.
    ANSWER_CROSSED = (6100, "platform-answer-crossed", Warn, "An upstream answered with the number of another attempt; the answer was dropped. Look for a proxy or an upstream that mixes connections up.");
    /// An answer's end was not marked.
    ANSWER_UNMARKED = (6101, "platform-answer-unmarked", Warn, "An answer had neither a length nor chunks, so a cut one could not be told from a whole one; it was dropped. Let the upstream send one of them.");
}
